//! Compares the entries and states that members applied with those of the other members.

use super::*;

impl World<'_> {
    /// Checks the entries that a member has just applied, and its state.
    pub(super) fn check_applied(&mut self, member: MemberId, applied: Vec<Applied>) {
        for one in applied {
            self.check_entry(member, one);
        }
        let Some(state) = self.nodes.get(&member).and_then(Node::state) else { return };
        let index = state.index;
        let endpoints = state.pools.get(POOL).into_iter().flat_map(|pool| &pool.endpoints);
        let drained: Vec<(String, bool)> =
            endpoints.map(|(uid, endpoint)| (uid.clone(), endpoint.draining)).collect();
        // Equal indices must give byte-identical states; checked at every 8th index, since it is expensive.
        let hash = index.is_multiple_of(8).then(|| fnv1a(0, state.snapshot().as_bytes()));
        if let Some(hash) = hash
            && *self.observed.snapshots.entry(index).or_insert(hash) != hash
        {
            let detail = format!("{member} holds another state of index {index} than the first did");
            self.report_violation(Rule::Agreement, detail);
        }
        for (uid, draining) in drained {
            self.check_drain(member, index, uid, draining);
        }
    }

    fn check_entry(&mut self, member: MemberId, one: Applied) {
        if let Some(before) = self.observed.applied.get(&one.index) {
            if *before != one {
                let detail = format!("entry {}: {before:?} and, at {member}, {one:?}", one.index);
                self.report_violation(Rule::Agreement, detail);
            }
            return;
        }
        let effect = one.outcome.is_done() && one.effects != runtrack_agree::Effects::default();
        if effect
            && !one.id.is_empty()
            && let Some(first) = self.observed.effects.insert(one.id.clone(), one.index)
        {
            self.report_violation(
                Rule::Twice,
                format!("{} took effect at {first} and at {}", one.id, one.index),
            );
        }
        self.observed.applied.insert(one.index, one);
    }

    fn check_drain(&mut self, member: MemberId, index: u64, uid: String, draining: bool) {
        match self.observed.drained.get(&uid) {
            Some(at) if index >= *at && !draining => {
                let detail =
                    format!("{uid} drained at index {at}, and at {index} {member} holds it for ready");
                self.report_violation(Rule::Undrained, detail);
            }
            None if draining => drop(self.observed.drained.insert(uid, index)),
            _ => {}
        }
    }
}
