//! The transport below hyper's connections. It records what hyper doesn't expose: when input arrived, whether more
//! may be unread, and whether a write was refused because its deadline had passed.

use runtrack_net::{Connection, PeekStatus, mutant};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, timeout};

/// State of a connection, shared by the hyper transport and the code that uses the connection.
pub struct SocketState {
    stream: RefCell<Box<dyn Connection>>,
    /// The last read returned bytes, so that more may be unread.
    may_have_more: Cell<bool>,
    /// Arrival of the first byte since `clear_first_byte`.
    first_byte_at: Cell<Option<Instant>>,
    /// No write is accepted from this time on.
    write_deadline: Cell<Option<Instant>>,
    /// A write was refused because its deadline had passed.
    write_refused: Cell<bool>,
}

/// The transport handed to hyper.
pub struct Socket(Rc<SocketState>);

impl Socket {
    /// Wraps a connection; returns the transport and its shared state.
    pub fn new(stream: Box<dyn Connection>) -> (Self, Rc<SocketState>) {
        let (may_have_more, first_byte_at, write_deadline, write_refused) = Default::default();
        let state = Rc::new(SocketState {
            stream: RefCell::new(stream),
            may_have_more,
            first_byte_at,
            write_deadline,
            write_refused,
        });
        (Socket(state.clone()), state)
    }
}

impl SocketState {
    /// Whether hyper may still hold unprocessed input: it polls the socket again only after it has consumed all
    /// bytes of its last read.
    pub fn may_have_more(&self) -> bool {
        self.may_have_more.get()
    }

    /// Arrival of the first byte since `clear_first_byte`.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.first_byte_at.get()
    }

    /// Clears the arrival time, before the next message.
    pub fn clear_first_byte(&self) {
        self.first_byte_at.set(None);
    }

    /// Sets the time from which writes are refused. It is checked at each write, since the process may be stopped
    /// or lack processor time between its decision to write and the write itself.
    pub fn set_write_deadline(&self, by: Option<Instant>) {
        self.write_deadline.set(by);
        self.write_refused.set(false);
    }

    /// Whether a write was refused since the deadline was set.
    pub fn write_refused(&self) -> bool {
        self.write_refused.get()
    }

    fn check_write_deadline(&self) -> io::Result<()> {
        if self.write_deadline.get().is_none_or(|by| Instant::now() < by)
            || mutant("window-not-checked-at-write")
        {
            return Ok(());
        }
        self.write_refused.set(true);
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Lingering close (RFC 9112 section 9.6): shuts down the write side, then reads and discards input until the
    /// peer closes, at most for `limit` and up to `max_bytes`. Closing with unread input would reset the
    /// connection and discard data that the peer has not read yet.
    pub async fn linger(&self, limit: Duration, mut max_bytes: usize) {
        let mut scratch = [0; 4096];
        let drained = poll_fn(|cx| {
            let mut stream = self.stream.borrow_mut();
            // A repeated shutdown is harmless, and it may fail because the peer has closed.
            let _ = ready!(Pin::new(&mut *stream).poll_shutdown(cx));
            loop {
                let mut buffer = ReadBuf::new(&mut scratch);
                let read = ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer));
                let count = buffer.filled().len();
                if read.is_err() || count == 0 || count >= max_bytes {
                    return Poll::Ready(());
                }
                max_bytes -= count;
            }
        });
        let _ = timeout(limit, drained).await;
    }

    /// What the kernel holds unread for this connection.
    pub fn peek_status(&self) -> PeekStatus {
        self.stream.borrow().peek_status()
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let state = &self.0;
        let before = buf.filled().len();
        let read = Pin::new(&mut *state.stream.borrow_mut()).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Err(_))) && mutant("reset-taken-as-eof") {
            return Poll::Ready(Ok(()));
        }
        let received = matches!(read, Poll::Ready(Ok(()))) && buf.filled().len() > before;
        if matches!(read, Poll::Ready(Ok(()))) && !received && mutant("end-unheard") {
            return Poll::Pending;
        }
        state.may_have_more.set(received);
        if received && state.first_byte_at.get().is_none() {
            state.first_byte_at.set(Some(Instant::now()));
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.0.check_write_deadline()?;
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.check_write_deadline()?;
        let mut stream = self.0.stream.borrow_mut();
        if mutant("answered-twice") && parts[0].starts_with(b"HTTP/1.1 5") {
            let _ = Pin::new(&mut *stream).poll_write_vectored(cx, parts);
        }
        Pin::new(&mut *stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}
