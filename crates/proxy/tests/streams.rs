//! Event streams: forwarded in order, complete or detectably truncated, and resumed at other endpoints where allowed.

mod support;

use hyper::StatusCode;
use std::rc::Rc;
use support::{Action, FakeEndpoint, Fleet, Script, chunk, event, last_chunk, route, run, stream_head};
use tokio::sync::Notify;

const STREAM: &str = "/stream/x";
const RESUMED: &str = "/resumed/x";

fn routes() -> Vec<String> {
    vec![route("stream", "streaming", 2, false), route("resumed", "streaming", 3, true)]
}

fn events(ids: std::ops::RangeInclusive<u32>) -> String {
    ids.map(event).collect()
}

fn complete_stream(seal: &str, ids: std::ops::RangeInclusive<u32>) -> Vec<Action> {
    let mut actions = vec![stream_head(seal)];
    actions.extend(ids.map(|id| chunk(&event(id))));
    actions.push(last_chunk());
    actions
}

#[test]
fn a_stream_is_forwarded_completely_and_in_order() {
    run(async {
        let endpoint =
            FakeEndpoint::start("i-1", vec![complete_stream("s1", 1..=20), complete_stream("s1", 1..=20)])
                .await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        for path in [STREAM, RESUMED] {
            let response = fleet.send(path, "a1", &[], "x").await;
            assert_eq!((response.status, response.complete), (StatusCode::OK, true));
            assert_eq!(response.headers["x-server-seal"], "s1");
            assert_eq!(response.body, events(1..=20));
        }
        assert_eq!(endpoint.connections.get(), 1, "the connection of a complete stream is reused");
    });
}

#[test]
fn events_are_forwarded_immediately() {
    run(async {
        let proceed = Rc::new(Notify::new());
        let actions = vec![
            stream_head("s1"),
            chunk(&event(1)),
            Action::Wait(proceed.clone()),
            chunk(&event(2)),
            last_chunk(),
        ];
        let endpoint = FakeEndpoint::start("i-1", vec![actions]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let stream =
            tokio::net::TcpStream::connect(fleet.front).await.expect("failed to connect to the proxy");
        let request = format!("POST {STREAM} HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n");
        let mut stream = tokio::io::BufReader::new(stream);
        tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes())
            .await
            .expect("failed to write");
        let mut read = Vec::new();
        while !String::from_utf8_lossy(&read).contains("piece 1\n\n") {
            let more = tokio::io::AsyncReadExt::read_buf(&mut stream, &mut read);
            let count = tokio::time::timeout(support::TEST_TIMEOUT, more)
                .await
                .expect("timed out waiting for the first event");
            assert!(count.expect("failed to read") > 0);
        }
        assert!(!String::from_utf8_lossy(&read).contains("piece 2"));
        proceed.notify_one();
        while !String::from_utf8_lossy(&read).ends_with("0\r\n\r\n") {
            let more = tokio::io::AsyncReadExt::read_buf(&mut stream, &mut read);
            let count = tokio::time::timeout(support::TEST_TIMEOUT, more)
                .await
                .expect("timed out waiting for the rest");
            assert!(count.expect("failed to read") > 0);
        }
        assert!(String::from_utf8_lossy(&read).contains("piece 2"));
    });
}

#[test]
fn a_truncated_stream_is_forwarded_as_truncated() {
    run(async {
        let actions = vec![stream_head("s1"), chunk(&event(1)), chunk(&event(2)), Action::Close];
        let one = FakeEndpoint::start("i-1", vec![actions.clone()]).await;
        let other = FakeEndpoint::start("i-2", vec![actions]).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        let response = fleet.send(STREAM, "a1", &[], "x").await;
        assert!(!response.complete, "the body must be truncated");
        assert_eq!(response.body, events(1..=2));
        assert_eq!(one.received.borrow().len() + other.received.borrow().len(), 1, "the request runs once");
    });
}

#[test]
fn a_stream_truncated_before_its_first_event_gets_an_error_status() {
    run(async {
        let endpoint = FakeEndpoint::start("i-1", vec![vec![stream_head("s1"), Action::Close]]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let response = fleet.send(STREAM, "a1", &[], "x").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    });
}

/// Sends a request to two endpoints, of which the first to get it fails and the other one resumes the stream. Returns
/// the client's response and the requests that the endpoints received, the resuming one last.
async fn resume(
    failing: Vec<Action>,
    resuming: Vec<Action>,
) -> (support::ClientResponse, Vec<support::ReceivedRequest>) {
    // The first endpoint is selected at random, so both share a script.
    let script: Script = Rc::new(std::cell::RefCell::new(vec![failing, resuming].into()));
    let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
    let other = FakeEndpoint::start_shared("i-2", script).await;
    let fleet = Fleet::start(&routes(), &[&one, &other]).await;
    let response = fleet.send(RESUMED, "a1", &[], "the prompt").await;
    let mut received = one.received.borrow().clone();
    received.extend(other.received.borrow().iter().cloned());
    received.sort_by_key(|request| request.header("last-event-id").is_some());
    (response, received)
}

#[test]
fn a_resumed_stream_is_one_response() {
    run(async {
        let failing = vec![stream_head("first"), chunk(&event(1)), chunk(&event(2)), Action::Reset];
        let (response, received) = resume(failing, complete_stream("second", 3..=5)).await;
        assert!(response.complete);
        assert_eq!(
            response.headers["x-server-seal"], "first",
            "the head and the seal are those of the first endpoint"
        );
        assert_eq!(response.body, events(1..=5));
        assert_eq!(received.len(), 2);
        assert_eq!(received[1].header("last-event-id"), Some("2"));
        assert_eq!(received[1].body, b"the prompt");
        assert_eq!(received[1].header("x-attempt-id"), Some("a1"));
        assert_ne!(received[0].header("x-target-instance"), received[1].header("x-target-instance"));
    });
}

#[test]
fn a_partial_event_is_not_forwarded_before_a_stream_is_resumed() {
    run(async {
        let failing =
            vec![stream_head("first"), chunk(&event(1)), chunk("id: 2\ndata: pie"), Action::Close];
        let (response, received) = resume(failing, complete_stream("second", 2..=3)).await;
        assert!(response.complete);
        assert_eq!(response.body, events(1..=3));
        assert_eq!(received[1].header("last-event-id"), Some("1"));
    });
}

#[test]
fn an_event_received_in_three_parts_is_forwarded_as_one() {
    run(async {
        let actions = vec![
            stream_head("s1"),
            chunk("id: 1\nda"),
            chunk("ta: piece 1\n"),
            chunk("\n"),
            chunk(&event(2)),
            last_chunk(),
        ];
        let endpoint = FakeEndpoint::start("i-1", vec![actions]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let response = fleet.send(RESUMED, "a1", &[], "x").await;
        assert!(response.complete);
        assert_eq!(response.body, events(1..=2));
    });
}

#[test]
fn a_stream_truncated_after_its_last_event_is_resumed() {
    run(async {
        let failing = vec![stream_head("first"), chunk(&event(1)), chunk(&event(2)), Action::Close];
        let (response, received) = resume(failing, vec![stream_head("second"), last_chunk()]).await;
        assert!(response.complete, "the other endpoint has confirmed the end");
        assert_eq!(response.body, events(1..=2));
        assert_eq!(received[1].header("last-event-id"), Some("2"));
    });
}

#[test]
fn a_stream_that_no_endpoint_can_resume_is_truncated() {
    run(async {
        let failing = vec![stream_head("first"), chunk(&event(1)), Action::Close];
        let refused = vec![support::reply("500 Internal Server Error", "no")];
        let (response, _) = resume(failing, refused).await;
        assert!(!response.complete);
        assert_eq!(response.body, events(1..=1));
    });
}

#[test]
fn an_endpoint_with_other_model_weights_does_not_resume_a_stream() {
    run(async {
        let failing = vec![stream_head("first"), chunk(&event(1)), Action::Close];
        let (response, _) = resume(failing, vec![support::reply("421 Misdirected Request", "")]).await;
        assert!(!response.complete);
    });
}

#[test]
fn a_stalled_stream_is_resumed_by_another_endpoint() {
    run(async {
        let never = Rc::new(Notify::new());
        let failing = vec![stream_head("first"), chunk(&event(1)), Action::Wait(never)];
        let (response, received) = resume(failing, complete_stream("second", 2..=4)).await;
        assert!(response.complete);
        assert_eq!(response.body, events(1..=4));
        assert_eq!(received.len(), 2);
    });
}

#[test]
fn a_client_disconnect_cancels_the_attempt() {
    run(async {
        let never = Rc::new(Notify::new());
        let endpoint = FakeEndpoint::start(
            "i-1",
            vec![vec![stream_head("s1"), chunk(&event(1)), Action::Wait(never)]],
        )
        .await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let mut stream =
            tokio::net::TcpStream::connect(fleet.front).await.expect("failed to connect to the proxy");
        let request = format!("POST {STREAM} HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n");
        tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes())
            .await
            .expect("failed to write");
        let mut read = Vec::new();
        tokio::io::AsyncReadExt::read_buf(&mut stream, &mut read).await.expect("failed to read");
        drop(stream);
        tokio::time::timeout(support::TEST_TIMEOUT, endpoint.caller_disconnected())
            .await
            .expect("the endpoint's connection stays open");
    });
}

#[test]
fn a_stalled_stream_that_cannot_be_resumed_is_kept() {
    run(async {
        let (proceed, never) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let waiting = vec![
            stream_head("first"),
            chunk(&event(1)),
            Action::Wait(proceed.clone()),
            chunk(&event(2)),
            last_chunk(),
        ];
        let stalled = vec![stream_head("second"), chunk(&event(1)), Action::Wait(never)];
        let script: Script = Rc::new(std::cell::RefCell::new(
            vec![waiting, stalled, complete_stream("third", 2..=2)].into(),
        ));
        let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
        let other = FakeEndpoint::start_shared("i-2", script).await;
        let routes = [route("bound", "streaming", 1, true), route("resumed", "streaming", 3, true)];
        let fleet = Fleet::start(&routes, &[&one, &other]).await;
        let mut client = support::RawClient::connect(&fleet).await;
        client.write(&support::request("/bound/x", "a1", "", "")).await;
        client.read_until("piece 1\n\n").await;
        // A stream that stalled later has been resumed by another endpoint, so the first stream has stalled for longer.
        assert!(fleet.send(RESUMED, "a2", &[], "x").await.complete);
        proceed.notify_one();
        client.read_until("0\r\n\r\n").await;
        assert!(String::from_utf8_lossy(&client.read).contains("piece 2"));
    });
}
