//! Streams whose endpoint pauses for too long: another endpoint may take over, and until one has, the pause ends nothing.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Act, Fleet, RawClient, Script, Stand, chunk, event, last_chunk, not_executed, request, route, run,
    stream_head, with_timeout,
};
use tokio::sync::Notify;

const STREAM: &str = "/resumed/x";

fn routes() -> Vec<String> {
    vec![
        route("resumed", "streaming", 3, true),
        // Longer than a pause that is too long, which is 1200 ms on these routes.
        with_timeout(&route("clock", "non_idempotent", 1, false), 2000),
    ]
}

/// A stream that pauses behind its first event until it is told to go on.
fn pausing(go_on: &Rc<Notify>) -> Vec<Act> {
    vec![stream_head("first"), chunk(&event(1)), Act::Wait(go_on.clone()), chunk(&event(2)), last_chunk()]
}

/// Two endpoints of which the one that is asked first pauses, and the other one does this.
async fn beside_a_pause(go_on: &Rc<Notify>, other: Vec<Act>) -> (Fleet, Stand, Stand) {
    let script: Script = Rc::new(RefCell::new(vec![pausing(go_on), other].into()));
    let one = Stand::start_shared("i-1", script.clone()).await;
    let two = Stand::start_shared("i-2", script).await;
    let fleet = Fleet::start(&routes(), &[&one, &two]).await;
    (fleet, one, two)
}

async fn ask(fleet: &Fleet) -> RawClient {
    let mut client = RawClient::connect(fleet).await;
    client.write(&request(STREAM, "a1", "", "")).await;
    client.read_until("piece 1\n\n").await;
    client
}

/// The rest of the stream comes: its second event once, and its end.
async fn goes_on(mut client: RawClient) {
    client.read_until("0\r\n\r\n").await;
    let read = String::from_utf8_lossy(&client.read).into_owned();
    assert_eq!(read.matches("piece 2").count(), 1, "{read}");
}

#[test]
fn a_stalled_stream_continues_without_another_endpoint() {
    run(async {
        let go_on = Rc::new(Notify::new());
        let stand = Stand::start("i-1", vec![pausing(&go_on)]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let client = ask(&fleet).await;
        fleet.outlast("/clock/x").await;
        go_on.notify_one();
        goes_on(client).await;
        assert_eq!(stand.seen.borrow().len(), 1);
    });
}

#[test]
fn a_stalled_stream_continues_if_the_other_endpoint_refuses() {
    run(async {
        let go_on = Rc::new(Notify::new());
        let (fleet, one, two) = beside_a_pause(&go_on, vec![not_executed("503 Service Unavailable")]).await;
        let client = ask(&fleet).await;
        tokio::join!(one.came(), two.came());
        fleet.outlast("/clock/x").await;
        go_on.notify_one();
        goes_on(client).await;
    });
}

#[test]
fn a_stalled_stream_continues_if_the_other_endpoint_fails() {
    run(async {
        let go_on = Rc::new(Notify::new());
        let (fleet, one, two) = beside_a_pause(&go_on, vec![Act::Reset]).await;
        let client = ask(&fleet).await;
        tokio::join!(one.came(), two.came());
        fleet.outlast("/clock/x").await;
        go_on.notify_one();
        goes_on(client).await;
    });
}

#[test]
fn the_endpoint_that_continues_first_is_used() {
    run(async {
        let (go_on, never) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let (fleet, one, two) = beside_a_pause(&go_on, vec![Act::Wait(never)]).await;
        let client = ask(&fleet).await;
        tokio::join!(one.came(), two.came());
        go_on.notify_one();
        goes_on(client).await;
        // The other one's work is ended.
        tokio::select! {
            () = one.left() => {}
            () = two.left() => {}
        }
    });
}

#[test]
fn a_stream_that_fails_after_a_stall_is_resumed_by_the_pending_attempt() {
    run(async {
        let (breaks, go_on) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let broken = vec![stream_head("first"), chunk(&event(1)), Act::Wait(breaks.clone()), Act::Reset];
        let resumed = vec![Act::Wait(go_on.clone()), stream_head("second"), chunk(&event(2)), last_chunk()];
        let script: Script = Rc::new(RefCell::new(vec![broken, resumed].into()));
        let one = Stand::start_shared("i-1", script.clone()).await;
        let two = Stand::start_shared("i-2", script).await;
        let fleet = Fleet::start(&routes(), &[&one, &two]).await;
        let client = ask(&fleet).await;
        tokio::join!(one.came(), two.came());
        breaks.notify_one();
        go_on.notify_one();
        goes_on(client).await;
        assert_eq!(one.seen.borrow().len() + two.seen.borrow().len(), 2);
    });
}

#[test]
fn stalls_reach_no_more_endpoints_than_max_tries() {
    run(async {
        let never = Rc::new(Notify::new());
        let silent = vec![stream_head("s"), chunk(&event(1)), Act::Wait(never.clone())];
        let later = vec![stream_head("s"), chunk(&event(2)), Act::Wait(never)];
        let script: Script = Rc::new(RefCell::new(vec![silent, later.clone(), later].into()));
        let mut stands = Vec::new();
        for number in 0..4 {
            stands.push(Stand::start_shared(&format!("i-{number}"), script.clone()).await);
        }
        let stands: Vec<&Stand> = stands.iter().collect();
        let routes = [with_timeout(&route("resumed", "streaming", 2, true), 4000)];
        let fleet = Fleet::start(&routes, &stands).await;
        let got = fleet.ask(STREAM, "a1", &[], "x").await;
        assert!(!got.whole);
        assert_eq!(stands.iter().map(|stand| stand.seen.borrow().len()).sum::<usize>(), 2);
    });
}
