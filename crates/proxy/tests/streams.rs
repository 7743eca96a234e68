//! Streams of events: in order, whole or visibly cut, over several endpoints where they may be.

mod support;

use hyper::StatusCode;
use std::rc::Rc;
use support::{Act, Fleet, Script, Stand, chunk, event, last_chunk, route, run, stream_head};
use tokio::sync::Notify;

const STREAM: &str = "/stream/x";
const RESUMED: &str = "/resumed/x";

fn routes() -> Vec<String> {
    vec![route("stream", "streaming", 2, false), route("resumed", "streaming", 3, true)]
}

fn events(ids: std::ops::RangeInclusive<u32>) -> String {
    ids.map(event).collect()
}

fn whole_stream(seal: &str, ids: std::ops::RangeInclusive<u32>) -> Vec<Act> {
    let mut acts = vec![stream_head(seal)];
    acts.extend(ids.map(|id| chunk(&event(id))));
    acts.push(last_chunk());
    acts
}

#[test]
fn a_stream_is_forwarded_completely_and_in_order() {
    run(async {
        let stand = Stand::start("i-1", vec![whole_stream("s1", 1..=20), whole_stream("s1", 1..=20)]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        for path in [STREAM, RESUMED] {
            let got = fleet.ask(path, "a1", &[], "x").await;
            assert_eq!((got.status, got.whole), (StatusCode::OK, true));
            assert_eq!(got.headers["x-server-seal"], "s1");
            assert_eq!(got.body, events(1..=20));
        }
        assert_eq!(stand.connections.get(), 1, "a stream that came whole leaves its connection in order");
    });
}

#[test]
fn events_are_forwarded_immediately() {
    run(async {
        let go_on = Rc::new(Notify::new());
        let acts = vec![
            stream_head("s1"),
            chunk(&event(1)),
            Act::Wait(go_on.clone()),
            chunk(&event(2)),
            last_chunk(),
        ];
        let stand = Stand::start("i-1", vec![acts]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let stream = tokio::net::TcpStream::connect(fleet.front).await.expect("the proxy listens");
        let request = format!("POST {STREAM} HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n");
        let mut stream = tokio::io::BufReader::new(stream);
        tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes()).await.expect("it is read");
        let mut read = Vec::new();
        while !String::from_utf8_lossy(&read).contains("piece 1\n\n") {
            let more = tokio::io::AsyncReadExt::read_buf(&mut stream, &mut read);
            let count = tokio::time::timeout(support::PATIENCE, more).await.expect("the first event comes");
            assert!(count.expect("it is read") > 0);
        }
        assert!(!String::from_utf8_lossy(&read).contains("piece 2"));
        go_on.notify_one();
        while !String::from_utf8_lossy(&read).ends_with("0\r\n\r\n") {
            let more = tokio::io::AsyncReadExt::read_buf(&mut stream, &mut read);
            let count = tokio::time::timeout(support::PATIENCE, more).await.expect("the rest comes");
            assert!(count.expect("it is read") > 0);
        }
        assert!(String::from_utf8_lossy(&read).contains("piece 2"));
    });
}

#[test]
fn a_truncated_stream_is_forwarded_as_truncated() {
    run(async {
        let acts = vec![stream_head("s1"), chunk(&event(1)), chunk(&event(2)), Act::Close];
        let one = Stand::start("i-1", vec![acts.clone()]).await;
        let other = Stand::start("i-2", vec![acts]).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        let got = fleet.ask(STREAM, "a1", &[], "x").await;
        assert!(!got.whole, "it must not look complete");
        assert_eq!(got.body, events(1..=2));
        assert_eq!(one.seen.borrow().len() + other.seen.borrow().len(), 1, "it runs once");
    });
}

#[test]
fn a_stream_truncated_before_its_first_event_gets_an_error_status() {
    run(async {
        let stand = Stand::start("i-1", vec![vec![stream_head("s1"), Act::Close]]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let got = fleet.ask(STREAM, "a1", &[], "x").await;
        assert_eq!(got.status, StatusCode::BAD_GATEWAY);
    });
}

/// Two endpoints of which the one that is asked first breaks off as told, and the other goes on behind an event.
async fn resumed_after(broken: Vec<Act>, goes_on: Vec<Act>) -> (support::Got, Vec<support::Seen>) {
    // Which one is asked first is drawn, so they share a script.
    let script: Script = Rc::new(std::cell::RefCell::new(vec![broken, goes_on].into()));
    let one = Stand::start_shared("i-1", script.clone()).await;
    let other = Stand::start_shared("i-2", script).await;
    let fleet = Fleet::start(&routes(), &[&one, &other]).await;
    let got = fleet.ask(RESUMED, "a1", &[], "the prompt").await;
    let mut seen = one.seen.borrow().clone();
    seen.extend(other.seen.borrow().iter().cloned());
    seen.sort_by_key(|request| request.header("last-event-id").is_some());
    (got, seen)
}

#[test]
fn a_resumed_stream_is_one_response() {
    run(async {
        let broken = vec![stream_head("first"), chunk(&event(1)), chunk(&event(2)), Act::Reset];
        let (got, seen) = resumed_after(broken, whole_stream("second", 3..=5)).await;
        assert!(got.whole);
        assert_eq!(got.headers["x-server-seal"], "first", "head and seal stay those of the first endpoint");
        assert_eq!(got.body, events(1..=5));
        assert_eq!(seen.len(), 2);
        assert_eq!(seen[1].header("last-event-id"), Some("2"));
        assert_eq!(seen[1].body, b"the prompt");
        assert_eq!(seen[1].header("x-attempt-id"), Some("a1"));
        assert_ne!(seen[0].header("x-target-instance"), seen[1].header("x-target-instance"));
    });
}

#[test]
fn a_partial_event_is_not_forwarded_before_a_stream_is_resumed() {
    run(async {
        let broken = vec![stream_head("first"), chunk(&event(1)), chunk("id: 2\ndata: pie"), Act::Close];
        let (got, seen) = resumed_after(broken, whole_stream("second", 2..=3)).await;
        assert!(got.whole);
        assert_eq!(got.body, events(1..=3));
        assert_eq!(seen[1].header("last-event-id"), Some("1"));
    });
}

#[test]
fn an_event_received_in_three_parts_is_forwarded_as_one() {
    run(async {
        let acts = vec![
            stream_head("s1"),
            chunk("id: 1\nda"),
            chunk("ta: piece 1\n"),
            chunk("\n"),
            chunk(&event(2)),
            last_chunk(),
        ];
        let stand = Stand::start("i-1", vec![acts]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let got = fleet.ask(RESUMED, "a1", &[], "x").await;
        assert!(got.whole);
        assert_eq!(got.body, events(1..=2));
    });
}

#[test]
fn a_stream_truncated_after_its_last_event_is_resumed() {
    run(async {
        let broken = vec![stream_head("first"), chunk(&event(1)), chunk(&event(2)), Act::Close];
        let (got, seen) = resumed_after(broken, vec![stream_head("second"), last_chunk()]).await;
        assert!(got.whole, "the other endpoint says that nothing is missing");
        assert_eq!(got.body, events(1..=2));
        assert_eq!(seen[1].header("last-event-id"), Some("2"));
    });
}

#[test]
fn a_stream_that_no_endpoint_can_resume_is_truncated() {
    run(async {
        let broken = vec![stream_head("first"), chunk(&event(1)), Act::Close];
        let refused = vec![support::answer("500 Internal Server Error", "no")];
        let (got, _) = resumed_after(broken, refused).await;
        assert!(!got.whole);
        assert_eq!(got.body, events(1..=1));
    });
}

#[test]
fn an_endpoint_with_other_model_weights_does_not_resume_a_stream() {
    run(async {
        let broken = vec![stream_head("first"), chunk(&event(1)), Act::Close];
        let (got, _) = resumed_after(broken, vec![support::answer("421 Misdirected Request", "")]).await;
        assert!(!got.whole);
    });
}

#[test]
fn a_stalled_stream_is_resumed_by_another_endpoint() {
    run(async {
        let never = Rc::new(Notify::new());
        let broken = vec![stream_head("first"), chunk(&event(1)), Act::Wait(never)];
        let (got, seen) = resumed_after(broken, whole_stream("second", 2..=4)).await;
        assert!(got.whole);
        assert_eq!(got.body, events(1..=4));
        assert_eq!(seen.len(), 2);
    });
}

#[test]
fn a_client_disconnect_cancels_the_attempt() {
    run(async {
        let never = Rc::new(Notify::new());
        let stand =
            Stand::start("i-1", vec![vec![stream_head("s1"), chunk(&event(1)), Act::Wait(never)]]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let mut stream = tokio::net::TcpStream::connect(fleet.front).await.expect("the proxy listens");
        let request = format!("POST {STREAM} HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n");
        tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes()).await.expect("it is read");
        let mut read = Vec::new();
        tokio::io::AsyncReadExt::read_buf(&mut stream, &mut read).await.expect("the head comes");
        drop(stream);
        tokio::time::timeout(support::PATIENCE, stand.left())
            .await
            .expect("the endpoint's connection ends too");
    });
}

#[test]
fn a_stalled_stream_that_cannot_be_resumed_is_kept() {
    run(async {
        let (go_on, never) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let waits = vec![
            stream_head("first"),
            chunk(&event(1)),
            Act::Wait(go_on.clone()),
            chunk(&event(2)),
            last_chunk(),
        ];
        let silent = vec![stream_head("second"), chunk(&event(1)), Act::Wait(never)];
        let script: Script =
            Rc::new(std::cell::RefCell::new(vec![waits, silent, whole_stream("third", 2..=2)].into()));
        let one = Stand::start_shared("i-1", script.clone()).await;
        let other = Stand::start_shared("i-2", script).await;
        let routes = [route("bound", "streaming", 1, true), route("resumed", "streaming", 3, true)];
        let fleet = Fleet::start(&routes, &[&one, &other]).await;
        let mut client = support::RawClient::connect(&fleet).await;
        client.write(&support::request("/bound/x", "a1", "", "")).await;
        client.read_until("piece 1\n\n").await;
        // One that fell silent later has gone on elsewhere: the first has been silent for at least as long.
        assert!(fleet.ask(RESUMED, "a2", &[], "x").await.whole);
        go_on.notify_one();
        client.read_until("0\r\n\r\n").await;
        assert!(String::from_utf8_lossy(&client.read).contains("piece 2"));
    });
}
