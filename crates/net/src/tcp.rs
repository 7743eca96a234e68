//! The system's TCP.

use crate::{Connecting, Connection, Listener, Network, PeekStatus};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::task::{Context, Poll, ready};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that wait to be accepted, as tokio has it by itself.
const BACKLOG: u32 = 1024;

/// The system's TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Connection for TcpStream {
    fn peek_status(&self) -> PeekStatus {
        // Asked of the kernel directly: the runtime only knows what its last look at all sockets has shown.
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
        let _ = stream.set_nodelay(true); // without it answers only come later
        Poll::Ready(Ok(Box::new(stream)))
    }
}

impl Network for Tcp {
    fn connect(&self, to: SocketAddr) -> Connecting {
        Box::pin(async move {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as Box<dyn Connection>)
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        Ok(Box::new(socket.listen(BACKLOG)?))
    }
}
