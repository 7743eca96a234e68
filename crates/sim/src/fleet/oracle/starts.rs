//! Rule about starting agents: they take no older configuration than the members in contact have.

use super::agents::{AgentView, MAX_LATENCY, STABLE_PERIOD};
use super::contact::CUT_DETECTION_BOUND;
use super::{Rule, Violation};
use crate::fleet::facts::{CallKind, Report};
use std::time::Duration;

/// After its start, an agent takes configurations only from members in contact for this long.
const STARTUP_WINDOW: Duration = Duration::from_millis(1_450);

impl AgentView<'_> {
    /// Finds a version that an agent takes right after its start although a newer one was acknowledged long
    /// before and only a member that was cut off could lack it.
    pub(super) fn check_start_version(&self) -> Option<Violation> {
        let starts = self.facts.agent_starts.iter().filter(|(agent, _)| *agent == self.agent);
        for (number, (_, start)) in starts.enumerate() {
            let Some(newest) = self.acknowledged_by(start.saturating_sub(MAX_LATENCY)) else { continue };
            let start_number = number as u32 + 1;
            let reported_early = self
                .events
                .iter()
                .filter(|event| event.start_number == start_number && event.at < *start + STARTUP_WINDOW);
            let stale = reported_early.filter_map(|event| match event.report {
                Report::Version(version) | Report::Config(version, _) => Some((event.at, version)),
                _ => None,
            });
            let mut stale = stale.filter(|(_, version)| (1..newest).contains(version));
            if let Some((at, version)) = stale.find(|(at, _)| self.only_steady_cuts(*start, *at)) {
                let what = format!("{} starts with version {version} instead of {newest}", self.name());
                return Some(Violation::new(Rule::StartsCurrent, at, what));
            }
        }
        None
    }

    /// The newest version that was acknowledged by the given time.
    fn acknowledged_by(&self, by: Duration) -> Option<u64> {
        let versions = self.facts.calls.iter().filter_map(|call| {
            let CallKind::Replace(change) = call.asked else { return None };
            let accepted = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
            (accepted && call.ended.is_some_and(|ended| ended <= by))
                .then(|| self.facts.changes[change].version)
        });
        versions.max()
    }

    /// Whether the only recent disruptions of the core are members that are cut off, have noticed it and
    /// still are cut off, and no more of them than the tolerance allows.
    fn only_steady_cuts(&self, start: Duration, at: Duration) -> bool {
        let before = start.saturating_sub(STABLE_PERIOD);
        let disruptions = self
            .facts
            .disruptions
            .iter()
            .filter(|disruption| disruption.from <= at && disruption.until >= before);
        let cores = disruptions.filter(|disruption| disruption.core.is_some());
        let steady = |from: Duration, until: Duration| from + CUT_DETECTION_BOUND <= start && until > at;
        let mut lost_cores = 0;
        for disruption in cores {
            if !disruption.isolates || !steady(disruption.from, disruption.until) {
                return false;
            }
            lost_cores += 1;
        }
        lost_cores <= self.script.tolerance
    }
}
