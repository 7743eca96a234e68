//! Ports on loopback for tests: each is given once in a process, and nothing listens there before its owner does.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// The first port that is given. All lie below those that the system assigns by itself, or a connection or another
/// listener could take one before its owner listens.
const FIRST_PORT: u32 = 10_000;
/// How many ports are given in turn.
const PORTS: u32 = 22_000;
/// Processes that run side by side begin this far apart.
const STRIDE: u32 = 197;

/// The state of a listener in the kernel's table.
const LISTENING: &str = "0A";

/// A port that is bound and not listened at.
///
/// A process that is being started holds a copy of each open socket until it runs its own program. A listener that was
/// opened and closed to find a free port would go on listening for that moment: tests would take it for its owner's,
/// and its owner could not listen.
pub struct ReservedPort {
    /// The address.
    pub address: SocketAddr,
    _socket: Socket,
}

/// The addresses in turn, each once.
fn next_address() -> SocketAddr {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let given = GIVEN.fetch_add(1, Ordering::Relaxed);
    let port = FIRST_PORT + std::process::id().wrapping_mul(STRIDE).wrapping_add(given) % PORTS;
    SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16))
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // Its owner can listen although a copy of this socket is still open.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Reserves a port where nothing listens now.
pub fn reserve_port() -> ReservedPort {
    loop {
        let address = next_address();
        if let Ok(socket) = bind(address) {
            return ReservedPort { address, _socket: socket };
        }
    }
}

/// An address where nothing listens, for somebody who will.
pub fn free_address() -> SocketAddr {
    reserve_port().address
}

/// A port on loopback where nothing listens.
pub fn free_port() -> u16 {
    free_address().port()
}

/// A listener at a port that nobody else in this process was given.
pub fn listener() -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(next_address()) {
            return listener;
        }
    }
}

/// Whether somebody listens at an address, by the kernel's word: a connection made to find out would be one more to
/// serve.
pub fn is_listening(address: SocketAddr) -> bool {
    let SocketAddr::V4(at) = address else { panic!("{address} is not IPv4") };
    let local = format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of sockets");
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.any(|row| row.get(1) == Some(&&*local) && row.get(3) == Some(&LISTENING))
}
