//! A TCP connection that notes what comes in, under hyper, which keeps that to itself.

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

/// What has come in, for who uses the connection.
pub struct Heard {
    stream: RefCell<Box<dyn Connection>>,
    /// The last look found bytes: more may lie unread between here and the reader.
    more: Cell<bool>,
    /// When the first byte came since `forget`.
    began: Cell<Option<Instant>>,
    /// Nothing is written from then on.
    write_by: Cell<Option<Instant>>,
    /// Something would have been written too late.
    refused: Cell<bool>,
}

/// The connection itself, for hyper.
pub struct Socket(Rc<Heard>);

impl Socket {
    /// This connection, and what it notes.
    pub fn new(stream: Box<dyn Connection>) -> (Self, Rc<Heard>) {
        let (more, began, write_by, refused) = Default::default();
        let heard = Rc::new(Heard { stream: RefCell::new(stream), more, began, write_by, refused });
        (Socket(heard.clone()), heard)
    }
}

impl Heard {
    /// Whether bytes came that hyper has not gone beyond: it looks at the socket again only once it
    /// has used up what it had.
    pub fn more(&self) -> bool {
        self.more.get()
    }

    /// When the first byte came since all was forgotten.
    pub fn began(&self) -> Option<Instant> {
        self.began.get()
    }

    /// Begins anew.
    pub fn forget(&self) {
        self.began.set(None);
    }

    /// Lets nothing be written from this time on: asked at each write, since a process may be stopped, or be
    /// without a processor, between its decision to write and the write itself.
    pub fn write_by(&self, by: Option<Instant>) {
        self.write_by.set(by);
        self.refused.set(false);
    }

    /// Whether something was not written because it would have been too late.
    pub fn refused(&self) -> bool {
        self.refused.get()
    }

    fn may_write(&self) -> io::Result<()> {
        if self.write_by.get().is_none_or(|by| Instant::now() < by) || mutant("window-unasked") {
            return Ok(());
        }
        self.refused.set(true);
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Ends this side and reads on, for so long and so much at most, until the other side has ended too (lingering
    /// close, RFC 9112 section 9.6): a close over unread bytes resets the connection, and takes along what the other
    /// side has not read yet. What comes is thrown away.
    pub async fn linger(&self, time: Duration, mut most: usize) {
        let mut scratch = [0; 4096];
        let end = poll_fn(|cx| {
            let mut stream = self.stream.borrow_mut();
            // Again where it is done already, which does no harm; the way back may be gone altogether.
            let _ = ready!(Pin::new(&mut *stream).poll_shutdown(cx));
            loop {
                let mut buffer = ReadBuf::new(&mut scratch);
                let read = ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer));
                let count = buffer.filled().len();
                if read.is_err() || count == 0 || count >= most {
                    return Poll::Ready(());
                }
                most -= count;
            }
        });
        let _ = timeout(time, end).await;
    }

    /// What this machine holds unread.
    pub fn came(&self) -> PeekStatus {
        self.stream.borrow().peek_status()
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let heard = &self.0;
        let before = buf.filled().len();
        let read = Pin::new(&mut *heard.stream.borrow_mut()).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Err(_))) && mutant("reset-ends") {
            return Poll::Ready(Ok(()));
        }
        let came = matches!(read, Poll::Ready(Ok(()))) && buf.filled().len() > before;
        if matches!(read, Poll::Ready(Ok(()))) && !came && mutant("end-unheard") {
            return Poll::Pending;
        }
        heard.more.set(came);
        if came && heard.began.get().is_none() {
            heard.began.set(Some(Instant::now()));
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.0.may_write()?;
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.may_write()?;
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
