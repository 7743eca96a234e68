//! Bodies of responses to clients.

use crate::client::{ClientDisconnect, ClientMonitor};
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, SizeHint};
use runtrack_net::mutant;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Maximum number of frames buffered for a client that reads slowly; beyond it the endpoint is no longer read from.
const MAX_BUFFERED_FRAMES: usize = 8;

/// The response was truncated: its connection ended before the end of the body.
#[derive(Clone, Copy, Debug)]
pub struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response was truncated")
    }
}

impl std::error::Error for BodyAborted {}

/// The client has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientDisconnected;

/// The sending half of a streamed body. Dropping it without [`StreamSender::finish`] aborts the body, so that the
/// client sees it as truncated.
pub struct StreamSender {
    bytes: Sender<Bytes>,
    finished: Rc<Cell<bool>>,
}

impl StreamSender {
    /// Sends bytes; waits while the buffer is full. Fails if the client has disconnected.
    pub async fn send(&self, bytes: Bytes) -> Result<(), ClientDisconnected> {
        self.bytes.send(bytes).await.map_err(|_| ClientDisconnected)
    }

    /// Sends bytes without waiting. Fails if the buffer is full or the client has disconnected.
    pub fn try_send(&self, bytes: Bytes) -> Result<(), ClientDisconnected> {
        self.bytes.try_send(bytes).map_err(|_| ClientDisconnected)
    }

    /// Waits until the client has disconnected.
    pub async fn closed(&self) {
        self.bytes.closed().await;
    }

    /// Ends the body: all of it has been sent.
    pub fn finish(self) {
        self.finished.set(true);
    }
}

/// The receiving half of a streamed body, for the server.
pub struct Stream {
    bytes: Receiver<Bytes>,
    finished: Rc<Cell<bool>>,
    disconnect: Option<Pin<Box<ClientDisconnect>>>,
}

impl Stream {
    /// Aborts the body once this client has disconnected.
    pub(crate) fn until_disconnect_of(mut self, client: ClientMonitor) -> Self {
        self.disconnect = Some(Box::pin(ClientDisconnect::of(client)));
        self
    }

    fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match &mut self.disconnect {
            Some(disconnect) => disconnect.as_mut().poll(cx),
            None => Poll::Pending,
        }
    }
}

/// A streamed body and its sending half.
pub fn stream() -> (StreamSender, Stream) {
    let (sender, receiver) = channel(MAX_BUFFERED_FRAMES);
    let finished = Rc::new(Cell::new(false));
    let stream = Stream { bytes: receiver, finished: finished.clone(), disconnect: None };
    (StreamSender { bytes: sender, finished }, stream)
}

impl Body for Stream {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let Poll::Ready(next) = self.bytes.poll_recv(cx) else {
            return self.poll_disconnect(cx).map(|()| Some(Err(BodyAborted)));
        };
        Poll::Ready(match next {
            Some(bytes) => Some(Ok(Frame::data(bytes))),
            None if self.finished.get() || mutant("proxy_ends_dropped_body") => None,
            None => Some(Err(BodyAborted)),
        })
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// The body of a response to a client.
pub type ReplyBody = Either<Full<Bytes>, Stream>;

/// A body whose bytes are all known.
pub fn full_body(bytes: Bytes) -> ReplyBody {
    Either::Left(Full::new(bytes))
}

/// The next bytes of a body: `None` at its end, an error if it is truncated.
pub async fn next_bytes(body: &mut hyper::body::Incoming) -> Option<Result<Bytes, BodyAborted>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(bytes) if bytes.is_empty() => {}
                Ok(bytes) => return Some(Ok(bytes)),
                Err(_) => {} // trailers are not forwarded
            },
            Err(_) => return Some(Err(BodyAborted)),
        }
    }
}
