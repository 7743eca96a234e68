//! Attempts of idempotent and non-idempotent requests at endpoints that fail, refuse or drain.

mod support;

use hyper::StatusCode;
use runtrack_message::{EndpointState, Message};
use std::rc::Rc;
use support::{Action, FakeEndpoint, Fleet, ID_LINE, not_executed, reply, reply_with, route, run};
use tokio::sync::Notify;
use tokio::task::spawn_local;

const NON_IDEMPOTENT: &str = "/once/x?q=1";
const IDEMPOTENT: &str = "/again/x";

fn routes() -> Vec<String> {
    vec![route("once", "non_idempotent", 3, false), route("again", "idempotent", 3, false)]
}

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    run(async {
        let endpoint =
            FakeEndpoint::start("i-1", vec![vec![reply_with("201 Created", "X-Own: yes\r\n", "made")]])
                .await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let headers =
            [("x-model", "m"), ("connection", "x-hop"), ("x-hop", "1"), ("x-time-budget-ms", "5000")];
        let response = fleet.send(NON_IDEMPOTENT, "a1", &headers, "the body").await;
        assert_eq!(
            (response.status, response.body.as_str(), response.complete),
            (StatusCode::CREATED, "made", true)
        );
        assert_eq!(response.headers["x-server-seal"], "s1");
        assert_eq!(response.headers["x-own"], "yes");
        let received = endpoint.received.borrow()[0].clone();
        assert!(received.head.starts_with("POST /once/x?q=1 HTTP/1.1\r\n"), "{}", received.head);
        assert_eq!(received.body, b"the body");
        assert_eq!(received.header("host"), Some("h.example"));
        assert_eq!(received.header("x-attempt-id"), Some("a1"));
        assert_eq!(received.header("x-target-instance"), Some("i-1"));
        assert_eq!(received.header("x-model"), Some("m"));
        assert_eq!(received.header("x-hop"), None, "it is a hop-by-hop header");
        let budget: u64 =
            received.header("x-time-budget-ms").expect("no time budget").parse().expect("not a number");
        assert!((4000..5000).contains(&budget), "{budget}");
    });
}

#[test]
fn a_non_idempotent_request_is_not_retried_after_a_reset() {
    run(async {
        let one = FakeEndpoint::start("i-1", vec![vec![Action::Reset]; 4]).await;
        let other = FakeEndpoint::start("i-2", vec![vec![Action::Reset]; 4]).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        let response = fleet.send(NON_IDEMPOTENT, "a1", &[], "x").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "it must not be reported as refused");
        assert_eq!(response.headers.get("retry-after"), None);
        assert_eq!(one.received.borrow().len() + other.received.borrow().len(), 1);
    });
}

#[test]
fn a_non_idempotent_request_is_sent_once_for_any_connection_end() {
    let never = Rc::new(Notify::new());
    let ends: Vec<(&str, Vec<Action>, StatusCode)> = vec![
        ("a close", vec![Action::Close], StatusCode::BAD_GATEWAY),
        ("a half-close", vec![Action::HalfClose, Action::Wait(never.clone())], StatusCode::BAD_GATEWAY),
        (
            "a close within the head",
            vec![Action::Send("HTTP/1.1 20".into()), Action::Close],
            StatusCode::BAD_GATEWAY,
        ),
        ("silence", vec![Action::Wait(never)], StatusCode::GATEWAY_TIMEOUT),
    ];
    run(async move {
        let mut wrong = Vec::new();
        for (name, end, status) in ends {
            let script: support::Script = Rc::new(std::cell::RefCell::new(vec![end.clone(), end].into()));
            let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
            let other = FakeEndpoint::start_shared("i-2", script).await;
            let fleet = Fleet::start(&routes(), &[&one, &other]).await;
            let response = fleet.send(NON_IDEMPOTENT, "a1", &[("x-time-budget-ms", "600")], "x").await;
            let runs = one.received.borrow().len() + other.received.borrow().len();
            wrong.extend(((response.status, runs) != (status, 1)).then_some((name, response.status, runs)));
        }
        assert_eq!(wrong, []);
    });
}

#[test]
fn an_idempotent_request_is_retried_after_a_reset() {
    run(async {
        let one =
            FakeEndpoint::start("i-1", vec![vec![Action::Reset], vec![reply("200 OK", "fine")]]).await;
        let other = FakeEndpoint::start("i-2", vec![vec![reply("200 OK", "fine")]]).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        for number in 0..6 {
            let response = fleet.send(IDEMPOTENT, &format!("a{number}"), &[], "x").await;
            assert!(response.status.is_success(), "{response:?}");
        }
    });
}

#[test]
fn a_truncated_response_is_not_forwarded_as_complete() {
    run(async {
        let truncated = || {
            vec![
                Action::Send(format!(
                    "HTTP/1.1 200 OK\r\n{ID_LINE}X-Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf"
                )),
                Action::Close,
            ]
        };
        let endpoint = FakeEndpoint::start("i-1", vec![truncated(), truncated(), truncated()]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let response = fleet.send(NON_IDEMPOTENT, "a1", &[], "x").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert_eq!(endpoint.received.borrow().len(), 1);
    });
}

#[test]
fn a_request_that_every_endpoint_refused_is_refused_with_retry_after() {
    run(async {
        let refusal = || vec![not_executed("503 Service Unavailable")];
        let one = FakeEndpoint::start("i-1", vec![refusal(); 3]).await;
        let other = FakeEndpoint::start("i-2", vec![refusal(); 3]).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        let response = fleet.send(NON_IDEMPOTENT, "a1", &[], "x").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        let wait: f64 =
            response.headers["retry-after"].to_str().expect("not text").parse().expect("not a number");
        assert!((0.1..2.0).contains(&wait), "{wait}");
        assert_eq!(
            (one.received.borrow().len(), other.received.borrow().len()),
            (1, 1),
            "each endpoint gets the request once"
        );
    });
}

#[test]
fn a_refusal_after_a_failure_is_not_reported_as_refusal() {
    run(async {
        let failed = vec![reply("500 Internal Server Error", "it ran")];
        let script: support::Script = Rc::new(std::cell::RefCell::new(
            vec![failed, vec![not_executed("503 Service Unavailable")]].into(),
        ));
        let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
        let other = FakeEndpoint::start_shared("i-2", script).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        let response = fleet.send(IDEMPOTENT, "a1", &[], "x").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "the request has run");
    });
}

/// `maxTries` counts the endpoints that may have run a request.
#[test]
fn max_tries_limits_the_endpoints_that_may_have_run_a_request() {
    run(async {
        let one = FakeEndpoint::start("i-1", vec![vec![Action::Reset]; 3]).await;
        let other = FakeEndpoint::start("i-2", vec![vec![Action::Reset]; 3]).await;
        let fleet = Fleet::start(&[route("again", "idempotent", 1, false)], &[&one, &other]).await;
        let response = fleet.send(IDEMPOTENT, "a1", &[], "x").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert_eq!(one.received.borrow().len() + other.received.borrow().len(), 1);
    });
}

#[test]
fn an_endpoint_that_has_not_run_a_request_does_not_count_for_max_tries() {
    run(async {
        let script: support::Script = Rc::new(std::cell::RefCell::new(
            vec![vec![not_executed("503 Service Unavailable")], vec![reply("200 OK", "fine")]].into(),
        ));
        let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
        let other = FakeEndpoint::start_shared("i-2", script).await;
        let fleet = Fleet::start(&[route("once", "non_idempotent", 1, false)], &[&one, &other]).await;
        let response = fleet.send(NON_IDEMPOTENT, "a1", &[], "x").await;
        assert_eq!((response.status, response.body.as_str()), (StatusCode::OK, "fine"));
        assert_eq!((one.received.borrow().len(), other.received.borrow().len()), (1, 1));
    });
}

#[test]
fn a_request_that_many_endpoints_refused_is_refused() {
    run(async {
        let refusal = || vec![not_executed("503 Service Unavailable")];
        let mut endpoints = Vec::new();
        for number in 0..8 {
            endpoints.push(FakeEndpoint::start(&format!("i-{number}"), vec![refusal(); 3]).await);
        }
        let endpoints: Vec<&FakeEndpoint> = endpoints.iter().collect();
        let routes = [route("once", "non_idempotent", 1, false)];
        let fleet = Fleet::start_with(&routes, &endpoints, "bounds.retrySlack=1000\n").await;
        let response = fleet.send(NON_IDEMPOTENT, "a1", &[], "x").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
        let arrivals: usize = endpoints.iter().map(|endpoint| endpoint.received.borrow().len()).sum();
        assert_eq!(arrivals, 4, "the first attempt and three retries");
    });
}

#[test]
fn an_endpoint_with_a_reassigned_address_is_skipped() {
    run(async {
        let other_service = vec![reply_with("421 Misdirected Request", "X-Instance: i-9\r\n", "")];
        let reused = FakeEndpoint::start("i-1", vec![other_service; 3]).await;
        let good = FakeEndpoint::start("i-2", vec![vec![reply("200 OK", "fine")]; 3]).await;
        let fleet = Fleet::start(&routes(), &[&reused, &good]).await;
        for number in 0..3 {
            let response = fleet.send(NON_IDEMPOTENT, &format!("a{number}"), &[], "x").await;
            assert!(response.status.is_success(), "it has not run, so it may be retried: {response:?}");
        }
    });
}

#[test]
fn a_response_to_another_request_is_detected_by_its_attempt_id() {
    run(async {
        let foreign = vec![reply_with("200 OK", "X-Attempt-Id: another\r\n", "not yours")];
        let endpoint = FakeEndpoint::start("i-1", vec![foreign]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let response = fleet.send(NON_IDEMPOTENT, "a1", &[], "x").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert!(!response.body.contains("not yours"));
    });
}

#[test]
fn a_second_response_after_the_first_is_discarded() {
    run(async {
        let Action::Send(twice) = reply("200 OK", "mine") else { panic!("not a send action") };
        let twice = vec![Action::Send(format!("{twice}{twice}"))];
        let endpoint = FakeEndpoint::start("i-1", vec![twice, vec![reply("200 OK", "second")]]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        assert_eq!(fleet.send(NON_IDEMPOTENT, "a1", &[], "x").await.body, "mine");
        let response = fleet.send(NON_IDEMPOTENT, "a2", &[], "x").await;
        assert_eq!((response.status, response.body.as_str()), (StatusCode::OK, "second"));
    });
}

#[test]
fn bytes_that_are_no_response_are_a_failure() {
    run(async {
        let endpoint = FakeEndpoint::start(
            "i-1",
            vec![vec![Action::Send("what is this\r\n\r\n".into()), Action::Close]],
        )
        .await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let response = fleet.send(NON_IDEMPOTENT, "a1", &[], "x").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert_eq!(endpoint.received.borrow().len(), 1);
    });
}

#[test]
fn an_endpoints_error_response_is_forwarded_unchanged() {
    run(async {
        let endpoint =
            FakeEndpoint::start("i-1", vec![vec![reply("500 Internal Server Error", "its own words")]])
                .await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let response = fleet.send(NON_IDEMPOTENT, "a1", &[], "x").await;
        assert_eq!(
            (response.status, response.body.as_str()),
            (StatusCode::INTERNAL_SERVER_ERROR, "its own words")
        );
        assert_eq!(response.headers["x-server-seal"], "s1");
    });
}

#[test]
fn a_timeout_at_the_endpoint_is_not_reported_as_refusal() {
    run(async {
        let never = Rc::new(Notify::new());
        let endpoint = FakeEndpoint::start("i-1", vec![vec![Action::Wait(never)]]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let response = fleet.send(NON_IDEMPOTENT, "a1", &[("x-time-budget-ms", "300")], "x").await;
        assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    });
}

#[test]
fn a_draining_endpoint_gets_no_new_requests() {
    run(async {
        let draining = FakeEndpoint::start("i-1", vec![]).await;
        let remaining = FakeEndpoint::start("i-2", vec![]).await;
        let fleet = Fleet::start(&routes(), &[&draining, &remaining]).await;
        fleet.gossip.merge(vec![draining.record(EndpointState::Draining, 2)], None);
        fleet.wait_for_log("endpoints.ready", "\"count\":1").await;
        // An outdated record that arrives late is ignored.
        fleet.gossip.merge(vec![draining.record(EndpointState::Ready, 1)], None);
        for number in 0..8 {
            assert!(fleet.send(IDEMPOTENT, &format!("a{number}"), &[], "x").await.status.is_success());
        }
        assert_eq!(draining.received.borrow().len(), 0);
    });
}

#[test]
fn without_endpoints_requests_are_refused_immediately() {
    run(async {
        let fleet = Fleet::start(&routes(), &[]).await;
        assert!(!fleet.is_ready().await);
        let response = fleet.send(NON_IDEMPOTENT, "a1", &[], "x").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
    });
}

#[test]
fn routes_follow_the_newest_configuration() {
    run(async {
        let endpoint = FakeEndpoint::start("i-1", vec![]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        assert_eq!(fleet.send("/later/x", "a1", &[], "x").await.status, StatusCode::NOT_FOUND);
        fleet.configure(4, &[route("later", "idempotent", 1, false)]).await;
        assert_eq!(fleet.send("/later/x", "a2", &[], "x").await.status, StatusCode::OK);
        assert_eq!(fleet.send(IDEMPOTENT, "a3", &[], "x").await.status, StatusCode::NOT_FOUND);
        // An older configuration that arrives late is ignored.
        fleet.gossip.take_config(2, support::config(2, &routes()).into_bytes());
        assert_eq!(fleet.send("/later/x", "a4", &[], "x").await.status, StatusCode::OK);
    });
}

#[test]
fn a_body_over_the_limit_is_refused() {
    run(async {
        let endpoint = FakeEndpoint::start("i-1", vec![]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let response = fleet.send(NON_IDEMPOTENT, "a1", &[], &"x".repeat(100_001)).await;
        assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(endpoint.received.borrow().len(), 0);
    });
}

#[test]
fn retries_end_when_the_budget_is_exhausted() {
    run(async {
        let refusal = || vec![not_executed("503 Service Unavailable")];
        let one = FakeEndpoint::start("i-1", vec![refusal(); 60]).await;
        let other = FakeEndpoint::start("i-2", vec![refusal(); 60]).await;
        // The fleet's retry slack is 8, and a proxy assumes a fleet of sixteen proxies until the agent reports their
        // number.
        let fleet = Fleet::start_with(&routes(), &[&one, &other], "bounds.retrySlack=8\n").await;
        for number in 0..30 {
            let response = fleet.send(NON_IDEMPOTENT, &format!("a{number}"), &[], "x").await;
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        }
        let retries = one.received.borrow().len() + other.received.borrow().len() - 30;
        assert!((1..=6).contains(&retries), "{retries} retries");
    });
}

#[test]
fn connections_are_reused() {
    run(async {
        let endpoint = FakeEndpoint::start("i-1", vec![]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        for number in 0..5 {
            assert!(fleet.send(NON_IDEMPOTENT, &format!("a{number}"), &[], "x").await.status.is_success());
        }
        assert_eq!(endpoint.connections.get(), 1);
    });
}

#[test]
fn a_connection_that_its_endpoint_is_about_to_close_is_not_reused() {
    run(async {
        let closing = vec![reply_with("200 OK", "Connection: close\r\n", "x")];
        let soon = vec![reply_with("200 OK", "Keep-Alive: timeout=0\r\n", "x")];
        let endpoint = FakeEndpoint::start("i-1", vec![closing, soon]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        for number in 0..3 {
            assert!(fleet.send(NON_IDEMPOTENT, &format!("a{number}"), &[], "x").await.status.is_success());
        }
        assert_eq!(endpoint.connections.get(), 3);
    });
}

#[test]
fn graceful_shutdown_completes_open_requests_and_withdraws_readiness() {
    run(async {
        let proceed = Rc::new(Notify::new());
        let endpoint = FakeEndpoint::start(
            "i-1",
            vec![vec![Action::Wait(proceed.clone()), reply("200 OK", "at last")]],
        )
        .await;
        let mut fleet = Fleet::start(&routes(), &[&endpoint]).await;
        assert!(fleet.is_ready().await);
        let front = Rc::new(fleet.front);
        let request_task = {
            let stream =
                tokio::net::TcpStream::connect(*front).await.expect("failed to connect to the proxy");
            let (mut sender, connection) =
                hyper::client::conn::http1::handshake(hyper_util::rt::TokioIo::new(stream))
                    .await
                    .expect("failed to connect");
            spawn_local(async move {
                let _ = connection.await;
            });
            let request = hyper::Request::post(NON_IDEMPOTENT)
                .header("host", "h.example")
                .header("x-time-budget-ms", "8000")
                .body(http_body_util::Full::new(bytes::Bytes::from_static(b"x")))
                .expect("invalid request");
            spawn_local(
                async move { sender.send_request(request).await.expect("failed to read the response") },
            )
        };
        endpoint.request_received().await;
        fleet.terminate();
        fleet.wait_for_log("proxy.terminate", "").await;
        assert!(!fleet.is_ready().await, "the platform must not send new connections");
        proceed.notify_one();
        let response = request_task.await.expect("the task panicked");
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.headers()["connection"], "close");
        let ended = tokio::time::timeout(support::TEST_TIMEOUT, fleet.child.wait())
            .await
            .expect("timed out waiting for the end");
        assert!(ended.expect("failed to wait for the proxy").success());
    });
}

#[test]
fn a_suspect_endpoint_gets_no_requests_until_it_is_cleared() {
    run(async {
        let endpoints = [
            FakeEndpoint::start("i-1", vec![]).await,
            FakeEndpoint::start("i-2", vec![]).await,
            FakeEndpoint::start("i-3", vec![]).await,
        ];
        let fleet = Fleet::start(&routes(), &[&endpoints[0], &endpoints[1], &endpoints[2]]).await;
        let report_suspects = |ids: &[&str]| {
            let keys: Vec<u64> = ids.iter().map(|id| runtrack_registry::key_of(id)).collect();
            fleet.gossip.broadcast(&Message::Suspects(keys.into()), None);
        };
        report_suspects(&["i-1"]);
        fleet.wait_for_log("endpoints.ready", "\"count\":2").await;
        for number in 0..8 {
            assert!(fleet.send(IDEMPOTENT, &format!("a{number}"), &[], "x").await.status.is_success());
        }
        assert_eq!(endpoints[0].received.borrow().len(), 0);
        report_suspects(&[]);
        fleet.wait_for_log("endpoints.ready", "\"count\":3").await;
        // If most endpoints are suspect, none are excluded, since the fault is more likely on the proxy's side.
        report_suspects(&["i-1", "i-2"]);
        assert!(fleet.send(IDEMPOTENT, "b", &[], "x").await.status.is_success());
        report_suspects(&["i-1"]);
        fleet.wait_for_log("endpoints.ready", "\"count\":2").await;
    });
}
