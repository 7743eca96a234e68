//! Stalled streams: another endpoint may resume the stream, and until one does, the stalled attempt is kept.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Action, FakeEndpoint, Fleet, RawClient, Script, chunk, event, last_chunk, not_executed, request, route,
    run, stream_head, with_timeout,
};
use tokio::sync::Notify;

const STREAM: &str = "/resumed/x";

fn routes() -> Vec<String> {
    vec![
        route("resumed", "streaming", 3, true),
        // Longer than the stall timeout, which is 1200 ms on these routes.
        with_timeout(&route("clock", "non_idempotent", 1, false), 2000),
    ]
}

/// A stream that pauses after its first event until it is notified.
fn pausing(proceed: &Rc<Notify>) -> Vec<Action> {
    vec![
        stream_head("first"),
        chunk(&event(1)),
        Action::Wait(proceed.clone()),
        chunk(&event(2)),
        last_chunk(),
    ]
}

/// Two endpoints, of which the first to get the request pauses, and the other one performs these actions.
async fn start_with_pause(
    proceed: &Rc<Notify>,
    second: Vec<Action>,
) -> (Fleet, FakeEndpoint, FakeEndpoint) {
    let script: Script = Rc::new(RefCell::new(vec![pausing(proceed), second].into()));
    let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
    let two = FakeEndpoint::start_shared("i-2", script).await;
    let fleet = Fleet::start(&routes(), &[&one, &two]).await;
    (fleet, one, two)
}

async fn start_stream(fleet: &Fleet) -> RawClient {
    let mut client = RawClient::connect(fleet).await;
    client.write(&request(STREAM, "a1", "", "")).await;
    client.read_until("piece 1\n\n").await;
    client
}

/// Checks that the client receives the rest of the stream: its second event once, and its end.
async fn check_rest(mut client: RawClient) {
    client.read_until("0\r\n\r\n").await;
    let read = String::from_utf8_lossy(&client.read).into_owned();
    assert_eq!(read.matches("piece 2").count(), 1, "{read}");
}

#[test]
fn a_stalled_stream_continues_without_another_endpoint() {
    run(async {
        let proceed = Rc::new(Notify::new());
        let endpoint = FakeEndpoint::start("i-1", vec![pausing(&proceed)]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let client = start_stream(&fleet).await;
        fleet.wait_out_timeout("/clock/x").await;
        proceed.notify_one();
        check_rest(client).await;
        assert_eq!(endpoint.received.borrow().len(), 1);
    });
}

#[test]
fn a_stalled_stream_continues_if_the_other_endpoint_refuses() {
    run(async {
        let proceed = Rc::new(Notify::new());
        let (fleet, one, two) =
            start_with_pause(&proceed, vec![not_executed("503 Service Unavailable")]).await;
        let client = start_stream(&fleet).await;
        tokio::join!(one.request_received(), two.request_received());
        fleet.wait_out_timeout("/clock/x").await;
        proceed.notify_one();
        check_rest(client).await;
    });
}

#[test]
fn a_stalled_stream_continues_if_the_other_endpoint_fails() {
    run(async {
        let proceed = Rc::new(Notify::new());
        let (fleet, one, two) = start_with_pause(&proceed, vec![Action::Reset]).await;
        let client = start_stream(&fleet).await;
        tokio::join!(one.request_received(), two.request_received());
        fleet.wait_out_timeout("/clock/x").await;
        proceed.notify_one();
        check_rest(client).await;
    });
}

#[test]
fn the_endpoint_that_continues_first_is_used() {
    run(async {
        let (proceed, never) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let (fleet, one, two) = start_with_pause(&proceed, vec![Action::Wait(never)]).await;
        let client = start_stream(&fleet).await;
        tokio::join!(one.request_received(), two.request_received());
        proceed.notify_one();
        check_rest(client).await;
        // The other attempt is cancelled.
        tokio::select! {
            () = one.caller_disconnected() => {}
            () = two.caller_disconnected() => {}
        }
    });
}

#[test]
fn a_stream_that_fails_after_a_stall_is_resumed_by_the_pending_attempt() {
    run(async {
        let (fail, proceed) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let failing =
            vec![stream_head("first"), chunk(&event(1)), Action::Wait(fail.clone()), Action::Reset];
        let resumed =
            vec![Action::Wait(proceed.clone()), stream_head("second"), chunk(&event(2)), last_chunk()];
        let script: Script = Rc::new(RefCell::new(vec![failing, resumed].into()));
        let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
        let two = FakeEndpoint::start_shared("i-2", script).await;
        let fleet = Fleet::start(&routes(), &[&one, &two]).await;
        let client = start_stream(&fleet).await;
        tokio::join!(one.request_received(), two.request_received());
        fail.notify_one();
        proceed.notify_one();
        check_rest(client).await;
        assert_eq!(one.received.borrow().len() + two.received.borrow().len(), 2);
    });
}

#[test]
fn stalls_reach_no_more_endpoints_than_max_tries() {
    run(async {
        let never = Rc::new(Notify::new());
        let stalled = vec![stream_head("s"), chunk(&event(1)), Action::Wait(never.clone())];
        let later = vec![stream_head("s"), chunk(&event(2)), Action::Wait(never)];
        let script: Script = Rc::new(RefCell::new(vec![stalled, later.clone(), later].into()));
        let mut endpoints = Vec::new();
        for number in 0..4 {
            endpoints.push(FakeEndpoint::start_shared(&format!("i-{number}"), script.clone()).await);
        }
        let endpoints: Vec<&FakeEndpoint> = endpoints.iter().collect();
        let routes = [with_timeout(&route("resumed", "streaming", 2, true), 4000)];
        let fleet = Fleet::start(&routes, &endpoints).await;
        let response = fleet.send(STREAM, "a1", &[], "x").await;
        assert!(!response.complete);
        assert_eq!(endpoints.iter().map(|endpoint| endpoint.received.borrow().len()).sum::<usize>(), 2);
    });
}
