//! Accepts TCP connections up to a maximum number of open ones.

use futures_core::Stream;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Sleep, sleep};
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Delay after a failed accept. Without it, an accept that fails for lack of file descriptors would be repeated in a
/// busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A stream of accepted connections. Connections beyond the limit are closed at once, so that clients which hold
/// connections open can't exhaust the process's file descriptors and memory.
pub struct Incoming {
    listener: TcpListener,
    free: Arc<Semaphore>,
    pause: Option<Pin<Box<Sleep>>>,
}

impl Incoming {
    /// Allows at most `connections` open connections.
    pub fn new(listener: TcpListener, connections: usize) -> Self {
        let max = connections.min(Semaphore::MAX_PERMITS);
        Incoming { listener, free: Arc::new(Semaphore::new(max)), pause: None }
    }
}

impl Stream for Incoming {
    type Item = io::Result<LimitedConnection>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(context));
                self.pause = None;
            }
            let stream = match ready!(self.listener.poll_accept(context)) {
                Ok((stream, _)) => stream,
                Err(problem) => {
                    eprintln!("accept: {problem}");
                    self.pause = Some(Box::pin(sleep(ACCEPT_RETRY_DELAY)));
                    continue;
                }
            };
            let Ok(permit) = self.free.clone().try_acquire_owned() else { continue };
            // A drain is one small response; Nagle's algorithm would delay it.
            if stream.set_nodelay(true).is_ok() {
                return Poll::Ready(Some(Ok(LimitedConnection { stream, _permit: permit })));
            }
        }
    }
}

/// A connection that counts towards the limit until it is dropped.
pub struct LimitedConnection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl Connected for LimitedConnection {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for LimitedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LimitedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
