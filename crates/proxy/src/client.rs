//! Client connections, and detection of clients that disconnect.

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

/// A client's connection, for the HTTP server that reads and writes it.
pub struct ClientStream(Rc<RefCell<TcpStream>>);

/// Checks whether the client of a connection is still connected.
#[derive(Clone)]
pub struct ClientMonitor(Rc<RefCell<TcpStream>>);

/// Splits a connection into the stream for the HTTP server and the monitor that detects the client's disconnect.
pub fn client_stream(stream: TcpStream) -> (ClientStream, ClientMonitor) {
    let shared = Rc::new(RefCell::new(stream));
    (ClientStream(shared.clone()), ClientMonitor(shared))
}

impl ClientMonitor {
    /// Whether the client has closed or reset its connection, as reported by the kernel. The HTTP server may not have
    /// noticed yet, in particular after a pause of the process.
    pub fn is_disconnected(&self) -> bool {
        let stream = self.0.borrow();
        match SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Interval at which a connection with bytes that the HTTP server has not read yet is checked for a disconnect.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Completes once a client has disconnected, even if the client has sent bytes after its request: with such bytes
/// buffered, the HTTP server does not watch the connection. Must be polled by the task that serves the connection,
/// since a socket has only one waker for reading.
pub struct ClientDisconnect {
    client: ClientMonitor,
    recheck: Option<Pin<Box<Sleep>>>,
}

impl ClientDisconnect {
    /// Waits for the disconnect of this client.
    pub fn of(client: ClientMonitor) -> Self {
        ClientDisconnect { client, recheck: None }
    }

    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.client.0.borrow().poll_read_ready(cx).map(|_| ()) // `is_disconnected` reports errors
    }
}

impl Future for ClientDisconnect {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(recheck) = &mut self.recheck {
                ready!(recheck.as_mut().poll(cx));
                self.recheck = None;
            }
            ready!(self.poll_readable(cx));
            if self.client.is_disconnected() {
                return Poll::Ready(());
            }
            // Bytes that the HTTP server does not read keep the connection readable, so it is checked periodically.
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
