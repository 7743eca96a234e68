//! Simulated discovery: members learn of drains and propose them.

use super::*;

impl World<'_> {
    pub(super) fn poll_discovery(&mut self, awake: &[MemberId]) {
        for member in awake {
            let blind = self.active_faults.iter().any(|(kind, target, until)| {
                matches!(kind, FaultKind::Blind(_)) && target == member && *until > self.now
            });
            if blind || self.draw_below(6) != 0 {
                continue;
            }
            let before = self.heard_revs.insert(*member, self.rev).unwrap_or(0);
            let news: Vec<(String, u64)> = self
                .drains
                .iter()
                .filter(|(_, rev)| **rev > before)
                .map(|(uid, rev)| (uid.clone(), *rev))
                .collect();
            for (uid, rev) in news {
                self.propose(*member, Command::Draining { pool: POOL.to_owned(), uid, boot_ms: 1, rev });
            }
        }
        let Some(leader) = self.leader().filter(|_| self.now.is_multiple_of(7)) else { return };
        let rev = self.heard_revs.get(&leader).copied().unwrap_or(1);
        // The leader proposes the list as it knows it, even if other members know of later changes.
        let endpoint = |n: u64| {
            let uid = format!("e{n}");
            let draining = self.drains.get(&uid).is_some_and(|at| *at <= rev);
            (uid, Some(Endpoint { said: "x".to_owned(), draining, boot_ms: 1 }))
        };
        let endpoints = (0..ENDPOINTS).map(endpoint).collect();
        let listed = PoolUpdate { pool: POOL.to_owned(), rev, whole: true, settled: false, endpoints };
        self.propose(leader, Command::Listed(listed));
    }

    pub(super) fn propose(&mut self, at: MemberId, command: Command) {
        if let Some(node) = self.nodes.get_mut(&at) {
            let _ = node.propose(&Proposal { id: String::new(), command }); // no client waits for the outcome
        }
    }
}
