//! Final phase of a run: with all faults ended, the members must recover to the same state.

use super::*;

impl World<'_> {
    /// Ends all faults and waits until all members have applied the same index and nothing is pending.
    pub(super) fn recover(&mut self) {
        self.heal();
        let end = self.now + RECOVERY_TICKS;
        while self.now < end && self.outcomes.violations.is_empty() {
            let waiting = self.finish_writes();
            self.tick(false);
            let members = self.members_of_leader();
            let quiet = waiting == 0
                && self.pending_changes.is_empty()
                && self.awaiting_promotion.is_empty()
                && self.powered_off.is_empty();
            if quiet && self.all_applied_same_index(&members) {
                return self.check_final_state(&members);
            }
        }
        if self.outcomes.violations.is_empty() {
            let statuses: Vec<String> =
                self.nodes.iter().map(|(id, node)| format!("{id}: {:?}", node.status())).collect();
            self.report_violation(Rule::Return, statuses.join("; "));
        }
    }

    fn heal(&mut self) {
        self.active_faults.clear();
        self.stalled.clear();
        self.powered_off.values_mut().for_each(|until| *until = 0);
        self.disks.values().for_each(|disk| disk.fail_at(None));
    }

    /// Continues pending writes and returns how many remain.
    fn finish_writes(&mut self) -> usize {
        let awake: Vec<MemberId> = self.nodes.keys().copied().collect();
        let mut left = Vec::new();
        for write in std::mem::take(&mut self.writes) {
            let write = write.and_then(|write| self.poll_write(write, &awake));
            left.push(write.map(|write| self.submit(write)));
        }
        self.writes = left;
        self.writes.iter().flatten().count()
    }

    /// The members in the state of the leader; empty without a leader.
    fn members_of_leader(&self) -> Vec<MemberId> {
        let state = self.leader().and_then(|leader| self.nodes[&leader].state());
        state.map(|state| state.members.keys().copied().collect()).unwrap_or_default()
    }

    fn all_applied_same_index(&self, members: &[MemberId]) -> bool {
        let applied = |id: &MemberId| self.nodes.get(id).and_then(Node::state).map(|state| state.index);
        let Some(first) = members.first().and_then(applied) else { return false };
        members.iter().all(|id| applied(id) == Some(first))
    }

    fn check_final_state(&mut self, members: &[MemberId]) {
        let states: Vec<(MemberId, Arc<State>)> =
            members.iter().filter_map(|id| Some((*id, self.nodes.get(id)?.shared_state()?))).collect();
        for (member, state) in &states {
            for (id, (index, outcome)) in &self.observed.acked.clone() {
                let found = state.outcome(id);
                if found != Some((*index, outcome)) {
                    let detail =
                        format!("{id} was answered {outcome:?} at {index}, and {member} has {found:?}");
                    self.report_violation(Rule::Lost, detail);
                }
            }
        }
        if states.windows(2).any(|pair| pair[0].1.snapshot() != pair[1].1.snapshot()) {
            self.report_violation(Rule::Agreement, "equal logs, unequal states".to_owned());
        }
    }
}
