//! The oracle of the control plane, shown histories that break each rule, and a sound one.

use runtrack_sim::fleet::draw;
use runtrack_sim::fleet::facts::{Answer, Asked, Call, Facts, Harm, Order, Told, Word};
use runtrack_sim::fleet::oracle::{Rule, judge};
use runtrack_sim::fleet::script::EndpointPlan;
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

/// A harm of core 0, of no kind yet.
fn harm(from: u64, until: u64) -> Harm {
    Harm {
        core: Some(0),
        agent: None,
        from: ms(from),
        until: ms(until),
        isolates: false,
        slows: false,
        disk: false,
        stands_still: false,
        delay: Duration::ZERO,
    }
}

/// Core 0 is cut off from 8 s to 14 s.
fn cut() -> Harm {
    Harm { isolates: true, ..harm(8_000, 14_000) }
}

/// Core 0 is cut off, while this call is made to it.
fn cut_off(facts: &mut Facts, call: Call) {
    facts.harms.push(cut());
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
fn a_member_that_stood_still_and_acknowledges_on_old_contact_is_found() {
    // The call waited in its buffers since before the member can have known of the cut.
    let waited = |facts: &mut Facts, ended: u64| {
        facts.harms.push(Harm { stands_still: true, ..harm(8_000, ended) });
        let mut beat = call(Asked::Heartbeat(0), 8_400, 200);
        beat.ended = Some(ms(ended));
        cut_off(facts, beat);
    };
    breaks(Rule::CutOffSilent, |facts| waited(facts, 9_200));
    breaks(Rule::CutOffSilent, |facts| {
        waited(facts, 9_200);
        facts.harms.push(Harm { slows: true, delay: ms(200), ..harm(7_000, 9_000) });
    });
    assert_eq!(broken(|facts| waited(facts, 8_700)), [], "its contact was not old by then");
    let killed = |facts: &mut Facts| {
        waited(facts, 9_200);
        facts.harms.push(harm(8_100, 8_200));
    };
    assert_eq!(broken(killed), [], "what a process that was killed answered is judged elsewhere");
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
        // A member was lost and may be behind, and the agent may start with what that one has.
        facts.harms.push(harm(13_000, 14_000));
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
    breaks(Rule::NotSilent, |facts| {
        beats(facts, 0);
        facts.words.push(told(10_300, Told::Suspects(vec![0])));
    });
    let later = broken(|facts| {
        beats(facts, 0);
        facts.words.push(told(16_000, Told::Suspects(vec![0])));
    });
    assert_eq!(later, [], "it has fallen silent by then");
}

/// An endpoint beats until 14 s, at core 1.
fn beats(facts: &mut Facts, endpoint: usize) {
    let beats = (0..20).map(|beat| call(Asked::Heartbeat(endpoint), 6_000 + beat * 400, 200));
    facts.calls.extend(beats.map(|beat| Call { core: 1, ..beat }));
}

#[test]
fn an_endpoint_that_beats_is_not_named_to_an_agent_that_reaches_few_members_either() {
    let named = |facts: &mut Facts, harm: Harm| {
        beats(facts, 0);
        facts.harms.push(Harm { core: None, agent: Some(0), ..self::harm(9_000, 15_000) });
        facts.harms.push(harm);
        facts.words.push(told(12_000, Told::Suspects(vec![0])));
    };
    breaks(Rule::NotSilent, |facts| named(facts, Harm { until: ms(11_500), ..cut() }));
    assert_eq!(broken(|facts| named(facts, harm(8_000, 11_500))), [], "a machine was lost");
    let losing = |facts: &mut Facts| {
        named(facts, Harm { until: ms(11_500), ..cut() });
        facts.harms[0].from = ms(10_500);
    };
    assert_eq!(broken(losing), [], "the agent was losing its links");
    let taken_back = |facts: &mut Facts| {
        named(facts, cut());
        facts.words.push(told(12_020, Told::Suspects(vec![])));
    };
    assert_eq!(broken(taken_back), [], "nobody heeds what is taken back at once");
}

#[test]
fn an_endpoint_that_crashed_and_is_not_named_is_found() {
    let mut script = draw::script(0);
    (script.cores, script.tolerance, script.agents) = (3, 1, 1);
    script.endpoints = vec![EndpointPlan::beating(0, 0), EndpointPlan::beating(1, 0)];
    let rules = |change: &dyn Fn(&mut Facts)| -> Vec<Rule> {
        let mut facts = sound();
        beats(&mut facts, 0);
        facts.words.push(told(6_000, Told::Endpoint(1, 0)));
        facts.silent_since.insert(1, ms(8_000));
        change(&mut facts);
        judge(&script, &facts).into_iter().map(|breach| breach.rule).collect()
    };
    assert!(rules(&|_| {}).contains(&Rule::SilentNamed));
    let cut_off = rules(&|facts| facts.harms.push(Harm { from: ms(6_000), ..cut() }));
    assert!(cut_off.contains(&Rule::SilentNamed), "{cut_off:?}: the others' word counts");
    assert_eq!(rules(&|facts| facts.words.push(told(9_500, Told::Suspects(vec![1])))), []);
    assert_eq!(rules(&|facts| facts.calls.truncate(4)), [], "nobody else beats");
    assert_eq!(
        rules(&|facts| facts.words.retain(|word| word.at != ms(6_000))),
        [],
        "it was never heard of"
    );
    assert_eq!(rules(&|facts| facts.harms.push(harm(9_000, 13_000))), [], "not in touch");
}

#[test]
fn an_agent_that_starts_with_what_a_cut_off_member_has_is_found() {
    let starts = |facts: &mut Facts, at: u64, version: u64| {
        facts.harms.push(Harm { core: Some(2), from: ms(2_000), until: ms(19_000), ..cut() });
        facts.harms.push(Harm { core: None, agent: Some(0), ..harm(9_000, 12_000) });
        facts.agent_starts.push((0, ms(10_000)));
        facts.words.push(Word { agent: 0, life: 2, at: ms(at), told: Told::Version(version) });
        facts.words.push(Word { agent: 0, life: 2, at: ms(at + 1_600), told: Told::Version(2) });
    };
    breaks(Rule::StartsCurrent, |facts| starts(facts, 10_100, 1));
    assert_eq!(broken(|facts| starts(facts, 10_100, 0)), [], "it knows nothing yet");
    assert_eq!(broken(|facts| starts(facts, 10_100, 2)), []);
    assert_eq!(broken(|facts| starts(facts, 11_600, 1)), [], "it has waited for others");
    let back = |facts: &mut Facts| {
        starts(facts, 10_100, 1);
        facts.harms[0].until = ms(10_050);
    };
    assert_eq!(broken(back), [], "the member has just come back");
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
