//! Response bodies of endpoints: complete, truncated, too long, without a length, ending within an event, and sent
//! before the request body was received.

mod support;

use hyper::StatusCode;
use runtrack_proxy::EventTracker;
use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Action, ClientResponse, FakeEndpoint, Fleet, ID_LINE, RawClient, Script, chunk, event, request, route,
    run, stream_head,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const SEAL: &str = "X-Server-Seal: s1\r\n";

fn routes() -> Vec<String> {
    vec![
        route("once", "non_idempotent", 3, false),
        route("again", "idempotent", 3, false),
        route("stream", "streaming", 3, false),
        route("resumed", "streaming", 3, true),
    ]
}

fn sealed(rest: &str) -> Action {
    Action::Send(format!("HTTP/1.1 200 OK\r\n{ID_LINE}{SEAL}{rest}"))
}

/// The responses to two consecutive requests, of which the first is answered by these actions.
async fn first_and_second(path: &str, actions: Vec<Action>) -> (ClientResponse, ClientResponse) {
    let endpoint = FakeEndpoint::start("i-1", vec![actions]).await;
    let fleet = Fleet::start(&routes(), &[&endpoint]).await;
    (fleet.send(path, "a1", &[], "x").await, fleet.send(path, "a2", &[], "x").await)
}

#[test]
fn bodies_are_delimited_correctly() {
    let cases: Vec<(&str, Vec<Action>, Option<&str>)> = vec![
        ("a length", vec![sealed("Content-Length: 4\r\n\r\nbody")], Some("body")),
        ("no length, an end", vec![sealed("\r\nbody"), Action::Close], Some("body")),
        ("no length, a reset", vec![sealed("\r\nbody"), Action::Reset], None),
        ("too short", vec![sealed("Content-Length: 9\r\n\r\nbody"), Action::Close], None),
        ("too long", vec![sealed("Content-Length: 4\r\n\r\nbody and more")], Some("body")),
        (
            "two lengths",
            vec![sealed("Content-Length: 4\r\nContent-Length: 9\r\n\r\nbody"), Action::Close],
            None,
        ),
        ("a negative length", vec![sealed("Content-Length: -4\r\n\r\nbody"), Action::Close], None),
        (
            "chunks without their end",
            vec![sealed("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"), Action::Close],
            None,
        ),
        (
            "chunks of no size",
            vec![sealed("Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n"), Action::Close],
            None,
        ),
        (
            "trailers",
            vec![sealed(
                "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Server-Seal: other\r\n\r\n",
            )],
            Some("body"),
        ),
        (
            "heads before the head",
            vec![
                Action::Send(
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".into(),
                ),
                sealed("Content-Length: 4\r\n\r\nbody"),
            ],
            Some("body"),
        ),
        (
            "a second response",
            vec![sealed("Content-Length: 4\r\n\r\nbody"), sealed("Content-Length: 5\r\n\r\nagain")],
            Some("body"),
        ),
        (
            "a status line that is none",
            vec![Action::Send("HTTP/1.1 two hundred\r\n\r\n".into()), Action::Close],
            None,
        ),
    ];
    run(async move {
        let mut wrong = Vec::new();
        for (name, actions, body) in cases {
            let (first, second) = first_and_second("/once/x", actions).await;
            let as_expected = match body {
                Some(body) => first.status == StatusCode::OK && first.complete && first.body == body,
                None => first.status == StatusCode::BAD_GATEWAY,
            };
            let unharmed = second.status == StatusCode::OK && second.body == "unscripted";
            wrong.extend((!as_expected || !unharmed).then_some((name, first, second)));
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

#[test]
fn a_stream_without_a_length_that_ends_within_an_event_is_truncated() {
    run(async {
        let actions = vec![sealed(&format!("\r\n{}id: 2\ndata: pie", event(1))), Action::Close];
        let (first, second) = first_and_second("/stream/x", actions).await;
        assert!(!first.complete, "{first:?}");
        assert_eq!(second.status, StatusCode::OK);
        let actions = vec![sealed(&format!("\r\n{}{}", event(1), event(2))), Action::Close];
        let (first, _) = first_and_second("/stream/x", actions).await;
        assert!(first.complete, "{first:?}");
    });
}

#[test]
fn bytes_outside_complete_events_of_a_resumable_stream_are_forwarded() {
    run(async {
        let plain = vec![stream_head("s1"), chunk("no event"), support::last_chunk()];
        let (first, second) = first_and_second("/resumed/x", plain).await;
        assert_eq!((first.body.as_str(), first.complete), ("no event", true));
        assert_eq!(second.status, StatusCode::OK);
    });
}

/// The response to a request whose stream fails at one endpoint and is sent on to another one.
async fn resume(failing: Vec<Action>, resuming: Vec<Action>) -> ClientResponse {
    let script: Script = Rc::new(RefCell::new(vec![failing, resuming].into()));
    let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
    let other = FakeEndpoint::start_shared("i-2", script).await;
    let fleet = Fleet::start(&routes(), &[&one, &other]).await;
    fleet.send("/resumed/x", "a1", &[], "x").await
}

#[test]
fn a_stream_without_a_length_that_ends_within_an_event_is_resumed() {
    run(async {
        let failing = vec![sealed(&format!("\r\n{}id: 2\ndata: pie", event(1))), Action::Close];
        let response =
            resume(failing, vec![stream_head("s2"), chunk(&event(2)), support::last_chunk()]).await;
        assert!(response.complete, "{response:?}");
        assert_eq!(response.body, event(1) + &event(2));
    });
}

#[test]
fn a_resumed_stream_that_repeats_events_is_not_appended() {
    run(async {
        let failing = vec![stream_head("s1"), chunk(&event(1)), chunk(&event(2)), Action::Close];
        let repeating = vec![
            stream_head("s2"),
            chunk(&event(1)),
            chunk(&event(2)),
            chunk(&event(3)),
            support::last_chunk(),
        ];
        let response = resume(failing, repeating).await;
        assert!(!response.complete, "{response:?}");
        assert_eq!(response.body, event(1) + &event(2));
    });
}

#[test]
fn a_stream_is_not_resumed_after_an_event_forwarded_in_parts() {
    let mut events = EventTracker::default();
    assert!(events.push(event(1).as_bytes()).is_some());
    assert_eq!(events.last_id(), Some("1"));
    let long = format!("id: 2\ndata: {}", "x".repeat(300 << 10));
    assert!(events.push(long.as_bytes()).is_some(), "it is too long to be buffered");
    assert_eq!(events.last_id(), None, "part of an event has been forwarded");
    assert!(events.push(b"\n\n").is_some());
    assert!(events.push(event(3).as_bytes()).is_some());
    assert_eq!(events.last_id(), None);
}

#[test]
fn an_early_response_leaves_only_the_request_body_on_the_connection() {
    const BODY: usize = 24 << 20;
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind");
        let mut endpoint = FakeEndpoint::start("i-1", vec![]).await;
        let std::net::SocketAddr::V4(address) = listener.local_addr().expect("no local address") else {
            panic!("not an IPv4 address")
        };
        endpoint.address = address;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let large = support::config(2, &routes()).replace("100000", "50000000");
        fleet.gossip.take_config(2, large.into_bytes());
        fleet.wait_for_log("config.in_force", "\"version\":2").await;
        let body = "b".repeat(BODY);
        let send_request = fleet.send("/once/x", "a1", &[], &body);
        let respond_early = async {
            let (mut first, _) = listener.accept().await.expect("failed to accept");
            let mut head = vec![0; 1024];
            first.read_exact(&mut head).await.expect("failed to read");
            let early =
                format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n{SEAL}Content-Length: 5\r\n\r\nearly");
            first.write_all(early.as_bytes()).await.expect("failed to write");
            (first, head)
        };
        let (response, (mut first, mut read)) = tokio::join!(send_request, respond_early);
        assert_eq!((response.status, response.body.as_str()), (StatusCode::OK, "early"));
        // The next request is sent while the rest of the first request's body is still outstanding.
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request("/once/x", "a2", "", "second")).await;
        let (mut second, _) = listener.accept().await.expect("failed to accept");
        let mut next = vec![0; 16];
        second.read_exact(&mut next).await.expect("no end of a head");
        let _ = first.read_to_end(&mut read).await; // ends by a close or a reset
        let body = read.windows(4).position(|four| four == b"\r\n\r\n").expect("no end of a head") + 4;
        assert!(read[body..].iter().all(|byte| *byte == b'b'), "only the request body may follow");
        assert!(read.len() - body <= BODY);
    });
}
