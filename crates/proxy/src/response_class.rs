//! Classifies a response head: a valid response to the request, a statement that the request never ran, or neither.

use crate::headers::{ATTEMPT_ID, INSTANCE, NOT_EXECUTED, SEAL};
use crate::outgoing::Outgoing;
use hyper::header::{CONTENT_ENCODING, HeaderMap};
use hyper::{Response, StatusCode};
use runtrack_balancer::Outcome;
use runtrack_net::mutant;

/// Class of a response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The endpoint's response to this request, to be forwarded.
    Valid,
    /// The endpoint states that the request has not run there and never will.
    NotExecuted,
    /// Neither: whether the request ran is unknown.
    Unknown(Outcome),
}

/// Classifies the head received in response to a request. `endpoint` is the id of the endpoint it was sent to.
pub fn classify<B>(outgoing: &Outgoing, endpoint: &str, response: &Response<B>) -> ResponseClass {
    let (status, headers) = (response.status(), response.headers());
    if !carries_id_of(outgoing, headers) || !is_final(status) || is_encoded(headers) {
        return ResponseClass::Unknown(Outcome::Reset);
    }
    if status.is_success() {
        let sealed = has_seal(headers) && !headers.contains_key(NOT_EXECUTED);
        return match sealed && !names_another(endpoint, headers) {
            true => ResponseClass::Valid,
            false => ResponseClass::Unknown(Outcome::Reset),
        };
    }
    if headers.contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::NotExecuted;
    }
    match is_promise(status) && !mutant("proxy_bare_promise_kept") {
        true => ResponseClass::Unknown(Outcome::Error),
        false => ResponseClass::Valid,
    }
}

/// Whether a status is one of a final response: neither informational nor outside the defined classes.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether the body is encoded. No request asks for an encoding, so that such a body is not the endpoint's.
fn is_encoded(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_ENCODING) && !mutant("proxy_encoded_passed_on")
}

/// Whether the head carries the seal that every successful response of an endpoint has.
fn has_seal(headers: &HeaderMap) -> bool {
    headers.get(SEAL).is_some_and(|seal| !seal.is_empty()) || mutant("proxy_seal_not_required")
}

/// Whether the head names another endpoint than the request was sent to.
fn names_another(endpoint: &str, headers: &HeaderMap) -> bool {
    headers.get_all(INSTANCE).iter().any(|id| id != endpoint)
}

/// Whether a client would read this status as a statement that its request never ran. Such a status must not reach a
/// client unless the endpoint states it with `X-Not-Executed`.
fn is_promise(status: StatusCode) -> bool {
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE]
        .contains(&status)
}

/// Whether the head carries the request's attempt id, and no other. A request without an id has a connection of its own,
/// on which a response without an id can only belong to it.
fn carries_id_of(outgoing: &Outgoing, headers: &HeaderMap) -> bool {
    let mut carried = headers.get_all(ATTEMPT_ID).iter();
    let (first, second) = (carried.next(), carried.next());
    if first.is_none() && mutant("proxy_id_not_required") {
        return true;
    }
    first == outgoing.id.as_ref() && second.is_none()
}
