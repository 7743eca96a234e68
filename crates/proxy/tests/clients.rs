//! Clients that leave, read slowly or come back from a proxy that stood still; time limits; graceful shutdown.

mod support;

use hyper::StatusCode;
use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Act, Fleet, PATIENCE, RawClient, Script, Stand, answer, chunk, event, request, route, run, scenarios,
    stream_head, with_timeout,
};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Longer than any test waits: what ends by then ended for another reason.
const LONG: u32 = 600_000;

fn routes() -> Vec<String> {
    vec![
        with_timeout(&route("once", "non_idempotent", 3, false), LONG),
        with_timeout(&route("again", "idempotent", 3, false), LONG),
        with_timeout(&route("resumed", "streaming", 3, true), LONG),
    ]
}

/// Waits until a caller has left one of these in the middle of an answer.
async fn one_left(one: &Stand, other: &Stand) {
    let left = async {
        tokio::select! {
            () = one.left() => {}
            () = other.left() => {}
        }
    };
    timeout(PATIENCE, left).await.expect("the endpoint's connection ends");
}

#[test]
fn a_client_disconnect_while_its_stream_is_resumed_cancels_the_attempt() {
    run(async {
        let never = Rc::new(Notify::new());
        let broken = vec![stream_head("s1"), chunk(&event(1)), Act::Reset];
        let script: Script = Rc::new(RefCell::new(vec![broken, vec![Act::Wait(never)]].into()));
        let one = Stand::start_shared("i-1", script.clone()).await;
        let other = Stand::start_shared("i-2", script).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request("/resumed/x", "a1", "", "")).await;
        client.read_until("piece 1").await;
        tokio::join!(one.came(), other.came());
        drop(client);
        one_left(&one, &other).await;
    });
}

#[test]
fn a_client_disconnect_before_the_response_cancels_the_attempt() {
    run(async {
        let never = Rc::new(Notify::new());
        let stand = Stand::start("i-1", vec![vec![Act::Wait(never)]]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request("/again/x", "a1", "", "body")).await;
        stand.came().await;
        drop(client);
        timeout(PATIENCE, stand.left()).await.expect("the endpoint's connection ends");
    });
}

#[test]
fn a_client_that_reads_nothing_occupies_an_endpoint_until_its_deadline_at_most() {
    run(async {
        let piece = chunk(&"x".repeat(1 << 20));
        let acts: Vec<Act> = std::iter::once(stream_head("s1")).chain(vec![piece; 64]).collect();
        let stand = Stand::start("i-1", vec![acts]).await;
        let routes = [with_timeout(&route("stream", "streaming", 3, false), 700)];
        let fleet = Fleet::start(&routes, &[&stand]).await;
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request("/stream/x", "a1", "", "")).await;
        timeout(PATIENCE, stand.left()).await.expect("the endpoint's connection ends");
        assert!(!client.read_to_end().await.ends_with("0\r\n\r\n"), "it must not look complete");
    });
}

#[test]
fn a_stream_longer_than_the_route_timeout_is_truncated_at_the_timeout() {
    run(async {
        let never = Rc::new(Notify::new());
        let stand =
            Stand::start("i-1", vec![vec![stream_head("s1"), chunk(&event(1)), Act::Wait(never)]]).await;
        let routes = [with_timeout(&route("stream", "streaming", 3, false), 400)];
        let fleet = Fleet::start(&routes, &[&stand]).await;
        let asked = Instant::now();
        let got = fleet.ask("/stream/x", "a1", &[], "x").await;
        assert!(!got.whole);
        assert_eq!(got.body, event(1));
        let took = asked.elapsed().as_millis();
        assert!((400..900).contains(&took), "{took} ms");
    });
}

#[test]
fn a_request_whose_body_is_late_is_refused_and_never_runs() {
    run(async {
        let stand = Stand::start("i-1", vec![]).await;
        let routes = [with_timeout(&route("once", "non_idempotent", 3, false), 400)];
        let fleet = Fleet::start(&routes, &[&stand]).await;
        let mut client = RawClient::connect(&fleet).await;
        let whole = request("/once/x", "a1", "", "the whole body");
        client.write(&whole[..whole.len() - 5]).await;
        client.read_until("HTTP/1.1 408").await;
        let _ = tokio::io::AsyncWriteExt::write_all(&mut client.stream, b" body").await; // it may be closed
        assert_eq!(fleet.ask("/once/x", "a2", &[], "x").await.status, StatusCode::OK);
        assert_eq!(stand.seen.borrow().len(), 1, "only the second one has run");
    });
}

#[test]
fn a_request_whose_client_disconnects_while_the_proxy_is_suspended_does_not_run() {
    run(async {
        assert_eq!(scenarios::left_while_frozen(None).await, ["before", "after"]);
    });
}

#[test]
fn requests_after_idle_connections_were_closed_are_refused_immediately() {
    run(async {
        let stand = Stand::start("i-1", vec![vec![answer("200 OK", "first")]]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let mut idle = RawClient::connect(&fleet).await;
        idle.write(&request("/once/x", "a1", "", "x")).await;
        idle.read_until("first").await;
        let mut late = RawClient::connect(&fleet).await;
        // The proxy has accepted it before it is told to end: it answers on it after another client's request.
        late.write("POST /once/x HTTP/1.1\r\n").await;
        assert_eq!(fleet.ask("/none/x", "a2", &[], "").await.status, StatusCode::NOT_FOUND);
        fleet.terminate();
        idle.read_to_end().await;
        late.write(&request("/once/x", "a3", "", "x")["POST /once/x HTTP/1.1\r\n".len()..]).await;
        let answer = late.read_to_end().await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer}");
        assert_eq!(stand.seen.borrow().len(), 1);
    });
}
