//! Bodies from endpoints: whole, short, long, without a length, in the middle of an event, before the request is in.

mod support;

use hyper::StatusCode;
use runtrack_proxy::EventTracker;
use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Act, Fleet, Got, ID_LINE, RawClient, Script, Stand, chunk, event, request, route, run, stream_head,
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

fn sealed(rest: &str) -> Act {
    Act::Send(format!("HTTP/1.1 200 OK\r\n{ID_LINE}{SEAL}{rest}"))
}

/// What two requests get, one after the other, where the first is answered like this.
async fn first_and_second(path: &str, acts: Vec<Act>) -> (Got, Got) {
    let stand = Stand::start("i-1", vec![acts]).await;
    let fleet = Fleet::start(&routes(), &[&stand]).await;
    (fleet.ask(path, "a1", &[], "x").await, fleet.ask(path, "a2", &[], "x").await)
}

#[test]
fn bodies_are_delimited_correctly() {
    let cases: Vec<(&str, Vec<Act>, Option<&str>)> = vec![
        ("a length", vec![sealed("Content-Length: 4\r\n\r\nbody")], Some("body")),
        ("no length, an end", vec![sealed("\r\nbody"), Act::Close], Some("body")),
        ("no length, a reset", vec![sealed("\r\nbody"), Act::Reset], None),
        ("too short", vec![sealed("Content-Length: 9\r\n\r\nbody"), Act::Close], None),
        ("too long", vec![sealed("Content-Length: 4\r\n\r\nbody and more")], Some("body")),
        (
            "two lengths",
            vec![sealed("Content-Length: 4\r\nContent-Length: 9\r\n\r\nbody"), Act::Close],
            None,
        ),
        ("a negative length", vec![sealed("Content-Length: -4\r\n\r\nbody"), Act::Close], None),
        (
            "chunks without their end",
            vec![sealed("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"), Act::Close],
            None,
        ),
        (
            "chunks of no size",
            vec![sealed("Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n"), Act::Close],
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
                Act::Send(
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".into(),
                ),
                sealed("Content-Length: 4\r\n\r\nbody"),
            ],
            Some("body"),
        ),
        (
            "the same answer again",
            vec![sealed("Content-Length: 4\r\n\r\nbody"), sealed("Content-Length: 5\r\n\r\nagain")],
            Some("body"),
        ),
        (
            "a status line that is none",
            vec![Act::Send("HTTP/1.1 two hundred\r\n\r\n".into()), Act::Close],
            None,
        ),
    ];
    run(async move {
        let mut wrong = Vec::new();
        for (name, acts, body) in cases {
            let (first, second) = first_and_second("/once/x", acts).await;
            let as_told = match body {
                Some(body) => first.status == StatusCode::OK && first.whole && first.body == body,
                None => first.status == StatusCode::BAD_GATEWAY,
            };
            let unharmed = second.status == StatusCode::OK && second.body == "unscripted";
            wrong.extend((!as_told || !unharmed).then_some((name, first, second)));
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

#[test]
fn a_stream_without_a_length_that_ends_within_an_event_is_truncated() {
    run(async {
        let acts = vec![sealed(&format!("\r\n{}id: 2\ndata: pie", event(1))), Act::Close];
        let (first, second) = first_and_second("/stream/x", acts).await;
        assert!(!first.whole, "{first:?}");
        assert_eq!(second.status, StatusCode::OK);
        let acts = vec![sealed(&format!("\r\n{}{}", event(1), event(2))), Act::Close];
        let (first, _) = first_and_second("/stream/x", acts).await;
        assert!(first.whole, "{first:?}");
    });
}

#[test]
fn bytes_outside_complete_events_of_a_resumable_stream_are_forwarded() {
    run(async {
        let plain = vec![stream_head("s1"), chunk("no event"), support::last_chunk()];
        let (first, second) = first_and_second("/resumed/x", plain).await;
        assert_eq!((first.body.as_str(), first.whole), ("no event", true));
        assert_eq!(second.status, StatusCode::OK);
    });
}

/// A stream that breaks off and what goes on with it.
async fn resumed(broken: Vec<Act>, goes_on: Vec<Act>) -> Got {
    let script: Script = Rc::new(RefCell::new(vec![broken, goes_on].into()));
    let one = Stand::start_shared("i-1", script.clone()).await;
    let other = Stand::start_shared("i-2", script).await;
    let fleet = Fleet::start(&routes(), &[&one, &other]).await;
    fleet.ask("/resumed/x", "a1", &[], "x").await
}

#[test]
fn a_stream_without_a_length_that_ends_within_an_event_is_resumed() {
    run(async {
        let broken = vec![sealed(&format!("\r\n{}id: 2\ndata: pie", event(1))), Act::Close];
        let got = resumed(broken, vec![stream_head("s2"), chunk(&event(2)), support::last_chunk()]).await;
        assert!(got.whole, "{got:?}");
        assert_eq!(got.body, event(1) + &event(2));
    });
}

#[test]
fn a_resumed_stream_that_repeats_events_is_not_appended() {
    run(async {
        let broken = vec![stream_head("s1"), chunk(&event(1)), chunk(&event(2)), Act::Close];
        let over = vec![
            stream_head("s2"),
            chunk(&event(1)),
            chunk(&event(2)),
            chunk(&event(3)),
            support::last_chunk(),
        ];
        let got = resumed(broken, over).await;
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.body, event(1) + &event(2));
    });
}

#[test]
fn a_stream_is_not_resumed_after_an_event_forwarded_in_parts() {
    let mut events = EventTracker::default();
    assert!(events.push(event(1).as_bytes()).is_some());
    assert_eq!(events.last_id(), Some("1"));
    let long = format!("id: 2\ndata: {}", "x".repeat(300 << 10));
    assert!(events.push(long.as_bytes()).is_some(), "it is too long to be held back");
    assert_eq!(events.last_id(), None, "part of an event has gone on");
    assert!(events.push(b"\n\n").is_some());
    assert!(events.push(event(3).as_bytes()).is_some());
    assert_eq!(events.last_id(), None);
}

#[test]
fn an_early_response_leaves_only_the_request_body_on_the_connection() {
    const BODY: usize = 24 << 20;
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut stand = Stand::start("i-1", vec![]).await;
        let std::net::SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            panic!("IPv4")
        };
        stand.address = address;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let large = support::config(2, &routes()).replace("100000", "50000000");
        fleet.gossip.take_config(2, large.into_bytes());
        fleet.logged("config.in_force", "\"version\":2").await;
        let body = "b".repeat(BODY);
        let asking = fleet.ask("/once/x", "a1", &[], &body);
        let answering = async {
            let (mut first, _) = listener.accept().await.expect("a connection");
            let mut head = vec![0; 1024];
            first.read_exact(&mut head).await.expect("a head and a little of its body");
            let early =
                format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n{SEAL}Content-Length: 5\r\n\r\nearly");
            first.write_all(early.as_bytes()).await.expect("it is read");
            (first, head)
        };
        let (got, (mut first, mut read)) = tokio::join!(asking, answering);
        assert_eq!((got.status, got.body.as_str()), (StatusCode::OK, "early"));
        // The next request comes while the rest of that body is due.
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request("/once/x", "a2", "", "second")).await;
        let (mut second, _) = listener.accept().await.expect("it has a connection of its own");
        let mut next = vec![0; 16];
        second.read_exact(&mut next).await.expect("a head");
        let _ = first.read_to_end(&mut read).await; // it ends, whole or not
        let body = read.windows(4).position(|four| four == b"\r\n\r\n").expect("a head") + 4;
        assert!(read[body..].iter().all(|byte| *byte == b'b'), "only the body stands in its place");
        assert!(read.len() - body <= BODY);
    });
}
