//! Synchronizes leaves with the members before this process asks to join, and before it announces endpoints that it knows only
//! from its disk. An acknowledged leave is on the disks of a majority, so a process that has compared its leaves with a majority
//! has it and can replace a lost member.
//!
//! Each member is sent the digests of this process's ranges, which it answers with the differing records, followed on the same
//! link by a request to confirm an empty list: the confirmation arrives after the records.

use crate::contact::MajorityContact;
use crate::leaves::Leaves;
use runtrack_link::{Gossip, Session};
use runtrack_message::{Member, Message, Role};
use runtrack_net::mutant;
use runtrack_register::has_majority;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The members that this process has compared its leaves with.
pub(crate) struct LeaveSync {
    gossip: Rc<Gossip>,
    contact: Rc<MajorityContact>,
    leaves: Rc<Leaves>,
    next_number: Cell<u64>,
    /// The member asked last on each link, and the number of the request.
    asked: RefCell<BTreeMap<Member, (usize, u64)>>,
    /// The members that have answered, each with the change of the table by which its leaves were merged.
    merged: RefCell<BTreeMap<Member, u64>>,
}

impl LeaveSync {
    /// The initial state, without requests.
    pub fn new(gossip: Rc<Gossip>, contact: Rc<MajorityContact>, leaves: Rc<Leaves>) -> Rc<Self> {
        Rc::new(LeaveSync {
            gossip,
            contact,
            leaves,
            next_number: Cell::new(fastrand::u64(..)),
            asked: RefCell::default(),
            merged: RefCell::default(),
        })
    }

    /// Asks the members in force that have not been asked on their link yet.
    pub fn ask(&self) {
        let sets = self.contact.sets();
        self.asked.borrow_mut().retain(|member, _| sets.iter().any(|set| set.contains(member)));
        for session in self.gossip.peers(Role::Controller) {
            let Some(member) = session.dialled_member() else { continue };
            if sets.iter().any(|set| set.contains(&member)) {
                self.ask_on(&session, member);
            }
        }
    }

    fn ask_on(&self, session: &Session, member: Member) {
        if self.asked.borrow().get(&member).is_some_and(|(link, _)| *link == session.key) {
            return;
        }
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        self.asked.borrow_mut().insert(member, (session.key, number));
        // An earlier comparison does not include changes from while the link was down.
        self.merged.borrow_mut().remove(&member);
        let ranges = self.gossip.replica().registry().digests();
        session.send(&Message::RangeDigests(ranges.into()));
        session.send(&Message::Confirm(number, Vec::new().into()));
    }

    /// Handles the confirmation of the empty list: the differing records have been merged before it.
    pub fn on_confirmed(&self, number: u64, session: &Session) {
        let answered = (session.key, number);
        let asked = self.asked.borrow();
        let from = asked.iter().find(|(_, asked)| **asked == answered).map(|(member, _)| *member);
        if let Some(member) = from {
            self.merged.borrow_mut().insert(member, self.leaves.last_change());
        }
    }

    /// Whether the leaves of a majority of each set are on this process's disk.
    pub fn is_complete(&self) -> bool {
        let merged = self.merged.borrow();
        let me = self.gossip.me().member;
        let has = |member: &Member| {
            *member == me || merged.get(member).is_some_and(|change| self.leaves.is_durable(*change))
        };
        let complete = self.contact.sets().iter().all(|set| has_majority(set, has));
        complete || mutant("joins-without-leaves")
    }
}
