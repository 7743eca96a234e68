//! The oracle of the control plane, shown histories that break each rule, and a sound one.

use runtrack_sim::fleet::draw;
use runtrack_sim::fleet::facts::{Answer, Asked, Call, Facts, Harm, Order, Told, Word};
use runtrack_sim::fleet::oracle::{Rule, judge};
use std::time::Duration;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn order(base: u64, version: u64, marker: u64) -> Order {
    Order { base, version, marker, valid: true }
}

fn call(asked: Asked, began: u64, status: u16) -> Call {
    let answer = Answer { status, config: None, named: None };
    Call {
        asked,
        core: 0,
        began: ms(began),
        ended: Some(ms(began + 10)),
        connected: true,
        left: false,
        answer: Some(answer),
        surplus: false,
    }
}

fn read(began: u64, version: u64, marker: u64) -> Call {
    let mut read = call(Asked::Read, began, 200);
    read.answer = Some(Answer { status: 200, config: Some((version, marker)), named: None });
    read
}

fn told(at: u64, told: Told) -> Word {
    Word { agent: 0, life: 1, at: ms(at), told }
}

/// Two orders one on top of the other, acknowledged, read, and told to the one agent.
fn sound() -> Facts {
    let mut facts = Facts {
        orders: vec![order(0, 1, 0), order(1, 2, 1)],
        calls: vec![
            call(Asked::Replace(0), 100, 200),
            read(200, 1, 0),
            call(Asked::Replace(1), 5_000, 200),
            read(5_200, 2, 1),
        ],
        words: vec![
            told(150, Told::Version(1)),
            told(160, Told::Config(1, 0)),
            told(5_050, Told::Version(2)),
            told(5_060, Told::Config(2, 1)),
        ],
        agent_starts: vec![(0, ms(0))],
        last_acknowledged: true,
        end: ms(20_000),
        ..Facts::default()
    };
    for core in 0..3 {
        facts.disks.insert(core, Some((2, 1)));
    }
    facts
}

fn broken(change: impl Fn(&mut Facts)) -> Vec<Rule> {
    let mut script = draw::script(0);
    (script.cores, script.tolerance, script.agents) = (3, 1, 1);
    let mut facts = sound();
    change(&mut facts);
    judge(&script, &facts).into_iter().map(|breach| breach.rule).collect()
}

#[track_caller]
fn breaks(rule: Rule, change: impl Fn(&mut Facts)) {
    let rules = broken(change);
    assert!(rules.contains(&rule), "{rules:?}");
}

#[test]
fn a_sound_history_breaks_nothing() {
    assert_eq!(broken(|_| {}), []);
}

#[test]
fn two_configurations_of_one_version_are_found() {
    breaks(Rule::OneConfiguration, |facts| {
        facts.orders.push(order(1, 2, 2));
        facts.calls.push(call(Asked::Replace(2), 6_000, 200));
    });
}

#[test]
fn what_nobody_sent_is_found() {
    breaks(Rule::Sent, |facts| facts.calls.push(read(6_000, 3, 7)));
    breaks(Rule::Sent, |facts| facts.orders[1].valid = false);
}

#[test]
fn a_refusal_of_what_came_into_force_is_found_before_and_after() {
    breaks(Rule::Refused, |facts| facts.calls.push(call(Asked::Replace(0), 6_000, 412)));
    breaks(Rule::Refused, |facts| facts.calls.insert(0, call(Asked::Replace(1), 50, 409)));
}

#[test]
fn what_was_acknowledged_and_is_not_below_the_newest_is_found() {
    breaks(Rule::Durable, |facts| {
        facts.orders.push(order(1, 3, 2));
        facts.calls.push(call(Asked::Replace(2), 6_000, 200));
    });
}

#[test]
fn unseen_orders_may_lie_between_and_refused_ones_may_not() {
    let between = |facts: &mut Facts| {
        facts.orders.extend([order(2, 3, 2), order(3, 4, 3)]);
        facts.calls.push(call(Asked::Replace(2), 6_000, 503));
        facts.calls.push(call(Asked::Replace(3), 7_000, 200));
        facts.words.push(told(7_050, Told::Version(4)));
        facts.disks.values_mut().for_each(|disk| *disk = Some((4, 3)));
    };
    assert_eq!(broken(between), []);
    breaks(Rule::Durable, |facts| {
        between(facts);
        facts.calls.push(call(Asked::Replace(2), 8_000, 412));
    });
}

#[test]
fn an_old_read_or_refusal_is_found() {
    breaks(Rule::Current, |facts| facts.calls.push(read(6_000, 1, 0)));
    breaks(Rule::Current, |facts| facts.calls.push(call(Asked::Read, 6_000, 404)));
    breaks(Rule::Current, |facts| {
        facts.orders.push(order(0, 5, 2));
        let mut refused = call(Asked::Replace(2), 6_000, 412);
        refused.answer = Some(Answer { status: 412, config: None, named: Some(1) });
        facts.calls.push(refused);
    });
}

/// Core 0 is cut off from 8 s to 14 s, while this call is made to it.
fn cut_off(facts: &mut Facts, call: Call) {
    facts.harms.push(Harm {
        core: Some(0),
        agent: None,
        from: ms(8_000),
        until: ms(14_000),
        isolates: true,
        slows: false,
        disk: false,
    });
    facts.calls.push(call);
}

#[test]
fn a_member_that_is_cut_off_and_says_something_is_found() {
    breaks(Rule::CutOffSilent, |facts| cut_off(facts, call(Asked::Heartbeat(0), 10_000, 200)));
    breaks(Rule::CutOffSilent, |facts| cut_off(facts, call(Asked::Drain(0), 10_000, 200)));
    breaks(Rule::CutOffSilent, |facts| cut_off(facts, read(10_000, 2, 1)));
    breaks(Rule::CutOffSilent, |facts| cut_off(facts, call(Asked::Replace(0), 10_000, 412)));
    assert_eq!(broken(|facts| cut_off(facts, call(Asked::Read, 10_000, 503))), []);
    assert_eq!(broken(|facts| cut_off(facts, read(8_500, 2, 1))), [], "it can't know of the cut yet");
}

#[test]
fn a_member_that_is_cut_off_and_says_nothing_at_all_is_found() {
    breaks(Rule::CutOffAnswers, |facts| {
        let mut hangs = call(Asked::Read, 10_000, 503);
        (hangs.answer, hangs.ended) = (None, Some(ms(11_200)));
        cut_off(facts, hangs);
    });
}

#[test]
fn a_caller_whose_connection_was_reset_is_owed_nothing() {
    let rules = broken(|facts| {
        let mut breaks_off = call(Asked::Read, 10_000, 503);
        breaks_off.answer = None;
        cut_off(facts, breaks_off);
        facts.resets.push((0, ms(10_005)));
    });
    assert_eq!(rules, []);
}

#[test]
fn more_than_one_answer_is_found() {
    breaks(Rule::OneAnswer, |facts| facts.calls[1].surplus = true);
}

#[test]
fn an_agent_that_goes_back_is_found_within_a_life_and_not_beyond() {
    breaks(Rule::AgentMonotone, |facts| facts.words.push(told(6_000, Told::Version(1))));
    breaks(Rule::AgentMonotone, |facts| {
        facts.words.extend([told(6_000, Told::Endpoint(0, 1)), told(6_100, Told::Endpoint(0, 0))]);
    });
    let another_life = broken(|facts| {
        facts.agent_starts.push((0, ms(16_000)));
        facts.words.push(Word { agent: 0, life: 2, at: ms(16_100), told: Told::Version(1) });
        facts.words.push(Word { agent: 0, life: 2, at: ms(16_200), told: Told::Version(2) });
    });
    assert_eq!(another_life, []);
}

#[test]
fn a_leaver_that_is_not_heard_or_comes_back_is_found() {
    breaks(Rule::LeaverHeard, |facts| {
        facts.words.push(told(6_000, Told::Endpoint(0, 0)));
        facts.calls.push(call(Asked::Drain(0), 7_000, 200));
    });
    let heard = |facts: &mut Facts| {
        facts.words.push(told(6_000, Told::Endpoint(0, 0)));
        facts.calls.push(call(Asked::Drain(0), 7_000, 200));
        facts.words.push(told(7_100, Told::Endpoint(0, 1)));
    };
    assert_eq!(broken(heard), []);
    breaks(Rule::LeaverStays, |facts| {
        heard(facts);
        facts.words.push(told(10_000, Told::Endpoint(0, 0)));
    });
}

#[test]
fn an_agent_that_lacks_an_acknowledged_configuration_is_found() {
    breaks(Rule::AgentCurrent, |facts| facts.words.truncate(2));
}

#[test]
fn an_endpoint_that_beats_and_is_named_silent_is_found() {
    let beats = |facts: &mut Facts| {
        let beats = (0..12).map(|beat| call(Asked::Heartbeat(0), 6_000 + beat * 400, 200));
        facts.calls.extend(beats);
    };
    breaks(Rule::NotSilent, |facts| {
        beats(facts);
        facts.words.push(told(10_300, Told::Suspects(vec![0])));
    });
    let later = broken(|facts| {
        beats(facts);
        facts.words.push(told(14_000, Told::Suspects(vec![0])));
    });
    assert_eq!(later, [], "it has fallen silent by then");
}

#[test]
fn what_does_not_heal_is_found() {
    breaks(Rule::Heals, |facts| facts.last_acknowledged = false);
    breaks(Rule::Heals, |facts| facts.unread.push(1));
    breaks(Rule::Runs, |facts| facts.crashed.push(("core-0".to_owned(), ms(1), "why".to_owned())));
    breaks(Rule::Copies, |facts| {
        facts.disks.insert(2, Some((1, 0)));
    });
}
