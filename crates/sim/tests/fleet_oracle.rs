//! Tests of the control plane's oracle: for each rule, records that break it, and similar ones that do not.

use runtrack_sim::fleet::draw;
use runtrack_sim::fleet::facts::{
    AgentEvent, Answer, Call, CallKind, ConfigChange, Disruption, Facts, Report,
};
use runtrack_sim::fleet::oracle::{Rule, check};
use runtrack_sim::fleet::script::EndpointPlan;
use std::time::Duration;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn config_change(base: u64, version: u64, marker: u64) -> ConfigChange {
    ConfigChange { base, version, marker, valid: true }
}

fn call(asked: CallKind, began: u64, status: u16) -> Call {
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
    let mut read = call(CallKind::Read, began, 200);
    read.answer = Some(Answer { status: 200, config: Some((version, marker)), named: None });
    read
}

fn report(at: u64, report: Report) -> AgentEvent {
    AgentEvent { agent: 0, start_number: 1, at: ms(at), report }
}

/// Two changes, one on top of the other, acknowledged, read, and reported by the only agent.
fn valid_facts() -> Facts {
    let mut facts = Facts {
        changes: vec![config_change(0, 1, 0), config_change(1, 2, 1)],
        calls: vec![
            call(CallKind::Replace(0), 100, 200),
            read(200, 1, 0),
            call(CallKind::Replace(1), 5_000, 200),
            read(5_200, 2, 1),
        ],
        events: vec![
            report(150, Report::Version(1)),
            report(160, Report::Config(1, 0)),
            report(5_050, Report::Version(2)),
            report(5_060, Report::Config(2, 1)),
        ],
        agent_starts: vec![(0, ms(0))],
        last_acknowledged: true,
        end: ms(20_000),
        ..Facts::default()
    };
    for core in 0..3 {
        facts.final_disks.insert(core, Some((2, 1)));
    }
    facts
}

fn violated_rules(change: impl Fn(&mut Facts)) -> Vec<Rule> {
    let mut script = draw::script(0);
    (script.cores, script.tolerance, script.agents) = (3, 1, 1);
    let mut facts = valid_facts();
    change(&mut facts);
    check(&script, &facts).into_iter().map(|violation| violation.rule).collect()
}

#[track_caller]
fn assert_violates(rule: Rule, change: impl Fn(&mut Facts)) {
    let rules = violated_rules(change);
    assert!(rules.contains(&rule), "{rules:?}");
}

#[test]
fn a_valid_record_breaks_no_rule() {
    assert_eq!(violated_rules(|_| {}), []);
}

#[test]
fn two_configurations_of_one_version_are_found() {
    assert_violates(Rule::OneConfiguration, |facts| {
        facts.changes.push(config_change(1, 2, 2));
        facts.calls.push(call(CallKind::Replace(2), 6_000, 200));
    });
}

#[test]
fn a_configuration_that_nobody_sent_is_found() {
    assert_violates(Rule::Sent, |facts| facts.calls.push(read(6_000, 3, 7)));
    assert_violates(Rule::Sent, |facts| facts.changes[1].valid = false);
}

#[test]
fn a_refusal_before_or_after_a_change_took_effect_is_found() {
    assert_violates(Rule::Refused, |facts| facts.calls.push(call(CallKind::Replace(0), 6_000, 412)));
    assert_violates(Rule::Refused, |facts| facts.calls.insert(0, call(CallKind::Replace(1), 50, 409)));
}

#[test]
fn an_acknowledged_change_missing_from_the_history_is_found() {
    assert_violates(Rule::Durable, |facts| {
        facts.changes.push(config_change(1, 3, 2));
        facts.calls.push(call(CallKind::Replace(2), 6_000, 200));
    });
}

#[test]
fn the_history_may_contain_unseen_but_not_refused_changes() {
    let between = |facts: &mut Facts| {
        facts.changes.extend([config_change(2, 3, 2), config_change(3, 4, 3)]);
        facts.calls.push(call(CallKind::Replace(2), 6_000, 503));
        facts.calls.push(call(CallKind::Replace(3), 7_000, 200));
        facts.events.push(report(7_050, Report::Version(4)));
        facts.final_disks.values_mut().for_each(|disk| *disk = Some((4, 3)));
    };
    assert_eq!(violated_rules(between), []);
    assert_violates(Rule::Durable, |facts| {
        between(facts);
        facts.calls.push(call(CallKind::Replace(2), 8_000, 412));
    });
}

#[test]
fn a_stale_read_or_refusal_is_found() {
    assert_violates(Rule::Current, |facts| facts.calls.push(read(6_000, 1, 0)));
    assert_violates(Rule::Current, |facts| facts.calls.push(call(CallKind::Read, 6_000, 404)));
    assert_violates(Rule::Current, |facts| {
        facts.changes.push(config_change(0, 5, 2));
        let mut refused = call(CallKind::Replace(2), 6_000, 412);
        refused.answer = Some(Answer { status: 412, config: None, named: Some(1) });
        facts.calls.push(refused);
    });
}

/// A disruption of core 0 without further properties.
fn disruption(from: u64, until: u64) -> Disruption {
    Disruption {
        core: Some(0),
        agent: None,
        from: ms(from),
        until: ms(until),
        isolates: false,
        degraded: false,
        disk_only: false,
        freezes: false,
        delay: Duration::ZERO,
    }
}

/// Core 0 is cut off from 8 s to 14 s.
fn cut() -> Disruption {
    Disruption { isolates: true, ..disruption(8_000, 14_000) }
}

/// Core 0 is cut off, and this call is made to it.
fn cut_off(facts: &mut Facts, call: Call) {
    facts.disruptions.push(cut());
    facts.calls.push(call);
}

#[test]
fn a_definite_answer_of_a_cut_off_member_is_found() {
    assert_violates(Rule::CutOffSilent, |facts| cut_off(facts, call(CallKind::Heartbeat(0), 10_000, 200)));
    assert_violates(Rule::CutOffSilent, |facts| cut_off(facts, call(CallKind::Drain(0), 10_000, 200)));
    assert_violates(Rule::CutOffSilent, |facts| cut_off(facts, read(10_000, 2, 1)));
    assert_violates(Rule::CutOffSilent, |facts| cut_off(facts, call(CallKind::Replace(0), 10_000, 412)));
    assert_eq!(violated_rules(|facts| cut_off(facts, call(CallKind::Read, 10_000, 503))), []);
    assert_eq!(
        violated_rules(|facts| cut_off(facts, read(8_500, 2, 1))),
        [],
        "it can't have noticed the cut yet"
    );
}

#[test]
fn an_acknowledgement_on_expired_contact_after_a_freeze_is_found() {
    // The call waited in the member's buffers from before the member could have noticed the cut.
    let answers_after_freeze = |facts: &mut Facts, ended: u64| {
        facts.disruptions.push(Disruption { freezes: true, ..disruption(8_000, ended) });
        let mut heartbeat = call(CallKind::Heartbeat(0), 8_400, 200);
        heartbeat.ended = Some(ms(ended));
        cut_off(facts, heartbeat);
    };
    assert_violates(Rule::CutOffSilent, |facts| answers_after_freeze(facts, 9_200));
    assert_violates(Rule::CutOffSilent, |facts| {
        answers_after_freeze(facts, 9_200);
        facts.disruptions.push(Disruption { degraded: true, delay: ms(200), ..disruption(7_000, 9_000) });
    });
    assert_eq!(
        violated_rules(|facts| answers_after_freeze(facts, 8_700)),
        [],
        "its contact had not expired by then"
    );
    let killed = |facts: &mut Facts| {
        answers_after_freeze(facts, 9_200);
        facts.disruptions.push(disruption(8_100, 8_200));
    };
    assert_eq!(violated_rules(killed), [], "answers of a killed process are not judged by this rule");
}

#[test]
fn a_cut_off_member_that_gives_no_answer_is_found() {
    assert_violates(Rule::CutOffAnswers, |facts| {
        let mut unanswered = call(CallKind::Read, 10_000, 503);
        (unanswered.answer, unanswered.ended) = (None, Some(ms(11_200)));
        cut_off(facts, unanswered);
    });
}

#[test]
fn a_caller_whose_connection_was_reset_needs_no_answer() {
    let rules = violated_rules(|facts| {
        let mut unanswered = call(CallKind::Read, 10_000, 503);
        unanswered.answer = None;
        cut_off(facts, unanswered);
        facts.connection_resets.push((0, ms(10_005)));
    });
    assert_eq!(rules, []);
}

#[test]
fn more_than_one_answer_is_found() {
    assert_violates(Rule::OneAnswer, |facts| facts.calls[1].surplus = true);
}

#[test]
fn an_agent_may_go_back_only_after_a_restart() {
    assert_violates(Rule::AgentMonotone, |facts| facts.events.push(report(6_000, Report::Version(1))));
    assert_violates(Rule::AgentMonotone, |facts| {
        facts.events.extend([report(6_000, Report::Endpoint(0, 1)), report(6_100, Report::Endpoint(0, 0))]);
    });
    let another_life = violated_rules(|facts| {
        // A member was disrupted and may be behind, and the agent may start with what that member has.
        facts.disruptions.push(disruption(13_000, 14_000));
        facts.agent_starts.push((0, ms(16_000)));
        facts.events.push(AgentEvent {
            agent: 0,
            start_number: 2,
            at: ms(16_100),
            report: Report::Version(1),
        });
        facts.events.push(AgentEvent {
            agent: 0,
            start_number: 2,
            at: ms(16_200),
            report: Report::Version(2),
        });
    });
    assert_eq!(another_life, []);
}

#[test]
fn an_unreported_or_reverted_departure_is_found() {
    assert_violates(Rule::LeaverHeard, |facts| {
        facts.events.push(report(6_000, Report::Endpoint(0, 0)));
        facts.calls.push(call(CallKind::Drain(0), 7_000, 200));
    });
    let departure_reported = |facts: &mut Facts| {
        facts.events.push(report(6_000, Report::Endpoint(0, 0)));
        facts.calls.push(call(CallKind::Drain(0), 7_000, 200));
        facts.events.push(report(7_100, Report::Endpoint(0, 1)));
    };
    assert_eq!(violated_rules(departure_reported), []);
    assert_violates(Rule::LeaverStays, |facts| {
        departure_reported(facts);
        facts.events.push(report(10_000, Report::Endpoint(0, 0)));
    });
}

#[test]
fn an_agent_without_an_acknowledged_configuration_is_found() {
    assert_violates(Rule::AgentCurrent, |facts| facts.events.truncate(2));
}

#[test]
fn a_suspected_endpoint_with_heartbeats_is_found() {
    assert_violates(Rule::NotSilent, |facts| {
        add_heartbeats(facts, 0);
        facts.events.push(report(10_300, Report::Suspects(vec![0])));
    });
    let later = violated_rules(|facts| {
        add_heartbeats(facts, 0);
        facts.events.push(report(16_000, Report::Suspects(vec![0])));
    });
    assert_eq!(later, [], "its heartbeats have stopped by then");
}

/// Adds heartbeats of an endpoint from 6 s to 14 s, acknowledged by core 1.
fn add_heartbeats(facts: &mut Facts, endpoint: usize) {
    let heartbeats =
        (0..20).map(|heartbeat| call(CallKind::Heartbeat(endpoint), 6_000 + heartbeat * 400, 200));
    facts.calls.extend(heartbeats.map(|heartbeat| Call { core: 1, ..heartbeat }));
}

#[test]
fn a_poorly_connected_agent_does_not_suspect_endpoints_with_heartbeats() {
    let suspects = |facts: &mut Facts, disruption: Disruption| {
        add_heartbeats(facts, 0);
        facts.disruptions.push(Disruption {
            core: None,
            agent: Some(0),
            ..self::disruption(9_000, 15_000)
        });
        facts.disruptions.push(disruption);
        facts.events.push(report(12_000, Report::Suspects(vec![0])));
    };
    assert_violates(Rule::NotSilent, |facts| suspects(facts, Disruption { until: ms(11_500), ..cut() }));
    assert_eq!(violated_rules(|facts| suspects(facts, disruption(8_000, 11_500))), [], "a machine failed");
    let while_losing_links = |facts: &mut Facts| {
        suspects(facts, Disruption { until: ms(11_500), ..cut() });
        facts.disruptions[0].from = ms(10_500);
    };
    assert_eq!(violated_rules(while_losing_links), [], "the agent was losing its links");
    let retracted = |facts: &mut Facts| {
        suspects(facts, cut());
        facts.events.push(report(12_020, Report::Suspects(vec![])));
    };
    assert_eq!(violated_rules(retracted), [], "a suspicion that is withdrawn at once has no effect");
}

#[test]
fn a_crashed_endpoint_that_is_not_suspected_is_found() {
    let mut script = draw::script(0);
    (script.cores, script.tolerance, script.agents) = (3, 1, 1);
    script.endpoints = vec![EndpointPlan::steady(0, 0), EndpointPlan::steady(1, 0)];
    let rules = |change: &dyn Fn(&mut Facts)| -> Vec<Rule> {
        let mut facts = valid_facts();
        add_heartbeats(&mut facts, 0);
        facts.events.push(report(6_000, Report::Endpoint(1, 0)));
        facts.crashed_at.insert(1, ms(8_000));
        change(&mut facts);
        check(&script, &facts).into_iter().map(|violation| violation.rule).collect()
    };
    assert!(rules(&|_| {}).contains(&Rule::SilentNamed));
    let cut_off = rules(&|facts| facts.disruptions.push(Disruption { from: ms(6_000), ..cut() }));
    assert!(cut_off.contains(&Rule::SilentNamed), "{cut_off:?}: the reports of the other members count");
    assert_eq!(rules(&|facts| facts.events.push(report(9_500, Report::Suspects(vec![1])))), []);
    assert_eq!(rules(&|facts| facts.calls.truncate(4)), [], "no other endpoint sends heartbeats");
    assert_eq!(
        rules(&|facts| facts.events.retain(|event| event.at != ms(6_000))),
        [],
        "the agent never knew of it"
    );
    assert_eq!(
        rules(&|facts| facts.disruptions.push(disruption(9_000, 13_000))),
        [],
        "the agent is not connected"
    );
}

#[test]
fn an_agent_that_starts_with_a_cut_off_members_version_is_found() {
    let starts_beside_cut = |facts: &mut Facts, at: u64, version: u64| {
        facts.disruptions.push(Disruption { core: Some(2), from: ms(2_000), until: ms(19_000), ..cut() });
        facts.disruptions.push(Disruption { core: None, agent: Some(0), ..disruption(9_000, 12_000) });
        facts.agent_starts.push((0, ms(10_000)));
        facts.events.push(AgentEvent {
            agent: 0,
            start_number: 2,
            at: ms(at),
            report: Report::Version(version),
        });
        facts.events.push(AgentEvent {
            agent: 0,
            start_number: 2,
            at: ms(at + 1_600),
            report: Report::Version(2),
        });
    };
    assert_violates(Rule::StartsCurrent, |facts| starts_beside_cut(facts, 10_100, 1));
    assert_eq!(
        violated_rules(|facts| starts_beside_cut(facts, 10_100, 0)),
        [],
        "the agent has no version yet"
    );
    assert_eq!(violated_rules(|facts| starts_beside_cut(facts, 10_100, 2)), []);
    assert_eq!(violated_rules(|facts| starts_beside_cut(facts, 11_600, 1)), [], "it has waited for others");
    let back = |facts: &mut Facts| {
        starts_beside_cut(facts, 10_100, 1);
        facts.disruptions[0].until = ms(10_050);
    };
    assert_eq!(violated_rules(back), [], "the member has just come back");
}

#[test]
fn missing_recovery_after_the_last_fault_is_found() {
    assert_violates(Rule::Heals, |facts| facts.last_acknowledged = false);
    assert_violates(Rule::Heals, |facts| facts.unreadable_cores.push(1));
    assert_violates(Rule::Runs, |facts| facts.exits.push(("core-0".to_owned(), ms(1), "why".to_owned())));
    assert_violates(Rule::Copies, |facts| {
        facts.final_disks.insert(2, Some((1, 0)));
    });
}
