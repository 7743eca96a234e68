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
        let body = body.until_disconnect_of(request.outgoing.client.clone());
        let reply = reply_head(&active).map(|()| Either::Right(body));
        let _ = sender.try_send(first); // the buffer is empty
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
        let result = tokio::select! {
            result = self.relay_resuming(&request, active, attempts, relay, &sender) => result,
            () = sender.closed() => return, // the client has disconnected; dropping the attempt closes its connection
        };
        if result.is_ok() {
            sender.finish();
        }
    }

    /// Forwards a stream, resuming it at other endpoints if necessary. Fails if the stream did not reach its end.
    async fn relay_resuming(
        &self,
        request: &RoutedRequest,
        mut active: ActiveResponse,
        mut attempts: AttemptState,
        mut relay: ResponseRelay,
        sender: &StreamSender,
    ) -> Result<(), TruncatedResponse> {
        loop {
            let relayed = self.relay_attempt(request, &mut active, &mut attempts, &mut relay, sender).await;
            let Err(interruption) = relayed else {
                self.finish(request, active, Outcome::Ok);
                return Ok(());
            };
            self.connections.close_idle(active.in_flight.key);
            active = match interruption {
                Interruption::Resumed(other) => {
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

    /// Sends the request to another endpoint to resume a stream after the last complete event that was forwarded.
    /// Returns `None` if the stream can't be resumed.
    async fn resume(
        &self,
        request: &RoutedRequest,
        attempts: &mut AttemptState,
        relay: &ResponseRelay,
    ) -> Option<ActiveResponse> {
        let last = HeaderValue::from_str(relay.resumable_after()?).ok()?;
        if !attempts.may_retry(&self.state, request, Failure::BadResponse) {
            return None;
        }
        let active = self.begin(request, attempts, Some(&last)).await.ok()?;
        active.started.response.status().is_success().then_some(active)
    }

    /// Forwards what one endpoint sends, until the stream ends or is interrupted.
    async fn relay_attempt(
        &self,
        request: &RoutedRequest,
        active: &mut ActiveResponse,
        attempts: &mut AttemptState,
        relay: &mut ResponseRelay,
        sender: &StreamSender,
    ) -> Result<(), Interruption> {
        while let Some(bytes) = self.next_of_stream(request, active, attempts, relay).await? {
            active.in_flight.on_response_started(); // needed if this attempt resumes a stream
            let ready = relay.push(bytes);
            if relay.events.repeats_events() {
                return Err(Interruption::Ended(Outcome::Reset));
            }
            if let Some(ready) = ready {
                send_in_time(request, sender, ready).await?;
            }
        }
        if relay.is_truncated(active) {
            return Err(Interruption::Ended(Outcome::Reset));
        }
        // The endpoint ended its response with these bytes, even if they are not a complete event.
        match relay.remainder() {
            remainder if remainder.is_empty() => Ok(()),
            remainder => send_in_time(request, sender, remainder).await,
        }
    }

    /// The next bytes of a stream; `None` at its end. A stall counts against the endpoint.
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
            // The stream had not stalled when the deadline passed, so this does not count against the endpoint.
            Err(_) => Err(Interruption::Ended(Outcome::Cancelled)),
            Ok(Ok(next)) => body_result(next),
            Ok(Err(_)) => {
                self.state.on_stall(key);
                self.next_after_stall(request, body, attempts, relay).await
            }
        }
    }

    /// Waits for the next bytes of a stalled stream, until the deadline. Meanwhile the request is sent to another
    /// endpoint to resume the stream, if that is allowed. The stalled attempt is kept until the other endpoint has
    /// started its response, and continues if its own bytes are received first.
    async fn next_after_stall(
        &self,
        request: &RoutedRequest,
        body: &mut Incoming,
        attempts: &mut AttemptState,
        relay: &ResponseRelay,
    ) -> Result<Option<Bytes>, Interruption> {
        let tried_before = attempts.tried().len();
        let mut declined = false;
        let next = {
            let mut resuming = pin!(self.resume(request, attempts, relay));
            loop {
                tokio::select! {
                    biased;
                    next = timeout_at(request.outgoing.deadline, next_bytes(body)) => {
                        if matches!(next, Ok(Some(Err(BodyAborted)))) && !declined {
                            let other = resuming.await.ok_or(Interruption::Ended(Outcome::Reset))?;
                            return Err(Interruption::Resumed(Box::new(other)));
                        }
                        break next;
                    }
                    other = &mut resuming, if !declined => match other {
                        Some(other) => return Err(Interruption::Resumed(Box::new(other))),
                        None => declined = true,
                    },
                }
            }
        };
        if !declined && attempts.tried().len() > tried_before {
            attempts.on_abandoned();
        }
        body_result(next.map_err(|_| Interruption::Ended(Outcome::TimedOut))?)
    }
}

/// Why forwarding from one endpoint stopped before the end of the stream.
enum Interruption {
    /// The attempt ended with this outcome.
    Ended(Outcome),
    /// The endpoint's stream has stalled, and another endpoint has resumed it.
    Resumed(Box<ActiveResponse>),
}

fn body_result(next: Option<Result<Bytes, BodyAborted>>) -> Result<Option<Bytes>, Interruption> {
    next.transpose().map_err(|BodyAborted| Interruption::Ended(Outcome::Reset))
}

/// Sends bytes to a client, waiting while it reads slowly, until the deadline of its request.
async fn send_in_time(
    request: &RoutedRequest,
    sender: &StreamSender,
    bytes: Bytes,
) -> Result<(), Interruption> {
    let sent = timeout_at(request.outgoing.deadline, sender.send(bytes)).await;
    sent.ok().and_then(Result::ok).ok_or(Interruption::Ended(Outcome::Cancelled))
}
