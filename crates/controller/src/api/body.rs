//! Reads a request's body within bounds, and the base version of a change.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use quick_error::quick_error;
use std::time::Duration;
use tokio::time::timeout;

/// Header of the version that a change of the configuration builds on.
const BASE_VERSION: &str = "x-base-version";
/// A body must have come by then.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

quick_error! {
    /// A request's body can't be used.
    #[derive(Debug)]
    pub enum BodyError {
        /// It is longer than it may be.
        TooLarge {
            display("the body is too large")
        }
        /// It ended early, or did not come in time.
        Incomplete {
            display("the body did not come whole")
        }
    }
}

/// The complete body, of `most` bytes at most.
pub(super) async fn read_body(body: Incoming, most: usize) -> Result<Bytes, BodyError> {
    match timeout(BODY_TIMEOUT, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        _ => Err(BodyError::Incomplete),
    }
}

/// The version that a change builds on.
pub(super) fn base_version(headers: &HeaderMap) -> Option<u64> {
    headers.get(BASE_VERSION)?.to_str().ok()?.trim().parse().ok()
}
