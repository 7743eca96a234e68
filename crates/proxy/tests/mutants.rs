//! Errors planted in the proxy: each changes what a client or an endpoint sees in a situation that another test checks.

mod support;

use std::fmt::Debug;
use std::future::Future;
use support::{ID_LINE, run, scenarios};

/// Runs of a situation until an error must have been noticed: most show at once, one depends on which of two tasks of the
/// proxy runs first.
const MAX_RUNS: usize = 20;

/// Runs a situation as the proxy is, and with an error planted until the observations differ.
fn found<T: Debug + PartialEq, F: Future<Output = T>>(
    mutant: &'static str,
    situation: impl Fn(Option<&'static str>) -> F,
) {
    run(async {
        let sound = situation(None).await;
        for _ in 0..MAX_RUNS {
            if situation(Some(mutant)).await != sound {
                return;
            }
        }
        panic!("{mutant} changes nothing of {sound:?}");
    });
}

/// A whole answer with these headers before its length.
fn answer(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 4\r\n\r\nbody")
}

#[test]
fn accepting_a_response_without_an_attempt_id_is_detected() {
    let bytes = answer("200 OK", "X-Server-Seal: s1\r\n");
    found("proxy_id_not_required", |mutant| scenarios::spoilt_answer_once(&bytes, mutant));
}

#[test]
fn forwarding_an_encoded_body_is_detected() {
    let bytes = answer("200 OK", &format!("{ID_LINE}X-Server-Seal: s1\r\nContent-Encoding: br\r\n"));
    found("proxy_forwards_encoded_body", |mutant| scenarios::spoilt_answer_once(&bytes, mutant));
}

#[test]
fn accepting_a_success_without_a_seal_is_detected() {
    let bytes = answer("200 OK", ID_LINE);
    found("proxy_seal_not_required", |mutant| scenarios::spoilt_answer_once(&bytes, mutant));
}

#[test]
fn forwarding_an_unconfirmed_refusal_is_detected() {
    let bytes = answer("503 Service Unavailable", &format!("{ID_LINE}X-Server-Seal: s1\r\n"));
    found("proxy_forwards_unconfirmed_refusal", |mutant| scenarios::spoilt_answer_once(&bytes, mutant));
}

#[test]
fn ending_a_dropped_body_as_complete_is_detected() {
    found("proxy_ends_dropped_body", scenarios::stream_that_breaks_off);
}

#[test]
fn retrying_a_non_idempotent_request_is_detected() {
    found("proxy_retries_non_idempotent", scenarios::reset_after_it_was_sent);
}

#[test]
fn refusing_a_dispatched_request_is_detected() {
    found("proxy_refuses_dispatched_request", scenarios::reset_after_it_was_sent);
}

#[test]
fn sending_after_a_client_disconnect_is_detected() {
    found("proxy_sends_after_disconnect", scenarios::left_while_frozen);
}
