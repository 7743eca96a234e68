//! How many endpoints a request is sent to.

mod support;

use hyper::StatusCode;
use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Act, Fleet, Got, ID_LINE, Script, Stand, answer, answer_with, chunk, event, not_executed, route, run,
    stream_head,
};

/// What a client gets whose request is answered like this, by one endpoint after the other, and how many it reached.
async fn asked(path: &str, script: Vec<Vec<Act>>) -> (Got, usize) {
    let endpoints = script.len() + 2;
    let script: Script = Rc::new(RefCell::new(script.into()));
    let mut stands = Vec::new();
    for number in 0..endpoints {
        stands.push(Stand::start_shared(&format!("i-{number}"), script.clone()).await);
    }
    let stands: Vec<&Stand> = stands.iter().collect();
    let routes = [
        route("again", "idempotent", 2, false),
        route("resumed", "streaming", 2, true),
        route("once", "non_idempotent", 2, false),
    ];
    let fleet = Fleet::start_with(&routes, &stands, "bounds.retrySlack=1000\n").await;
    let got = fleet.ask(path, "a1", &[], "x").await;
    (got, stands.iter().map(|stand| stand.seen.borrow().len()).sum())
}

fn full() -> Vec<Act> {
    vec![not_executed("503 Service Unavailable")]
}

fn failed() -> Vec<Act> {
    vec![answer("500 Internal Server Error", "it ran")]
}

fn truncated() -> Vec<Act> {
    let head = format!("HTTP/1.1 200 OK\r\n{ID_LINE}X-Server-Seal: s1\r\nContent-Length: 9\r\n\r\nhalf");
    vec![Act::Send(head), Act::Close]
}

/// Ways in which an endpoint fails that may have run a request. Each of them counts.
fn failures() -> Vec<(&'static str, Vec<Act>)> {
    vec![
        ("its own failure", failed()),
        ("a reset", vec![Act::Reset]),
        ("a close", vec![Act::Close]),
        ("a truncated answer", truncated()),
        (
            "a success without a seal",
            vec![Act::Send(format!("HTTP/1.1 200 OK\r\n{ID_LINE}\r\n")), Act::Close],
        ),
        ("a promise that is none", vec![answer("503 Service Unavailable", "")]),
        ("an answer to another", vec![answer_with("200 OK", "X-Attempt-Id: other\r\n", "x")]),
    ]
}

#[test]
fn no_combination_of_failures_reaches_more_endpoints_than_max_tries() {
    run(async {
        let mut wrong = Vec::new();
        for (first_name, first) in failures() {
            for (second_name, second) in failures() {
                let (got, reached) = asked("/again/x", vec![first.clone(), second]).await;
                if reached != 2 || !got.status.is_server_error() || got.headers.contains_key("retry-after")
                {
                    wrong.push((first_name, second_name, got.status, reached));
                }
            }
        }
        assert_eq!(wrong, []);
    });
}

#[test]
fn refusals_between_failures_do_not_allow_more_runs() {
    run(async {
        for script in [
            vec![full(), failed(), full(), failed()],
            vec![failed(), full(), full(), truncated()],
            vec![full(), full(), vec![Act::Reset], failed()],
        ] {
            let (got, reached) = asked("/again/x", script).await;
            assert!(got.status.is_server_error(), "{got:?}");
            assert_eq!(reached, 4, "two that ran it, and two that did not");
        }
    });
}

#[test]
fn a_failing_stream_reaches_no_more_endpoints_than_max_tries() {
    run(async {
        let before = vec![stream_head("s1"), Act::Close];
        let broken = |id: u32| vec![stream_head("s1"), chunk(&event(id)), Act::Reset];
        let (got, reached) = asked("/resumed/x", vec![broken(1), broken(2)]).await;
        assert_eq!((got.whole, reached), (false, 2));
        assert_eq!(got.body, event(1) + &event(2));
        let (got, reached) = asked("/resumed/x", vec![before.clone(), broken(1)]).await;
        assert_eq!((got.whole, reached), (false, 2));
        let (got, reached) = asked("/resumed/x", vec![before.clone(), before]).await;
        assert_eq!((got.status, reached), (StatusCode::BAD_GATEWAY, 2));
        let (got, reached) = asked("/resumed/x", vec![broken(1), full(), failed()]).await;
        assert_eq!((got.whole, reached), (false, 3), "one of them has not run it");
    });
}

#[test]
fn a_non_idempotent_request_runs_on_one_endpoint_regardless_of_max_tries() {
    run(async {
        for (name, failure) in failures() {
            let (got, reached) = asked("/once/x", vec![full(), failure]).await;
            assert_eq!(reached, 2, "{name}: one that refused it, and one that ran it");
            assert!(got.status.is_server_error() && !got.headers.contains_key("retry-after"), "{name}");
        }
    });
}

/// Rule MIXED: a failure that carries an endpoint's seal has the status which that endpoint gave.
#[test]
fn an_error_generated_by_the_proxy_has_no_seal() {
    run(async {
        let failure = |rest: &str| {
            let head = format!("HTTP/1.1 500 Internal Server Error\r\n{ID_LINE}X-Server-Seal: s9\r\n");
            vec![Act::Send(format!("{head}{rest}")), Act::Close]
        };
        for truncated in
            [failure("Content-Length: 9\r\n\r\nhalf"), failure("Transfer-Encoding: chunked\r\n\r\n")]
        {
            let (got, _) = asked("/once/x", vec![truncated]).await;
            assert_eq!((got.status, got.headers.get("x-server-seal")), (StatusCode::BAD_GATEWAY, None));
        }
        let (got, _) = asked("/again/x", vec![failed(), full(), full(), full(), full()]).await;
        assert_eq!((got.status, got.headers.get("x-server-seal")), (StatusCode::BAD_GATEWAY, None));
        let (got, _) = asked("/again/x", vec![truncated(), failed()]).await;
        assert_eq!(
            (got.status, &got.headers["x-server-seal"]),
            (StatusCode::INTERNAL_SERVER_ERROR, &"s1".parse().expect("a value"))
        );
    });
}
