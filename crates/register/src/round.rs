//! The proposer of CASPaxos (Rystsov 2018): one attempt under one ballot, which prepares, decides on the value that it
//! found, and has the decision accepted.
//!
//! `runtrack-controller`'s proposer draws the ballot, sends what a [`Round`] asks for and passes replies in. The acceptor's
//! half is in `acceptor.rs`; the decisions are in `change.rs` and `request.rs`.

use crate::change::Decision;
use crate::sets::{has_majority, is_joint, sets_of};
use runtrack_message::{Ballot, Member, RegisterReply, RegisterRequest, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How a round ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Nothing had been committed when this round began.
    Empty,
    /// This value is chosen under this ballot and was proposed by another round.
    Read(Ballot, Rc<Value>),
    /// The value that this round proposed is chosen under this ballot.
    Committed(Ballot, Rc<Value>),
    /// A change of membership was in progress and its joint sets are chosen now; nothing was decided on them. The next
    /// round can.
    MembershipCommitted(Ballot, Rc<Value>),
    /// So many members rejected this round that it can't reach a majority; the highest ballot that one of them has
    /// promised, or the round's own where they are other incarnations. Where a value had been sent out
    /// ([`Round::may_write`]), it is not known whether it will be chosen.
    Preempted(Ballot),
}

/// A request, and the member that it is for.
pub type Send = (Member, RegisterRequest);

/// What the caller does after a reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Send these, if any, and wait for further replies.
    Send(Vec<Send>),
    /// The round has ended; replies that still come are ignored by the caller.
    Done(Outcome),
}

/// Why a value is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Origin {
    /// This round decided on it.
    Own,
    /// It was found, and a read's answer depends on its being chosen.
    Found,
    /// It was found and has joint sets: these must be chosen before anything is decided.
    FoundJoint,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Preparing,
    Accepting { value: Rc<Value>, origin: Origin, sets: Vec<BTreeSet<Member>>, accepted: BTreeSet<Member> },
}

/// One attempt of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    ballot: Ballot,
    /// A value that the proposer has, so that members need not send it again.
    known: Option<(Ballot, Rc<Value>)>,
    /// The sets that have been asked; a majority of each must promise.
    sets: Vec<BTreeSet<Member>>,
    /// Who has promised, and the ballot of what it had accepted; zero for nothing.
    promises: BTreeMap<Member, Ballot>,
    /// Who has rejected this phase's request.
    rejected: BTreeSet<Member>,
    /// The highest ballot that a member has promised, its own at the least.
    highest_seen: Ballot,
    /// The accepted value of the highest ballot among the promises.
    newest: Option<(Ballot, Rc<Value>)>,
    phase: Phase,
}

impl Round {
    /// A round under this ballot, for a proposer that believes that these sets are in force and has this value, with its
    /// first requests. The ballot must be new to the proposer and its process, or two values may share it.
    pub fn new(
        ballot: Ballot,
        sets: Vec<BTreeSet<Member>>,
        known: Option<(Ballot, Rc<Value>)>,
    ) -> (Self, Vec<Send>) {
        let mut round = Round {
            ballot,
            known,
            sets: Vec::new(),
            promises: BTreeMap::new(),
            rejected: BTreeSet::new(),
            highest_seen: ballot,
            newest: None,
            phase: Phase::Preparing,
        };
        let sends = round.ask(sets);
        (round, sends)
    }

    /// The ballot that all of its requests carry.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether a value of its own has been sent out: then it may be chosen, also where the round fails or ends unheard, and
    /// the caller must not report it as rejected.
    pub fn may_write(&self) -> bool {
        matches!(self.phase, Phase::Accepting { origin: Origin::Own, .. })
    }

    /// The highest ballot that a member has promised to another proposer; none while no member has rejected this round for
    /// one.
    pub fn preempted_by(&self) -> Option<Ballot> {
        (self.highest_seen > self.ballot).then_some(self.highest_seen)
    }

    /// Prepares at members that have not been asked yet.
    fn ask(&mut self, sets: Vec<BTreeSet<Member>>) -> Vec<Send> {
        let asked: BTreeSet<Member> = self.sets.iter().flatten().copied().collect();
        let new: BTreeSet<Member> = sets.iter().flatten().copied().filter(|m| !asked.contains(m)).collect();
        self.sets.extend(sets);
        let have = self.known.as_ref().map(|(ballot, _)| *ballot).unwrap_or_default();
        let ballot = self.ballot;
        let prepare = |m: Member| (m, RegisterRequest::Prepare { to: m.incarnation, ballot, have });
        new.into_iter().map(prepare).collect()
    }

    /// Takes a member's reply. `decide` is asked once, with the value that counts.
    pub fn reply(
        &mut self,
        from: Member,
        reply: RegisterReply,
        decide: &mut dyn FnMut(Option<&Value>) -> Decision,
    ) -> Progress {
        match reply {
            RegisterReply::Promised { ballot, accepted } if ballot == self.ballot => {
                let value =
                    self.known.as_ref().filter(|(known, _)| *known == accepted).map(|(_, v)| v.clone());
                self.on_promise(from, accepted, value, decide)
            }
            RegisterReply::PromisedWith { ballot, accepted, value } if ballot == self.ballot => {
                self.on_promise(from, accepted, Some(Rc::new(value)), decide)
            }
            RegisterReply::Accepted { ballot } if ballot == self.ballot => self.on_accepted(from),
            RegisterReply::Rejected { ballot, promised } if ballot == self.ballot => {
                self.highest_seen = self.highest_seen.max(promised);
                self.on_rejection(from)
            }
            RegisterReply::WrongIncarnation => self.on_rejection(from),
            _ => Progress::Send(Vec::new()),
        }
    }

    fn on_promise(
        &mut self,
        from: Member,
        accepted: Ballot,
        value: Option<Rc<Value>>,
        decide: &mut dyn FnMut(Option<&Value>) -> Decision,
    ) -> Progress {
        if !matches!(self.phase, Phase::Preparing) {
            return Progress::Send(Vec::new());
        }
        if accepted > Ballot::default() && value.is_none() {
            return self.on_rejection(from); // it claims that this proposer has a value which it lacks
        }
        self.promises.insert(from, accepted);
        self.note_found(accepted, value);
        let sends = self.ask_newest_sets();
        // A set whose members had all been asked before needs no further request, and may have its majority by now.
        let has_promised = |member: &Member| self.promises.contains_key(member);
        if !sends.is_empty() || !self.sets.iter().all(|set| has_majority(set, has_promised)) {
            return Progress::Send(sends);
        }
        self.decide_on_newest(decide)
    }

    fn note_found(&mut self, accepted: Ballot, value: Option<Rc<Value>>) {
        if let Some(value) = value
            && self.newest.as_ref().is_none_or(|(newest, _)| *newest < accepted)
        {
            self.newest = Some((accepted, value));
        }
    }

    /// Where the newest value has other sets, their members may have accepted a newer one, so that nothing may be decided
    /// before a majority of them has promised too.
    fn ask_newest_sets(&mut self) -> Vec<Send> {
        let named = self.newest.as_ref().map(|(_, value)| sets_of(value)).unwrap_or_default();
        let unasked = named.into_iter().filter(|set| !self.sets.contains(set)).collect();
        self.ask(unasked)
    }

    /// All promises that are needed have come: decides, once.
    fn decide_on_newest(&mut self, decide: &mut dyn FnMut(Option<&Value>) -> Decision) -> Progress {
        let is_chosen = self.is_newest_chosen();
        // The new set alone must never be written on top of joint sets that may not be chosen: it would count as chosen
        // at a majority of the new set, while the old one could still choose something else.
        if let Some((_, found)) = &self.newest
            && is_joint(found)
            && !is_chosen
        {
            let found = found.clone();
            return self.begin_accept_phase(found, Origin::FoundJoint);
        }
        let decision = decide(self.newest.as_ref().map(|(_, value)| &**value));
        match (decision, self.newest.clone()) {
            (Decision::Propose(value), _) => self.begin_accept_phase(Rc::new(value), Origin::Own),
            (Decision::Read, None) => Progress::Done(Outcome::Empty),
            (Decision::Read, Some((ballot, value))) if is_chosen => {
                Progress::Done(Outcome::Read(ballot, value))
            }
            (Decision::Read, Some((_, value))) => self.begin_accept_phase(value, Origin::Found),
        }
    }

    /// Whether the promises show that a majority of each of its sets has accepted the newest value under one ballot.
    fn is_newest_chosen(&self) -> bool {
        self.newest.as_ref().is_some_and(|(ballot, value)| {
            let accepted = |member: &Member| self.promises.get(member) == Some(ballot);
            sets_of(value).iter().all(|set| has_majority(set, accepted))
        })
    }

    /// Proposes a value to the members of its own sets, not of those that were asked: the sets of a value are those that
    /// choose it.
    fn begin_accept_phase(&mut self, value: Rc<Value>, origin: Origin) -> Progress {
        let sets = sets_of(&value);
        let members: BTreeSet<Member> = sets.iter().flatten().copied().collect();
        let accept = |m: Member| {
            (m, RegisterRequest::Accept { to: m.incarnation, ballot: self.ballot, value: (*value).clone() })
        };
        let sends = members.into_iter().map(accept).collect();
        // Rejections are counted for each phase apart.
        self.rejected.clear();
        self.phase = Phase::Accepting { value, origin, sets, accepted: BTreeSet::new() };
        Progress::Send(sends)
    }

    fn on_accepted(&mut self, from: Member) -> Progress {
        let Phase::Accepting { value, origin, sets, accepted } = &mut self.phase else {
            return Progress::Send(Vec::new());
        };
        accepted.insert(from);
        if !sets.iter().all(|set| has_majority(set, |m| accepted.contains(m))) {
            return Progress::Send(Vec::new());
        }
        let (ballot, value) = (self.ballot, value.clone());
        Progress::Done(match origin {
            Origin::Own => Outcome::Committed(ballot, value),
            Origin::Found => Outcome::Read(ballot, value),
            Origin::FoundJoint => Outcome::MembershipCommitted(ballot, value),
        })
    }

    fn on_rejection(&mut self, from: Member) -> Progress {
        self.rejected.insert(from);
        let sets = match &self.phase {
            Phase::Preparing => &self.sets,
            Phase::Accepting { sets, .. } => sets,
        };
        let lost_majority = |set: &BTreeSet<Member>| !has_majority(set, |m| !self.rejected.contains(m));
        if sets.iter().any(lost_majority) {
            return Progress::Done(Outcome::Preempted(self.highest_seen));
        }
        Progress::Send(Vec::new())
    }
}
