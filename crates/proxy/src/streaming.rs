//! Answers on their way back: whole ones, and streams from their first bytes to their end, over several endpoints if
//! need be.

use crate::events::EventTracker;
use crate::forward::{AttemptState, Call, Forwarder, Reply, Running, TruncatedResponse};
use crate::headers::{closes, keep_alive, remove_hop_headers};
use crate::pool::{Connection, Reuse};
use crate::relay::{BodyAborted, StreamSender, next_bytes, stream, whole};
use bytes::{Bytes, BytesMut};
use http_body_util::Either;
use hyper::Response;
use hyper::header::{HeaderMap, HeaderValue};
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at};
use weirwharf::{EndpointId, Outcome};

/// Bytes of an answer that is read whole before any of it goes on; a longer one goes on as it comes.
const MAX_WHOLE: usize = 256 << 10;

impl Forwarder {
    /// Reads an answer whole before it goes on, so that one that breaks off can be asked for again or fails cleanly.
    pub(crate) async fn pass_on_whole(
        self: Rc<Self>,
        call: &Rc<Call>,
        mut running: Running,
        attempts: &AttemptState,
    ) -> Result<Reply, TruncatedResponse> {
        let mut read = BytesMut::new();
        loop {
            let next = timeout_at(
                call.outgoing.deadline,
                next_bytes(running.response_started.response.body_mut()),
            )
            .await;
            match next {
                Ok(Some(Ok(bytes))) => read.extend_from_slice(&bytes),
                Ok(None) => break,
                Ok(Some(Err(BodyAborted))) => {
                    running.counted.outcome = Outcome::Reset;
                    return Err(TruncatedResponse);
                }
                Err(_) => {
                    running.counted.outcome = Outcome::TimedOut;
                    return Err(TruncatedResponse);
                }
            }
            if read.len() > MAX_WHOLE {
                return Ok(self.relay_from(
                    call,
                    running,
                    attempts,
                    EventTracker::default(),
                    read.freeze(),
                ));
            }
        }
        let head = reply_head(&running);
        let failed = running.response_started.response.status().is_server_error();
        running.counted.outcome = if failed { Outcome::Error } else { Outcome::Ok };
        let headers = std::mem::take(running.response_started.response.headers_mut());
        self.keep(call, running.counted.key, running.response_started.connection, &headers);
        Ok(head.map(|()| whole(read.freeze())))
    }

    fn keep(&self, call: &Call, key: EndpointId, connection: Connection, headers: &HeaderMap) {
        if !closes(headers) && call.outgoing.reuse() != Reuse::None {
            self.connections.put_back(key, connection, keep_alive(headers));
        }
    }

    /// Passes a stream on from its first bytes. Before these its head is held back: a stream that breaks before its
    /// first event can fail as a whole, or be asked for elsewhere.
    pub(crate) async fn pass_on_stream(
        self: Rc<Self>,
        call: &Rc<Call>,
        mut running: Running,
        attempts: &AttemptState,
    ) -> Result<Reply, TruncatedResponse> {
        let mut events = EventTracker::default();
        loop {
            let next = timeout_at(
                call.outgoing.deadline,
                next_bytes(running.response_started.response.body_mut()),
            )
            .await;
            match next {
                Ok(Some(Ok(bytes))) => {
                    if let Some(ready) = ready_bytes(call, &mut events, bytes) {
                        return Ok(self.relay_from(call, running, attempts, events, ready));
                    }
                }
                Ok(None) => {
                    let head = reply_head(&running);
                    self.end_stream(call, running);
                    return Ok(head.map(|()| whole(Bytes::new())));
                }
                Ok(Some(Err(BodyAborted))) | Err(_) => {
                    running.counted.outcome = Outcome::Reset;
                    return Err(TruncatedResponse);
                }
            }
        }
    }

    fn relay_from(
        self: Rc<Self>,
        call: &Rc<Call>,
        mut running: Running,
        attempts: &AttemptState,
        events: EventTracker,
        first: Bytes,
    ) -> Reply {
        running.counted.answers(call.prompt);
        let (sender, body) = stream();
        let reply = reply_head(&running).map(|()| Either::Right(body));
        let _ = sender.try_send(first); // there is room for the first one
        spawn_local(self.relay(call.clone(), running, attempts.clone(), events, sender));
        reply
    }

    fn end_stream(&self, call: &Call, mut running: Running) {
        running.counted.outcome = Outcome::Ok;
        let headers = std::mem::take(running.response_started.response.headers_mut());
        self.keep(call, running.counted.key, running.response_started.connection, &headers);
    }

    /// Passes a stream on to its end, for as long as its client is there.
    async fn relay(
        self: Rc<Self>,
        call: Rc<Call>,
        running: Running,
        attempts: AttemptState,
        events: EventTracker,
        sender: StreamSender,
    ) {
        let followed = tokio::select! {
            followed = self.follow(&call, running, attempts, events, &sender) => followed,
            () = sender.closed() => return, // the client has gone, and with this the endpoint's connection
        };
        if followed.is_ok() {
            sender.finish();
        }
    }

    /// Passes a stream on over several endpoints if need be; whether it came to its end.
    async fn follow(
        &self,
        call: &Call,
        mut running: Running,
        mut attempts: AttemptState,
        mut events: EventTracker,
        sender: &StreamSender,
    ) -> Result<(), TruncatedResponse> {
        loop {
            match self.relay_one(call, &mut running, &mut events, sender).await {
                Ok(()) => {
                    self.end_stream(call, running);
                    return Ok(());
                }
                Err(outcome) => running.counted.outcome = outcome,
            }
            self.connections.close_idle(running.counted.key);
            drop(running);
            running = self.resume(call, &mut attempts, &mut events).await.ok_or(TruncatedResponse)?;
        }
    }

    /// Another endpoint that goes on with a stream after its last whole event.
    async fn resume(
        &self,
        call: &Call,
        attempts: &mut AttemptState,
        events: &mut EventTracker,
    ) -> Option<Running> {
        attempts.may_have_run = true;
        if !call.resumable || !self.may_retry(call, attempts) {
            return None;
        }
        let last = HeaderValue::from_str(events.last_id()?).ok()?;
        events.drop_partial();
        let running = self.begin(call, attempts, Some(&last)).await.ok()?;
        running.response_started.response.status().is_success().then_some(running)
    }

    /// Passes on what comes from one endpoint; how it ended if it did not end well.
    async fn relay_one(
        &self,
        call: &Call,
        running: &mut Running,
        events: &mut EventTracker,
        sender: &StreamSender,
    ) -> Result<(), Outcome> {
        loop {
            let bytes = match self.next_of_stream(call, running).await? {
                None => break,
                Some(bytes) => bytes,
            };
            running.counted.answers(None); // where another endpoint goes on with a stream
            if let Some(ready) = ready_bytes(call, events, bytes) {
                send_in_time(call, sender, ready).await?;
            }
        }
        // Whatever is no whole event, it is what the endpoint ended its answer with.
        match events.partial() {
            [] => Ok(()),
            rest => send_in_time(call, sender, Bytes::copy_from_slice(rest)).await,
        }
    }

    /// The next bytes of a stream. One that pauses for too long speaks against its endpoint, and a stream that may be
    /// resumed goes on elsewhere then.
    async fn next_of_stream(&self, call: &Call, running: &mut Running) -> Result<Option<Bytes>, Outcome> {
        let (body, key) = (running.response_started.response.body_mut(), running.counted.key);
        let next = match timeout_at(call.outgoing.deadline, timeout(call.silent_after, next_bytes(body)))
            .await
        {
            // It was still at work when the time was up, which says nothing against it.
            Err(_) => return Err(Outcome::Cancelled),
            Ok(Ok(next)) => next,
            Ok(Err(_)) => {
                self.state.silent(key);
                if call.resumable {
                    return Err(Outcome::TimedOut);
                }
                timeout_at(call.outgoing.deadline, next_bytes(body)).await.map_err(|_| Outcome::TimedOut)?
            }
        };
        match next {
            None => Ok(None),
            Some(Ok(bytes)) => Ok(Some(bytes)),
            Some(Err(BodyAborted)) => Err(Outcome::Reset),
        }
    }
}

/// Hands bytes on to a client that may read slowly, until the time of its request is up.
async fn send_in_time(call: &Call, sender: &StreamSender, bytes: Bytes) -> Result<(), Outcome> {
    let sent = timeout_at(call.outgoing.deadline, sender.send(bytes)).await;
    sent.ok().and_then(Result::ok).ok_or(Outcome::Cancelled)
}

/// What may go on to the client: of a stream that may be resumed only whole events.
fn ready_bytes(call: &Call, events: &mut EventTracker, bytes: Bytes) -> Option<Bytes> {
    if call.resumable { events.take(&bytes).map(Bytes::from) } else { Some(bytes) }
}

/// Status and headers of an answer, without what concerns its connection only.
fn reply_head(running: &Running) -> Response<()> {
    let response = &running.response_started.response;
    let mut head = Response::new(());
    *head.status_mut() = response.status();
    *head.headers_mut() = response.headers().clone();
    remove_hop_headers(head.headers_mut());
    head
}
