//! Forwards streams, resuming them at other endpoints if necessary.

use crate::complete::reply_head;
use crate::forward::{Forwarder, Reply};
use crate::in_flight::ActiveResponse;
use crate::reply_body::{BodyAborted, StreamSender, full_body, next_bytes, stream};
use crate::response_relay::ResponseRelay;
use crate::retry::{AttemptState, Failure};
use crate::routed::{RoutedRequest, TruncatedResponse};
use bytes::Bytes;
use http_body_util::Either;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use runtrack_balancer::Outcome;
use std::pin::pin;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at};

impl Forwarder {
    /// Forwards a stream from its first bytes. Its head is buffered until then: a stream that ends before its first
    /// event can still fail completely or be retried.
    pub(crate) async fn forward_stream(
        self: Rc<Self>,
        request: &Rc<RoutedRequest>,
        mut active: ActiveResponse,
        attempts: &AttemptState,
    ) -> Result<Reply, TruncatedResponse> {
        let mut relay = ResponseRelay::for_events(request);
        while let Some(bytes) = self.next_in_time(request, &mut active).await? {
            if let Some(ready) = relay.push(bytes) {
                return Ok(self.relay_from(request, active, attempts, relay, ready));
            }
        }
        if relay.is_truncated(&active) {
            active.in_flight.outcome = Outcome::Reset;
            return Err(TruncatedResponse);
        }
        let head = reply_head(&active);
        self.finish(request, active, Outcome::Ok);
        Ok(head.map(|()| full_body(relay.remainder())))
    }

    /// Forwards a response as it is received, starting with the bytes `first`.
    pub(crate) fn relay_from(
        self: Rc<Self>,
        request: &Rc<RoutedRequest>,
        mut active: ActiveResponse,
        attempts: &AttemptState,
        relay: ResponseRelay,
        first: Bytes,
    ) -> Reply {
        active.in_flight.on_response_started();
        let (sender, body) = stream();
        let body = body.until_departure_of(request.outgoing.client.clone());
        let reply = reply_head(&active).map(|()| Either::Right(body));
        let _ = sender.try_send(first); // there is room for the first one
        spawn_local(self.relay_to_end(request.clone(), active, attempts.clone(), relay, sender));
        reply
    }

    /// Forwards a stream to its end, for as long as its client is connected.
    async fn relay_to_end(
        self: Rc<Self>,
        request: Rc<RoutedRequest>,
        active: ActiveResponse,
        attempts: AttemptState,
        relay: ResponseRelay,
        sender: StreamSender,
    ) {
        let followed = tokio::select! {
            followed = self.follow(&request, active, attempts, relay, &sender) => followed,
            () = sender.closed() => return, // the client has gone, and with this the endpoint's connection
        };
        if followed.is_ok() {
            sender.finish();
        }
    }

    /// Forwards a stream, resuming it at other endpoints if necessary; fails if it did not reach its end.
    async fn follow(
        &self,
        request: &RoutedRequest,
        mut active: ActiveResponse,
        mut attempts: AttemptState,
        mut relay: ResponseRelay,
        sender: &StreamSender,
    ) -> Result<(), TruncatedResponse> {
        loop {
            let relayed = self.relay_one(request, &mut active, &mut attempts, &mut relay, sender).await;
            let Err(interruption) = relayed else {
                self.finish(request, active, Outcome::Ok);
                return Ok(());
            };
            self.connections.close_idle(active.in_flight.key);
            active = match interruption {
                Interruption::TakenOver(other) => {
                    active.in_flight.outcome = Outcome::TimedOut;
                    *other
                }
                Interruption::Ended(outcome) => {
                    active.in_flight.outcome = outcome;
                    drop(active);
                    self.resume(request, &mut attempts, &relay).await.ok_or(TruncatedResponse)?
                }
            };
            relay.events.resume();
        }
    }

    /// Asks another endpoint to resume a stream behind the last complete event that was forwarded.
    async fn resume(
        &self,
        request: &RoutedRequest,
        attempts: &mut AttemptState,
        relay: &ResponseRelay,
    ) -> Option<ActiveResponse> {
        let last = HeaderValue::from_str(relay.resumes_after()?).ok()?;
        if !attempts.may_retry(&self.state, request, Failure::BadResponse) {
            return None;
        }
        let active = self.begin(request, attempts, Some(&last)).await.ok()?;
        active.started.response.status().is_success().then_some(active)
    }

    /// Forwards what one endpoint sends, until it ends or is interrupted.
    async fn relay_one(
        &self,
        request: &RoutedRequest,
        active: &mut ActiveResponse,
        attempts: &mut AttemptState,
        relay: &mut ResponseRelay,
        sender: &StreamSender,
    ) -> Result<(), Interruption> {
        while let Some(bytes) = self.next_of_stream(request, active, attempts, relay).await? {
            active.in_flight.on_response_started(); // where another endpoint goes on with a stream
            let ready = relay.push(bytes);
            if relay.events.starts_over() {
                return Err(Interruption::Ended(Outcome::Reset));
            }
            if let Some(ready) = ready {
                send_in_time(request, sender, ready).await?;
            }
        }
        if relay.is_truncated(active) {
            return Err(Interruption::Ended(Outcome::Reset));
        }
        // The endpoint ended its response with this, even if it is no complete event.
        match relay.remainder() {
            rest if rest.is_empty() => Ok(()),
            rest => send_in_time(request, sender, rest).await,
        }
    }

    /// The next bytes of a stream; none at its end. A pause that is too long counts against its endpoint.
    async fn next_of_stream(
        &self,
        request: &RoutedRequest,
        active: &mut ActiveResponse,
        attempts: &mut AttemptState,
        relay: &ResponseRelay,
    ) -> Result<Option<Bytes>, Interruption> {
        let (deadline, key) = (request.outgoing.deadline, active.in_flight.key);
        let body = active.started.response.body_mut();
        match timeout_at(deadline, timeout(request.stall_timeout, next_bytes(body))).await {
            // The endpoint was still at work at the deadline, which does not count against it.
            Err(_) => Err(Interruption::Ended(Outcome::Cancelled)),
            Ok(Ok(next)) => received(next),
            Ok(Err(_)) => {
                self.state.on_missing_event(key);
                self.next_after_pause(request, body, attempts, relay).await
            }
        }
    }

    /// Waits for the next bytes of a stream that has paused for too long, until the deadline. Meanwhile another endpoint is
    /// asked to resume it, where that is allowed. The pause alone ends nothing: the paused attempt is kept until the other
    /// endpoint has started its response, and goes on if its bytes are received first.
    async fn next_after_pause(
        &self,
        request: &RoutedRequest,
        body: &mut Incoming,
        attempts: &mut AttemptState,
        relay: &ResponseRelay,
    ) -> Result<Option<Bytes>, Interruption> {
        let tried = attempts.tried().len();
        let mut declined = false;
        let next = {
            let mut taking_over = pin!(self.resume(request, attempts, relay));
            loop {
                tokio::select! {
                    biased;
                    next = timeout_at(request.outgoing.deadline, next_bytes(body)) => {
                        if matches!(next, Ok(Some(Err(BodyAborted)))) && !declined {
                            let other = taking_over.await.ok_or(Interruption::Ended(Outcome::Reset))?;
                            return Err(Interruption::TakenOver(Box::new(other)));
                        }
                        break next;
                    }
                    other = &mut taking_over, if !declined => match other {
                        Some(other) => return Err(Interruption::TakenOver(Box::new(other))),
                        None => declined = true,
                    },
                }
            }
        };
        if !declined && attempts.tried().len() > tried {
            attempts.on_abandoned();
        }
        received(next.map_err(|_| Interruption::Ended(Outcome::TimedOut))?)
    }
}

/// Why an endpoint's part of a stream was not forwarded to the end of the stream.
enum Interruption {
    /// The attempt ended with this outcome.
    Ended(Outcome),
    /// The endpoint has paused, and another one has resumed the stream.
    TakenOver(Box<ActiveResponse>),
}

fn received(next: Option<Result<Bytes, BodyAborted>>) -> Result<Option<Bytes>, Interruption> {
    next.transpose().map_err(|BodyAborted| Interruption::Ended(Outcome::Reset))
}

/// Sends bytes to a client, which may read slowly, until the deadline of its request.
async fn send_in_time(
    request: &RoutedRequest,
    sender: &StreamSender,
    bytes: Bytes,
) -> Result<(), Interruption> {
    let sent = timeout_at(request.outgoing.deadline, sender.send(bytes)).await;
    sent.ok().and_then(Result::ok).ok_or(Interruption::Ended(Outcome::Cancelled))
}
