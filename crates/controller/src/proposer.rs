//! Rounds of the register on behalf of the operator, of readers and of the membership.
//!
//! `rounds` runs rounds one after another with the timeouts of `timing`; `change` executes an operator's change by rounds,
//! `read` a read, by a quorum read (`inspections`) where possible; `chosen` learns and announces chosen values, and `catch_up`
//! learns them when this process is behind.

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
    /// Whether a round has completed since the start, so that the chosen value is known.
    informed: Cell<bool>,
    /// Members with a pending request, and the channels for their replies.
    pending: RefCell<PendingRequests<(Member, Replies)>>,
    inspections: Inspections,
    /// The newest ballot of a value that another controller reports.
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

    /// Wakes the catch-up task after a change that may let it learn the chosen value.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Whether a round has completed since the start: the value chosen until then is known, or that there was none.
    pub fn is_informed(&self) -> bool {
        self.informed.get()
    }
}
