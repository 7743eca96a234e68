//! What a request carries, read within bounds: the body, and the version that a change builds on.

use crate::api::replies::{Reply, refusal};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use std::time::Duration;
use tokio::time::timeout;

/// Header of the version that a change of the configuration builds on.
const BASE_VERSION: &str = "x-base-version";
/// A body must have come by then.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The whole body, of `most` bytes at most; the refusal where it is longer or does not come in time.
pub(super) async fn read_body(body: Incoming, most: usize) -> Result<Bytes, Reply> {
    match timeout(BODY_TIMEOUT, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        _ => Err(refusal(StatusCode::REQUEST_TIMEOUT, "the body did not come whole")),
    }
}

/// The version that a change builds on.
pub(super) fn base_version(headers: &HeaderMap) -> Option<u64> {
    headers.get(BASE_VERSION)?.to_str().ok()?.trim().parse().ok()
}
