//! Bodies of answers on their way to the client.

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, SizeHint};
use runtrack_net::mutant;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Frames that wait for a client that reads slowly; the endpoint is held up behind them.
const FRAMES: usize = 8;

/// The answer was cut short: its connection ends without the end of the body.
#[derive(Clone, Copy, Debug)]
pub struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the endpoint's answer was cut short")
    }
}

impl std::error::Error for BodyAborted {}

/// The client has gone, or reads nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientGone;

/// What a stream's bytes are put into. Dropped without [`StreamSender::finish`], by whatever way, it cuts the body short.
pub struct StreamSender {
    bytes: Sender<Bytes>,
    finished: Rc<Cell<bool>>,
}

impl StreamSender {
    /// Hands bytes on; waits while the client has not read what came before.
    pub async fn send(&self, bytes: Bytes) -> Result<(), ClientGone> {
        self.bytes.send(bytes).await.map_err(|_| ClientGone)
    }

    /// Hands bytes on if there is room for them.
    pub fn try_send(&self, bytes: Bytes) -> Result<(), ClientGone> {
        self.bytes.try_send(bytes).map_err(|_| ClientGone)
    }

    /// Waits until the client has gone.
    pub async fn closed(&self) {
        self.bytes.closed().await;
    }

    /// The body is whole with what was handed on.
    pub fn finish(self) {
        self.finished.set(true);
    }
}

/// A stream that is being relayed.
pub struct Stream {
    bytes: Receiver<Bytes>,
    finished: Rc<Cell<bool>>,
}

/// A stream, and where its bytes go in.
pub fn stream() -> (StreamSender, Stream) {
    let (sender, receiver) = channel(FRAMES);
    let finished = Rc::new(Cell::new(false));
    (StreamSender { bytes: sender, finished: finished.clone() }, Stream { bytes: receiver, finished })
}

impl Body for Stream {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let next = std::task::ready!(self.bytes.poll_recv(cx));
        Poll::Ready(match next {
            Some(bytes) => Some(Ok(Frame::data(bytes))),
            None if self.finished.get() || mutant("proxy_drop_is_end") => None,
            None => Some(Err(BodyAborted)),
        })
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// The body of an answer to a client.
pub type ReplyBody = Either<Full<Bytes>, Stream>;

/// A body that is there as a whole.
pub fn whole(bytes: Bytes) -> ReplyBody {
    Either::Left(Full::new(bytes))
}

/// The next bytes of a body: `None` at its end, an error where it breaks off.
pub async fn next_bytes(body: &mut hyper::body::Incoming) -> Option<Result<Bytes, BodyAborted>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(bytes) if bytes.is_empty() => {}
                Ok(bytes) => return Some(Ok(bytes)),
                Err(_) => {} // trailers concern the connection
            },
            Err(_) => return Some(Err(BodyAborted)),
        }
    }
}
