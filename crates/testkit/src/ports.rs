//! Loopback ports for tests. Each is allocated once per process, and nothing listens on it before its owner does.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First allocated port. The range lies below the ephemeral ports of the system, so that no connection or other
/// listener takes a port before its owner listens.
const FIRST_PORT: u32 = 10_000;
/// Number of ports in the range.
const PORT_COUNT: u32 = 22_000;
/// Offset between the start ports of processes with successive ids.
const PROCESS_STRIDE: u32 = 197;

/// The state of a listening socket in `/proc/net/tcp`.
const LISTEN_STATE: &str = "0A";

/// A port that is bound but not listening.
///
/// A child process holds a copy of every open socket until it executes its program. If a free port were found by
/// opening and closing a listener, the copy would keep listening for that time: tests would take it for the owner's
/// listener, and the owner could not listen.
pub struct ReservedPort {
    /// The reserved address.
    pub address: SocketAddr,
    _socket: Socket,
}

/// The next address in the range; each is returned once until the range is used up.
fn next_address() -> SocketAddr {
    static ALLOCATED: AtomicU32 = AtomicU32::new(0);
    let allocated = ALLOCATED.fetch_add(1, Ordering::Relaxed);
    let port =
        FIRST_PORT + std::process::id().wrapping_mul(PROCESS_STRIDE).wrapping_add(allocated) % PORT_COUNT;
    SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16))
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // Lets the owner listen while a copy of this socket is still open.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Reserves a port on which nothing listens.
pub fn reserve_port() -> ReservedPort {
    loop {
        let address = next_address();
        if let Ok(socket) = bind(address) {
            return ReservedPort { address, _socket: socket };
        }
    }
}

/// A loopback address on which nothing listens.
pub fn free_address() -> SocketAddr {
    reserve_port().address
}

/// A loopback port on which nothing listens.
pub fn free_port() -> u16 {
    free_address().port()
}

/// A listener on a port that was not allocated before in this process.
pub fn listener() -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(next_address()) {
            return listener;
        }
    }
}

/// Whether a socket listens on an address, according to `/proc/net/tcp`. A test connection would be one more for the
/// listener to serve.
pub fn is_listening(address: SocketAddr) -> bool {
    let SocketAddr::V4(at) = address else { panic!("{address} is not IPv4") };
    let local = format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of sockets");
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.any(|row| row.get(1) == Some(&&*local) && row.get(3) == Some(&LISTEN_STATE))
}
