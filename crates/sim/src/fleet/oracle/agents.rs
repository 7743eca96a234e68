//! Rules about what agents report: versions and endpoint states never go back, and agents that are
//! connected to a stable core are up to date within a bound.

use super::{Rule, Violation};
use crate::fleet::facts::{AgentEvent, CallKind, Facts, Report};
use crate::fleet::script::Script;
use std::collections::BTreeMap;
use std::time::Duration;

/// An agent counts as connected once neither it nor the core has been disrupted for this long.
pub(super) const STABLE_PERIOD: Duration = Duration::from_millis(4_000);
/// Longest time from an acknowledgement until agents report the change.
pub(super) const MAX_LATENCY: Duration = Duration::from_millis(2_000);
/// Interval at which the connection of an agent is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Checks the reports of all agents.
pub fn check(script: &Script, facts: &Facts) -> Vec<Violation> {
    let mut violations = Vec::new();
    for agent in 0..script.agents {
        let events: Vec<&AgentEvent> = facts.events.iter().filter(|event| event.agent == agent).collect();
        let view = AgentView { script, facts, agent, events };
        violations.extend(view.check_monotonic());
        violations.extend(view.check_leavers());
        violations.extend(view.check_configurations());
        violations.extend(view.check_live_endpoints());
        violations.extend(view.check_crashed_endpoints());
        violations.extend(view.check_start_version());
    }
    violations
}

/// The reports of one agent, together with the rest of the record.
pub(super) struct AgentView<'a> {
    pub(super) script: &'a Script,
    pub(super) facts: &'a Facts,
    pub(super) agent: u32,
    /// The reports of this agent.
    pub(super) events: Vec<&'a AgentEvent>,
}

impl AgentView<'_> {
    pub(super) fn name(&self) -> String {
        format!("edge-{}", self.agent)
    }

    fn check_monotonic(&self) -> Option<Violation> {
        let mut versions: BTreeMap<u32, u64> = BTreeMap::new();
        let mut states: BTreeMap<(u32, usize), u8> = BTreeMap::new();
        for event in &self.events {
            let (is_older, what) = match &event.report {
                Report::Version(version) | Report::Config(version, _) => {
                    let newest = versions.entry(event.start_number).or_default();
                    // A configuration that was fetched may arrive after the announcement of a newer one.
                    let is_older = matches!(event.report, Report::Version(_)) && version < newest;
                    *newest = (*newest).max(*version);
                    (is_older, format!("version {version}"))
                }
                Report::Endpoint(endpoint, state) => {
                    let highest = states.entry((event.start_number, *endpoint)).or_default();
                    let is_older = state < highest;
                    *highest = (*highest).max(*state);
                    (is_older, format!("e{endpoint} in state {state}"))
                }
                Report::Suspects(_) => continue,
            };
            if is_older {
                let what = format!("{} goes back to {what}", self.name());
                return Some(Violation::new(Rule::AgentMonotone, event.at, what));
            }
        }
        None
    }

    /// Whether the agent is connected to a stable core.
    pub(super) fn is_connected(&self, at: Duration) -> bool {
        let before = at.saturating_sub(STABLE_PERIOD);
        let started = self.facts.agent_starts.iter().filter(|(agent, _)| *agent == self.agent);
        let is_running = started.map(|(_, start)| *start).max().is_some_and(|start| start <= before);
        let mut lost_cores = 0;
        for disruption in self
            .facts
            .disruptions
            .iter()
            .filter(|disruption| disruption.from <= at && disruption.until >= before)
        {
            if disruption.agent == Some(self.agent) {
                return false;
            }
            let steady = disruption.from < before && disruption.until > at;
            if disruption.core.is_some() && !disruption.disk_only && (!steady || disruption.degraded) {
                return false;
            }
            lost_cores += u32::from(disruption.core.is_some());
        }
        is_running && lost_cores <= self.script.tolerance && at <= self.facts.end
    }

    /// The first time from which on an agent that is connected must know of the change.
    fn due_time(&self, acknowledged: Duration) -> Option<Duration> {
        let first = acknowledged + MAX_LATENCY;
        let steps = (0..).map(|step| first + SAMPLE_INTERVAL * step);
        steps.take_while(|at| *at <= self.facts.end).find(|at| self.is_connected(*at))
    }

    pub(super) fn start_number_at(&self, at: Duration) -> u32 {
        let starts = self.facts.agent_starts.iter();
        starts.filter(|(agent, start)| *agent == self.agent && *start <= at).count() as u32
    }

    fn check_leavers(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for call in &self.facts.calls {
            let (CallKind::Drain(endpoint) | CallKind::Deregister(endpoint)) = call.asked else { continue };
            let acknowledged = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
            let Some(at) = call.ended.filter(|_| acknowledged) else { continue };
            violations.extend(self.check_leaver_reported(endpoint, at));
            violations.extend(self.check_leaver_not_ready(endpoint, at));
        }
        violations
    }

    fn check_leaver_reported(&self, endpoint: usize, acknowledged: Duration) -> Option<Violation> {
        let due = self.due_time(acknowledged)?;
        let start_number = self.start_number_at(due);
        // An agent that never knew of the endpoint does not report its departure either.
        let mut states =
            self.events.iter().filter(|event| event.start_number == start_number && event.at <= due);
        let ready =
            states.clone().any(|event| matches!(event.report, Report::Endpoint(e, 0) if e == endpoint));
        let has_left =
            states.any(|event| matches!(event.report, Report::Endpoint(e, 1..) if e == endpoint));
        (ready && !has_left).then(|| {
            let what = format!("{} has not learned that e{endpoint} leaves", self.name());
            Violation::new(Rule::LeaverHeard, due, what)
        })
    }

    fn check_leaver_not_ready(&self, endpoint: usize, acknowledged: Duration) -> Option<Violation> {
        let ready_again = self.events.iter().find(|event| {
            let ready = matches!(event.report, Report::Endpoint(e, 0) if e == endpoint);
            ready && event.at >= acknowledged + MAX_LATENCY && self.is_connected(event.at)
        })?;
        let what = format!("{} reports e{endpoint} as ready again", self.name());
        Some(Violation::new(Rule::LeaverStays, ready_again.at, what))
    }

    fn check_configurations(&self) -> Option<Violation> {
        let calls = self.facts.calls.iter();
        let acknowledged = calls.filter_map(|call| {
            let CallKind::Replace(change) = call.asked else { return None };
            let accepted = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
            Some((call.ended.filter(|_| accepted)?, self.facts.changes[change].version))
        });
        for (at, version) in acknowledged {
            let Some(due) = self.due_time(at) else { continue };
            let start_number = self.start_number_at(due);
            let is_known = self.events.iter().any(|event| {
                let known = matches!(event.report, Report::Version(reported) if reported >= version);
                known && event.start_number == start_number && event.at <= due
            });
            if !is_known {
                let what = format!("{} does not have version {version}", self.name());
                return Some(Violation::new(Rule::AgentCurrent, due, what));
            }
        }
        None
    }
}
