//! The operating system's TCP.

use crate::{Connecting, Connection, Listener, Network, PeekStatus};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::task::{Context, Poll, ready};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Limit of connections that wait to be accepted; tokio's default.
const LISTEN_BACKLOG: u32 = 1024;

/// A [`Network`] on the operating system's TCP sockets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Connection for TcpStream {
    fn peek_status(&self) -> PeekStatus {
        // Asks the kernel directly, since the runtime only knows the readiness found by its last poll of the sockets.
        match SockRef::from(self).peek(&mut [MaybeUninit::uninit(); 1]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => PeekStatus::Empty,
            Ok(1..) => PeekStatus::Data,
            _ => PeekStatus::Eof,
        }
    }

    fn is_nodelay(&self) -> bool {
        self.nodelay().unwrap_or(false)
    }
}

impl Listener for TcpListener {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn Connection>>> {
        let (stream, _) = ready!(TcpListener::poll_accept(self, cx))?;
        let _ = stream.set_nodelay(true); // failure only delays small writes
        Poll::Ready(Ok(Box::new(stream)))
    }
}

impl Network for Tcp {
    fn connect(&self, address: SocketAddr) -> Connecting {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as Box<dyn Connection>)
        })
    }

    fn listen(&self, address: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Box::new(socket.listen(LISTEN_BACKLOG)?))
    }
}
