//! The disk check: a starting member takes no part until the others have answered whether its disk is current. Also answers the
//! checks of other members.

use crate::member::MemberTask;
use crate::proposer::Proposer;
use runtrack_link::{Gossip, Session};
use runtrack_message::{
    Ballot, CONTACT_WIRE_VERSION, InspectReply, Member, Message, RegisterReply, Role, Watermark,
    WatermarkReply,
};
use runtrack_net::mutant;
use runtrack_register::{DiskCheck, DiskVerdict, DurableWatermarks};
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval at which members that have not answered are asked.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// Where more members are remembered than this, those are forgotten that are neither in force nor connected.
const MAX_REMEMBERED_MEMBERS: usize = 64;

/// The check of this member's disk, and the watermarks of other members.
pub(crate) struct DiskGuard {
    gossip: Rc<Gossip>,
    proposer: Rc<Proposer>,
    member: Rc<MemberTask>,
    me: Member,
    started: Instant,
    check: RefCell<DiskCheck>,
    watermarks: RefCell<DurableWatermarks>,
    /// Whether anybody remembers this member; nothing before the check is over.
    is_remembered: Cell<Option<bool>>,
    /// A member has answered, or the check is over.
    progress: Notify,
}

impl DiskGuard {
    /// A member that has this on its disk.
    pub fn new(
        gossip: Rc<Gossip>,
        proposer: Rc<Proposer>,
        member: Rc<MemberTask>,
        me: Member,
        own: Watermark,
    ) -> Rc<Self> {
        let check = DiskCheck::new(me, own, proposer.sets());
        Rc::new(DiskGuard {
            gossip,
            proposer,
            member,
            me,
            started: Instant::now(),
            check: RefCell::new(check),
            watermarks: RefCell::default(),
            is_remembered: Cell::new(None),
            progress: Notify::new(),
        })
    }

    /// Answers a member's request for its watermark.
    pub fn on_watermark_request(&self, session: &Session, member: Member) {
        let remembered = self.watermarks.borrow().of(&member);
        session.send(&Message::WatermarkReply(WatermarkReply { member, remembered }));
    }

    /// Handles another member's watermark of this one.
    pub fn on_watermark_reply(&self, session: &Session, answer: &WatermarkReply) {
        if let Some(from) = controller_of(session).filter(|_| answer.member == self.me) {
            self.check.borrow_mut().on_answer(from, answer.remembered);
            self.progress.notify_waiters();
        }
    }

    /// A link to a controller is up: it can be asked.
    pub fn on_connect(&self) {
        self.progress.notify_waiters();
    }

    /// A member replied to a round of this process.
    pub fn on_register_reply(&self, session: &Session, reply: &RegisterReply) {
        if let Some(from) = controller_of(session) {
            self.watermarks.borrow_mut().on_reply(from, reply);
            self.forget_others();
        }
    }

    /// A member replied to a quorum read of this process.
    pub fn on_inspect_reply(&self, session: &Session, reply: &InspectReply) {
        if let InspectReply::Accepted(ballot) | InspectReply::AcceptedWith { ballot, .. } = reply {
            self.on_accepted(session, *ballot);
        }
    }

    /// Notes the ballot that a member reports to have on disk.
    pub fn on_accepted(&self, session: &Session, ballot: Ballot) {
        if let Some(from) = controller_of(session) {
            self.watermarks.borrow_mut().on_accepted(from, ballot);
            self.forget_others();
        }
    }

    /// Bounds the number of watermarks. Members in force are kept, also while they are down.
    fn forget_others(&self) {
        if self.watermarks.borrow().remembered_members() <= MAX_REMEMBERED_MEMBERS {
            return;
        }
        let sessions = self.gossip.peers(Role::Controller);
        let connected = sessions.iter().filter_map(|session| controller_of(session));
        let kept: BTreeSet<Member> = self.proposer.sets().into_iter().flatten().chain(connected).collect();
        self.watermarks.borrow_mut().retain(&kept);
    }

    /// Asks until it is known whether the disk is the newest, and lets the member take part then; returns only where
    /// the disk is an older one.
    pub async fn run(&self) {
        let mut ticks = interval(QUERY_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => {}
                () = self.progress.notified() => {}
            }
            let verdict = self.query();
            match verdict {
                DiskVerdict::Waiting => continue,
                DiskVerdict::Older(seen) if !mutant("older-disk-goes-on") => {
                    warn!(self.gossip.logger(), "disk.older";
                        "promised" => seen.promised.round, "accepted" => seen.accepted.round);
                    return;
                }
                verdict => {
                    let known = verdict != DiskVerdict::Unknown;
                    info!(self.gossip.logger(), "disk.checked"; "known" => known);
                    self.is_remembered.set(Some(known));
                    self.progress.notify_waiters();
                    self.member.release();
                    self.proposer.wake();
                    return std::future::pending().await;
                }
            }
        }
    }

    /// Waits until the check is over; returns whether a process that has run for longer has a watermark of this member. None has
    /// if all members have started together.
    pub async fn is_remembered(&self) -> bool {
        loop {
            if let Some(known) = self.is_remembered.get() {
                return known;
            }
            self.progress.notified().await;
        }
    }

    /// Queries the members that have not answered; returns the verdict so far.
    fn query(&self) -> DiskVerdict {
        let mut check = self.check.borrow_mut();
        check.set_sets(self.proposer.sets());
        let unanswered = check.unanswered();
        for session in self.gossip.peers(Role::Controller) {
            let Some(peer) = controller_of(&session) else { continue };
            for gone in
                unanswered.iter().filter(|other| other.address() == peer.address() && **other != peer)
            {
                check.on_replaced(*gone);
            }
            if unanswered.contains(&peer) && session.peer_wire() >= CONTACT_WIRE_VERSION {
                session.send(&Message::Watermark(self.me));
            }
        }
        check.verdict(self.started.elapsed())
    }
}

/// The controller at the other side of a link.
fn controller_of(session: &Session) -> Option<Member> {
    let peer = session.peer.borrow();
    peer.as_ref().filter(|peer| peer.role == Role::Controller).map(|peer| peer.member)
}
