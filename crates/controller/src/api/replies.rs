//! HTTP responses: the status and the JSON body of each outcome.

use crate::api::body::BodyError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use miniserde::json;

/// A response that is complete in memory.
pub(super) type Reply = Response<Full<Bytes>>;

/// A response with a JSON body.
pub(super) fn json_reply(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// The response to a successful call without a result.
pub(super) fn done() -> Reply {
    json_reply(StatusCode::OK, Bytes::from_static(b"{}"))
}

/// The response of a member without contact to a majority: the caller should try another member.
pub(super) fn out_of_contact() -> Reply {
    refusal(StatusCode::SERVICE_UNAVAILABLE, "no majority of the members can be reached")
}

/// A refusal, with its reason.
pub(super) fn refusal(status: StatusCode, problem: &str) -> Reply {
    let body = format!("{{\"error\":{}}}", json::to_string(&problem.to_owned()));
    json_reply(status, body.into())
}

/// The refusal of a body that can't be used.
pub(super) fn refused_body(problem: &BodyError) -> Reply {
    let status = match problem {
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Incomplete => StatusCode::REQUEST_TIMEOUT,
    };
    refusal(status, &problem.to_string())
}
