//! Clients that disconnect or read slowly, a suspended proxy, timeouts, and graceful shutdown.

mod support;

use hyper::StatusCode;
use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Action, FakeEndpoint, Fleet, RawClient, Script, TEST_TIMEOUT, chunk, event, reply, request, route, run,
    scenarios, stream_head, with_timeout,
};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Longer than any test waits, so that no request ends by its timeout.
const LONG_TIMEOUT_MS: u32 = 600_000;

fn routes() -> Vec<String> {
    vec![
        with_timeout(&route("once", "non_idempotent", 3, false), LONG_TIMEOUT_MS),
        with_timeout(&route("again", "idempotent", 3, false), LONG_TIMEOUT_MS),
        with_timeout(&route("resumed", "streaming", 3, true), LONG_TIMEOUT_MS),
    ]
}

/// Waits until one of these endpoints detects a disconnect during a response.
async fn one_disconnected(one: &FakeEndpoint, other: &FakeEndpoint) {
    let disconnected = async {
        tokio::select! {
            () = one.caller_disconnected() => {}
            () = other.caller_disconnected() => {}
        }
    };
    timeout(TEST_TIMEOUT, disconnected).await.expect("the endpoint's connection stays open");
}

#[test]
fn a_client_disconnect_while_its_stream_is_resumed_cancels_the_attempt() {
    run(async {
        let never = Rc::new(Notify::new());
        let failing = vec![stream_head("s1"), chunk(&event(1)), Action::Reset];
        let script: Script = Rc::new(RefCell::new(vec![failing, vec![Action::Wait(never)]].into()));
        let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
        let other = FakeEndpoint::start_shared("i-2", script).await;
        let fleet = Fleet::start(&routes(), &[&one, &other]).await;
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request("/resumed/x", "a1", "", "")).await;
        client.read_until("piece 1").await;
        tokio::join!(one.request_received(), other.request_received());
        drop(client);
        one_disconnected(&one, &other).await;
    });
}

#[test]
fn a_client_disconnect_before_the_response_cancels_the_attempt() {
    run(async {
        let never = Rc::new(Notify::new());
        let endpoint = FakeEndpoint::start("i-1", vec![vec![Action::Wait(never)]]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request("/again/x", "a1", "", "body")).await;
        endpoint.request_received().await;
        drop(client);
        timeout(TEST_TIMEOUT, endpoint.caller_disconnected())
            .await
            .expect("the endpoint's connection stays open");
    });
}

#[test]
fn a_client_that_reads_nothing_occupies_an_endpoint_until_its_deadline_at_most() {
    run(async {
        let piece = chunk(&"x".repeat(1 << 20));
        let actions: Vec<Action> = std::iter::once(stream_head("s1")).chain(vec![piece; 64]).collect();
        let endpoint = FakeEndpoint::start("i-1", vec![actions]).await;
        let routes = [with_timeout(&route("stream", "streaming", 3, false), 700)];
        let fleet = Fleet::start(&routes, &[&endpoint]).await;
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request("/stream/x", "a1", "", "")).await;
        timeout(TEST_TIMEOUT, endpoint.caller_disconnected())
            .await
            .expect("the endpoint's connection stays open");
        assert!(!client.read_to_end().await.ends_with("0\r\n\r\n"), "the body must be truncated");
    });
}

#[test]
fn a_stream_longer_than_the_route_timeout_is_truncated_at_the_timeout() {
    run(async {
        let never = Rc::new(Notify::new());
        let endpoint = FakeEndpoint::start(
            "i-1",
            vec![vec![stream_head("s1"), chunk(&event(1)), Action::Wait(never)]],
        )
        .await;
        let routes = [with_timeout(&route("stream", "streaming", 3, false), 400)];
        let fleet = Fleet::start(&routes, &[&endpoint]).await;
        let started = Instant::now();
        let response = fleet.send("/stream/x", "a1", &[], "x").await;
        assert!(!response.complete);
        assert_eq!(response.body, event(1));
        let elapsed_ms = started.elapsed().as_millis();
        assert!((400..900).contains(&elapsed_ms), "{elapsed_ms} ms");
    });
}

#[test]
fn a_request_whose_body_is_late_is_refused_and_never_runs() {
    run(async {
        let endpoint = FakeEndpoint::start("i-1", vec![]).await;
        let routes = [with_timeout(&route("once", "non_idempotent", 3, false), 400)];
        let fleet = Fleet::start(&routes, &[&endpoint]).await;
        let mut client = RawClient::connect(&fleet).await;
        let complete = request("/once/x", "a1", "", "the whole body");
        client.write(&complete[..complete.len() - 5]).await;
        client.read_until("HTTP/1.1 408").await;
        let _ = tokio::io::AsyncWriteExt::write_all(&mut client.stream, b" body").await; // the connection may be closed
        assert_eq!(fleet.send("/once/x", "a2", &[], "x").await.status, StatusCode::OK);
        assert_eq!(endpoint.received.borrow().len(), 1, "only the second request has run");
    });
}

#[test]
fn a_request_whose_client_disconnects_while_the_proxy_is_suspended_does_not_run() {
    run(async {
        assert_eq!(scenarios::disconnect_while_suspended(None).await, ["before", "after"]);
    });
}

#[test]
fn requests_after_idle_connections_were_closed_are_refused_immediately() {
    run(async {
        let endpoint = FakeEndpoint::start("i-1", vec![vec![reply("200 OK", "first")]]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let mut idle = RawClient::connect(&fleet).await;
        idle.write(&request("/once/x", "a1", "", "x")).await;
        idle.read_until("first").await;
        let mut late = RawClient::connect(&fleet).await;
        // The proxy has accepted this connection before its shutdown starts, since it has answered a later client.
        late.write("POST /once/x HTTP/1.1\r\n").await;
        assert_eq!(fleet.send("/none/x", "a2", &[], "").await.status, StatusCode::NOT_FOUND);
        fleet.terminate();
        idle.read_to_end().await;
        late.write(&request("/once/x", "a3", "", "x")["POST /once/x HTTP/1.1\r\n".len()..]).await;
        let response = late.read_to_end().await;
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.to_ascii_lowercase().contains("connection: close"), "{response}");
        assert_eq!(endpoint.received.borrow().len(), 1);
    });
}
