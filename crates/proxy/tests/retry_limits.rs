//! Limits of the number of endpoints that a request is sent to.

mod support;

use hyper::StatusCode;
use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Action, ClientResponse, FakeEndpoint, Fleet, ID_LINE, Script, chunk, event, not_executed, reply,
    reply_with, route, run, stream_head,
};

/// Sends a request that successive attempts answer by the parts of the script. Returns the client's response and the
/// number of endpoints that the request reached.
async fn send_through(path: &str, script: Vec<Vec<Action>>) -> (ClientResponse, usize) {
    let endpoint_count = script.len() + 2;
    let script: Script = Rc::new(RefCell::new(script.into()));
    let mut endpoints = Vec::new();
    for number in 0..endpoint_count {
        endpoints.push(FakeEndpoint::start_shared(&format!("i-{number}"), script.clone()).await);
    }
    let endpoints: Vec<&FakeEndpoint> = endpoints.iter().collect();
    let routes = [
        route("again", "idempotent", 2, false),
        route("resumed", "streaming", 2, true),
        route("once", "non_idempotent", 2, false),
    ];
    let fleet = Fleet::start_with(&routes, &endpoints, "bounds.retrySlack=1000\n").await;
    let response = fleet.send(path, "a1", &[], "x").await;
    (response, endpoints.iter().map(|endpoint| endpoint.received.borrow().len()).sum())
}

fn refusal() -> Vec<Action> {
    vec![not_executed("503 Service Unavailable")]
}

fn failed() -> Vec<Action> {
    vec![reply("500 Internal Server Error", "it ran")]
}

fn truncated() -> Vec<Action> {
    let head = format!("HTTP/1.1 200 OK\r\n{ID_LINE}X-Server-Seal: s1\r\nContent-Length: 9\r\n\r\nhalf");
    vec![Action::Send(head), Action::Close]
}

/// Failures of an endpoint that may have run the request. Each of them counts as an attempt.
fn failures() -> Vec<(&'static str, Vec<Action>)> {
    vec![
        ("an error status", failed()),
        ("a reset", vec![Action::Reset]),
        ("a close", vec![Action::Close]),
        ("a truncated response", truncated()),
        (
            "a success without a seal",
            vec![Action::Send(format!("HTTP/1.1 200 OK\r\n{ID_LINE}\r\n")), Action::Close],
        ),
        ("an unconfirmed refusal", vec![reply("503 Service Unavailable", "")]),
        ("a response to another request", vec![reply_with("200 OK", "X-Attempt-Id: other\r\n", "x")]),
    ]
}

#[test]
fn no_combination_of_failures_reaches_more_endpoints_than_max_tries() {
    run(async {
        let mut wrong = Vec::new();
        for (first_name, first) in failures() {
            for (second_name, second) in failures() {
                let (response, reached) = send_through("/again/x", vec![first.clone(), second]).await;
                if reached != 2
                    || !response.status.is_server_error()
                    || response.headers.contains_key("retry-after")
                {
                    wrong.push((first_name, second_name, response.status, reached));
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
            vec![refusal(), failed(), refusal(), failed()],
            vec![failed(), refusal(), refusal(), truncated()],
            vec![refusal(), refusal(), vec![Action::Reset], failed()],
        ] {
            let (response, reached) = send_through("/again/x", script).await;
            assert!(response.status.is_server_error(), "{response:?}");
            assert_eq!(reached, 4, "two endpoints that ran it, and two that did not");
        }
    });
}

#[test]
fn a_failing_stream_reaches_no_more_endpoints_than_max_tries() {
    run(async {
        let truncated_before_event = vec![stream_head("s1"), Action::Close];
        let failing = |id: u32| vec![stream_head("s1"), chunk(&event(id)), Action::Reset];
        let (response, reached) = send_through("/resumed/x", vec![failing(1), failing(2)]).await;
        assert_eq!((response.complete, reached), (false, 2));
        assert_eq!(response.body, event(1) + &event(2));
        let (response, reached) =
            send_through("/resumed/x", vec![truncated_before_event.clone(), failing(1)]).await;
        assert_eq!((response.complete, reached), (false, 2));
        let (response, reached) =
            send_through("/resumed/x", vec![truncated_before_event.clone(), truncated_before_event]).await;
        assert_eq!((response.status, reached), (StatusCode::BAD_GATEWAY, 2));
        let (response, reached) = send_through("/resumed/x", vec![failing(1), refusal(), failed()]).await;
        assert_eq!((response.complete, reached), (false, 3), "one of the endpoints has not run it");
    });
}

#[test]
fn a_non_idempotent_request_runs_on_one_endpoint_regardless_of_max_tries() {
    run(async {
        for (name, failure) in failures() {
            let (response, reached) = send_through("/once/x", vec![refusal(), failure]).await;
            assert_eq!(reached, 2, "{name}: one endpoint that refused it, and one that ran it");
            assert!(
                response.status.is_server_error() && !response.headers.contains_key("retry-after"),
                "{name}"
            );
        }
    });
}

/// Rule MIXED: an error response with an endpoint's seal must have the status that the endpoint sent.
#[test]
fn an_error_generated_by_the_proxy_has_no_seal() {
    run(async {
        let failure = |rest: &str| {
            let head = format!("HTTP/1.1 500 Internal Server Error\r\n{ID_LINE}X-Server-Seal: s9\r\n");
            vec![Action::Send(format!("{head}{rest}")), Action::Close]
        };
        for truncated in
            [failure("Content-Length: 9\r\n\r\nhalf"), failure("Transfer-Encoding: chunked\r\n\r\n")]
        {
            let (response, _) = send_through("/once/x", vec![truncated]).await;
            assert_eq!(
                (response.status, response.headers.get("x-server-seal")),
                (StatusCode::BAD_GATEWAY, None)
            );
        }
        let (response, _) =
            send_through("/again/x", vec![failed(), refusal(), refusal(), refusal(), refusal()]).await;
        assert_eq!(
            (response.status, response.headers.get("x-server-seal")),
            (StatusCode::BAD_GATEWAY, None)
        );
        let (response, _) = send_through("/again/x", vec![truncated(), failed()]).await;
        assert_eq!(
            (response.status, &response.headers["x-server-seal"]),
            (StatusCode::INTERNAL_SERVER_ERROR, &"s1".parse().expect("invalid header value"))
        );
    });
}
