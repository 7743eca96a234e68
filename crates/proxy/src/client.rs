//! A client's connection, and whether the client is still connected.

use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A client's connection, for the server that reads and writes it.
pub struct ClientStream(Rc<RefCell<TcpStream>>);

/// Checks whether the client of a connection is still connected.
#[derive(Clone)]
pub struct Presence(Rc<RefCell<TcpStream>>);

/// Splits a connection into the stream for the server and the check of the client's presence.
pub fn client_stream(stream: TcpStream) -> (ClientStream, Presence) {
    let shared = Rc::new(RefCell::new(stream));
    (ClientStream(shared.clone()), Presence(shared))
}

impl Presence {
    /// Whether the client has closed or reset its connection, as the kernel knows it now. The server may not have noticed
    /// yet, in particular after a pause of the process.
    pub fn has_left(&self) -> bool {
        let stream = self.0.borrow();
        match SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(cx)
    }
}
