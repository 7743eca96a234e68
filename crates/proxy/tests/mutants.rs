//! Errors planted in the proxy: each changes what a client or an endpoint sees in a situation that another test checks.

mod support;

use std::fmt::Debug;
use std::future::Future;
use support::{run, scenarios};

/// Runs a situation as the proxy is, and with an error planted: the observations must differ.
fn found<T: Debug + PartialEq, F: Future<Output = T>>(
    mutant: &'static str,
    situation: impl Fn(Option<&'static str>) -> F,
) {
    run(async {
        let (sound, planted) = (situation(None).await, situation(Some(mutant)).await);
        assert_ne!(sound, planted, "{mutant} changes nothing");
    });
}

#[test]
fn an_id_that_is_not_required_is_noticed() {
    let bytes = "HTTP/1.1 200 OK\r\nX-Server-Seal: s1\r\nContent-Length: 4\r\n\r\nbody";
    found("proxy_id_not_required", |mutant| scenarios::spoilt_answer_once(bytes, mutant));
}

#[test]
fn an_end_that_need_not_be_said_is_noticed() {
    found("proxy_drop_is_end", scenarios::stream_that_breaks_off);
}
