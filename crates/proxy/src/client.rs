//! A client's connection, and whether the client is still connected.

use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

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

/// How often a client is looked for whose connection has bytes that the server does not read yet.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until a client has left, also where it has sent bytes behind its request: with such bytes in its buffer the server
/// does not watch the connection. To be polled by the task that serves the connection: there is one waker for reading.
pub struct Departure {
    client: Presence,
    recheck: Option<Pin<Box<Sleep>>>,
}

impl Departure {
    /// The departure of this client.
    pub fn of(client: Presence) -> Self {
        Departure { client, recheck: None }
    }

    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.client.0.borrow().poll_read_ready(cx).map(|_| ()) // an error is found by looking
    }
}

impl Future for Departure {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(recheck) = &mut self.recheck {
                ready!(recheck.as_mut().poll(cx));
                self.recheck = None;
            }
            ready!(self.poll_readable(cx));
            if self.client.has_left() {
                return Poll::Ready(());
            }
            // What the server does not read keeps the connection readable.
            self.recheck = Some(Box::pin(sleep(RECHECK_INTERVAL)));
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
