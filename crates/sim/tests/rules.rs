//! The oracle on hand-made facts: each rule just kept and just violated.

use runtrack_sim::facts::{Attempt, EndpointNotice, Execution, Facts, ProcessRun, RequestRecord, Response};
use runtrack_sim::oracle::{Rule, judge};
use runtrack_sim::script::{Class, ClientBehavior, Script};
use std::time::Duration;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn script() -> Script {
    let (asks, faults) = Default::default();
    Script {
        seed: 1,
        sidecars: 1,
        latency_ms: (1, 1),
        split: 0,
        fall_tenths: 20,
        endpoints: 2,
        connect_ms: 250,
        window_ms: 400,
        uncancelled: false,
        asks,
        faults,
    }
}

/// Facts of one request that arrives at 1 s with a timeout of 1 s and is served by endpoint 0.
fn served(class: Class) -> Facts {
    let response = Response { completed: ms(1100), status: 200, body: "made".to_owned() };
    let request = RequestRecord {
        id: "r0".to_owned(),
        class,
        sidecar: 0,
        behavior: ClientBehavior::Plain,
        started: ms(998),
        sent: Some(ms(999)),
        arrived: Some(ms(1000)),
        read: true,
        timeout: ms(1000),
        disconnected: None,
        connection_lost: None,
        connection: Some((1, 0)),
        responses: vec![response],
    };
    let execution = Execution {
        id: "r0".to_owned(),
        endpoint: 0,
        at: ms(1010),
        body: "made".to_owned(),
        response_valid: true,
    };
    let process_run =
        ProcessRun { sidecar: 0, started: ms(0), ended: None, drain_requested: None, killed: false };
    let attempts = vec![attempt(0, 1005)];
    Facts {
        requests: vec![request],
        attempts,
        executions: vec![execution],
        process_runs: vec![process_run],
        ..Facts::default()
    }
}

fn attempt(endpoint: u32, first: u64) -> Attempt {
    let (last_byte, rejected) = (Some(ms(first + 1)), None);
    Attempt {
        id: "r0".to_owned(),
        sidecar: 0,
        endpoint,
        connection: 2,
        first_byte: ms(first),
        last_byte,
        rejected,
    }
}

fn violated_rules(facts: &Facts) -> Vec<Rule> {
    judge(&script(), facts).into_iter().map(|violation| violation.rule).collect()
}

/// The rules that these facts violate after a change.
fn with(class: Class, change: impl Fn(&mut Facts)) -> Vec<Rule> {
    let mut facts = served(class);
    change(&mut facts);
    violated_rules(&facts)
}

#[test]
fn rule_one_requires_one_response_in_time() {
    assert_eq!(with(Class::Book, |_| {}), []);
    assert_eq!(
        with(Class::Book, |f| f.requests[0].responses[0].completed = ms(2050)),
        [],
        "with the slack"
    );
    assert_eq!(with(Class::Book, |f| f.requests[0].responses[0].completed = ms(2051)), [Rule::Lost]);
    assert_eq!(with(Class::Book, |f| f.requests[0].responses.clear()), [Rule::Lost]);
    let twice = |f: &mut Facts| {
        let response = f.requests[0].responses[0].clone();
        f.requests[0].responses.push(response);
    };
    assert_eq!(with(Class::Book, twice), [Rule::Lost]);
    assert_eq!(
        with(Class::Quote, |f| f.attempts.push(attempt(1, 1101))),
        [Rule::Lost],
        "sent after its response"
    );
}

#[test]
fn disconnects_kills_and_pauses_are_not_lost_responses() {
    let none = |f: &mut Facts| f.requests[0].responses.clear();
    assert_eq!(with(Class::Book, |f| (none(f), f.requests[0].disconnected = Some(ms(1200))).0), []);
    let killed = |f: &mut Facts, killed| {
        none(f);
        (f.process_runs[0].ended, f.process_runs[0].killed) = (Some(ms(1500)), killed);
    };
    assert_eq!(with(Class::Book, |f| killed(f, true)), []);
    assert_eq!(with(Class::Book, |f| killed(f, false)), [Rule::Lost], "the process exited on its own");
    let paused = |f: &mut Facts, wrote| {
        f.pauses.push((0, ms(1500), ms(1700)));
        f.requests[0].responses[0].completed = ms(wrote);
    };
    assert_eq!(with(Class::Book, |f| paused(f, 2250)), []);
    assert_eq!(with(Class::Book, |f| paused(f, 2251)), [Rule::Lost]);
}

#[test]
fn nothing_is_forwarded_after_a_disconnect() {
    let left = |f: &mut Facts, first| {
        f.requests[0].responses.clear();
        f.requests[0].disconnected = Some(ms(1200));
        f.attempts = vec![attempt(0, first)];
    };
    assert_eq!(with(Class::Quote, |f| left(f, 1550)), [], "with the slack");
    assert_eq!(with(Class::Quote, |f| left(f, 1551)), [Rule::Gone]);
    let paused = |f: &mut Facts, first| (left(f, first), f.pauses.push((0, ms(1210), ms(1310)))).0;
    assert_eq!(with(Class::Quote, |f| paused(f, 1650)), [], "paused time does not count");
    assert_eq!(with(Class::Quote, |f| paused(f, 1651)), [Rule::Gone]);
}

#[test]
fn rule_two_forbids_a_second_execution() {
    let again = |f: &mut Facts| f.attempts.push(attempt(1, 1050));
    assert_eq!(with(Class::Book, again), [Rule::Twice]);
    assert_eq!(with(Class::Quote, again), [], "it may be repeated");
    assert_eq!(
        with(Class::Book, |f| (again(f), f.attempts[0].last_byte = None).0),
        [],
        "never written completely"
    );
    assert_eq!(with(Class::Book, |f| (again(f), f.attempts[0].rejected = Some(ms(1020))).0), []);
    let late = |f: &mut Facts| (again(f), f.attempts[0].rejected = Some(ms(1051))).0;
    assert_eq!(with(Class::Book, late), [Rule::Twice], "rejected after the retry");
}

#[test]
fn keyed_requests_are_repeated_only_in_their_group_and_window() {
    let to = |endpoint, first| {
        move |f: &mut Facts| {
            f.attempts.push(attempt(endpoint, first));
            f.requests[0].responses[0].completed = ms(1900);
        }
    };
    assert_eq!(with(Class::Pay, to(2, 1300)), []);
    assert_eq!(with(Class::Pay, to(1, 1300)), [Rule::Twice], "another zone");
    assert_eq!(with(Class::Pay, to(2, 1457)), [Rule::Twice], "after its window");
}

#[test]
fn refusing_a_request_that_may_have_run_violates_rule_two() {
    let refused = |f: &mut Facts| {
        (f.requests[0].responses[0].status, f.requests[0].responses[0].body) = (503, String::new())
    };
    assert_eq!(with(Class::Book, refused), [Rule::Twice]);
    assert_eq!(with(Class::Quote, refused), []);
    let failed = |f: &mut Facts| f.requests[0].responses[0].status = 502;
    assert_eq!(with(Class::Book, failed), [], "a failure promises nothing");
}

#[test]
fn responses_must_come_from_an_endpoint_for_that_request() {
    assert_eq!(with(Class::Book, |f| f.requests[0].responses[0].body = "other".to_owned()), [Rule::Answer]);
    assert_eq!(with(Class::Book, |f| f.executions.clear()), [Rule::Answer], "served, and never ran");
    assert_eq!(
        with(Class::Book, |f| f.executions[0].response_valid = false),
        [Rule::Answer],
        "its response was corrupted"
    );
}

#[test]
fn rule_three_counts_from_the_first_notice() {
    let notice = |at, ready| EndpointNotice { sidecar: 0, endpoint: 0, at: ms(at), ready };
    let at = |first: u64, notices: Vec<EndpointNotice>| {
        with(Class::Quote, |f| {
            f.notices = notices.clone();
            f.attempts[0] = attempt(0, first);
            let request = &mut f.requests[0];
            request.arrived = Some(ms(first));
            request.responses[0].completed = ms(first + 100);
        })
    };
    assert_eq!(at(5050, vec![notice(3000, false)]), []);
    assert_eq!(at(5051, vec![notice(3000, false)]), [Rule::Drain]);
    assert_eq!(at(5051, vec![notice(3000, false), notice(4000, false)]), [Rule::Drain], "notified again");
    assert_eq!(at(5051, vec![notice(3000, false), notice(4000, true)]), [], "it is up again");
}

#[test]
fn an_unreceived_drain_counts_once_it_could_have_been_received() {
    let sent = |first: u64, dark: Option<(u64, u64)>| {
        with(Class::Quote, |f| {
            f.discovery_states = vec![(0, ms(1000), false)];
            f.discovery_outages = dark.iter().map(|(from, until)| (ms(*from), ms(*until))).collect();
            f.attempts[0] = attempt(0, first);
            let request = &mut f.requests[0];
            request.arrived = Some(ms(first));
            request.responses[0].completed = ms(first + 100);
        })
    };
    assert_eq!(sent(9050, None), []);
    assert_eq!(sent(9051, None), [Rule::Drain]);
    assert_eq!(sent(9051, Some((3000, 4000))), [], "discovery was down meanwhile");
    assert_eq!(sent(12_051, Some((3000, 4000))), [Rule::Drain]);
}

#[test]
fn rule_four_limits_the_work_within_a_window() {
    // 40% of two cores, twice that, over 1.5 s, with a quarter and 0.2 s of slack: 3.2 s of work at the start.
    let flood = |count: u64, gap: u64| {
        with(Class::Quote, |f| {
            f.endpoint_starts = vec![(0, ms(0))];
            let one = f.requests[0].clone();
            f.attempts.clear();
            f.requests.clear();
            for n in 0..count {
                let id = format!("r{n}");
                f.attempts.push(Attempt { id: id.clone(), ..attempt(0, 1 + n * gap) });
                let mut request = RequestRecord { id, arrived: None, ..one.clone() };
                request.responses.clear();
                f.requests.push(request);
            }
        })
    };
    assert_eq!(flood(80, 0), []);
    assert_eq!(flood(81, 0), [Rule::Cold]);
    assert_eq!(flood(200, 20), [], "spread over 4 s");
}

#[test]
fn malformed_requests_get_an_error_and_are_not_served() {
    let bad = |behavior, change: &dyn Fn(&mut RequestRecord)| {
        with(Class::Quote, |f| {
            f.attempts.clear();
            f.requests[0].behavior = behavior;
            f.requests[0].responses[0].status = 400;
            change(&mut f.requests[0]);
        })
    };
    assert_eq!(bad(ClientBehavior::Rubbish, &|_| {}), []);
    assert_eq!(bad(ClientBehavior::Rubbish, &|request| request.responses.clear()), [Rule::Bad]);
    assert_eq!(bad(ClientBehavior::Rubbish, &|request| request.responses[0].status = 200), [Rule::Bad]);
    let hidden = with(Class::Quote, |f| {
        f.requests[0].behavior = ClientBehavior::Smuggles;
        f.requests[0].responses[0].status = 411;
        f.attempts[0].id = "r0-hidden".to_owned();
    });
    assert_eq!(hidden, [Rule::Answer, Rule::Bad]);
}

#[test]
fn leftovers_and_crashes_are_reported() {
    assert_eq!(with(Class::Book, |f| f.leftovers.push("1 request".to_owned())), [Rule::Left]);
    assert_eq!(with(Class::Book, |f| f.crashes.push((0, ms(1), "a panic".to_owned()))), [Rule::Left]);
}
