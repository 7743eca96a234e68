//! One try of a proposer: prepare, decide on what was found, accept.

use crate::change::Decision;
use crate::sets::{has_majority, is_joint, sets_of};
use runtrack_message::{Ballot, Member, RegisterReply, RegisterRequest, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How a round ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Nothing was ever written, as of this round.
    Empty,
    /// This value is chosen and was not this round's own.
    Read(Ballot, Rc<Value>),
    /// This round's own value is chosen.
    Committed(Ballot, Rc<Value>),
    /// A change of membership was under way and is chosen now; nothing was decided on it. The next round can.
    MembershipCommitted(Ballot, Rc<Value>),
    /// A higher ballot is about. Where values had been sent out, it is not known whether they will be chosen.
    Preempted(Ballot),
}

/// A request for a member.
pub type Send = (Member, RegisterRequest);

/// What a reply brought about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Send these, and wait for replies.
    Send(Vec<Send>),
    /// It is over.
    Done(Outcome),
}

/// Why a value is sent out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Kind {
    /// It is this round's own.
    Own,
    /// It was found, and an answer depends on its being chosen.
    Found,
    /// It was found and changes the membership: it must be chosen before anything is decided.
    Settling,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Preparing,
    Accepting { value: Rc<Value>, kind: Kind, sets: Vec<BTreeSet<Member>>, accepted: BTreeSet<Member> },
}

/// One try of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    ballot: Ballot,
    known: Option<(Ballot, Rc<Value>)>,
    sets: Vec<BTreeSet<Member>>,
    promises: BTreeMap<Member, Ballot>,
    refused: BTreeSet<Member>,
    highest: Ballot,
    best: Option<(Ballot, Rc<Value>)>,
    phase: Phase,
}

impl Round {
    /// A round under this ballot, for who believes that these sets are in force and has this value.
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
            refused: BTreeSet::new(),
            highest: ballot,
            best: None,
            phase: Phase::Preparing,
        };
        let sends = round.ask(sets);
        (round, sends)
    }

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether a value of its own has been sent out: then it may be chosen, whatever becomes of the round.
    pub fn may_write(&self) -> bool {
        matches!(self.phase, Phase::Accepting { kind: Kind::Own, .. })
    }

    /// The highest ballot that a member has promised to another proposer; nothing while no member has refused this round
    /// for one.
    pub fn preempted_by(&self) -> Option<Ballot> {
        (self.highest > self.ballot).then_some(self.highest)
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
                self.promised(from, accepted, value, decide)
            }
            RegisterReply::PromisedWith { ballot, accepted, value } if ballot == self.ballot => {
                self.promised(from, accepted, Some(Rc::new(value)), decide)
            }
            RegisterReply::Accepted { ballot } if ballot == self.ballot => self.accepted(from),
            RegisterReply::Rejected { ballot, promised } if ballot == self.ballot => {
                self.highest = self.highest.max(promised);
                self.refused(from)
            }
            RegisterReply::WrongIncarnation => self.refused(from),
            _ => Progress::Send(Vec::new()),
        }
    }

    fn promised(
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
            return self.refused(from); // it says that we have what we don't
        }
        self.promises.insert(from, accepted);
        if let Some(value) = value
            && self.best.as_ref().is_none_or(|(best, _)| *best < accepted)
        {
            self.best = Some((accepted, value));
        }
        // A value that stands under other sets: nothing is known before a majority of these has promised too.
        let named = self.best.as_ref().map(|(_, value)| sets_of(value)).unwrap_or_default();
        let unasked: Vec<_> = named.into_iter().filter(|set| !self.sets.contains(set)).collect();
        let sends = self.ask(unasked);
        // Whose members had all been asked before may have promised by now.
        if !sends.is_empty()
            || !self.sets.iter().all(|set| has_majority(set, |m| self.promises.contains_key(m)))
        {
            return Progress::Send(sends);
        }
        self.decided(decide)
    }

    fn decided(&mut self, decide: &mut dyn FnMut(Option<&Value>) -> Decision) -> Progress {
        let chosen = self.best.as_ref().is_some_and(|(ballot, value)| {
            let accepted = |member: &Member| self.promises.get(member) == Some(ballot);
            sets_of(value).iter().all(|set| has_majority(set, accepted))
        });
        let (value, kind) = match &self.best {
            // The new set alone must never be written on top of joint sets that may not be chosen: it would count as
            // chosen at a majority of the new set, while the old one could still choose something else.
            Some((_, best)) if is_joint(best) && !chosen => (best.clone(), Kind::Settling),
            best => match (decide(best.as_ref().map(|(_, value)| &**value)), best) {
                (Decision::Read, None) => return Progress::Done(Outcome::Empty),
                (Decision::Read, Some((ballot, value))) if chosen => {
                    return Progress::Done(Outcome::Read(*ballot, value.clone()));
                }
                (Decision::Read, Some((_, value))) => (value.clone(), Kind::Found),
                (Decision::Propose(value), _) => (Rc::new(value), Kind::Own),
            },
        };
        let sets = sets_of(&value);
        let members: BTreeSet<Member> = sets.iter().flatten().copied().collect();
        let accept = |m: Member| {
            (m, RegisterRequest::Accept { to: m.incarnation, ballot: self.ballot, value: (*value).clone() })
        };
        let sends = members.into_iter().map(accept).collect();
        self.refused.clear();
        self.phase = Phase::Accepting { value, kind, sets, accepted: BTreeSet::new() };
        Progress::Send(sends)
    }

    fn accepted(&mut self, from: Member) -> Progress {
        let Phase::Accepting { value, kind, sets, accepted } = &mut self.phase else {
            return Progress::Send(Vec::new());
        };
        accepted.insert(from);
        if !sets.iter().all(|set| has_majority(set, |m| accepted.contains(m))) {
            return Progress::Send(Vec::new());
        }
        let (ballot, value) = (self.ballot, value.clone());
        Progress::Done(match kind {
            Kind::Own => Outcome::Committed(ballot, value),
            Kind::Found => Outcome::Read(ballot, value),
            Kind::Settling => Outcome::MembershipCommitted(ballot, value),
        })
    }

    fn refused(&mut self, from: Member) -> Progress {
        self.refused.insert(from);
        let sets = match &self.phase {
            Phase::Preparing => &self.sets,
            Phase::Accepting { sets, .. } => sets,
        };
        let hopeless = |set: &BTreeSet<Member>| !has_majority(set, |m| !self.refused.contains(m));
        if sets.iter().any(hopeless) {
            return Progress::Done(Outcome::Preempted(self.highest));
        }
        Progress::Send(Vec::new())
    }
}
