//! After everything is healed: all must come back, to the same state.

use super::*;

impl World<'_> {
    /// Heals everything and waits until all members have applied the same and nothing is under way.
    pub(super) fn come_back(&mut self) {
        self.heal();
        let end = self.now + BACK;
        while self.now < end && self.outcomes.breaches.is_empty() {
            let waiting = self.finish_writes();
            self.turn(false);
            let members = self.led_members();
            let quiet =
                waiting == 0 && self.wanted.is_empty() && self.promote.is_empty() && self.off.is_empty();
            if quiet && self.have_applied_the_same(&members) {
                return self.look_at_the_end(&members);
            }
        }
        if self.outcomes.breaches.is_empty() {
            let standings: Vec<String> =
                self.nodes.iter().map(|(id, node)| format!("{id}: {:?}", node.status())).collect();
            self.breach(Rule::Return, standings.join("; "));
        }
    }

    fn heal(&mut self) {
        self.cuts.clear();
        self.stalled.clear();
        self.off.values_mut().for_each(|until| *until = 0);
        self.disks.values().for_each(|disk| disk.fail_at(None));
    }

    /// Sees writes under way to their ends: how many are left.
    fn finish_writes(&mut self) -> usize {
        let awake: Vec<MemberId> = self.nodes.keys().copied().collect();
        let mut left = Vec::new();
        for write in std::mem::take(&mut self.writes) {
            let write = write.and_then(|write| self.go_on(write, &awake));
            left.push(write.map(|write| self.ask(write)));
        }
        self.writes = left;
        self.writes.iter().flatten().count()
    }

    /// The members that the leader knows of; none where nobody leads.
    fn led_members(&self) -> Vec<MemberId> {
        let state = self.leader().and_then(|leader| self.nodes[&leader].state());
        state.map(|state| state.members.keys().copied().collect()).unwrap_or_default()
    }

    fn have_applied_the_same(&self, members: &[MemberId]) -> bool {
        let applied = |id: &MemberId| self.nodes.get(id).and_then(Node::state).map(|state| state.index);
        let Some(first) = members.first().and_then(applied) else { return false };
        members.iter().all(|id| applied(id) == Some(first))
    }

    fn look_at_the_end(&mut self, members: &[MemberId]) {
        let states: Vec<(MemberId, Arc<State>)> =
            members.iter().filter_map(|id| Some((*id, self.nodes.get(id)?.shared_state()?))).collect();
        for (member, state) in &states {
            for (id, (index, outcome)) in &self.observed.acked.clone() {
                let found = state.outcome(id);
                if found != Some((*index, outcome)) {
                    let why =
                        format!("{id} was answered {outcome:?} at {index}, and {member} has {found:?}");
                    self.breach(Rule::Lost, why);
                }
            }
        }
        if states.windows(2).any(|pair| pair[0].1.snapshot() != pair[1].1.snapshot()) {
            self.breach(Rule::Agreement, "equal logs, unequal states".to_owned());
        }
    }
}
