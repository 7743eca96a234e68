//! One tick of the simulation.

use super::*;

impl World<'_> {
    /// Advances all members by one tick and processes their output; `with_clients` also submits reads and writes.
    pub(super) fn tick(&mut self, with_clients: bool) {
        self.now += 1;
        let now = self.now;
        self.power_on();
        self.stalled.retain(|_, until| *until > now);
        let awake = self.awake();
        for member in &awake {
            if let Some(node) = self.nodes.get_mut(member) {
                node.tick();
            }
        }
        self.deliver();
        if self.now.is_multiple_of(SNAPSHOT_RETRY_TICKS) {
            self.offer_snapshots();
        }
        self.change_members();
        if with_clients {
            self.run_clients(&awake);
        }
        self.poll_discovery(&awake);
        for member in awake {
            self.drive(member);
        }
        self.serve_proxies();
    }

    fn power_on(&mut self) {
        let due = self.powered_off.iter().filter(|(_, until)| **until <= self.now);
        for member in due.map(|(member, _)| *member).collect::<Vec<_>>() {
            self.powered_off.remove(&member);
            self.start(member);
        }
    }

    fn awake(&self) -> Vec<MemberId> {
        self.nodes.keys().copied().filter(|id| !self.stalled.contains_key(id)).collect()
    }

    /// Retries snapshots that members have not fetched.
    fn offer_snapshots(&mut self) {
        for node in self.nodes.values_mut().filter(|node| node.is_leader()) {
            let status = node.status();
            let fetching = status.peers.iter().filter(|(_, peer)| peer.snapshot);
            let fetching: Vec<MemberId> = fetching.map(|(id, _)| *id).collect();
            fetching.into_iter().for_each(|member| node.retry_snapshot(member));
        }
    }

    /// Drives a member and processes its output.
    fn drive(&mut self, member: MemberId) {
        let Some(node) = self.nodes.get_mut(&member) else { return };
        let removed: BTreeSet<MemberId> =
            node.state().map(|state| state.removed.keys().copied().collect()).unwrap_or_default();
        let Output { messages, applied, reads, fetch, .. } = match node.drive() {
            Ok(output) => output,
            Err(_) => return self.on_disk_failed(member),
        };
        if node.is_leader() {
            let term = node.term();
            self.check_single_leader(member, term);
        }
        let flickers = self
            .active_faults
            .iter()
            .any(|(kind, _, until)| *kind == FaultKind::Flicker && *until > self.now);
        let voted = flickers
            && messages.iter().any(|message| message.kind == VOTE_RESPONSE_KINDS[0] && !message.reject);
        self.send(member, messages, &removed);
        self.check_applied(member, applied);
        self.complete_reads(member, &reads);
        if voted && self.draw_below(2) == 0 {
            return self.crash(member, self.now + 1);
        }
        if let Some(fetch) = fetch {
            self.fetch_snapshot(member, &fetch);
        }
    }

    /// Handles a failure of a member's disk: power loss or a restart of the process.
    fn on_disk_failed(&mut self, member: MemberId) {
        let disk = self.disks[&member].clone();
        disk.fail_at(None);
        if self.draw_below(2) == 0 {
            return self.crash(member, self.now + REOPEN_TICKS);
        }
        self.nodes.remove(&member);
        self.accepted_changes.remove(&member);
        self.powered_off.insert(member, self.now + REOPEN_TICKS);
    }

    fn check_single_leader(&mut self, member: MemberId, term: u64) {
        let first = *self.observed.leaders.entry(term).or_insert(member);
        if first != member {
            self.report_violation(Rule::Leaders, format!("{first} and {member} lead in term {term}"));
        }
    }

    fn fetch_snapshot(&mut self, member: MemberId, fetch: &SnapshotFetch) {
        let reaches = !self.active_faults.iter().any(|(kind, target, _)| {
            matches!(kind, FaultKind::Cut(_)) && (*target == member || *target == fetch.from)
        });
        let from = self.nodes.get(&fetch.from).filter(|from| reaches && *from.snapshot() == fetch.snapshot);
        let text = from.and_then(|from| from.snapshot_text().ok()?);
        let Some(node) = self.nodes.get_mut(&member) else { return };
        let Some(text) = text else { return node.snapshot_fetch_failed() };
        if !node.snapshot_fetched(text) {
            let detail = format!("{member} was given another snapshot than it was offered");
            self.report_violation(Rule::Agreement, detail);
        }
    }
}
