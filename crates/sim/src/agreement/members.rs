//! Membership changes: members are added, promoted once their folder is known, and removed.

use super::*;

impl World<'_> {
    pub(super) fn request_new_member(&mut self) {
        let member = self.next_member;
        self.next_member += 1;
        let identity = identity(member);
        let change = MemberChange::Add {
            member,
            name: format!("m{member}"),
            address: format!("a{member}"),
            ticket: identity.ticket,
        };
        self.pending_changes.push(change);
    }

    /// Proposes the pending membership changes to the leader.
    pub(super) fn change_members(&mut self) {
        let Some(leader) = self.leader() else { return };
        let term = self.nodes[&leader].term();
        let open = self.change_in_progress(leader, term);
        self.propose_pending_changes(leader, term, open.as_deref());
        for member in self.awaiting_promotion.clone() {
            self.promote(leader, term, member, open.as_deref());
        }
    }

    /// The change that a leader has accepted and not applied yet, in the same term.
    fn change_in_progress(&self, leader: MemberId, term: u64) -> Option<String> {
        let node = &self.nodes[&leader];
        let (id, accepted_term) = self.accepted_changes.get(&leader)?;
        let is_open =
            *accepted_term == term && node.state().is_some_and(|state| state.outcome(id).is_none());
        is_open.then(|| id.clone())
    }

    fn propose_pending_changes(&mut self, leader: MemberId, term: u64, open: Option<&str>) {
        let mut done = Vec::new();
        let changes: Vec<MemberChange> = self.pending_changes.clone();
        for (n, change) in changes.iter().enumerate() {
            let member = change.member();
            let already_done = self.nodes[&leader].state().is_some_and(|state| match change {
                MemberChange::Remove { .. } => state.removed.contains_key(&member),
                _ => state.members.contains_key(&member),
            });
            if already_done {
                done.push(n);
                continue;
            }
            self.last_change_number += 1;
            let id = format!("c{}", self.last_change_number);
            self.propose_change(leader, term, &id, change, open);
        }
        for n in done.into_iter().rev() {
            let change = self.pending_changes.remove(n);
            match change {
                MemberChange::Add { member, .. } => self.join_member(member),
                MemberChange::Remove { member } => drop(self.members.remove(&member)),
                MemberChange::Promote { .. } => {}
            }
        }
    }

    /// Proposes to make an added member a voter, once its folder is known.
    fn promote(&mut self, leader: MemberId, term: u64, member: MemberId, open: Option<&str>) {
        let state = self.nodes[&leader].state();
        let Some(known) = state.and_then(|state| state.members.get(&member)).filter(|m| !m.voter) else {
            self.awaiting_promotion.remove(&member);
            return;
        };
        if known.folder.is_none() {
            return self.propose_seen(leader, member);
        }
        self.last_change_number += 1;
        let id = format!("c{}", self.last_change_number);
        self.propose_change(leader, term, &id, &MemberChange::Promote { member }, open);
    }

    /// Reports a member's folder to the leader, every 10 ticks.
    fn propose_seen(&mut self, leader: MemberId, member: MemberId) {
        let identity = identity(member);
        let seen = Command::Seen { member, ticket: identity.ticket, folder: identity.folder };
        self.last_write_number += 1;
        let proposal = Proposal { id: format!("s{}", self.last_write_number), command: seen };
        if self.now.is_multiple_of(10)
            && let Some(node) = self.nodes.get_mut(&leader)
        {
            let _ = node.propose(&proposal); // it is proposed again later
        }
    }

    fn propose_change(
        &mut self,
        leader: MemberId,
        term: u64,
        id: &str,
        change: &MemberChange,
        open: Option<&str>,
    ) {
        if !self.now.is_multiple_of(5) {
            return;
        }
        let Some(node) = self.nodes.get_mut(&leader) else { return };
        if let Err(error) = node.change_members(id, change) {
            // A leader cannot be removed: leadership is transferred first.
            if matches!(change, MemberChange::Remove { member } if *member == leader)
                && error.contains("transfer")
            {
                let voting = |id: &&MemberId| **id != leader && !self.powered_off.contains_key(*id);
                if let Some(to) = self.members.iter().find(voting) {
                    node.transfer_leader(*to);
                }
            }
            return;
        }
        if let Some(open) = open {
            self.report_violation(
                Rule::Changes,
                format!("{leader} took {change:?} while {open} was under way"),
            );
        }
        self.accepted_changes.insert(leader, (id.to_owned(), term));
    }

    fn join_member(&mut self, member: MemberId) {
        let disk = Disk::default();
        if let Err(problem) = Node::join(disk.clone(), identity(member)) {
            self.report_violation(Rule::Folder, format!("{member}: {problem}"));
        }
        self.disks.insert(member, disk);
        self.members.insert(member);
        self.awaiting_promotion.insert(member);
        self.start(member);
    }
}
