//! Rounds of the register on behalf of the operator, of readers and of the membership.
//!
//! `rounds` runs one after another, asks members and waits as `timing` says; `change` puts an operator's change through
//! them, `read` answers a read without one where it can (`inspections` asks for it), `chosen` learns and announces what was
//! chosen, and `catch_up` finds it out where this process is behind.

mod catch_up;
mod change;
mod chosen;
mod inspections;
mod limits;
mod read;
mod rounds;
mod timing;

pub use change::ConfigOutcome;
pub use read::ReadError;

use crate::member::MemberTask;
use crate::pending::PendingRequests;
use crate::proposer::inspections::Inspections;
use runtrack_link::Gossip;
use runtrack_message::{Ballot, Member, RegisterReply, Value};
use runtrack_net::mutant;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Mutex, Notify};

/// Where the replies of members to one round go.
type Replies = UnboundedSender<(Member, RegisterReply)>;

/// Runs rounds, one at a time.
pub struct Proposer {
    gossip: Rc<Gossip>,
    member: Rc<MemberTask>,
    me: Member,
    /// Members before the first value.
    first: BTreeSet<Member>,
    boot: u64,
    round: Cell<u64>,
    known: RefCell<Option<(Ballot, Rc<Value>)>>,
    /// A round has ended since the start: what is chosen is known.
    informed: Cell<bool>,
    /// Who was asked, and where the replies go.
    pending: RefCell<PendingRequests<(Member, Replies)>>,
    inspections: Inspections,
    /// The newest ballot under which another controller says that it has a value.
    newest_elsewhere: Cell<Ballot>,
    /// Ballots up to this one were elsewhere before a round of this process ended.
    accounted_for: Cell<Ballot>,
    /// Held by the operation whose rounds run.
    turn: Mutex<()>,
    /// Notified where this process may be behind.
    wake: Notify,
}

impl Proposer {
    /// A proposer that knows of no value.
    pub fn new(
        gossip: Rc<Gossip>,
        member: Rc<MemberTask>,
        me: Member,
        first: BTreeSet<Member>,
    ) -> Rc<Self> {
        Rc::new(Proposer {
            gossip,
            member,
            me,
            first,
            boot: if mutant("ballot-without-boot") { 1 } else { fastrand::u64(1..) },
            round: Cell::new(0),
            known: RefCell::default(),
            informed: Cell::new(false),
            pending: RefCell::new(PendingRequests::starting_at(fastrand::u64(..))),
            inspections: Inspections::new(),
            newest_elsewhere: Cell::default(),
            accounted_for: Cell::default(),
            turn: Mutex::new(()),
            wake: Notify::new(),
        })
    }

    /// The newest value that is known to be chosen.
    pub fn known(&self) -> Option<(Ballot, Rc<Value>)> {
        self.known.borrow().clone()
    }

    /// Something has changed by which this process may find out what is chosen.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Whether a round has come to its end since the start: what was chosen until then is known, or that nothing was.
    pub fn is_informed(&self) -> bool {
        self.informed.get()
    }
}
