//! Clients that leave: whatever their request looks like, the work of its endpoint ends, and nothing more is sent.

mod support;

use hyper::StatusCode;
use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Act, Fleet, PATIENCE, RawClient, Script, Stand, answer, chunk, event, not_executed, request, route,
    run, stream_head, with_timeout,
};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Longer than any test waits: what ends by then ended because the client left.
const LONG: u32 = 600_000;

fn routes() -> Vec<String> {
    vec![
        with_timeout(&route("once", "non_idempotent", 3, false), LONG),
        with_timeout(&route("again", "idempotent", 3, false), LONG),
        with_timeout(&route("stream", "streaming", 3, false), LONG),
    ]
}

/// A client writes this and leaves while the endpoint works on it: the endpoint's connection ends.
async fn leaves(written: &str, acts: Vec<Act>, until: &str) {
    let stand = Stand::start("i-1", vec![acts]).await;
    let fleet = Fleet::start(&routes(), &[&stand]).await;
    let mut client = RawClient::connect(&fleet).await;
    client.write(written).await;
    stand.came().await;
    client.read_until(until).await;
    client.leave().await;
    let left = timeout(PATIENCE, stand.left()).await;
    assert!(left.is_ok(), "the endpoint works on for a client who left: {written}");
    assert_eq!(fleet.ask("/again/x", "a2", &[], "x").await.status, StatusCode::OK);
    assert_eq!(stand.seen.borrow().len(), 2, "the request of the client who left is not sent again");
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
            leaves(&written, vec![Act::Wait(never.clone())], "").await;
        }
    });
}

#[test]
fn a_client_disconnect_during_the_response_cancels_the_attempt() {
    let never = Rc::new(Notify::new());
    run(async move {
        let stream = vec![stream_head("s1"), chunk(&event(1)), Act::Wait(never.clone())];
        for headers in ["", "Connection: close\r\n"] {
            leaves(&request("/stream/x", "a1", headers, "x"), stream.clone(), "piece 1").await;
        }
        let large = "x".repeat(300 << 10);
        let acts = vec![stream_head("s1"), chunk(&large), Act::Wait(never)];
        leaves(&request("/again/x", "a1", "", "x"), acts, "xxxx").await;
    });
}

#[test]
fn a_client_disconnect_during_graceful_shutdown_cancels_the_attempt() {
    run(async {
        let never = Rc::new(Notify::new());
        let stand =
            Stand::start("i-1", vec![vec![stream_head("s1"), chunk(&event(1)), Act::Wait(never)]]).await;
        let mut fleet = Fleet::start_with(&routes(), &[&stand], "bounds.graceS=600\n").await;
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request("/stream/x", "a1", "", "")).await;
        client.read_until("piece 1").await;
        let mut idle = RawClient::connect(&fleet).await;
        idle.write(&request("/none/x", "a2", "", "")).await;
        idle.read_until("404").await;
        fleet.terminate();
        idle.read_to_end().await; // idle connections have been closed, and what is open goes on
        client.leave().await;
        timeout(PATIENCE, stand.left()).await.expect("the endpoint's connection ends");
        timeout(PATIENCE, fleet.child.wait()).await.expect("nothing keeps the proxy").expect("it ran");
    });
}

#[test]
fn a_failed_request_is_not_retried_after_its_client_disconnected() {
    run(async {
        for failure in [
            vec![Act::Reset],
            vec![answer("500 Internal Server Error", "x")],
            vec![not_executed("503 Full")],
        ] {
            let go_on = Rc::new(Notify::new());
            let mut first = vec![Act::Wait(go_on.clone())];
            first.extend(failure);
            let script: Script = Rc::new(RefCell::new(vec![first].into()));
            let one = Stand::start_shared("i-1", script.clone()).await;
            let other = Stand::start_shared("i-2", script).await;
            let fleet = Fleet::start(&routes(), &[&one, &other]).await;
            let mut client = RawClient::connect(&fleet).await;
            client.write(&request("/again/x", "a1", "", "x")).await;
            tokio::select! {
                () = one.came() => {}
                () = other.came() => {}
            }
            client.leave().await;
            go_on.notify_one();
            assert_eq!(fleet.ask("/again/x", "a2", &[], "x").await.status, StatusCode::OK);
            let ids = |stand: &Stand| {
                let seen = stand.seen.borrow();
                seen.iter()
                    .filter_map(|seen| seen.header("x-attempt-id").map(str::to_owned))
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
        let asked = request("/again/x", "a1", "", "body");
        for behind in ["\r\n", "POST /again/x HT", &request("/again/x", "a3", "", "body")] {
            leaves(&format!("{asked}{behind}"), vec![Act::Wait(never.clone())], "").await;
        }
    });
}

#[test]
fn bytes_after_a_streaming_request_do_not_hide_the_client_disconnect() {
    let never = Rc::new(Notify::new());
    run(async move {
        let asked = request("/stream/x", "a1", "", "body");
        let acts = vec![stream_head("s1"), chunk(&event(1)), Act::Wait(never.clone())];
        for behind in ["\r\n", "POST /again/x HT", &request("/again/x", "a3", "", "body")] {
            leaves(&format!("{asked}{behind}"), acts.clone(), "piece 1").await;
        }
    });
}

#[test]
fn a_pipelined_request_waits_for_the_previous_response() {
    let go_on = Rc::new(Notify::new());
    run(async move {
        let first = vec![Act::Wait(go_on.clone()), answer("200 OK", "first")];
        let stand = Stand::start("i-1", vec![first, vec![answer("200 OK", "second")]]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let mut client = RawClient::connect(&fleet).await;
        let (one, other) = (request("/once/x", "a1", "", "x"), request("/once/x", "a2", "", "x"));
        client.write(&one).await;
        stand.came().await;
        client.write(&other).await;
        assert_eq!(fleet.ask("/none/x", "a3", &[], "").await.status, StatusCode::NOT_FOUND);
        go_on.notify_one();
        client.read_until("first").await;
        client.read_until("second").await;
        assert_eq!(stand.seen.borrow().len(), 2);
    });
}
