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
                return Ok(self.relay_from(call, running, attempts, Passage::of_bytes(), read.freeze()));
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
        let mut passage = Passage::of_events(call);
        loop {
            let next = timeout_at(
                call.outgoing.deadline,
                next_bytes(running.response_started.response.body_mut()),
            )
            .await;
            match next {
                Ok(Some(Ok(bytes))) => {
                    if let Some(ready) = passage.ready(bytes) {
                        return Ok(self.relay_from(call, running, attempts, passage, ready));
                    }
                }
                Ok(None) if !passage.is_cut(&running) => {
                    let head = reply_head(&running);
                    self.end_stream(call, running);
                    return Ok(head.map(|()| whole(passage.rest())));
                }
                Ok(None | Some(Err(BodyAborted))) | Err(_) => {
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
        passage: Passage,
        first: Bytes,
    ) -> Reply {
        running.counted.answers(call.prompt);
        let (sender, body) = stream();
        let reply = reply_head(&running).map(|()| Either::Right(body));
        let _ = sender.try_send(first); // there is room for the first one
        spawn_local(self.relay(call.clone(), running, attempts.clone(), passage, sender));
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
        passage: Passage,
        sender: StreamSender,
    ) {
        let followed = tokio::select! {
            followed = self.follow(&call, running, attempts, passage, &sender) => followed,
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
        mut passage: Passage,
        sender: &StreamSender,
    ) -> Result<(), TruncatedResponse> {
        loop {
            match self.relay_one(call, &mut running, &mut attempts, &mut passage, sender).await {
                Ok(()) => {
                    self.end_stream(call, running);
                    return Ok(());
                }
                Err(outcome) => running.counted.outcome = outcome,
            }
            self.connections.close_idle(running.counted.key);
            drop(running);
            running = self.resume(call, &mut attempts, &mut passage).await.ok_or(TruncatedResponse)?;
        }
    }

    /// Another endpoint that goes on with a stream after its last whole event.
    async fn resume(
        &self,
        call: &Call,
        attempts: &mut AttemptState,
        passage: &mut Passage,
    ) -> Option<Running> {
        attempts.may_have_run = true;
        let last = HeaderValue::from_str(passage.resumes_after()?).ok()?;
        if !self.may_retry(call, attempts) {
            return None;
        }
        passage.events.resume();
        let running = self.begin(call, attempts, Some(&last)).await.ok()?;
        running.response_started.response.status().is_success().then_some(running)
    }

    /// Passes on what comes from one endpoint; how it ended if it did not end well.
    async fn relay_one(
        &self,
        call: &Call,
        running: &mut Running,
        attempts: &mut AttemptState,
        passage: &mut Passage,
        sender: &StreamSender,
    ) -> Result<(), Outcome> {
        while let Some(bytes) = self.next_of_stream(call, running, attempts, passage).await? {
            running.counted.answers(None); // where another endpoint goes on with a stream
            let ready = passage.ready(bytes);
            if passage.events.starts_over() {
                return Err(Outcome::Reset);
            }
            if let Some(ready) = ready {
                send_in_time(call, sender, ready).await?;
            }
        }
        if passage.is_cut(running) {
            return Err(Outcome::Reset);
        }
        // Whatever is no whole event, it is what the endpoint ended its answer with.
        match passage.rest() {
            rest if rest.is_empty() => Ok(()),
            rest => send_in_time(call, sender, rest).await,
        }
    }

    /// The next bytes of a stream. One that pauses for too long speaks against its endpoint, and goes on elsewhere then
    /// where it may; else it is waited for, since silence alone is no end.
    async fn next_of_stream(
        &self,
        call: &Call,
        running: &mut Running,
        attempts: &mut AttemptState,
        passage: &Passage,
    ) -> Result<Option<Bytes>, Outcome> {
        let (body, key) = (running.response_started.response.body_mut(), running.counted.key);
        let next = match timeout_at(call.outgoing.deadline, timeout(call.silent_after, next_bytes(body)))
            .await
        {
            // It was still at work when the time was up, which says nothing against it.
            Err(_) => return Err(Outcome::Cancelled),
            Ok(Ok(next)) => next,
            Ok(Err(_)) => {
                self.state.silent(key);
                attempts.retry_acquired =
                    passage.resumes_after().is_some() && self.may_retry(call, attempts);
                if attempts.retry_acquired {
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

/// How a body is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unit {
    /// As it comes, whatever it is.
    Bytes,
    /// As it comes, in events.
    Events,
    /// In whole events, so that another endpoint can go on behind each.
    WholeEvents,
}

/// A body on its way to the client.
struct Passage {
    unit: Unit,
    events: EventTracker,
}

impl Passage {
    fn of_bytes() -> Self {
        Passage { unit: Unit::Bytes, events: EventTracker::default() }
    }

    fn of_events(call: &Call) -> Self {
        let unit = if call.resumable { Unit::WholeEvents } else { Unit::Events };
        Passage { unit, events: EventTracker::default() }
    }

    /// What may go on to the client now.
    fn ready(&mut self, bytes: Bytes) -> Option<Bytes> {
        match self.unit {
            Unit::Bytes => {}
            Unit::Events => self.events.pass(&bytes),
            Unit::WholeEvents => return self.events.take(&bytes).map(Bytes::from),
        }
        Some(bytes)
    }

    /// What was held back.
    fn rest(&self) -> Bytes {
        Bytes::copy_from_slice(self.events.partial())
    }

    /// The event behind which another endpoint could go on.
    fn resumes_after(&self) -> Option<&str> {
        self.events.last_id().filter(|_| self.unit == Unit::WholeEvents)
    }

    /// Whether an answer that has ended was cut: without a length its connection's end tells nothing, and no stream ends
    /// within an event.
    fn is_cut(&self, running: &Running) -> bool {
        running.response_started.ends_with_connection && self.events.is_within_event()
    }
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
