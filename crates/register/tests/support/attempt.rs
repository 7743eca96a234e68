//! One round of an operation, with the proposer's mutants.

use super::mutants::Mutant;
use runtrack_message::{Ballot, Member, RegisterReply, RegisterRequest, RequestDigest, Value};
use runtrack_register::{
    ConfigAnswer, ConfigRequest, Decision, Progress, Round, Send, finish_membership, initial_value,
    is_joint, majority_of, members_of, replace_members, sets_of,
};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Purpose of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// A request of an operator.
    Replace(ConfigRequest),
    /// A read.
    Read,
    /// The first half of a change to these members.
    Members(BTreeSet<Member>),
    /// The second half of a change of members.
    Finish,
}

/// Settings shared by all operations of a search or a simulation.
#[derive(Clone, Debug)]
pub struct OperationSettings {
    /// The members before the first value.
    pub first: Vec<BTreeSet<Member>>,
    /// Whether members may change before the first value is written.
    pub changes_before_first_value: bool,
    /// Bound on the table of applied requests.
    pub max_applied: usize,
    /// The mutant to detect.
    pub mutant: Mutant,
}

/// The decision on the value that a round found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decided {
    /// The value that was found.
    pub found: Option<Rc<Value>>,
    /// The answer to a request, valid once the round has committed or read.
    pub answer: Option<ConfigAnswer>,
}

/// Result of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    pub progress: Progress,
    pub decided: Option<Decided>,
    /// For mutants: the answer given before the end of the round.
    pub answered_early: bool,
}

/// One round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    round: Round,
    /// For mutants: the joint value of the highest ballot that was found.
    joint_found: Option<(Ballot, Value)>,
    /// For mutants: the proposed value, and the members that have accepted it.
    sent: Option<Value>,
    accepted: BTreeSet<Member>,
}

impl Attempt {
    /// A round under this ballot by a proposer with this view of the sets and this known value.
    pub fn new(
        ballot: Ballot,
        sets: Vec<BTreeSet<Member>>,
        known: Option<(Ballot, Rc<Value>)>,
    ) -> (Self, Vec<Send>) {
        let (round, sends) = Round::new(ballot, sets, known);
        (Attempt { round, joint_found: None, sent: None, accepted: BTreeSet::new() }, sends)
    }

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.round.ballot()
    }

    /// Whether it has proposed a value of its own.
    pub fn may_write(&self) -> bool {
        self.round.may_write()
    }

    /// Handles a member's reply.
    pub fn reply(
        &mut self,
        from: Member,
        reply: RegisterReply,
        purpose: &Purpose,
        settings: &OperationSettings,
    ) -> Step {
        let mutant = settings.mutant;
        let mut decided = None;
        let mut progress = Progress::Send(Vec::new());
        for (from, reply) in self.as_received(from, reply, mutant) {
            progress = self.round.reply(from, reply, &mut |current| {
                let (decision, answer) = decide(purpose, current, settings);
                decided = Some(Decided { found: current.cloned().map(Rc::new), answer });
                decision
            });
            if matches!(progress, Progress::Done(_)) {
                break;
            }
        }
        if let Progress::Send(sends) = &progress {
            self.record_sent(sends, mutant);
        }
        let answered_early = self.answers_early(&progress, purpose, decided.as_ref(), mutant);
        Step { progress, decided, answered_early }
    }

    fn record_sent(&mut self, sends: &[Send], mutant: Mutant) {
        if mutant == Mutant::NewSetAlone
            && let Some((_, RegisterRequest::Accept { value, .. })) = sends.first()
        {
            self.sent = Some(value.clone());
        }
    }

    fn answers_early(
        &self,
        progress: &Progress,
        purpose: &Purpose,
        decided: Option<&Decided>,
        mutant: Mutant,
    ) -> bool {
        let Some(decided) = decided else { return false };
        let sends = matches!(progress, Progress::Send(sends) if !sends.is_empty());
        match (mutant, purpose) {
            (Mutant::RefusedTooSoon, Purpose::Replace(_)) => is_refusal(decided.answer),
            (Mutant::AcknowledgedTooSoon, Purpose::Replace(_)) => {
                sends && self.may_write() && decided.answer == Some(ConfigAnswer::Applied)
            }
            (Mutant::ReadUnchosen, Purpose::Read) => decided.found.is_some(),
            _ => false,
        }
    }

    /// The replies as a mutant interprets them: altered, or duplicated for other members.
    fn as_received(
        &mut self,
        from: Member,
        reply: RegisterReply,
        mutant: Mutant,
    ) -> Vec<(Member, RegisterReply)> {
        match (mutant, reply) {
            (Mutant::RefusalCounted, RegisterReply::Rejected { ballot, .. }) if self.may_write() => {
                vec![(from, RegisterReply::Accepted { ballot })]
            }
            (Mutant::NewSetAlone, RegisterReply::Accepted { ballot }) => {
                self.accepted.insert(from);
                let mut senders = vec![from];
                senders.extend(self.uncounted_old_members());
                senders.into_iter().map(|from| (from, RegisterReply::Accepted { ballot })).collect()
            }
            (Mutant::SecondHalfOnUnchosen, RegisterReply::PromisedWith { ballot, accepted, value }) => {
                if is_joint(&value) && self.joint_found.as_ref().is_none_or(|(found, _)| *found < accepted)
                {
                    self.joint_found = Some((accepted, value.clone()));
                }
                vec![(from, self.altered_promise(RegisterReply::PromisedWith { ballot, accepted, value }))]
            }
            (Mutant::SecondHalfOnUnchosen, reply) => vec![(from, self.altered_promise(reply))],
            (_, reply) => vec![(from, reply)],
        }
    }

    /// Alters a promise as if its member had accepted the joint value that was found before.
    fn altered_promise(&self, reply: RegisterReply) -> RegisterReply {
        let (RegisterReply::Promised { ballot, accepted }
        | RegisterReply::PromisedWith { ballot, accepted, .. }) = reply
        else {
            return reply;
        };
        match &self.joint_found {
            Some((found, value)) if accepted < *found => {
                RegisterReply::PromisedWith { ballot, accepted: *found, value: value.clone() }
            }
            _ => reply,
        }
    }

    /// Members of the old set, once a majority of the new set has accepted the first half of a change.
    fn uncounted_old_members(&self) -> Vec<Member> {
        let Some(value) = self.sent.as_ref().filter(|value| is_joint(value)) else { return Vec::new() };
        let new = members_of(value);
        let accepted = new.iter().filter(|member| self.accepted.contains(member)).count();
        if accepted < majority_of(new.len()) {
            return Vec::new();
        }
        sets_of(value).into_iter().flatten().collect()
    }
}

/// Whether a request is refused by this answer.
pub fn is_refusal(answer: Option<ConfigAnswer>) -> bool {
    matches!(
        answer,
        Some(
            ConfigAnswer::VersionMismatch(_)
                | ConfigAnswer::VersionNotIncreasing(_)
                | ConfigAnswer::Invalid(_)
        )
    )
}

/// Decides on the value that was found, and on the answer to a request.
pub fn decide(
    purpose: &Purpose,
    current: Option<&Value>,
    settings: &OperationSettings,
) -> (Decision, Option<ConfigAnswer>) {
    let mutant = settings.mutant;
    match purpose {
        Purpose::Replace(request) => {
            let (decision, answer) = decide_request(request, current, settings);
            (decision, Some(answer))
        }
        Purpose::Read => (Decision::Read, None),
        Purpose::Members(next) => {
            let initial = settings.changes_before_first_value.then(|| initial_value(&settings.first[0]));
            let begin = |value| with_applied_table(replace_members(value, next), mutant);
            (current.or(initial.as_ref()).map_or(Decision::Read, begin), None)
        }
        Purpose::Finish => (
            current.map_or(Decision::Read, |value| with_applied_table(finish_membership(value), mutant)),
            None,
        ),
    }
}

fn decide_request(
    request: &ConfigRequest,
    current: Option<&Value>,
    settings: &OperationSettings,
) -> (Decision, ConfigAnswer) {
    let mut request = request.clone();
    if settings.mutant == Mutant::DigestTruncated {
        request.digest = RequestDigest::from_legacy(request.version);
    }
    let (mut decision, answer) = request.decide_within(current, &settings.first, settings.max_applied);
    if settings.mutant == Mutant::AppliedForgotten
        && let Decision::Propose(value) = &mut decision
    {
        value.applied = Vec::new().into();
    }
    (decision, uncertain_rejection(&request, current, answer, settings.mutant))
}

/// For mutants: a rejection that is not final.
fn uncertain_rejection(
    request: &ConfigRequest,
    current: Option<&Value>,
    answer: ConfigAnswer,
    mutant: Mutant,
) -> ConfigAnswer {
    let version = current.map_or(0, |value| value.version);
    let floor = current.map_or(0, |value| value.floor);
    let refused = match mutant {
        Mutant::FloorForgotten => request.version <= floor,
        Mutant::BaseAboveRefused => request.base > version,
        _ => false,
    };
    if refused && answer == ConfigAnswer::Indeterminate {
        return ConfigAnswer::VersionMismatch(version);
    }
    answer
}

fn with_applied_table(mut decision: Decision, mutant: Mutant) -> Decision {
    if mutant == Mutant::TableLostAtMembership
        && let Decision::Propose(value) = &mut decision
    {
        value.applied = Vec::new().into();
    }
    decision
}
