//! Classifies a response head as a valid response to the request, as a statement that the request never ran, or as
//! neither.

use crate::headers::{ATTEMPT_ID, INSTANCE, NOT_EXECUTED, SERVER_SEAL};
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
    /// Neither of them, so that whether the request ran is unknown. Holds the outcome of the attempt.
    Unknown(Outcome),
}

/// Classifies the head received in response to a request. `endpoint` is the id of the endpoint it was sent to.
pub fn classify<B>(outgoing: &Outgoing, endpoint: &str, response: &Response<B>) -> ResponseClass {
    let (status, headers) = (response.status(), response.headers());
    if !has_attempt_id_of(outgoing, headers) || !is_final(status) || is_encoded(headers) {
        return ResponseClass::Unknown(Outcome::Reset);
    }
    if status.is_success() {
        let sealed = has_seal(headers) && !headers.contains_key(NOT_EXECUTED);
        return match sealed && !names_other_endpoint(endpoint, headers) {
            true => ResponseClass::Valid,
            false => ResponseClass::Unknown(Outcome::Reset),
        };
    }
    if headers.contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::NotExecuted;
    }
    match implies_not_executed(status) && !mutant("proxy_forwards_unconfirmed_refusal") {
        true => ResponseClass::Unknown(Outcome::Error),
        false => ResponseClass::Valid,
    }
}

/// Whether a status belongs to a final response: neither informational nor outside the defined classes.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether the body is encoded. Endpoints never encode bodies, since no request asks for an encoding.
fn is_encoded(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_ENCODING) && !mutant("proxy_forwards_encoded_body")
}

/// Whether the head carries the seal that every successful response of an endpoint has.
fn has_seal(headers: &HeaderMap) -> bool {
    headers.get(SERVER_SEAL).is_some_and(|seal| !seal.is_empty()) || mutant("proxy_seal_not_required")
}

/// Whether the head names an endpoint other than the one that the request was sent to.
fn names_other_endpoint(endpoint: &str, headers: &HeaderMap) -> bool {
    headers.get_all(INSTANCE).iter().any(|id| id != endpoint)
}

/// Whether a client would interpret this status as a statement that its request never ran. Such a status must not reach
/// a client unless the endpoint confirms it with `X-Not-Executed`.
fn implies_not_executed(status: StatusCode) -> bool {
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE]
        .contains(&status)
}

/// Whether the head carries the request's attempt id and no other. A request without an id uses a new connection, on
/// which a response without an id can only belong to that request.
fn has_attempt_id_of(outgoing: &Outgoing, headers: &HeaderMap) -> bool {
    let mut ids = headers.get_all(ATTEMPT_ID).iter();
    let (first, second) = (ids.next(), ids.next());
    if first.is_none() && mutant("proxy_id_not_required") {
        return true;
    }
    first == outgoing.id.as_ref() && second.is_none()
}
