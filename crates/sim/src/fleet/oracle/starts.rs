//! What an agent takes right after its start: nothing older than what those know who are in contact.

use super::agents::{BOUND, CONTACT, View};
use super::contact::KNOWS;
use super::{Breach, Rule};
use crate::fleet::facts::{Asked, Told};
use std::time::Duration;

/// From its start on, for so long, an agent takes a configuration only from members in contact.
const WAITS: Duration = Duration::from_millis(1_450);

impl View<'_> {
    /// A version that an agent takes right after its start though a newer one was acknowledged long before, and only a
    /// member that was cut off could lack it.
    pub(super) fn started_behind(&self) -> Option<Breach> {
        let starts = self.facts.agent_starts.iter().filter(|(agent, _)| *agent == self.agent);
        for (number, (_, start)) in starts.enumerate() {
            let Some(newest) = self.acknowledged_before(start.saturating_sub(BOUND)) else { continue };
            let life = number as u32 + 1;
            let soon = self.words.iter().filter(|word| word.life == life && word.at < *start + WAITS);
            let behind = soon.filter_map(|word| match word.told {
                Told::Version(version) | Told::Config(version, _) => Some((word.at, version)),
                _ => None,
            });
            let mut behind = behind.filter(|(_, version)| (1..newest).contains(version));
            if let Some((at, version)) = behind.find(|(at, _)| self.others_are_steady(*start, *at)) {
                let what = format!("{} starts with version {version}, not {newest}", self.name());
                return Some(Breach::new(Rule::StartsCurrent, at, what));
            }
        }
        None
    }

    /// The newest version that was acknowledged by then.
    fn acknowledged_before(&self, by: Duration) -> Option<u64> {
        let versions = self.facts.calls.iter().filter_map(|call| {
            let Asked::Replace(order) = call.asked else { return None };
            let taken = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
            (taken && call.ended.is_some_and(|ended| ended <= by)).then(|| self.facts.orders[order].version)
        });
        versions.max()
    }

    /// Whether all that has befallen the core for a while is that members were cut off, knew of it, and still are; no more of
    /// them than the tolerance bears.
    fn others_are_steady(&self, start: Duration, at: Duration) -> bool {
        let before = start.saturating_sub(CONTACT);
        let harms = self.facts.harms.iter().filter(|harm| harm.from <= at && harm.until >= before);
        let cores = harms.filter(|harm| harm.core.is_some());
        let steady = |from: Duration, until: Duration| from + KNOWS <= start && until > at;
        let mut lost = 0;
        for harm in cores {
            if !harm.isolates || !steady(harm.from, harm.until) {
                return false;
            }
            lost += 1;
        }
        lost <= self.script.tolerance
    }
}
