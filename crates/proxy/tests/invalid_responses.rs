//! Invalid responses of endpoints: only a complete response to this request is forwarded to the client.

mod support;

use hyper::StatusCode;
use support::scenarios::{self, Observed};
use support::{reply_with, route, run};

fn routes() -> Vec<String> {
    vec![route("once", "non_idempotent", 3, false), route("again", "idempotent", 3, false)]
}

/// Responses with heads that do not belong to the request, or with unconfirmed refusals: whether the request ran is
/// unknown.
fn unknown_responses() -> Vec<(&'static str, String)> {
    let with = |status: &str, headers: &str| {
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 4\r\n\r\nbody")
    };
    let seal = "X-Server-Seal: s1\r\n";
    let id = support::ID_LINE;
    let ours = format!("{id}{seal}");
    vec![
        ("no id", with("200 OK", seal)),
        ("another id", with("200 OK", &format!("X-Attempt-Id: other\r\n{seal}"))),
        ("two ids", with("200 OK", &format!("{ours}X-Attempt-Id: other\r\n"))),
        ("a refusal without an id", with("503 Service Unavailable", "X-Not-Executed: 1\r\n")),
        (
            "a refusal of another request",
            with("429 Too Many Requests", "X-Attempt-Id: other\r\nX-Not-Executed: 1\r\n"),
        ),
        ("a body with an encoding", with("200 OK", &format!("{ours}Content-Encoding: gzip\r\n"))),
        ("the identity encoding", with("200 OK", &format!("{ours}Content-Encoding: identity\r\n"))),
        ("a success without a seal", with("200 OK", id)),
        ("a success with an empty seal", with("200 OK", &format!("{id}X-Server-Seal:\r\n"))),
        ("a success that was not executed", with("200 OK", &format!("{ours}X-Not-Executed: 1\r\n"))),
        ("a success of another endpoint", with("200 OK", &format!("{ours}X-Instance: i-9\r\n"))),
        (
            "another protocol",
            format!("HTTP/1.1 101 Switching Protocols\r\n{ours}Connection: upgrade\r\n\r\n"),
        ),
        ("a status of no class", with("742 What", &ours)),
        ("503 without X-Not-Executed", with("503 Service Unavailable", &ours)),
        ("429 without X-Not-Executed", with("429 Too Many Requests", &ours)),
        ("408 without X-Not-Executed", with("408 Request Timeout", &ours)),
        ("misdirected without an id", with("421 Misdirected Request", seal)),
    ]
}

#[test]
fn an_invalid_response_fails_a_non_idempotent_request() {
    let failed = Observed { status: StatusCode::BAD_GATEWAY, body: scenarios::FAILED.into(), runs: 1 };
    run(async {
        let mut wrong = Vec::new();
        for (name, bytes) in unknown_responses() {
            let observed = scenarios::send_non_idempotent(&bytes, None).await;
            wrong.extend((observed != failed).then_some((name, observed)));
        }
        assert_eq!(wrong, []);
    });
}

#[test]
fn an_invalid_response_to_an_idempotent_request_is_retried() {
    let served = Observed { status: StatusCode::OK, body: "fine".into(), runs: 2 };
    run(async {
        let mut wrong = Vec::new();
        for (name, bytes) in unknown_responses() {
            let observed = scenarios::send_idempotent(&bytes, None).await;
            wrong.extend((observed != served).then_some((name, observed)));
        }
        assert_eq!(wrong, []);
    });
}

#[test]
fn a_request_without_an_id_uses_a_new_connection() {
    run(async {
        let endpoint = support::FakeEndpoint::start("i-1", vec![]).await;
        let fleet = support::Fleet::start(&routes(), &[&endpoint]).await;
        assert_eq!(fleet.send("/once/x", "a1", &[], "x").await.status, StatusCode::OK);
        assert_eq!(fleet.send("/once/x", "", &[], "x").await.status, StatusCode::OK);
        assert_eq!(fleet.send("/once/x", "", &[], "x").await.status, StatusCode::OK);
        assert_eq!(endpoint.connections.get(), 3, "a response to an earlier request must not be used");
        assert_eq!(fleet.send("/once/x", "a2", &[], "x").await.status, StatusCode::OK);
        assert_eq!(endpoint.connections.get(), 3);
    });
}

#[test]
fn an_endpoints_refusal_of_a_request_without_an_id_is_accepted() {
    run(async {
        let refused = vec![reply_with("400 Bad Request", "X-Not-Executed: 1\r\n", "")];
        let endpoint = support::FakeEndpoint::start("i-1", vec![refused]).await;
        let fleet = support::Fleet::start(&routes(), &[&endpoint]).await;
        assert_eq!(fleet.send("/once/x", "", &[], "x").await.status, StatusCode::SERVICE_UNAVAILABLE);
        let other = vec![reply_with("200 OK", "X-Attempt-Id: other\r\n", "not yours")];
        let endpoint = support::FakeEndpoint::start("i-1", vec![other]).await;
        let fleet = support::Fleet::start(&routes(), &[&endpoint]).await;
        assert_eq!(fleet.send("/once/x", "", &[], "x").await.status, StatusCode::BAD_GATEWAY);
    });
}
