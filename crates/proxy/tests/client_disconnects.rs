//! Client disconnects: for any form of the request, its attempt is cancelled and it is not retried.

mod support;

use hyper::StatusCode;
use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Action, FakeEndpoint, Fleet, RawClient, Script, TEST_TIMEOUT, chunk, event, not_executed, reply,
    request, route, run, stream_head, with_timeout,
};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Longer than any test waits, so that an attempt ends only because the client disconnected.
const LONG_TIMEOUT_MS: u32 = 600_000;

fn routes() -> Vec<String> {
    vec![
        with_timeout(&route("once", "non_idempotent", 3, false), LONG_TIMEOUT_MS),
        with_timeout(&route("again", "idempotent", 3, false), LONG_TIMEOUT_MS),
        with_timeout(&route("stream", "streaming", 3, false), LONG_TIMEOUT_MS),
    ]
}

/// Checks that the endpoint's connection is closed after a client has written these bytes, read up to `until` and then
/// disconnected while the endpoint performs these actions.
async fn check_disconnect(written: &str, actions: Vec<Action>, until: &str) {
    let endpoint = FakeEndpoint::start("i-1", vec![actions]).await;
    let fleet = Fleet::start(&routes(), &[&endpoint]).await;
    let mut client = RawClient::connect(&fleet).await;
    client.write(written).await;
    endpoint.request_received().await;
    client.read_until(until).await;
    client.disconnect().await;
    let closed = timeout(TEST_TIMEOUT, endpoint.caller_disconnected()).await;
    assert!(closed.is_ok(), "the attempt continues after the client disconnected: {written}");
    assert_eq!(fleet.send("/again/x", "a2", &[], "x").await.status, StatusCode::OK);
    assert_eq!(endpoint.received.borrow().len(), 2, "the request must not be retried");
}

#[test]
fn a_client_disconnect_cancels_the_attempt() {
    let never = Rc::new(Notify::new());
    run(async move {
        let chunked = "POST /again/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n\
                       Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
        let bare = "GET /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n\r\n";
        for written in [
            request("/again/x", "a1", "", "body"),
            request("/once/x", "a1", "Connection: close\r\n", "body"),
            request("/stream/x", "a1", "", ""),
            chunked.to_owned(),
            bare.to_owned(),
        ] {
            check_disconnect(&written, vec![Action::Wait(never.clone())], "").await;
        }
    });
}

#[test]
fn a_client_disconnect_during_the_response_cancels_the_attempt() {
    let never = Rc::new(Notify::new());
    run(async move {
        let stream = vec![stream_head("s1"), chunk(&event(1)), Action::Wait(never.clone())];
        for headers in ["", "Connection: close\r\n"] {
            check_disconnect(&request("/stream/x", "a1", headers, "x"), stream.clone(), "piece 1").await;
        }
        let large = "x".repeat(300 << 10);
        let actions = vec![stream_head("s1"), chunk(&large), Action::Wait(never)];
        check_disconnect(&request("/again/x", "a1", "", "x"), actions, "xxxx").await;
    });
}

#[test]
fn a_client_disconnect_during_graceful_shutdown_cancels_the_attempt() {
    run(async {
        let never = Rc::new(Notify::new());
        let endpoint = FakeEndpoint::start(
            "i-1",
            vec![vec![stream_head("s1"), chunk(&event(1)), Action::Wait(never)]],
        )
        .await;
        let mut fleet = Fleet::start_with(&routes(), &[&endpoint], "bounds.graceS=600\n").await;
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request("/stream/x", "a1", "", "")).await;
        client.read_until("piece 1").await;
        let mut idle = RawClient::connect(&fleet).await;
        idle.write(&request("/none/x", "a2", "", "")).await;
        idle.read_until("404").await;
        fleet.terminate();
        idle.read_to_end().await; // idle connections are closed, open requests continue
        client.disconnect().await;
        timeout(TEST_TIMEOUT, endpoint.caller_disconnected())
            .await
            .expect("the endpoint's connection stays open");
        timeout(TEST_TIMEOUT, fleet.child.wait())
            .await
            .expect("the proxy does not exit")
            .expect("failed to wait for the proxy");
    });
}

#[test]
fn a_failed_request_is_not_retried_after_its_client_disconnected() {
    run(async {
        for failure in [
            vec![Action::Reset],
            vec![reply("500 Internal Server Error", "x")],
            vec![not_executed("503 Full")],
        ] {
            let proceed = Rc::new(Notify::new());
            let mut first = vec![Action::Wait(proceed.clone())];
            first.extend(failure);
            let script: Script = Rc::new(RefCell::new(vec![first].into()));
            let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
            let other = FakeEndpoint::start_shared("i-2", script).await;
            let fleet = Fleet::start(&routes(), &[&one, &other]).await;
            let mut client = RawClient::connect(&fleet).await;
            client.write(&request("/again/x", "a1", "", "x")).await;
            tokio::select! {
                () = one.request_received() => {}
                () = other.request_received() => {}
            }
            client.disconnect().await;
            proceed.notify_one();
            assert_eq!(fleet.send("/again/x", "a2", &[], "x").await.status, StatusCode::OK);
            let ids = |endpoint: &FakeEndpoint| {
                let received = endpoint.received.borrow();
                received
                    .iter()
                    .filter_map(|received| received.header("x-attempt-id").map(str::to_owned))
                    .collect::<Vec<_>>()
            };
            let mut ids = [ids(&one), ids(&other)].concat();
            ids.sort_unstable();
            assert_eq!(ids, ["a1", "a2"]);
        }
    });
}

#[test]
fn bytes_after_a_request_do_not_hide_the_client_disconnect() {
    let never = Rc::new(Notify::new());
    run(async move {
        let sent = request("/again/x", "a1", "", "body");
        for trailing in ["\r\n", "POST /again/x HT", &request("/again/x", "a3", "", "body")] {
            check_disconnect(&format!("{sent}{trailing}"), vec![Action::Wait(never.clone())], "").await;
        }
    });
}

#[test]
fn bytes_after_a_streaming_request_do_not_hide_the_client_disconnect() {
    let never = Rc::new(Notify::new());
    run(async move {
        let sent = request("/stream/x", "a1", "", "body");
        let actions = vec![stream_head("s1"), chunk(&event(1)), Action::Wait(never.clone())];
        for trailing in ["\r\n", "POST /again/x HT", &request("/again/x", "a3", "", "body")] {
            check_disconnect(&format!("{sent}{trailing}"), actions.clone(), "piece 1").await;
        }
    });
}

#[test]
fn a_pipelined_request_waits_for_the_previous_response() {
    let proceed = Rc::new(Notify::new());
    run(async move {
        let first = vec![Action::Wait(proceed.clone()), reply("200 OK", "first")];
        let endpoint = FakeEndpoint::start("i-1", vec![first, vec![reply("200 OK", "second")]]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let mut client = RawClient::connect(&fleet).await;
        let (one, other) = (request("/once/x", "a1", "", "x"), request("/once/x", "a2", "", "x"));
        client.write(&one).await;
        endpoint.request_received().await;
        client.write(&other).await;
        assert_eq!(fleet.send("/none/x", "a3", &[], "").await.status, StatusCode::NOT_FOUND);
        proceed.notify_one();
        client.read_until("first").await;
        client.read_until("second").await;
        assert_eq!(endpoint.received.borrow().len(), 2);
    });
}
