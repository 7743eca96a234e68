//! A stream that delivers its bytes after a delay.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

const CHUNK: usize = 16 << 10;

/// Wraps a stream; bytes become readable `latency` after they arrived.
pub struct DelayedStream<S> {
    stream: S,
    latency: Duration,
    /// Chunks in flight with their delivery times; an empty chunk marks the end of the stream.
    in_flight: VecDeque<(Instant, Vec<u8>)>,
    ended: bool,
    arrival: Pin<Box<Sleep>>,
}

impl<S: AsyncRead + Unpin> DelayedStream<S> {
    /// Delays the bytes read from a stream by `latency`.
    pub fn new(stream: S, latency: Duration) -> Self {
        DelayedStream {
            stream,
            latency,
            in_flight: VecDeque::new(),
            ended: false,
            arrival: Box::pin(sleep(Duration::ZERO)),
        }
    }

    fn receive(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while !self.ended {
            let mut chunk = [0; CHUNK];
            let mut buffer = ReadBuf::new(&mut chunk);
            let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, &mut buffer) else {
                return Ok(());
            };
            read?;
            self.ended = buffer.filled().is_empty();
            self.in_flight.push_back((Instant::now() + self.latency, buffer.filled().to_vec()));
        }
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for DelayedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.latency.is_zero() {
            return Pin::new(&mut this.stream).poll_read(cx, out);
        }
        this.receive(cx)?;
        let Some((at, bytes)) = this.in_flight.front_mut() else { return Poll::Pending };
        if Instant::now() < *at {
            this.arrival.as_mut().reset(*at);
            ready!(this.arrival.as_mut().poll(cx));
        }
        let count = bytes.len().min(out.remaining());
        out.put_slice(&bytes[..count]);
        bytes.drain(..count);
        if bytes.is_empty() && count > 0 {
            this.in_flight.pop_front();
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for DelayedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
