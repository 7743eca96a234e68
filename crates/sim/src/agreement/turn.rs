//! One tick of all members, and what they put out.

use super::*;

impl World<'_> {
    /// One tick of all members, and what comes of it.
    pub(super) fn turn(&mut self, people: bool) {
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
        if self.now.is_multiple_of(OFFERS) {
            self.offer_snapshots();
        }
        self.change_members();
        if people {
            self.work(&awake);
        }
        self.discover(&awake);
        for member in awake {
            self.drive(member);
        }
        self.serve();
    }

    fn power_on(&mut self) {
        let due = self.off.iter().filter(|(_, until)| **until <= self.now);
        for member in due.map(|(member, _)| *member).collect::<Vec<_>>() {
            self.off.remove(&member);
            self.start(member);
        }
    }

    fn awake(&self) -> Vec<MemberId> {
        self.nodes.keys().copied().filter(|id| !self.stalled.contains_key(id)).collect()
    }

    /// Offers snapshots again to members that have not fetched theirs.
    fn offer_snapshots(&mut self) {
        for node in self.nodes.values_mut().filter(|node| node.is_leader()) {
            let standing = node.status();
            let fetching = standing.peers.iter().filter(|(_, peer)| peer.snapshot);
            let fetching: Vec<MemberId> = fetching.map(|(id, _)| *id).collect();
            fetching.into_iter().for_each(|member| node.retry_snapshot(member));
        }
    }

    /// Lets a member do what is due, and takes what it puts out.
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
            self.check_leader(member, term);
        }
        let flickers = self.cuts.iter().any(|(what, _, until)| *what == What::Flicker && *until > self.now);
        let voted = flickers && messages.iter().any(|message| message.kind == VOTES[0] && !message.reject);
        self.send(member, messages, &removed);
        self.took(member, applied);
        self.answer(member, &reads);
        if voted && self.below(2) == 0 {
            return self.crash(member, self.now + 1);
        }
        if let Some(fetch) = fetch {
            self.fetch_snapshot(member, &fetch);
        }
    }

    /// The disk failed, for now or for good.
    fn on_disk_failed(&mut self, member: MemberId) {
        let disk = self.disks[&member].clone();
        disk.fail_at(None);
        if self.below(2) == 0 {
            return self.crash(member, self.now + REOPENS);
        }
        self.nodes.remove(&member);
        self.accepted.remove(&member);
        self.off.insert(member, self.now + REOPENS);
    }

    fn check_leader(&mut self, member: MemberId, term: u64) {
        let first = *self.observed.leaders.entry(term).or_insert(member);
        if first != member {
            self.breach(Rule::Leaders, format!("{first} and {member} lead in term {term}"));
        }
    }

    fn fetch_snapshot(&mut self, member: MemberId, fetch: &SnapshotFetch) {
        let reaches = !self
            .cuts
            .iter()
            .any(|(what, who, _)| matches!(what, What::Cut(_)) && (*who == member || *who == fetch.from));
        let from = self.nodes.get(&fetch.from).filter(|from| reaches && *from.snapshot() == fetch.snapshot);
        let text = from.and_then(|from| from.snapshot_text().ok()?);
        let Some(node) = self.nodes.get_mut(&member) else { return };
        let Some(text) = text else { return node.snapshot_fetch_failed() };
        if !node.snapshot_fetched(text) {
            let why = format!("{member} was given another snapshot than it was offered");
            self.breach(Rule::Agreement, why);
        }
    }
}
