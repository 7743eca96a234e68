//! Passes streams on, resuming them at other endpoints if necessary.

use crate::forward::{Forwarder, Reply};
use crate::in_flight::ActiveResponse;
use crate::passage::Passage;
use crate::relay::{BodyAborted, StreamSender, next_bytes, stream, whole};
use crate::routed::{AttemptState, RoutedRequest, TruncatedResponse};
use crate::whole::reply_head;
use bytes::Bytes;
use http_body_util::Either;
use hyper::header::HeaderValue;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at};
use weirwharf::Outcome;

impl Forwarder {
    /// Passes a stream on from its first bytes. Its head is held back until then: a stream that ends before its first
    /// event can still fail as a whole or be retried.
    pub(crate) async fn pass_on_stream(
        self: Rc<Self>,
        request: &Rc<RoutedRequest>,
        mut active: ActiveResponse,
        attempts: &AttemptState,
    ) -> Result<Reply, TruncatedResponse> {
        let mut passage = Passage::of_events(request);
        while let Some(bytes) = self.next_in_time(request, &mut active).await? {
            if let Some(ready) = passage.ready(bytes) {
                return Ok(self.relay_from(request, active, attempts, passage, ready));
            }
        }
        if passage.is_cut(&active) {
            active.in_flight.outcome = Outcome::Reset;
            return Err(TruncatedResponse);
        }
        let head = reply_head(&active);
        self.finish(request, active, Outcome::Ok);
        Ok(head.map(|()| whole(passage.rest())))
    }

    /// Passes a response on as it is received, starting with the bytes `first`.
    pub(crate) fn relay_from(
        self: Rc<Self>,
        request: &Rc<RoutedRequest>,
        mut active: ActiveResponse,
        attempts: &AttemptState,
        passage: Passage,
        first: Bytes,
    ) -> Reply {
        active.in_flight.on_response_started();
        let (sender, body) = stream();
        let reply = reply_head(&active).map(|()| Either::Right(body));
        let _ = sender.try_send(first); // there is room for the first one
        spawn_local(self.relay(request.clone(), active, attempts.clone(), passage, sender));
        reply
    }

    /// Passes a stream on to its end, for as long as its client is connected.
    async fn relay(
        self: Rc<Self>,
        request: Rc<RoutedRequest>,
        active: ActiveResponse,
        attempts: AttemptState,
        passage: Passage,
        sender: StreamSender,
    ) {
        let followed = tokio::select! {
            followed = self.follow(&request, active, attempts, passage, &sender) => followed,
            () = sender.closed() => return, // the client has gone, and with this the endpoint's connection
        };
        if followed.is_ok() {
            sender.finish();
        }
    }

    /// Passes a stream on, resuming it at other endpoints if necessary; fails if it did not reach its end.
    async fn follow(
        &self,
        request: &RoutedRequest,
        mut active: ActiveResponse,
        mut attempts: AttemptState,
        mut passage: Passage,
        sender: &StreamSender,
    ) -> Result<(), TruncatedResponse> {
        loop {
            match self.relay_one(request, &mut active, &mut attempts, &mut passage, sender).await {
                Ok(()) => {
                    self.finish(request, active, Outcome::Ok);
                    return Ok(());
                }
                Err(outcome) => active.in_flight.outcome = outcome,
            }
            self.connections.close_idle(active.in_flight.key);
            drop(active);
            active = self.resume(request, &mut attempts, &mut passage).await.ok_or(TruncatedResponse)?;
        }
    }

    /// Resumes a stream at another endpoint, behind the last whole event that was passed on.
    async fn resume(
        &self,
        request: &RoutedRequest,
        attempts: &mut AttemptState,
        passage: &mut Passage,
    ) -> Option<ActiveResponse> {
        attempts.may_have_run = true;
        let last = HeaderValue::from_str(passage.resumes_after()?).ok()?;
        if !self.may_retry(request, attempts) {
            return None;
        }
        passage.events.resume();
        let active = self.begin(request, attempts, Some(&last)).await.ok()?;
        active.started.response.status().is_success().then_some(active)
    }

    /// Passes on what one endpoint sends; an error is the outcome of the attempt.
    async fn relay_one(
        &self,
        request: &RoutedRequest,
        active: &mut ActiveResponse,
        attempts: &mut AttemptState,
        passage: &mut Passage,
        sender: &StreamSender,
    ) -> Result<(), Outcome> {
        while let Some(bytes) = self.next_of_stream(request, active, attempts, passage).await? {
            active.in_flight.on_response_started(); // where another endpoint goes on with a stream
            let ready = passage.ready(bytes);
            if passage.events.starts_over() {
                return Err(Outcome::Reset);
            }
            if let Some(ready) = ready {
                send_in_time(request, sender, ready).await?;
            }
        }
        if passage.is_cut(active) {
            return Err(Outcome::Reset);
        }
        // The endpoint ended its response with this, even if it is no whole event.
        match passage.rest() {
            rest if rest.is_empty() => Ok(()),
            rest => send_in_time(request, sender, rest).await,
        }
    }

    /// The next bytes of a stream; none at its end. One that pauses for too long counts against its endpoint, and is
    /// resumed at another one if that is allowed; otherwise it is waited for until the deadline.
    async fn next_of_stream(
        &self,
        request: &RoutedRequest,
        active: &mut ActiveResponse,
        attempts: &mut AttemptState,
        passage: &Passage,
    ) -> Result<Option<Bytes>, Outcome> {
        let (deadline, key) = (request.outgoing.deadline, active.in_flight.key);
        let body = active.started.response.body_mut();
        let next = match timeout_at(deadline, timeout(request.silent_after, next_bytes(body))).await {
            // The endpoint was still at work at the deadline, which does not count against it.
            Err(_) => return Err(Outcome::Cancelled),
            Ok(Ok(next)) => next,
            Ok(Err(_)) => {
                self.state.on_silence(key);
                attempts.retry_acquired =
                    passage.resumes_after().is_some() && self.may_retry(request, attempts);
                if attempts.retry_acquired {
                    return Err(Outcome::TimedOut);
                }
                timeout_at(deadline, next_bytes(body)).await.map_err(|_| Outcome::TimedOut)?
            }
        };
        match next {
            None => Ok(None),
            Some(Ok(bytes)) => Ok(Some(bytes)),
            Some(Err(BodyAborted)) => Err(Outcome::Reset),
        }
    }
}

/// Sends bytes to a client, which may read slowly, until the deadline of its request.
async fn send_in_time(request: &RoutedRequest, sender: &StreamSender, bytes: Bytes) -> Result<(), Outcome> {
    let sent = timeout_at(request.outgoing.deadline, sender.send(bytes)).await;
    sent.ok().and_then(Result::ok).ok_or(Outcome::Cancelled)
}
