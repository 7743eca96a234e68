//! The copies of the committed value at the members: which have it on disk, as far as probes show.

use crate::contact::MajorityContact;
use crate::member::MemberTask;
use crate::proposer::Proposer;
use runtrack_link::Gossip;
use runtrack_message::{Ballot, Member, Value};
use runtrack_net::mutant;
use runtrack_register::{ReplicaEvent, ReplicaTable, members_of};
use slog::{info, warn};
use std::cell::{Ref, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which a leaving member checks whether the others have the committed value.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Which members have the committed value.
pub struct Copies {
    gossip: Rc<Gossip>,
    proposer: Rc<Proposer>,
    member: Rc<MemberTask>,
    contact: Rc<MajorityContact>,
    table: RefCell<ReplicaTable>,
}

impl Copies {
    /// Nothing is known. A copy that is missing for longer than `wait` is not waited for.
    pub fn new(
        gossip: Rc<Gossip>,
        proposer: Rc<Proposer>,
        member: Rc<MemberTask>,
        contact: Rc<MajorityContact>,
        wait: Duration,
    ) -> Self {
        Copies { gossip, proposer, member, contact, table: RefCell::new(ReplicaTable::new(wait)) }
    }

    /// The replica table, as of its last update.
    pub fn table(&self) -> Ref<'_, ReplicaTable> {
        self.table.borrow()
    }

    /// Ballot of the value that a process has on disk; nothing where it can't be reached.
    pub fn accepted_by(&self, member: &Member) -> Option<Ballot> {
        if *member == self.gossip.me().member {
            return Some(self.member.durable_accepted());
        }
        self.contact.peer_accepted(member).filter(|_| self.contact.reaches(member))
    }

    fn accepted_at(&self, members: &BTreeSet<Member>) -> BTreeMap<Member, Ballot> {
        members.iter().filter_map(|member| Some((*member, self.accepted_by(member)?))).collect()
    }

    /// Checks which members have the newest committed value.
    pub fn observe(&self, ballot: Ballot, value: &Value) {
        let accepted = self.accepted_at(&members_of(value));
        let events = self.table.borrow_mut().observe(self.gossip.now(), ballot, value, accepted);
        for event in events {
            match event {
                ReplicaEvent::Complete { sequence, after } => {
                    info!(self.gossip.logger(), "copies.complete";
                    "sequence" => sequence, "after_ms" => after.as_millis() as u64)
                }
                ReplicaEvent::Missing { member } => warn!(self.gossip.logger(), "copies.missing";
                    "members" => member.address().to_string()),
            }
        }
    }

    /// The other members that are reachable and lack the committed value.
    fn lacking(&self) -> Vec<String> {
        let Some((committed, value)) = self.proposer.known() else { return Vec::new() };
        let me = self.gossip.me().member;
        let accepted = self.accepted_at(&members_of(&value));
        let lacking = accepted.iter().filter(|(member, ballot)| **member != me && **ballot < committed);
        lacking.map(|(member, _)| member.address().to_string()).collect()
    }

    /// Logs the members that lack the committed value.
    pub fn log_missing(&self) {
        warn!(self.gossip.logger(), "copies.missing"; "members" => self.lacking().join(" "));
    }

    /// Waits until the other reachable members have the committed value.
    pub async fn wait_until_complete(&self) {
        if mutant("leaving-member-goes-at-once") || self.lacking().is_empty() {
            return;
        }
        info!(self.gossip.logger(), "copies.awaited"; "members" => self.lacking().join(" "));
        while !self.lacking().is_empty() {
            sleep(COPY_POLL_INTERVAL).await;
        }
        info!(self.gossip.logger(), "copies.handed_over");
    }
}
