//! Faults of members and processes, and the membership changes that repair them.

use super::{MemberState, Process, World};
use crate::support::attempt::Purpose;
use crate::support::member;
use crate::support::mutants::Mutant;
use crate::support::node::{Disk, Node};
use runtrack_message::{Member, Watermark};
use runtrack_register::{
    DiskCheck, DiskVerdict, DurableWatermarks, LATE_ANSWERS_TIMEOUT, majority_of, sets_of,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum size of a set that tolerates the loss of one member.
const MIN_MEMBERS: usize = 3;
/// Maximum number of concurrent membership changes.
pub const MAX_CHANGES: usize = 2;
/// One in this many steps that could restore a copy of a member's disk makes a copy instead.
const COPY_ODDS: u32 = 2;

impl World {
    pub(super) fn newest_view(&self) -> BTreeSet<Member> {
        let newest = self.processes.iter().max_by_key(|process| process.view.0);
        newest.and_then(|process| process.view.1.last().cloned()).unwrap_or_default()
    }

    fn random_member(&mut self) -> usize {
        self.rng.usize(..self.voters.len())
    }

    pub(super) fn kill_or_start(&mut self) {
        let at = self.random_member();
        if !self.voters[at].up {
            return self.voters[at].start();
        }
        let set = self.newest_view();
        let live = self.voters.iter().filter(|voter| voter.up && set.contains(&voter.member)).count();
        if live > majority_of(set.len()) {
            self.voters[at].up = false;
        }
    }

    /// Restarts a member's process.
    pub(super) fn restart_member(&mut self) {
        // Prefers a member whose promise is above its accepted ballot.
        let owes = |voter: &MemberState| {
            let accepted = voter.node.acceptor.accepted().map(|accepted| accepted.ballot);
            voter.up && voter.node.acceptor.promised() > accepted.unwrap_or_default()
        };
        let owing: Vec<usize> = (0..self.voters.len()).filter(|at| owes(&self.voters[*at])).collect();
        let at = match owing.first() {
            Some(_) if self.rng.u32(..4) > 0 => owing[self.rng.usize(..owing.len())],
            _ => self.random_member(),
        };
        if self.voters[at].up {
            self.voters[at].start();
        }
    }

    /// Makes a member adopt a committed value late; prefers one that has promised a higher ballot.
    pub(super) fn adopt(&mut self) {
        if self.committed.is_empty() {
            return;
        }
        let last = self.committed.len().min(2);
        let (ballot, value) = self.committed[self.committed.len() - 1 - self.rng.usize(..last)].clone();
        let lacks = |voter: &MemberState| {
            voter.up && voter.node.acceptor.accepted().is_none_or(|accepted| accepted.ballot < ballot)
        };
        let lacking: Vec<usize> = (0..self.voters.len()).filter(|at| lacks(&self.voters[*at])).collect();
        let promised_more = |at: &&usize| self.voters[**at].node.acceptor.promised() > ballot;
        let rarely = self.rng.u32(..4) == 0;
        let any = lacking.first().filter(|_| rarely);
        let at = lacking.iter().find(promised_more).or(any).copied();
        if let Some(at) = at {
            self.voters[at].node.adopt(ballot, &value, self.settings.mutant);
        }
    }

    /// A member of the current set that may lose its disk: all members are up and no other one lost its disk or is being
    /// replaced, so that the others have every acknowledged change.
    fn member_that_may_lose_disk(&mut self) -> Option<usize> {
        let view = self.newest_view();
        let is_there =
            |member: &Member| self.voters.iter().any(|voter| voter.member == *member && voter.up);
        let bears_it = view.len() >= MIN_MEMBERS && view.iter().all(is_there);
        if self.wanted.is_some() || self.changes() > 0 || !bears_it {
            return None;
        }
        let members: Vec<usize> =
            (0..self.voters.len()).filter(|at| view.contains(&self.voters[*at].member)).collect();
        Some(members[self.rng.usize(..members.len())])
    }

    pub(super) fn wipe(&mut self) {
        let Some(at) = self.member_that_may_lose_disk() else { return };
        if self.settings.mutant == Mutant::WipedMemberVotes {
            self.voters[at].node = Node::new(self.voters[at].member.incarnation);
            return;
        }
        self.take_new_incarnation(at);
    }

    /// Starts an empty new incarnation at the member's address, which asks to join.
    fn take_new_incarnation(&mut self, at: usize) {
        let mut next = self.newest_view();
        let old = self.voters[at].member;
        let new = Member::new(old.address(), self.rng.u64(1..));
        self.voters[at] = MemberState::new(new);
        next.remove(&old);
        next.insert(new);
        self.wanted = Some(next);
    }

    /// Copies a member's disk, or restores a copy, after which the others report their watermarks.
    pub(super) fn copy_or_restore(&mut self) {
        let at = self.random_member();
        if self.rng.u32(..COPY_ODDS) == 0 || self.voters[at].copy.is_none() {
            self.voters[at].copy = Some(self.voters[at].node.disk.clone());
            return;
        }
        let Some(at) = self.member_that_may_lose_disk() else { return };
        let Some(copy) = self.voters[at].copy.clone() else { return };
        if copy == self.voters[at].node.disk {
            return self.voters[at].start();
        }
        if self.settings.mutant == Mutant::OlderDiskAccepted {
            self.voters[at].node.disk = copy;
            return self.voters[at].start();
        }
        match self.verdict_on(at, &copy) {
            DiskVerdict::Older(_) => {
                self.restores += 1;
                self.leave_unchecked(at);
                self.read_at_once();
                self.take_new_incarnation(at);
            }
            // No watermark exists, so the older disk can't be detected (a documented limit): the copy is not restored.
            _ => self.unknown_restores += 1,
        }
    }

    fn verdict_on(&self, at: usize, copy: &Disk) -> DiskVerdict {
        let me = self.voters[at].member;
        let mut older = self.voters[at].node.clone();
        older.disk = copy.clone();
        older.restart();
        let sets =
            older.acceptor.accepted().map_or_else(|| self.settings.first.clone(), |a| sets_of(&a.value));
        let mut check = DiskCheck::new(me, older.acceptor.watermark(), sets);
        for (other, voter) in
            self.voters.iter().enumerate().filter(|(other, voter)| *other != at && voter.up)
        {
            let process = self.processes.get(other);
            let remembered = process.map_or_else(Watermark::default, |process| process.watermarks.of(&me));
            check.on_answer(voter.member, remembered);
        }
        check.verdict(Duration::ZERO);
        check.verdict(LATE_ANSWERS_TIMEOUT)
    }

    /// Adds, removes or replaces one or two members.
    pub(super) fn change_members(&mut self) {
        if self.wanted.is_some() || self.changes() > 0 {
            return;
        }
        let mut next = self.newest_view();
        let first = usize::from(self.profile.members);
        let (leaving, joining) = match self.rng.u32(..8) {
            _ if self.rng.u32(..100) < self.profile.double_changes => (2, 2),
            0 if next.len() <= first => (0, 1),
            1 if next.len() > MIN_MEMBERS => (1, 0),
            _ => (1, 1),
        };
        for _ in 0..leaving {
            let members: Vec<Member> = next.iter().copied().collect();
            next.remove(&members[self.rng.usize(..members.len())]);
        }
        for _ in 0..joining {
            let new = member(self.spare, self.rng.u64(1..));
            self.spare += 1;
            self.voters.push(MemberState::new(new));
            next.insert(new);
        }
        self.wanted = Some(next);
    }

    /// Retries the change to the wanted members; two processes may attempt it concurrently.
    pub(super) fn retry_change(&mut self) {
        if let Some(wanted) = self.wanted.clone().filter(|_| self.changes() < MAX_CHANGES) {
            let at = self.rng.usize(..self.processes.len());
            self.start(at, Purpose::Members(wanted), None);
        }
    }

    /// Number of membership changes in progress.
    pub(super) fn changes(&self) -> usize {
        let changes = |purpose: &Purpose| matches!(purpose, Purpose::Members(_) | Purpose::Finish);
        self.operations.values().filter(|operation| changes(&operation.purpose)).count()
    }

    /// Sends one process's view of the members to another one.
    pub(super) fn gossip(&mut self) {
        let (from, to) = (self.rng.usize(..self.voters.len()), self.rng.usize(..self.processes.len()));
        if self.voters[from].up {
            self.send_members(from, to);
        }
    }

    /// The newest sets of members that the process of a member knows: by gossip, or accepted on its own disk.
    fn send_members(&mut self, from: usize, to: usize) {
        if let Some(accepted) = self.voters[from].node.acceptor.accepted() {
            let sets = sets_of(&accepted.value);
            self.processes[to].update_view(accepted.value.sequence, &sets);
        }
        if let Some((sequence, sets)) = self.processes.get(from).map(|process| process.view.clone()) {
            self.processes[to].update_view(sequence, &sets);
        }
    }

    /// Sends every process's view to all others.
    pub(super) fn gossip_to_all(&mut self) {
        for from in 0..self.voters.len() {
            for to in 0..self.processes.len() {
                self.send_members(from, to);
            }
        }
    }

    pub(super) fn restart_process(&mut self) {
        // Prefers a process with a round whose value is in flight.
        let sending: Vec<usize> = self.sending().collect();
        let at = match sending.first() {
            Some(_) if self.rng.u32(..4) > 0 => sending[self.rng.usize(..sending.len())],
            _ => self.rng.usize(..self.processes.len()),
        };
        let reused = self.settings.mutant == Mutant::BallotReused;
        let keeps_boot = reused || self.settings.mutant == Mutant::BallotsShared;
        let boot = if keeps_boot { self.processes[at].boot } else { self.rng.u64(10..) };
        // It knows only the value that the member of its process has accepted.
        let accepted = self.voters[at].node.acceptor.accepted();
        let view = accepted
            .map_or_else(|| (0, self.settings.first.clone()), |a| (a.value.sequence, sets_of(&a.value)));
        // It knows the round number, as from a counter on disk, but not that it was used.
        let round = if reused { self.processes[at].round.saturating_sub(1) } else { 0 };
        self.processes[at] =
            Process { boot, round, known: None, view, watermarks: DurableWatermarks::default() };
        self.operations.retain(|_, operation| operation.at != at);
        // The operator immediately retries unanswered requests.
        if self.rng.bool() {
            self.start_new_request(at);
        }
    }
}
