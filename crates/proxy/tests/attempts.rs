//! Requests that may run once, and those that may run again, against endpoints in trouble.

mod support;

use hyper::StatusCode;
use runtrack_message::{EndpointState, Message};
use std::rc::Rc;
use support::{Act, Fleet, ID_LINE, Stand, answer, answer_with, not_executed, route, run};
use tokio::sync::Notify;
use tokio::task::spawn_local;

const ONCE: &str = "/once/x?q=1";
const AGAIN: &str = "/again/x";

fn routes() -> Vec<String> {
    vec![route("once", "non_idempotent", 3, false), route("again", "idempotent", 3, false)]
}

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    run(async {
        let stand =
            Stand::start("i-1", vec![vec![answer_with("201 Created", "X-Own: yes\r\n", "made")]]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let headers =
            [("x-model", "m"), ("connection", "x-hop"), ("x-hop", "1"), ("x-time-budget-ms", "5000")];
        let got = fleet.ask(ONCE, "a1", &headers, "the body").await;
        assert_eq!((got.status, got.body.as_str(), got.whole), (StatusCode::CREATED, "made", true));
        assert_eq!(got.headers["x-server-seal"], "s1");
        assert_eq!(got.headers["x-own"], "yes");
        let seen = stand.seen.borrow()[0].clone();
        assert!(seen.head.starts_with("POST /once/x?q=1 HTTP/1.1\r\n"), "{}", seen.head);
        assert_eq!(seen.body, b"the body");
        assert_eq!(seen.header("host"), Some("h.example"));
        assert_eq!(seen.header("x-attempt-id"), Some("a1"));
        assert_eq!(seen.header("x-target-instance"), Some("i-1"));
        assert_eq!(seen.header("x-model"), Some("m"));
        assert_eq!(seen.header("x-hop"), None, "it concerns the client's connection only");
        let left: u64 = seen.header("x-time-budget-ms").expect("a time").parse().expect("a number");
        assert!((4000..5000).contains(&left), "{left}");
    });
}

#[test]
fn a_non_idempotent_request_is_not_retried_after_a_reset() {
    run(async {
        let one = Stand::start("i-1", vec![vec![Act::Reset]; 4]).await;
        let other = Stand::start("i-2", vec![vec![Act::Reset]; 4]).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        let got = fleet.ask(ONCE, "a1", &[], "x").await;
        assert_eq!(got.status, StatusCode::BAD_GATEWAY, "no promise may be given");
        assert_eq!(got.headers.get("retry-after"), None);
        assert_eq!(one.seen.borrow().len() + other.seen.borrow().len(), 1);
    });
}

#[test]
fn a_non_idempotent_request_is_sent_once_for_any_connection_end() {
    let never = Rc::new(Notify::new());
    let ends: Vec<(&str, Vec<Act>, StatusCode)> = vec![
        ("a close", vec![Act::Close], StatusCode::BAD_GATEWAY),
        ("a half-close", vec![Act::HalfClose, Act::Wait(never.clone())], StatusCode::BAD_GATEWAY),
        (
            "a close within the head",
            vec![Act::Send("HTTP/1.1 20".into()), Act::Close],
            StatusCode::BAD_GATEWAY,
        ),
        ("silence", vec![Act::Wait(never)], StatusCode::GATEWAY_TIMEOUT),
    ];
    run(async move {
        let mut wrong = Vec::new();
        for (name, end, status) in ends {
            let script: support::Script = Rc::new(std::cell::RefCell::new(vec![end.clone(), end].into()));
            let one = Stand::start_shared("i-1", script.clone()).await;
            let other = Stand::start_shared("i-2", script).await;
            let fleet = Fleet::start(&routes(), &[&one, &other]).await;
            let got = fleet.ask(ONCE, "a1", &[("x-time-budget-ms", "600")], "x").await;
            let runs = one.seen.borrow().len() + other.seen.borrow().len();
            wrong.extend(((got.status, runs) != (status, 1)).then_some((name, got.status, runs)));
        }
        assert_eq!(wrong, []);
    });
}

#[test]
fn an_idempotent_request_is_retried_after_a_reset() {
    run(async {
        let one = Stand::start("i-1", vec![vec![Act::Reset], vec![answer("200 OK", "fine")]]).await;
        let other = Stand::start("i-2", vec![vec![answer("200 OK", "fine")]]).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        for number in 0..6 {
            let got = fleet.ask(AGAIN, &format!("a{number}"), &[], "x").await;
            assert!(got.status.is_success(), "{got:?}");
        }
    });
}

#[test]
fn a_truncated_response_is_not_forwarded_as_complete() {
    run(async {
        let cut = || {
            vec![
                Act::Send(format!(
                    "HTTP/1.1 200 OK\r\n{ID_LINE}X-Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf"
                )),
                Act::Close,
            ]
        };
        let stand = Stand::start("i-1", vec![cut(), cut(), cut()]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let got = fleet.ask(ONCE, "a1", &[], "x").await;
        assert_eq!(got.status, StatusCode::BAD_GATEWAY);
        assert_eq!(stand.seen.borrow().len(), 1);
    });
}

#[test]
fn a_request_that_every_endpoint_refused_is_refused_with_retry_after() {
    run(async {
        let full = || vec![not_executed("503 Service Unavailable")];
        let one = Stand::start("i-1", vec![full(); 3]).await;
        let other = Stand::start("i-2", vec![full(); 3]).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        let got = fleet.ask(ONCE, "a1", &[], "x").await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
        let wait: f64 = got.headers["retry-after"].to_str().expect("text").parse().expect("seconds");
        assert!((0.1..2.0).contains(&wait), "{wait}");
        assert_eq!((one.seen.borrow().len(), other.seen.borrow().len()), (1, 1), "each was asked once");
    });
}

#[test]
fn a_refusal_after_a_failure_is_not_reported_as_refusal() {
    run(async {
        let failed = vec![answer("500 Internal Server Error", "it ran")];
        let script: support::Script = Rc::new(std::cell::RefCell::new(
            vec![failed, vec![not_executed("503 Service Unavailable")]].into(),
        ));
        let one = Stand::start_shared("i-1", script.clone()).await;
        let other = Stand::start_shared("i-2", script).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        let got = fleet.ask(AGAIN, "a1", &[], "x").await;
        assert_eq!(got.status, StatusCode::BAD_GATEWAY, "it has run");
    });
}

/// The rules count the endpoints that run a request.
#[test]
fn max_tries_limits_the_endpoints_that_may_have_run_a_request() {
    run(async {
        let one = Stand::start("i-1", vec![vec![Act::Reset]; 3]).await;
        let other = Stand::start("i-2", vec![vec![Act::Reset]; 3]).await;
        let fleet = Fleet::start(&[route("again", "idempotent", 1, false)], &[&one, &other]).await;
        let got = fleet.ask(AGAIN, "a1", &[], "x").await;
        assert_eq!(got.status, StatusCode::BAD_GATEWAY);
        assert_eq!(one.seen.borrow().len() + other.seen.borrow().len(), 1);
    });
}

#[test]
fn an_endpoint_that_has_not_run_a_request_does_not_count_for_max_tries() {
    run(async {
        let script: support::Script = Rc::new(std::cell::RefCell::new(
            vec![vec![not_executed("503 Service Unavailable")], vec![answer("200 OK", "fine")]].into(),
        ));
        let one = Stand::start_shared("i-1", script.clone()).await;
        let other = Stand::start_shared("i-2", script).await;
        let fleet = Fleet::start(&[route("once", "non_idempotent", 1, false)], &[&one, &other]).await;
        let got = fleet.ask(ONCE, "a1", &[], "x").await;
        assert_eq!((got.status, got.body.as_str()), (StatusCode::OK, "fine"));
        assert_eq!((one.seen.borrow().len(), other.seen.borrow().len()), (1, 1));
    });
}

#[test]
fn a_request_that_many_endpoints_refused_is_refused() {
    run(async {
        let full = || vec![not_executed("503 Service Unavailable")];
        let mut stands = Vec::new();
        for number in 0..8 {
            stands.push(Stand::start(&format!("i-{number}"), vec![full(); 3]).await);
        }
        let stands: Vec<&Stand> = stands.iter().collect();
        let routes = [route("once", "non_idempotent", 1, false)];
        let fleet = Fleet::start_with(&routes, &stands, "bounds.retrySlack=1000\n").await;
        let got = fleet.ask(ONCE, "a1", &[], "x").await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(got.headers.contains_key("retry-after"));
        let arrivals: usize = stands.iter().map(|stand| stand.seen.borrow().len()).sum();
        assert_eq!(arrivals, 4, "the first one and three more");
    });
}

#[test]
fn an_endpoint_with_a_reassigned_address_is_skipped() {
    run(async {
        let other_service = vec![answer_with("421 Misdirected Request", "X-Instance: i-9\r\n", "")];
        let reused = Stand::start("i-1", vec![other_service; 3]).await;
        let good = Stand::start("i-2", vec![vec![answer("200 OK", "fine")]; 3]).await;
        let fleet = Fleet::start(&routes(), &[&reused, &good]).await;
        for number in 0..3 {
            let got = fleet.ask(ONCE, &format!("a{number}"), &[], "x").await;
            assert!(got.status.is_success(), "it has not run, so it may be sent again: {got:?}");
        }
    });
}

#[test]
fn a_response_to_another_request_is_detected_by_its_attempt_id() {
    run(async {
        let surplus = vec![answer_with("200 OK", "X-Attempt-Id: another\r\n", "not yours")];
        let stand = Stand::start("i-1", vec![surplus]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let got = fleet.ask(ONCE, "a1", &[], "x").await;
        assert_eq!(got.status, StatusCode::BAD_GATEWAY);
        assert!(!got.body.contains("not yours"));
    });
}

#[test]
fn a_second_response_after_the_first_is_discarded() {
    run(async {
        let Act::Send(twice) = answer("200 OK", "mine") else { panic!("an answer") };
        let twice = vec![Act::Send(format!("{twice}{twice}"))];
        let stand = Stand::start("i-1", vec![twice, vec![answer("200 OK", "second")]]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        assert_eq!(fleet.ask(ONCE, "a1", &[], "x").await.body, "mine");
        let got = fleet.ask(ONCE, "a2", &[], "x").await;
        assert_eq!((got.status, got.body.as_str()), (StatusCode::OK, "second"));
    });
}

#[test]
fn bytes_that_are_no_response_are_a_failure() {
    run(async {
        let stand =
            Stand::start("i-1", vec![vec![Act::Send("what is this\r\n\r\n".into()), Act::Close]]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let got = fleet.ask(ONCE, "a1", &[], "x").await;
        assert_eq!(got.status, StatusCode::BAD_GATEWAY);
        assert_eq!(stand.seen.borrow().len(), 1);
    });
}

#[test]
fn an_endpoints_error_response_is_forwarded_unchanged() {
    run(async {
        let stand =
            Stand::start("i-1", vec![vec![answer("500 Internal Server Error", "its own words")]]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let got = fleet.ask(ONCE, "a1", &[], "x").await;
        assert_eq!((got.status, got.body.as_str()), (StatusCode::INTERNAL_SERVER_ERROR, "its own words"));
        assert_eq!(got.headers["x-server-seal"], "s1");
    });
}

#[test]
fn a_timeout_at_the_endpoint_is_not_reported_as_refusal() {
    run(async {
        let never = Rc::new(Notify::new());
        let stand = Stand::start("i-1", vec![vec![Act::Wait(never)]]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let got = fleet.ask(ONCE, "a1", &[("x-time-budget-ms", "300")], "x").await;
        assert_eq!(got.status, StatusCode::GATEWAY_TIMEOUT);
    });
}

#[test]
fn a_draining_endpoint_gets_no_new_requests() {
    run(async {
        let leaving = Stand::start("i-1", vec![]).await;
        let staying = Stand::start("i-2", vec![]).await;
        let fleet = Fleet::start(&routes(), &[&leaving, &staying]).await;
        fleet.gossip.merge(vec![leaving.record(EndpointState::Draining, 2)], None);
        fleet.logged("endpoints.ready", "\"count\":1").await;
        // A word of before comes late.
        fleet.gossip.merge(vec![leaving.record(EndpointState::Ready, 1)], None);
        for number in 0..8 {
            assert!(fleet.ask(AGAIN, &format!("a{number}"), &[], "x").await.status.is_success());
        }
        assert_eq!(leaving.seen.borrow().len(), 0);
    });
}

#[test]
fn without_endpoints_requests_are_refused_immediately() {
    run(async {
        let fleet = Fleet::start(&routes(), &[]).await;
        assert!(!fleet.is_ready().await);
        let got = fleet.ask(ONCE, "a1", &[], "x").await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(got.headers.contains_key("retry-after"));
    });
}

#[test]
fn routes_follow_the_newest_configuration() {
    run(async {
        let stand = Stand::start("i-1", vec![]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        assert_eq!(fleet.ask("/later/x", "a1", &[], "x").await.status, StatusCode::NOT_FOUND);
        fleet.configure(4, &[route("later", "idempotent", 1, false)]).await;
        assert_eq!(fleet.ask("/later/x", "a2", &[], "x").await.status, StatusCode::OK);
        assert_eq!(fleet.ask(AGAIN, "a3", &[], "x").await.status, StatusCode::NOT_FOUND);
        // An older one that comes late changes nothing.
        fleet.gossip.take_config(2, support::config(2, &routes()).into_bytes());
        assert_eq!(fleet.ask("/later/x", "a4", &[], "x").await.status, StatusCode::OK);
    });
}

#[test]
fn a_body_over_the_limit_is_refused() {
    run(async {
        let stand = Stand::start("i-1", vec![]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let got = fleet.ask(ONCE, "a1", &[], &"x".repeat(100_001)).await;
        assert_eq!(got.status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(stand.seen.borrow().len(), 0);
    });
}

#[test]
fn retries_end_when_the_budget_is_exhausted() {
    run(async {
        let full = || vec![not_executed("503 Service Unavailable")];
        let one = Stand::start("i-1", vec![full(); 60]).await;
        let other = Stand::start("i-2", vec![full(); 60]).await;
        // The fleet's slack is 8, and this proxy counts itself as one of sixteen until it hears of others.
        let fleet = Fleet::start_with(&routes(), &[&one, &other], "bounds.retrySlack=8\n").await;
        for number in 0..30 {
            let got = fleet.ask(ONCE, &format!("a{number}"), &[], "x").await;
            assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
        }
        let second = one.seen.borrow().len() + other.seen.borrow().len() - 30;
        assert!((1..=6).contains(&second), "{second} second sends");
    });
}

#[test]
fn connections_are_reused() {
    run(async {
        let stand = Stand::start("i-1", vec![]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        for number in 0..5 {
            assert!(fleet.ask(ONCE, &format!("a{number}"), &[], "x").await.status.is_success());
        }
        assert_eq!(stand.connections.get(), 1);
    });
}

#[test]
fn a_connection_that_its_endpoint_is_about_to_close_is_not_reused() {
    run(async {
        let closing = vec![answer_with("200 OK", "Connection: close\r\n", "x")];
        let soon = vec![answer_with("200 OK", "Keep-Alive: timeout=0\r\n", "x")];
        let stand = Stand::start("i-1", vec![closing, soon]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        for number in 0..3 {
            assert!(fleet.ask(ONCE, &format!("a{number}"), &[], "x").await.status.is_success());
        }
        assert_eq!(stand.connections.get(), 3);
    });
}

#[test]
fn graceful_shutdown_completes_open_requests_and_withdraws_readiness() {
    run(async {
        let go_on = Rc::new(Notify::new());
        let stand =
            Stand::start("i-1", vec![vec![Act::Wait(go_on.clone()), answer("200 OK", "at last")]]).await;
        let mut fleet = Fleet::start(&routes(), &[&stand]).await;
        assert!(fleet.is_ready().await);
        let front = Rc::new(fleet.front);
        let asking = {
            let stream = tokio::net::TcpStream::connect(*front).await.expect("the proxy listens");
            let (mut sender, connection) =
                hyper::client::conn::http1::handshake(hyper_util::rt::TokioIo::new(stream))
                    .await
                    .expect("connected");
            spawn_local(async move {
                let _ = connection.await;
            });
            let request = hyper::Request::post(ONCE)
                .header("host", "h.example")
                .header("x-time-budget-ms", "8000")
                .body(http_body_util::Full::new(bytes::Bytes::from_static(b"x")))
                .expect("a request");
            spawn_local(async move { sender.send_request(request).await.expect("an answer") })
        };
        stand.came().await;
        fleet.terminate();
        fleet.logged("proxy.terminate", "").await;
        assert!(!fleet.is_ready().await, "the platform sends nobody any more");
        go_on.notify_one();
        let response = asking.await.expect("it is asked");
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.headers()["connection"], "close");
        let ended = tokio::time::timeout(support::PATIENCE, fleet.child.wait()).await.expect("it ends");
        assert!(ended.expect("it ran").success());
    });
}

#[test]
fn a_suspect_endpoint_gets_no_requests_until_it_is_cleared() {
    run(async {
        let stands = [
            Stand::start("i-1", vec![]).await,
            Stand::start("i-2", vec![]).await,
            Stand::start("i-3", vec![]).await,
        ];
        let fleet = Fleet::start(&routes(), &[&stands[0], &stands[1], &stands[2]]).await;
        let silent = |ids: &[&str]| {
            let keys: Vec<u64> = ids.iter().map(|id| runtrack_registry::key_of(id)).collect();
            fleet.gossip.broadcast(&Message::Suspects(keys.into()), None);
        };
        silent(&["i-1"]);
        fleet.logged("endpoints.ready", "\"count\":2").await;
        for number in 0..8 {
            assert!(fleet.ask(AGAIN, &format!("a{number}"), &[], "x").await.status.is_success());
        }
        assert_eq!(stands[0].seen.borrow().len(), 0);
        silent(&[]);
        fleet.logged("endpoints.ready", "\"count\":3").await;
        // Where most are said to be silent, the silence is rather on this side.
        silent(&["i-1", "i-2"]);
        assert!(fleet.ask(AGAIN, "b", &[], "x").await.status.is_success());
        silent(&["i-1"]);
        fleet.logged("endpoints.ready", "\"count\":2").await;
    });
}
