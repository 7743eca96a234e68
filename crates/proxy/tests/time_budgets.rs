//! Time budgets sent to endpoints: never more than the client's remaining time, for any attempt.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Action, FakeEndpoint, Fleet, RawClient, ReceivedRequest, Script, chunk, event, last_chunk, reply,
    route, run, stream_head, with_timeout,
};
use tokio::sync::Notify;

/// Timeout in milliseconds of the route `clock`, which tests use to wait on the proxy's clock.
const CLOCK_TIMEOUT_MS: u64 = 700;

fn routes() -> Vec<String> {
    vec![
        route("once", "non_idempotent", 3, false),
        route("again", "idempotent", 3, false),
        route("resumed", "streaming", 3, true),
        with_timeout(&route("clock", "non_idempotent", 1, false), CLOCK_TIMEOUT_MS as u32),
    ]
}

fn budget(received: &ReceivedRequest) -> u64 {
    let budgets = received.all("x-time-budget-ms");
    assert_eq!(budgets.len(), 1, "{budgets:?}");
    budgets[0].parse().expect("not a whole number of milliseconds")
}

/// The time budgets of the two attempts of a request, of which the first fails `CLOCK_TIMEOUT_MS` after it was sent.
async fn budgets_of_attempts(
    path: &str,
    first: Vec<Action>,
    proceed: Rc<Notify>,
    second: Vec<Action>,
) -> (u64, u64) {
    let script: Script = Rc::new(RefCell::new(vec![first, second].into()));
    let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
    let other = FakeEndpoint::start_shared("i-2", script).await;
    let fleet = Fleet::start(&routes(), &[&one, &other]).await;
    let fail_first = async {
        tokio::select! {
            () = one.request_received() => {}
            () = other.request_received() => {}
        }
        fleet.wait_out_timeout("/clock/x").await;
        proceed.notify_one();
    };
    let headers = [("x-time-budget-ms", "5000")];
    let (response, ()) = tokio::join!(fleet.send(path, "a1", &headers, "x"), fail_first);
    assert!(response.status.is_success() && response.complete, "{response:?}");
    let mut budgets: Vec<u64> =
        one.received.borrow().iter().chain(other.received.borrow().iter()).map(budget).collect();
    budgets.sort_unstable();
    assert_eq!(budgets.len(), 2);
    (budgets[1], budgets[0])
}

#[test]
fn a_retry_has_a_smaller_time_budget() {
    run(async {
        let proceed = Rc::new(Notify::new());
        let failing = vec![Action::Wait(proceed.clone()), Action::Reset];
        let (first, second) =
            budgets_of_attempts("/again/x", failing, proceed, vec![reply("200 OK", "fine")]).await;
        assert!(first <= 5000, "{first}");
        assert!(second <= first - CLOCK_TIMEOUT_MS, "{first} {second}");
    });
}

#[test]
fn a_resumed_stream_has_a_smaller_time_budget() {
    run(async {
        let proceed = Rc::new(Notify::new());
        let failing =
            vec![stream_head("s1"), chunk(&event(1)), Action::Wait(proceed.clone()), Action::Reset];
        let resumed = vec![stream_head("s2"), chunk(&event(2)), last_chunk()];
        let (first, second) = budgets_of_attempts("/resumed/x", failing, proceed, resumed).await;
        assert!(first <= 5000, "{first}");
        assert!(second <= first - CLOCK_TIMEOUT_MS, "{first} {second}");
    });
}

/// The time budget sent to an endpoint if the client sends these header lines.
async fn sent_budget(lines: &str) -> u64 {
    let endpoint = FakeEndpoint::start("i-1", vec![]).await;
    let fleet = Fleet::start(&routes(), &[&endpoint]).await;
    let mut client = RawClient::connect(&fleet).await;
    client.write(&support::request("/once/x", "a1", lines, "x")).await;
    client.read_until("unscripted").await;
    let received = endpoint.received.borrow();
    budget(&received[0])
}

#[test]
fn the_time_budget_is_limited_by_the_client_and_the_route() {
    let cases = [
        ("", 8000),
        ("X-Time-Budget-Ms: 1500\r\n", 1500),
        ("X-Time-Budget-Ms: 1500.7\r\n", 1500),
        ("X-Time-Budget-Ms: 1500;\r\n", 8000),
        ("X-Time-Budget-Ms: 90000\r\n", 8000),
        ("X-Time-Budget-Ms: 99999999999999999999999999\r\n", 8000),
        ("X-Time-Budget-Ms: NaN\r\n", 8000),
        ("X-Time-Budget-Ms:\r\n", 8000),
        ("X-Time-Budget-Ms: 9000000\r\nX-Time-Budget-Ms: 5000\r\n", 5000),
        ("X-Time-Budget-Ms: none\r\nX-Time-Budget-Ms: 5000\r\n", 5000),
    ];
    run(async move {
        let mut wrong = Vec::new();
        for (lines, most) in cases {
            let budget = sent_budget(lines).await;
            wrong.extend((budget > most || budget + 1000 < most).then_some((lines, budget)));
        }
        assert_eq!(wrong, []);
    });
}

#[test]
fn a_request_without_time_left_reaches_no_endpoint() {
    run(async {
        let endpoint = FakeEndpoint::start("i-1", vec![]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let mut wrong = Vec::new();
        for value in ["0", "0.4", "-5", "-Infinity"] {
            let response = fleet.send("/once/x", "a1", &[("x-time-budget-ms", value)], "x").await;
            let never_ran = [503, 408].contains(&response.status.as_u16());
            wrong.extend((!never_ran).then_some((value, response.status)));
        }
        assert_eq!(wrong, []);
        assert_eq!(endpoint.received.borrow().len(), 0);
    });
}
