//! Mutants of the proxy: each changes the observable result of a scenario that another test checks.

mod support;

use std::fmt::Debug;
use std::future::Future;
use support::{ID_LINE, run, scenarios};

/// Maximum number of runs until a mutant must be detected. Most are detected in the first run; one depends on which of
/// two tasks of the proxy runs first.
const MAX_RUNS: usize = 20;

/// Runs a scenario without a mutant, and then with it until the results differ.
fn detects<T: Debug + PartialEq, F: Future<Output = T>>(
    mutant: &'static str,
    scenario: impl Fn(Option<&'static str>) -> F,
) {
    run(async {
        let expected = scenario(None).await;
        for _ in 0..MAX_RUNS {
            if scenario(Some(mutant)).await != expected {
                return;
            }
        }
        panic!("mutant {mutant} does not change {expected:?}");
    });
}

/// A complete response with these headers before `Content-Length`.
fn reply(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 4\r\n\r\nbody")
}

#[test]
fn accepting_a_response_without_an_attempt_id_is_detected() {
    let bytes = reply("200 OK", "X-Server-Seal: s1\r\n");
    detects("proxy_id_not_required", |mutant| scenarios::send_non_idempotent(&bytes, mutant));
}

#[test]
fn forwarding_an_encoded_body_is_detected() {
    let bytes = reply("200 OK", &format!("{ID_LINE}X-Server-Seal: s1\r\nContent-Encoding: br\r\n"));
    detects("proxy_forwards_encoded_body", |mutant| scenarios::send_non_idempotent(&bytes, mutant));
}

#[test]
fn accepting_a_success_without_a_seal_is_detected() {
    let bytes = reply("200 OK", ID_LINE);
    detects("proxy_seal_not_required", |mutant| scenarios::send_non_idempotent(&bytes, mutant));
}

#[test]
fn forwarding_an_unconfirmed_refusal_is_detected() {
    let bytes = reply("503 Service Unavailable", &format!("{ID_LINE}X-Server-Seal: s1\r\n"));
    detects("proxy_forwards_unconfirmed_refusal", |mutant| scenarios::send_non_idempotent(&bytes, mutant));
}

#[test]
fn ending_a_dropped_body_as_complete_is_detected() {
    detects("proxy_ends_dropped_body", scenarios::truncated_stream);
}

#[test]
fn retrying_a_non_idempotent_request_is_detected() {
    detects("proxy_retries_non_idempotent", scenarios::reset_after_dispatch);
}

#[test]
fn refusing_a_dispatched_request_is_detected() {
    detects("proxy_refuses_dispatched_request", scenarios::reset_after_dispatch);
}

#[test]
fn sending_after_a_client_disconnect_is_detected() {
    detects("proxy_sends_after_disconnect", scenarios::disconnect_while_suspended);
}
