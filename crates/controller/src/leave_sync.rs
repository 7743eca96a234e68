//! Before this process asks to become a member, and before it tells of endpoints that it only knows from its disk, it takes
//! over what the members know of leaves. An acknowledged leave is on the disks of a majority of them, so whoever has compared
//! with a majority has it, and can stand in for one that is lost.
//!
//! Each member is sent the digests of this process's ranges, which it answers with the records that differ, and behind them
//! on the same link a request to confirm nothing: its confirmation comes after the records.

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
    /// Who was asked last on which link, and under which number.
    asked: RefCell<BTreeMap<Member, (usize, u64)>>,
    /// Who has answered, and the change of the table with which its leaves were merged.
    merged: RefCell<BTreeMap<Member, u64>>,
}

impl LeaveSync {
    /// Nobody has been asked.
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
        // What came while the link was down is not among what was compared before.
        self.merged.borrow_mut().remove(&member);
        let ranges = self.gossip.replica().registry().digests();
        session.send(&Message::RangeDigests(ranges.into()));
        session.send(&Message::Confirm(number, Vec::new().into()));
    }

    /// A member has confirmed nothing: what differed has been merged before.
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
