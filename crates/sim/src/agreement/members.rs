//! Changes of members: added, promoted once they are seen, removed.

use super::*;

impl World<'_> {
    pub(super) fn add(&mut self) {
        let member = self.next_member;
        self.next_member += 1;
        let identity = identity(member);
        let change = MemberChange::Add {
            member,
            name: format!("m{member}"),
            address: format!("a{member}"),
            ticket: identity.ticket,
        };
        self.wanted.push(change);
    }

    /// Has the leader make the changes of members that are wanted.
    pub(super) fn change_members(&mut self) {
        let Some(leader) = self.leader() else { return };
        let term = self.nodes[&leader].term();
        let open = self.open_change(leader, term);
        self.offer_wanted(leader, term, open.as_deref());
        for member in self.promote.clone() {
            self.promote(leader, term, member, open.as_deref());
        }
    }

    /// The change that a leader accepted: over once it has applied it, or leads no more.
    fn open_change(&self, leader: MemberId, term: u64) -> Option<String> {
        let node = &self.nodes[&leader];
        let (id, of) = self.accepted.get(&leader)?;
        let is_open = *of == term && node.state().is_some_and(|state| state.outcome(id).is_none());
        is_open.then(|| id.clone())
    }

    fn offer_wanted(&mut self, leader: MemberId, term: u64, open: Option<&str>) {
        let mut done = Vec::new();
        let wanted: Vec<MemberChange> = self.wanted.clone();
        for (n, change) in wanted.iter().enumerate() {
            let member = change.member();
            let there = self.nodes[&leader].state().is_some_and(|state| match change {
                MemberChange::Remove { .. } => state.removed.contains_key(&member),
                _ => state.members.contains_key(&member),
            });
            if there {
                done.push(n);
                continue;
            }
            self.changed += 1;
            let id = format!("c{}", self.changed);
            self.offer(leader, term, &id, change, open);
        }
        for n in done.into_iter().rev() {
            let change = self.wanted.remove(n);
            match change {
                MemberChange::Add { member, .. } => self.join(member),
                MemberChange::Remove { member } => drop(self.members.remove(&member)),
                MemberChange::Promote { .. } => {}
            }
        }
    }

    /// Has a member that was added become a voter, once it has been seen.
    fn promote(&mut self, leader: MemberId, term: u64, member: MemberId, open: Option<&str>) {
        let state = self.nodes[&leader].state();
        let Some(known) = state.and_then(|state| state.members.get(&member)).filter(|m| !m.voter) else {
            self.promote.remove(&member);
            return;
        };
        if known.folder.is_none() {
            return self.announce(leader, member);
        }
        self.changed += 1;
        let id = format!("c{}", self.changed);
        self.offer(leader, term, &id, &MemberChange::Promote { member }, open);
    }

    /// Tells the leader, now and then, that a member has its folder.
    fn announce(&mut self, leader: MemberId, member: MemberId) {
        let identity = identity(member);
        let seen = Command::Seen { member, ticket: identity.ticket, folder: identity.folder };
        self.numbers += 1;
        let proposal = Proposal { id: format!("s{}", self.numbers), command: seen };
        if self.now.is_multiple_of(10)
            && let Some(node) = self.nodes.get_mut(&leader)
        {
            let _ = node.propose(&proposal); // it is said again
        }
    }

    fn offer(&mut self, leader: MemberId, term: u64, id: &str, change: &MemberChange, open: Option<&str>) {
        if !self.now.is_multiple_of(5) {
            return;
        }
        let Some(node) = self.nodes.get_mut(&leader) else { return };
        if let Err(why) = node.change_members(id, change) {
            // One that leads is not removed: somebody else is to lead first.
            if matches!(change, MemberChange::Remove { member } if *member == leader)
                && why.contains("transfer")
            {
                let voting = |id: &&MemberId| **id != leader && !self.off.contains_key(*id);
                if let Some(to) = self.members.iter().find(voting) {
                    node.transfer_leader(*to);
                }
            }
            return;
        }
        if let Some(open) = open {
            self.breach(Rule::Changes, format!("{leader} took {change:?} while {open} was under way"));
        }
        self.accepted.insert(leader, (id.to_owned(), term));
    }

    fn join(&mut self, member: MemberId) {
        let disk = Disk::default();
        if let Err(problem) = Node::join(disk.clone(), identity(member)) {
            self.breach(Rule::Folder, format!("{member}: {problem}"));
        }
        self.disks.insert(member, disk);
        self.members.insert(member);
        self.promote.insert(member);
        self.start(member);
    }
}
