//! What agents tell: never back, and in time where they are in touch with a stable core.

use super::{Breach, Rule};
use crate::fleet::facts::{Asked, Facts, Told, Word};
use crate::fleet::script::Script;
use std::collections::BTreeMap;
use std::time::Duration;

/// Where nothing has befallen machine and core for so long, the machine is in touch.
pub(super) const CONTACT: Duration = Duration::from_millis(4_000);
/// From an acknowledgement until it is heard or in force.
pub(super) const BOUND: Duration = Duration::from_millis(2_000);
/// How often it is looked at whether an agent is in touch.
const STEP: Duration = Duration::from_millis(250);

/// Judges the words of all agents.
pub fn judge(script: &Script, facts: &Facts) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for agent in 0..script.agents {
        let words: Vec<&Word> = facts.words.iter().filter(|word| word.agent == agent).collect();
        let view = View { script, facts, agent, words };
        breaches.extend(view.monotone());
        breaches.extend(view.leavers());
        breaches.extend(view.configurations());
        breaches.extend(view.named_silent());
        breaches.extend(view.crashed_unnamed());
        breaches.extend(view.started_behind());
    }
    breaches
}

/// What one agent told, beside all else that was seen.
pub(super) struct View<'a> {
    pub(super) script: &'a Script,
    pub(super) facts: &'a Facts,
    pub(super) agent: u32,
    /// What this agent told.
    pub(super) words: Vec<&'a Word>,
}

impl View<'_> {
    pub(super) fn name(&self) -> String {
        format!("edge-{}", self.agent)
    }

    fn monotone(&self) -> Option<Breach> {
        let mut versions: BTreeMap<u32, u64> = BTreeMap::new();
        let mut states: BTreeMap<(u32, usize), u8> = BTreeMap::new();
        for word in &self.words {
            let (back, what) = match &word.told {
                Told::Version(version) | Told::Config(version, _) => {
                    let newest = versions.entry(word.life).or_default();
                    // A configuration that was asked for comes after word of a newer one.
                    let back = matches!(word.told, Told::Version(_)) && version < newest;
                    *newest = (*newest).max(*version);
                    (back, format!("version {version}"))
                }
                Told::Endpoint(endpoint, state) => {
                    let highest = states.entry((word.life, *endpoint)).or_default();
                    let back = state < highest;
                    *highest = (*highest).max(*state);
                    (back, format!("e{endpoint} in state {state}"))
                }
                Told::Suspects(_) => continue,
            };
            if back {
                let what = format!("{} goes back to {what}", self.name());
                return Some(Breach::new(Rule::AgentMonotone, word.at, what));
            }
        }
        None
    }

    /// Whether the agent is in touch with a stable core.
    pub(super) fn in_touch(&self, at: Duration) -> bool {
        let before = at.saturating_sub(CONTACT);
        let started = self.facts.agent_starts.iter().filter(|(agent, _)| *agent == self.agent);
        let runs = started.map(|(_, start)| *start).max().is_some_and(|start| start <= before);
        let mut lost = 0;
        for harm in self.facts.harms.iter().filter(|harm| harm.from <= at && harm.until >= before) {
            if harm.agent == Some(self.agent) {
                return false;
            }
            let steady = harm.from < before && harm.until > at;
            if harm.core.is_some() && !harm.disk && (!steady || harm.slows) {
                return false;
            }
            lost += u32::from(harm.core.is_some());
        }
        runs && lost <= self.script.tolerance && at <= self.facts.end
    }

    /// The first moment from which on an agent in touch must know.
    fn due(&self, acknowledged: Duration) -> Option<Duration> {
        let first = acknowledged + BOUND;
        let steps = (0..).map(|step| first + STEP * step);
        steps.take_while(|at| *at <= self.facts.end).find(|at| self.in_touch(*at))
    }

    pub(super) fn life_at(&self, at: Duration) -> u32 {
        let starts = self.facts.agent_starts.iter();
        starts.filter(|(agent, start)| *agent == self.agent && *start <= at).count() as u32
    }

    fn leavers(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for call in &self.facts.calls {
            let (Asked::Drain(endpoint) | Asked::Deregister(endpoint)) = call.asked else { continue };
            let acknowledged = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
            let Some(at) = call.ended.filter(|_| acknowledged) else { continue };
            breaches.extend(self.leaver_heard(endpoint, at));
            breaches.extend(self.leaver_stays(endpoint, at));
        }
        breaches
    }

    fn leaver_heard(&self, endpoint: usize, acknowledged: Duration) -> Option<Breach> {
        let due = self.due(acknowledged)?;
        let life = self.life_at(due);
        // An agent that has never heard of it sends nothing there either.
        let mut states = self.words.iter().filter(|word| word.life == life && word.at <= due);
        let ready = states.clone().any(|word| matches!(word.told, Told::Endpoint(e, 0) if e == endpoint));
        let left = states.any(|word| matches!(word.told, Told::Endpoint(e, 1..) if e == endpoint));
        (ready && !left).then(|| {
            let what = format!("{} has not heard that e{endpoint} leaves", self.name());
            Breach::new(Rule::LeaverHeard, due, what)
        })
    }

    fn leaver_stays(&self, endpoint: usize, acknowledged: Duration) -> Option<Breach> {
        let again = self.words.iter().find(|word| {
            let ready = matches!(word.told, Told::Endpoint(e, 0) if e == endpoint);
            ready && word.at >= acknowledged + BOUND && self.in_touch(word.at)
        })?;
        let what = format!("{} has e{endpoint} ready again", self.name());
        Some(Breach::new(Rule::LeaverStays, again.at, what))
    }

    fn configurations(&self) -> Option<Breach> {
        let calls = self.facts.calls.iter();
        let acknowledged = calls.filter_map(|call| {
            let Asked::Replace(order) = call.asked else { return None };
            let taken = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
            Some((call.ended.filter(|_| taken)?, self.facts.orders[order].version))
        });
        for (at, version) in acknowledged {
            let Some(due) = self.due(at) else { continue };
            let life = self.life_at(due);
            let has = self.words.iter().any(|word| {
                let known = matches!(word.told, Told::Version(told) if told >= version);
                known && word.life == life && word.at <= due
            });
            if !has {
                let what = format!("{} has not got version {version}", self.name());
                return Some(Breach::new(Rule::AgentCurrent, due, what));
            }
        }
        None
    }
}
