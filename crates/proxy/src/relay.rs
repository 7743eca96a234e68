//! Bodies of answers on their way to the client.

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
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

/// What a stream's bytes are put into.
pub type StreamSender = Sender<Result<Bytes, BodyAborted>>;

/// A stream that is being relayed.
pub struct Stream(Receiver<Result<Bytes, BodyAborted>>);

/// A stream, and where its bytes go in. Dropping the sender ends the body as whole.
pub fn stream() -> (StreamSender, Stream) {
    let (sender, receiver) = channel(FRAMES);
    (sender, Stream(receiver))
}

impl Body for Stream {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        self.0.poll_recv(cx).map(|next| next.map(|bytes| bytes.map(Frame::data)))
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
