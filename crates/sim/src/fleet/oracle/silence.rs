//! Rules about failure suspicion: endpoints with acknowledged heartbeats are not suspected, and crashed
//! ones are.

use super::agents::{AgentView, STABLE_PERIOD};
use super::{Rule, Violation};
use crate::fleet::facts::{CallKind, Disruption, Report};
use std::time::Duration;

/// An endpoint whose acknowledged heartbeats are no further apart than this is alive.
const MAX_HEARTBEAT_GAP: Duration = Duration::from_millis(700);
/// Time for which an endpoint must have sent heartbeats before a suspicion counts as wrong.
const STEADY_PERIOD: Duration = Duration::from_millis(3_000);
/// Longest time from an endpoint's last heartbeat until connected agents suspect it: three missed
/// heartbeats and the propagation of the suspicion.
const SUSPICION_BOUND: Duration = Duration::from_millis(3_000);
/// A suspicion that is withdrawn within this time has no effect: a process that resumes after a freeze
/// first closes its stale links.
const RETRACTION_WINDOW: Duration = Duration::from_millis(100);
/// A link without traffic is closed within this time: 1.4 s, checked every 0.4 s.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_850);
/// Interval at which the connection of an agent is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

impl AgentView<'_> {
    /// The first report that suspects an endpoint which sends heartbeats.
    pub(super) fn check_live_endpoints(&self) -> Option<Violation> {
        for (number, event) in self.events.iter().enumerate() {
            let Report::Suspects(suspects) = &event.report else { continue };
            if !self.is_connected(event.at) && !self.only_members_cut_off(event.at) {
                continue;
            }
            let live = suspects.iter().find(|endpoint| {
                self.has_heartbeats(**endpoint, event.at) && !self.is_retracted(number, **endpoint)
            });
            if let Some(endpoint) = live {
                let what = format!("{} suspects e{endpoint}, which sends heartbeats", self.name());
                return Some(Violation::new(Rule::NotSilent, event.at, what));
            }
        }
        None
    }

    /// Whether, for a while, the only disruptions of the core were members being cut off, and no more of
    /// them than the tolerance allows. Then no endpoint may be suspected for heartbeats that such a member
    /// missed, whatever happened to the agent some time ago. While the agent is losing links, however, a
    /// single member's suspicions may be the last that it accepts.
    fn only_members_cut_off(&self, at: Duration) -> bool {
        let before = at.saturating_sub(STABLE_PERIOD);
        let agent = self.facts.disruptions.iter().filter(|disruption| disruption.agent == Some(self.agent));
        let mut recent =
            agent.filter(|disruption| (at.saturating_sub(LINK_TIMEOUT)..=at).contains(&disruption.from));
        if recent.next().is_some() {
            return false;
        }
        let disruptions = self
            .facts
            .disruptions
            .iter()
            .filter(|disruption| disruption.from <= at && disruption.until >= before);
        let cores: Vec<&Disruption> = disruptions.filter(|disruption| disruption.core.is_some()).collect();
        cores.iter().all(|disruption| disruption.isolates) && cores.len() as u32 <= self.script.tolerance
    }

    /// Whether the agent withdraws the suspicion of the endpoint right after this report.
    fn is_retracted(&self, number: usize, endpoint: usize) -> bool {
        let at = self.events[number].at;
        let later = self.events[number + 1..].iter().take_while(|event| event.at <= at + RETRACTION_WINDOW);
        later
            .filter_map(|event| match &event.report {
                Report::Suspects(suspects) => Some(suspects),
                _ => None,
            })
            .any(|suspects| !suspects.contains(&endpoint))
    }

    fn is_cut_off(&self, core: u32, at: Duration) -> bool {
        let mut cuts = self
            .facts
            .disruptions
            .iter()
            .filter(|disruption| disruption.isolates && disruption.core == Some(core));
        cuts.any(|cut| (cut.from..cut.until).contains(&at))
    }

    /// Whether the endpoint's heartbeats were acknowledged without a gap until the given time.
    fn has_heartbeats(&self, endpoint: usize, at: Duration) -> bool {
        let Some(mut last) = at.checked_sub(STEADY_PERIOD) else { return false };
        for call in self.facts.calls.iter().filter(|call| call.asked == CallKind::Heartbeat(endpoint)) {
            let acknowledged = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
            let Some(ended) = call.ended.filter(|ended| acknowledged && *ended <= at) else { continue };
            if self.is_cut_off(call.core, ended) {
                continue; // it still acts as in contact, but no other member learns of it
            }
            if ended < last {
                continue;
            }
            if ended - last > MAX_HEARTBEAT_GAP {
                return false;
            }
            last = ended;
        }
        at - last <= MAX_HEARTBEAT_GAP
    }

    /// An endpoint that crashed and is not suspected, though others kept sending heartbeats.
    pub(super) fn check_crashed_endpoints(&self) -> Option<Violation> {
        self.facts.crashed_at.iter().find_map(|(endpoint, since)| {
            let due = self.suspicion_due(*endpoint, *since)?;
            let suspected =
                self.events.iter().rev().filter(|e| e.at <= due).find_map(|event| match &event.report {
                    Report::Suspects(suspects) => Some(suspects.contains(endpoint)),
                    _ => None,
                });
            let what = format!("{} does not suspect e{endpoint}, which crashed", self.name());
            (suspected != Some(true)).then(|| Violation::new(Rule::SilentNamed, due, what))
        })
    }

    /// The first time by which a connected agent that knows the endpoint must suspect it.
    fn suspicion_due(&self, endpoint: usize, since: Duration) -> Option<Duration> {
        let steps = (0..).map(|step| since + SUSPICION_BOUND + SAMPLE_INTERVAL * step);
        steps.take_while(|at| *at <= self.facts.end).find(|at| {
            let start_number = self.start_number_at(*at);
            let ready = Report::Endpoint(endpoint, 0);
            let knows = |from| {
                self.events
                    .iter()
                    .any(|e| e.start_number == start_number && e.report == ready && e.at + from <= *at)
            };
            let endpoints = 0..self.script.endpoints.len();
            let others = endpoints.filter(|other| *other != endpoint);
            let mut live = others.filter(|other| self.has_heartbeats(*other, *at));
            knows(SUSPICION_BOUND)
                && self.is_connected(*at)
                && self.only_members_cut_off(*at)
                && live.next().is_some()
        })
    }
}
