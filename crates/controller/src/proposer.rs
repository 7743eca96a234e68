//! Rounds of the register on behalf of the operator, of readers and of the membership.

mod read;

use crate::member::MemberTask;
use crate::pending::PendingRequests;
use crate::proposer::read::Inspections;
use runtrack_link::Gossip;
use runtrack_message::{Ballot, Member, Message, RegisterReply, RegisterRequest, Role, Value};
use runtrack_net::mutant;
use runtrack_register::{
    ConfigAnswer, ConfigRequest, Decision, Outcome, Progress, Round, Send, members_of, sets_of,
};
use slog::info;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{Mutex, Notify};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A round that hears nothing new for so long is given up: some reply is lost, and another round asks again.
const ROUND_TIMEOUT: Duration = Duration::from_millis(450);
/// Where disks are slow a round waits for so many writes, up to a bound: given up sooner it would only ask for more
/// writes, and never be done with any.
const ROUND_TIMEOUT_WRITES: u32 = 3;
const MAX_ROUND_TIMEOUT: Duration = Duration::from_millis(1800);
/// A round that a member refused for a higher ballot waits for so long only, or for a write: where another member is lost, no
/// majority is left for it.
const OUTRUN_TIMEOUT: Duration = Duration::from_millis(30);
/// Wait after a round that a higher ballot got in the way of, or a write where that takes longer: the other round has writes
/// to wait for. Times the tries so far, and up to as much more.
const ROUND_BACKOFF: Duration = Duration::from_millis(8);
const MAX_ROUND_BACKOFF: Duration = ROUND_TIMEOUT;
/// A proposer that wants to know after its start what is chosen gives way so often in a row at most.
const MAX_GIVING_WAY: u32 = 4;
const MAX_BACKOFF_STEPS: u32 = 8;
/// A proposer that was preempted leaps over so many rounds of others at most, as a power of two.
const MAX_LEAP_STEPS: u32 = 10;
/// An order or a read that has not come through by then gets no clear answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// No round of an order or a read begins later than this: the caller has gone on to another member by then, and rounds here
/// would only be in the way of its next try. One that has begun goes on.
const LAST_ROUND: Duration = Duration::from_millis(900);
/// A value that was accepted here and not heard to be chosen is settled by a round of our own after this, and up to as
/// much more.
const SETTLE: Duration = Duration::from_millis(250);

/// Until it is known after the start what is chosen, it is asked for this often, and up to twice as seldom.
const ASK_AT_START: Duration = Duration::from_millis(40);

/// How long rounds of one operation may go on.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// No round begins later.
    last_round: Instant,
    /// None goes on for longer.
    until: Instant,
    /// It ends with the first round that another one got in the way of.
    gives_way: bool,
}

impl Limits {
    fn until(until: Instant) -> Self {
        Limits { last_round: until, until, gives_way: false }
    }

    fn of_request() -> Self {
        let now = Instant::now();
        Limits { last_round: now + LAST_ROUND, ..Limits::until(now + REQUEST_TIMEOUT) }
    }
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigOutcome {
    /// It is certain.
    Definite(ConfigAnswer),
    /// It may or may not come into force.
    Indeterminate,
}

type Replies = UnboundedSender<(Member, RegisterReply)>;

/// Planted errors: what a round makes of the value that it found.
fn planted_value(current: Option<&Value>, order: &ConfigRequest) -> Option<Value> {
    let is_planted =
        ["repeat-forgotten", "base-not-checked", "amendment-loses-items"].into_iter().any(mutant);
    let mut value = current.filter(|_| is_planted)?.clone();
    if mutant("repeat-forgotten") {
        value.applied = Vec::new().into();
    } else if mutant("amendment-loses-items") {
        value.config = br#"{"version":1,"routes":[],"services":[{"name":"s"}]}"#.to_vec().into();
    } else if value.version < order.version {
        value.version = order.base;
    }
    Some(value)
}

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
    /// A round has come to its end since the start: what is chosen is known.
    informed: Cell<bool>,
    /// Who was asked, and where the replies go.
    pending: RefCell<PendingRequests<(Member, Replies)>>,
    inspections: Inspections,
    /// The newest ballot under which another controller says that it has a value.
    newest_elsewhere: Cell<Ballot>,
    /// Ballots up to this one were elsewhere before a round of this process came to its end: they are accounted for.
    settled: Cell<Ballot>,
    turn: Mutex<()>,
    unsettled: Notify,
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
            settled: Cell::default(),
            turn: Mutex::new(()),
            unsettled: Notify::new(),
        })
    }

    /// The newest value that is known to be chosen.
    pub fn known(&self) -> Option<(Ballot, Rc<Value>)> {
        self.known.borrow().clone()
    }

    /// Whether a round has come to its end since the start: what was chosen until then is known, or that nothing was.
    pub fn is_informed(&self) -> bool {
        self.informed.get()
    }

    /// A reply to a request of this number came over this session.
    pub fn replied(&self, session: usize, number: u64, reply: RegisterReply) {
        if let Some((from, replies)) = self.pending.borrow_mut().replied(session, number) {
            let _ = replies.send((from, reply)); // the round may be over
        }
    }

    /// Another controller says under which ballot it has a value on disk. Where that is newer than what is known here,
    /// a round finds out what is chosen: the same value may have been accepted again under a higher ballot, and word of
    /// that is told once and may be lost.
    pub fn on_peer_accepted(&self, ballot: Ballot) {
        self.newest_elsewhere.set(self.newest_elsewhere.get().max(ballot));
    }

    /// The newest ballot that this member or, as far as it is not accounted for, another one has accepted.
    fn newest_accepted(&self) -> Ballot {
        let accepted = self.member.accepted().map(|accepted| accepted.ballot).unwrap_or_default();
        let elsewhere = self.newest_elsewhere.get();
        if elsewhere > self.settled.get() { accepted.max(elsewhere) } else { accepted }
    }

    /// Whether this ballot, or what others say, is newer than what is known here.
    fn is_behind(&self, accepted: Ballot) -> bool {
        let told = self.gossip.replica().members().sequence;
        let known = self.known.borrow();
        let (ballot, sequence) =
            known.as_ref().map_or_else(Default::default, |(ballot, value)| (*ballot, value.sequence));
        accepted > ballot || sequence < told
    }

    /// Another member says that the value of this ballot is chosen.
    pub fn on_committed(&self, ballot: Ballot) {
        self.on_peer_accepted(ballot);
        if self.known.borrow().as_ref().is_some_and(|(known, _)| *known >= ballot) {
            return;
        }
        match self.member.accepted() {
            Some(accepted) if accepted.ballot == ballot || mutant("commit-of-any-ballot") => {
                self.learn(ballot, accepted.value);
            }
            _ => self.unsettled.notify_one(),
        }
    }

    /// This process has found out that a value is chosen: the others are told.
    fn take_chosen(&self, ballot: Ballot, value: Rc<Value>) {
        let before = self.known.borrow().as_ref().map(|(known, _)| *known);
        self.learn(ballot, value);
        if before != Some(ballot) {
            self.gossip.broadcast_to(Role::Controller, &Message::Commit(ballot));
        }
        self.informed.set(true);
    }

    fn learn(&self, ballot: Ballot, value: Rc<Value>) {
        let newer = self.known.borrow().as_ref().is_none_or(|(known, _)| *known < ballot);
        if !newer {
            return;
        }
        self.round.set(self.round.get().max(ballot.round));
        self.member.adopt_committed(ballot, value.clone());
        *self.known.borrow_mut() = Some((ballot, value.clone()));
        self.gossip.take_members(value.sequence, members_of(&value));
        if value.version > 0 && value.version > self.gossip.replica().version() {
            self.gossip.take_config(value.version, value.config.as_slice().to_vec());
        }
    }

    /// The sets of members to begin with: of what is told to be chosen, or of what this member has accepted, whichever
    /// is newer. After the end of all processes there is nobody to tell.
    pub fn sets(&self) -> Vec<BTreeSet<Member>> {
        let replica = self.gossip.replica();
        let told = replica.members();
        match self.member.accepted() {
            Some(accepted) if accepted.value.sequence > told.sequence => sets_of(&accepted.value),
            _ if told.sequence > 0 => vec![told.set.clone()],
            _ => vec![self.first.clone()],
        }
    }

    fn send(&self, sends: Vec<Send>, replies: &Replies) {
        let sessions = self.gossip.peers(Role::Controller);
        for (to, request) in sends {
            if to == self.me {
                self.ask_self(request, replies.clone());
                continue;
            }
            let address = to.address();
            let session = sessions.iter().find(|session| session.dialled == Some(address));
            if let Some(session) = session {
                let number = self.pending.borrow_mut().sent(session.key, (to, replies.clone()));
                session.send(&Message::Request(number, request));
            }
        }
    }

    fn ask_self(&self, request: RegisterRequest, replies: Replies) {
        let me = self.me;
        self.member.ask(request, move |reply| {
            let _ = replies.send((me, reply)); // the round may be over
        });
    }

    /// A wait, or a longer one where this member's disk is slow: the others' disks may well be alike.
    fn at_least_writes(&self, wait: Duration) -> Duration {
        wait.max((self.member.write_time() * ROUND_TIMEOUT_WRITES).min(MAX_ROUND_TIMEOUT))
    }

    /// How long a round waits for the next reply.
    fn patience(&self, round: &Round) -> Duration {
        if round.preempted_by().is_some() {
            OUTRUN_TIMEOUT.max(self.member.write_time()).min(ROUND_TIMEOUT)
        } else {
            self.at_least_writes(ROUND_TIMEOUT)
        }
    }

    /// One round; nothing where it fell silent.
    async fn round(&self, decide: &mut dyn FnMut(Option<&Value>) -> Decision) -> Option<Outcome> {
        let ballot = Ballot { round: self.round.get() + 1, boot: self.boot };
        self.round.set(ballot.round);
        let (mut round, sends) = Round::new(ballot, self.sets(), self.known());
        let (replies, mut came) = unbounded_channel();
        self.pending.borrow_mut().clear(); // of a round that was given up half-way
        self.send(sends, &replies);
        let outcome = loop {
            let Ok(Some((from, reply))) = timeout(self.patience(&round), came.recv()).await else {
                break round.preempted_by().map(Outcome::Preempted);
            };
            match round.reply(from, reply, decide) {
                Progress::Send(sends) => self.send(sends, &replies),
                Progress::Done(outcome) => break Some(outcome),
            }
        };
        match &outcome {
            Some(
                Outcome::Read(ballot, value)
                | Outcome::Committed(ballot, value)
                | Outcome::MembershipCommitted(ballot, value),
            ) => {
                self.take_chosen(*ballot, value.clone());
            }
            Some(Outcome::Empty) => self.informed.set(true),
            Some(Outcome::Preempted(highest)) => self.round.set(self.round.get().max(highest.round)),
            None => {}
        }
        outcome
    }

    /// How long a proposer waits that was preempted for so many times.
    fn backoff(&self, tries: u32) -> Duration {
        let step = ROUND_BACKOFF.max(self.member.write_time());
        let least = (step * tries.min(MAX_BACKOFF_STEPS)).min(MAX_ROUND_BACKOFF);
        least.mul_f64(1.0 + fastrand::f64())
    }

    /// Rounds until one comes to an end that is certain, or time is up.
    pub async fn decide(
        &self,
        until: Instant,
        decide: &mut dyn FnMut(Option<&Value>) -> Decision,
    ) -> Option<Outcome> {
        self.rounds(Limits::until(until), decide).await
    }

    async fn rounds(
        &self,
        limits: Limits,
        decide: &mut dyn FnMut(Option<&Value>) -> Decision,
    ) -> Option<Outcome> {
        let _turn = timeout_at(limits.last_round, self.turn.lock()).await.ok()?;
        for tries in 1.. {
            match timeout_at(limits.until, self.round(decide)).await.ok()? {
                Some(Outcome::Preempted(_)) if limits.gives_way => return None,
                Some(Outcome::Preempted(_)) => {
                    // The others' rounds go on during the wait: a ballot just above theirs of now would be too low then.
                    self.round.set(self.round.get() + (1 << tries.min(MAX_LEAP_STEPS)));
                    sleep(self.backoff(tries)).await;
                }
                Some(Outcome::MembershipCommitted(..)) | None => {}
                Some(outcome) => return Some(outcome),
            }
            if Instant::now() >= limits.last_round {
                break;
            }
        }
        None
    }

    /// Puts an operator's order through.
    pub async fn change_config(&self, order: &ConfigRequest) -> ConfigOutcome {
        let first = vec![self.first.clone()];
        let mut answer = None;
        let outcome = self
            .rounds(Limits::of_request(), &mut |current| {
                let planted = planted_value(current, order);
                let (decision, found) = order.decide(planted.as_ref().or(current), &first);
                answer = Some(found);
                decision
            })
            .await;
        match (outcome, answer) {
            (_, Some(ConfigAnswer::Indeterminate)) => ConfigOutcome::Indeterminate,
            (Some(Outcome::Empty), Some(answer))
            | (Some(Outcome::Read(..) | Outcome::Committed(..)), Some(answer)) => {
                ConfigOutcome::Definite(answer)
            }
            _ => ConfigOutcome::Indeterminate,
        }
    }

    /// Finds out what is chosen: at the start, and where others or this member's own disk know of more.
    pub async fn run(self: Rc<Self>) {
        let mut failures = 0;
        loop {
            let settle = self.at_least_writes(SETTLE);
            let pause = if self.informed.get() { settle } else { ASK_AT_START };
            let _ = timeout(pause.mul_f64(1.0 + fastrand::f64()), self.unsettled.notified()).await;
            // What is accepted later may be on its way to be chosen, and a round would only preempt it.
            let (accepted, elsewhere) = (self.newest_accepted(), self.newest_elsewhere.get());
            if self.informed.get() {
                if !self.is_behind(accepted) {
                    continue;
                }
                // Word of it may still be on its way.
                sleep(settle.mul_f64(fastrand::f64())).await;
                if !self.is_behind(accepted) {
                    continue;
                }
            }
            // Who is in the way of a member that has just started goes first, within bounds. One that missed something while
            // it ran would come back to it much later.
            let gives_way = !self.informed.get() && failures < MAX_GIVING_WAY;
            let limits = Limits { gives_way, ..Limits::of_request() };
            if self.catch_up(accepted, limits).await.is_err() {
                failures += 1;
            } else {
                failures = 0;
                self.settled.set(elsewhere);
                info!(self.gossip.logger(), "register.settled";
                    "sequence" => self.known.borrow().as_ref().map_or(0, |(_, value)| value.sequence));
            }
        }
    }
}
