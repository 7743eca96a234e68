//! Records that a majority of the members must have on disk before an endpoint is answered.

use crate::confirmation_tracker::{ConfirmationTracker, SessionKey};
use crate::contact::MajorityContact;
use crate::leaves::Leaves;
use runtrack_link::{Gossip, Session};
use runtrack_message::{Endpoint, Member, Message, Role};
use runtrack_net::mutant;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, timeout_at};

/// A confirmation fails after this time: an endpoint waits a second for its acknowledgement.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);

/// Pending confirmations.
pub struct Confirmations {
    gossip: Rc<Gossip>,
    contact: Rc<MajorityContact>,
    leaves: Rc<Leaves>,
    next_number: Cell<u64>,
    waiting: RefCell<BTreeMap<u64, UnboundedSender<SessionKey>>>,
}

/// One record that is to be confirmed.
struct Confirmation {
    number: u64,
    record: Endpoint,
    tracker: ConfirmationTracker,
}

/// An event that a pending confirmation waits for.
enum Progress {
    /// It was confirmed on a link.
    Confirmed(SessionKey),
    /// The write to the own disk has ended.
    OwnWriteEnded {
        /// The record is on the member's disk.
        written: bool,
    },
    /// Members, or links to them, may be others than before.
    MembersChanged,
}

impl Confirmations {
    /// An empty set of pending confirmations. Numbers begin where no earlier process of this member began, so that an answer to one of
    /// those matches nothing.
    pub fn new(gossip: Rc<Gossip>, contact: Rc<MajorityContact>, leaves: Rc<Leaves>) -> Self {
        Confirmations {
            gossip,
            contact,
            leaves,
            next_number: Cell::new(fastrand::u64(..)),
            waiting: RefCell::default(),
        }
    }

    /// A member has the record of this number on its disk.
    pub fn on_confirmed(&self, number: u64, session: &Session) {
        if let Some(waiting) = self.waiting.borrow().get(&number) {
            let _ = waiting.send(session.key); // the wait may be over
        }
    }

    /// Waits until a majority of the members have a record on disk that this process has merged; whether they have.
    pub async fn confirm(&self, record: Endpoint) -> bool {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (confirms, confirmed) = unbounded_channel();
        self.waiting.borrow_mut().insert(number, confirms);
        let confirmation = Confirmation { number, record, tracker: ConfirmationTracker::default() };
        let done = tokio::select! {
            biased;
            done = self.wait(confirmation, confirmed) => done,
            () = self.contact.lost() => mutant("confirmed-when-contact-is-lost"),
        };
        self.waiting.borrow_mut().remove(&number);
        done
    }

    /// Asks members until majorities of the sets in force have confirmed, or the timeout passes. The sets in force are read again
    /// with each confirmation and each change of this process's state.
    async fn wait(
        &self,
        mut confirmation: Confirmation,
        mut confirmed: UnboundedReceiver<SessionKey>,
    ) -> bool {
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        let own = [confirmation.record.clone()];
        let mut own_write = pin!(self.leaves.persist(&own));
        let mut writing = true;
        let mut changes = self.gossip.changes();
        loop {
            let sets = self.contact.sets();
            if mutant("confirmed-when-asked") {
                self.links().into_keys().for_each(|link| confirmation.tracker.on_confirmed(link));
            }
            if confirmation.tracker.has_majorities(self.gossip.me().member, &self.links(), &sets) {
                return true;
            }
            self.ask(&mut confirmation, &sets);
            let next = timeout_at(deadline, async {
                tokio::select! {
                    biased;
                    from = confirmed.recv() => from.map_or(Progress::MembersChanged, Progress::Confirmed),
                    written = &mut own_write, if writing => Progress::OwnWriteEnded { written },
                    _ = changes.changed() => Progress::MembersChanged,
                }
            });
            match next.await {
                Ok(Progress::Confirmed(link)) => confirmation.tracker.on_confirmed(link),
                Ok(Progress::OwnWriteEnded { written }) => {
                    writing = false;
                    confirmation.tracker.on_own_write(written);
                }
                Ok(Progress::MembersChanged) => {}
                Err(_) => return false,
            }
        }
    }

    /// Asks those of the members on whose link it has not been asked yet.
    fn ask(&self, confirmation: &mut Confirmation, sets: &[BTreeSet<Member>]) {
        let message = Message::Confirm(confirmation.number, vec![confirmation.record.clone()].into());
        for session in self.gossip.peers(Role::Controller) {
            let Some(member) = session.dialled_member() else { continue };
            let is_member = sets.iter().any(|set| set.contains(&member));
            if is_member && confirmation.tracker.ask(session.key, member) {
                session.send(&message);
            }
        }
    }

    /// The links that are up, and the members at their other sides.
    fn links(&self) -> BTreeMap<SessionKey, Member> {
        let sessions = self.gossip.peers(Role::Controller).into_iter();
        sessions.filter_map(|session| Some((session.key, session.dialled_member()?))).collect()
    }
}
