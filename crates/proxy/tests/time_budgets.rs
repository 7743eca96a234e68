//! How much time endpoints are given: never more than the client has left, whichever attempt it is.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use support::{
    Act, Fleet, RawClient, Script, Seen, Stand, answer, chunk, event, last_chunk, route, run, stream_head,
    with_timeout,
};
use tokio::sync::Notify;

/// Time limit of the route that tests let time pass with, in milliseconds.
const CLOCK: u64 = 700;

fn routes() -> Vec<String> {
    vec![
        route("once", "non_idempotent", 3, false),
        route("again", "idempotent", 3, false),
        route("resumed", "streaming", 3, true),
        with_timeout(&route("clock", "non_idempotent", 1, false), CLOCK as u32),
    ]
}

fn budget(seen: &Seen) -> u64 {
    let budgets = seen.all("x-time-budget-ms");
    assert_eq!(budgets.len(), 1, "{budgets:?}");
    budgets[0].parse().expect("a whole number of milliseconds")
}

/// The budgets of the two attempts of a request, of which the first one fails some time after it was sent.
async fn budgets_of_attempts(
    path: &str,
    first: Vec<Act>,
    go_on: Rc<Notify>,
    second: Vec<Act>,
) -> (u64, u64) {
    let script: Script = Rc::new(RefCell::new(vec![first, second].into()));
    let one = Stand::start_shared("i-1", script.clone()).await;
    let other = Stand::start_shared("i-2", script).await;
    let fleet = Fleet::start(&routes(), &[&one, &other]).await;
    let failing = async {
        tokio::select! {
            () = one.came() => {}
            () = other.came() => {}
        }
        fleet.outlast("/clock/x").await;
        go_on.notify_one();
    };
    let headers = [("x-time-budget-ms", "5000")];
    let (got, ()) = tokio::join!(fleet.ask(path, "a1", &headers, "x"), failing);
    assert!(got.status.is_success() && got.whole, "{got:?}");
    let mut budgets: Vec<u64> =
        one.seen.borrow().iter().chain(other.seen.borrow().iter()).map(budget).collect();
    budgets.sort_unstable();
    assert_eq!(budgets.len(), 2);
    (budgets[1], budgets[0])
}

#[test]
fn a_retry_has_a_smaller_time_budget() {
    run(async {
        let go_on = Rc::new(Notify::new());
        let broken = vec![Act::Wait(go_on.clone()), Act::Reset];
        let (first, second) =
            budgets_of_attempts("/again/x", broken, go_on, vec![answer("200 OK", "fine")]).await;
        assert!(first <= 5000, "{first}");
        assert!(second <= first - CLOCK, "{first} {second}");
    });
}

#[test]
fn a_resumed_stream_has_a_smaller_time_budget() {
    run(async {
        let go_on = Rc::new(Notify::new());
        let broken = vec![stream_head("s1"), chunk(&event(1)), Act::Wait(go_on.clone()), Act::Reset];
        let resumed = vec![stream_head("s2"), chunk(&event(2)), last_chunk()];
        let (first, second) = budgets_of_attempts("/resumed/x", broken, go_on, resumed).await;
        assert!(first <= 5000, "{first}");
        assert!(second <= first - CLOCK, "{first} {second}");
    });
}

/// What an endpoint is given where the client sends these lines.
async fn given(lines: &str) -> u64 {
    let stand = Stand::start("i-1", vec![]).await;
    let fleet = Fleet::start(&routes(), &[&stand]).await;
    let mut client = RawClient::connect(&fleet).await;
    client.write(&support::request("/once/x", "a1", lines, "x")).await;
    client.read_until("unscripted").await;
    let seen = stand.seen.borrow();
    budget(&seen[0])
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
            let given = given(lines).await;
            wrong.extend((given > most || given + 1000 < most).then_some((lines, given)));
        }
        assert_eq!(wrong, []);
    });
}

#[test]
fn a_request_without_time_left_reaches_no_endpoint() {
    run(async {
        let stand = Stand::start("i-1", vec![]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let mut wrong = Vec::new();
        for value in ["0", "0.4", "-5", "-Infinity"] {
            let got = fleet.ask("/once/x", "a1", &[("x-time-budget-ms", value)], "x").await;
            let never_ran = [503, 408].contains(&got.status.as_u16());
            wrong.extend((!never_ran).then_some((value, got.status)));
        }
        assert_eq!(wrong, []);
        assert_eq!(stand.seen.borrow().len(), 0);
    });
}
