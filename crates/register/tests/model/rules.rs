//! Invariants of every state and every step.

use crate::actions::ballot;
use crate::audit::least_read;
use crate::machine::{End, Machine, ReadEnd};
use crate::state::{Answer, MAX_NODES, NONE, Reply, State};
use crate::support::attempt::Purpose;
use crate::support::mutants::Mutant;
use runtrack_message::Ballot;
use runtrack_register::majority_of;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation(pub String);

fn breach<T>(what: impl Into<String>) -> Result<T, Violation> {
    Err(Violation(what.into()))
}

/// A member has accepted a round's value. If that makes it chosen, it must be the only one with its sequence number, and its
/// request must not have been rejected.
pub fn record_acceptance(machine: &mut Machine, state: &mut State, at: usize) -> Result<(), Violation> {
    let slot = &state.slots[at];
    let (value, votes) = (slot.value, slot.votes);
    let facts = machine.facts(value);
    let has_majority =
        |set: &u8| (set & votes).count_ones() as usize >= majority_of(set.count_ones() as usize);
    if !facts.sets.iter().all(has_majority) {
        return Ok(());
    }
    let own =
        if machine.scenario.adopt { ballot(machine, slot.rank, slot.proposer) } else { Ballot::default() };
    for other in &state.chosen {
        let other = machine.value_of(*other);
        if other != value && machine.facts(other).sequence == facts.sequence {
            return breach(format!("two values are chosen at sequence {}", facts.sequence));
        }
    }
    if let Some(request) = facts.request.filter(|request| state.refused & (1 << request) != 0) {
        return breach(format!("request {request} was refused and is chosen"));
    }
    let committed = machine.intern_committed(own, value);
    if let Err(index) = state.chosen.binary_search(&committed) {
        state.chosen.insert(index, committed);
    }
    Ok(())
}

fn is_chosen(machine: &mut Machine, state: &State, value: u32) -> bool {
    state.chosen.iter().any(|committed| machine.value_of(*committed) == value)
}

/// Applies a reply to a round and checks the result.
pub fn on_reply(
    machine: &mut Machine,
    state: &mut State,
    at: usize,
    reply: &Reply,
) -> Result<(), Violation> {
    let proposer = reply.proposer;
    let own = &state.proposers[usize::from(proposer)];
    let purpose = machine.scenario.scripts[usize::from(proposer)][usize::from(own.operation)];
    let done = machine.replied(state.slots[at].attempt, purpose, reply.member, reply.reply);
    let slot = &mut state.slots[at];
    slot.attempt = done.attempt;
    slot.prepares |= done.prepares;
    if done.value != NONE {
        slot.value = done.value;
        slot.accepts = done.accepts;
    }
    if let Some(basis) = done.basis {
        state.proposers[usize::from(proposer)].answer = basis.answer;
        if done.value != NONE {
            check_sets(machine, state, basis.found, done.value)?;
        }
    }
    state.proposers[usize::from(proposer)].sent |= done.value != NONE && done.may_write;
    if done.answered_early {
        let found = done.basis.map_or(NONE, |basis| basis.found);
        return answered(machine, state, proposer, purpose, found);
    }
    match done.end {
        None => Ok(()),
        Some(end) => ended(machine, state, proposer, purpose, end),
    }
}

/// A single set may follow joint sets only if these are chosen, and a new set is only introduced jointly with the old one.
fn check_sets(machine: &mut Machine, state: &State, found: u32, value: u32) -> Result<(), Violation> {
    if found == NONE {
        return check_first_sets(machine, value);
    }
    let (before, after) = (machine.facts(found).sets.clone(), machine.facts(value).sets.clone());
    match (before.as_slice(), after.as_slice()) {
        _ if before == after => Ok(()),
        ([old], [first, _]) if old == first => Ok(()),
        ([_, new], [only]) if new == only => match is_chosen(machine, state, found) {
            true => Ok(()),
            false => breach("the new set alone is written on joint sets that are not chosen"),
        },
        _ => breach(format!("sets {before:?} are followed by {after:?}")),
    }
}

/// The first value has the first members as its set, alone or jointly with another set.
fn check_first_sets(machine: &mut Machine, value: u32) -> Result<(), Violation> {
    let first = machine.scenario.mask(&machine.scenario.first);
    match machine.facts(value).sets.as_slice() {
        [only] if *only == first => Ok(()),
        [old, _] if *old == first => Ok(()),
        sets => breach(format!("the first value is written to {sets:?}")),
    }
}

fn ended(
    machine: &mut Machine,
    state: &mut State,
    proposer: u8,
    purpose: u8,
    end: End,
) -> Result<(), Violation> {
    match end {
        End::Preempted => {
            state.time_out(proposer);
            let sent = state.proposers[usize::from(proposer)].sent;
            if machine.scenario.mutant == Mutant::UnknownRefused && sent {
                state.proposers[usize::from(proposer)].answer = Answer::Refused;
                return answered(machine, state, proposer, purpose, NONE);
            }
            Ok(())
        }
        End::Empty => answered(machine, state, proposer, purpose, NONE),
        End::Membership(committed) => {
            learn(machine, state, proposer, committed)?;
            state.time_out(proposer);
            Ok(())
        }
        End::Answered(committed) => {
            learn(machine, state, proposer, committed)?;
            let value = machine.value_of(committed);
            answered(machine, state, proposer, purpose, value)
        }
    }
}

/// A proposer considers a value committed.
fn learn(machine: &mut Machine, state: &mut State, proposer: u8, committed: u32) -> Result<(), Violation> {
    let value = machine.value_of(committed);
    if !is_chosen(machine, state, value) {
        return breach("a value is taken for committed and is not chosen");
    }
    let own = &mut state.proposers[usize::from(proposer)];
    if own.known == NONE || machine.committed(own.known).0 < machine.committed(committed).0 {
        own.known = committed;
    }
    Ok(())
}

/// An operation has its answer, which is based on this value.
fn answered(
    machine: &mut Machine,
    state: &mut State,
    proposer: u8,
    purpose: u8,
    value: u32,
) -> Result<(), Violation> {
    let own = &mut state.proposers[usize::from(proposer)];
    let (answer, floor) = (own.answer, own.floor);
    own.operation += 1;
    own.begun = false;
    own.sent = false;
    own.answer = Answer::Nothing;
    state.time_out(proposer);
    let sequence = if value == NONE { 0 } else { machine.facts(value).sequence };
    let is_read = matches!(machine.scenario.purposes[usize::from(purpose)], Purpose::Read);
    if is_read && sequence < floor {
        return breach(format!("sequence {sequence} is read after {floor} was seen"));
    }
    match answer {
        Answer::Acknowledged => acknowledged(machine, state, purpose)?,
        Answer::Refused => refused(machine, state, purpose)?,
        Answer::Nothing if is_read => {
            if value != NONE && !is_chosen(machine, state, value) {
                return breach("a value is read that is not chosen");
            }
        }
        Answer::Nothing => {}
    }
    if is_read || answer != Answer::Nothing {
        state.seen = state.seen.max(sequence);
    }
    Ok(())
}

/// The reader has received a reply. If that ends its read, the result must be chosen and not older than any returned before
/// the read began.
pub fn on_inspection(machine: &mut Machine, state: &mut State) -> Result<(), Violation> {
    let end = machine.reading(state.reader.known, state.reader.answers).end;
    let value = match end {
        None => return Ok(()),
        Some(ReadEnd::Unsettled) => {
            state.reader.end();
            return Ok(());
        }
        Some(ReadEnd::Empty) => NONE,
        Some(ReadEnd::Chosen(committed)) => {
            state.reader.learned = committed;
            machine.value_of(committed)
        }
    };
    let floor = state.reader.floor;
    state.reader.end();
    let sequence = if value == NONE { 0 } else { machine.facts(value).sequence };
    if sequence < floor {
        return breach(format!("sequence {sequence} is read after {floor} was seen"));
    }
    if value != NONE && !is_chosen(machine, state, value) {
        return breach("a value is read that is not chosen");
    }
    state.seen = state.seen.max(sequence);
    Ok(())
}

fn acknowledged(machine: &mut Machine, state: &mut State, purpose: u8) -> Result<(), Violation> {
    if state.refused & (1 << purpose) != 0 {
        return breach(format!("request {purpose} was refused and is acknowledged"));
    }
    if !was_in_force(machine, state, purpose) {
        return breach(format!("request {purpose} is acknowledged and not chosen"));
    }
    state.acknowledged |= 1 << purpose;
    let base = |at: usize| match &machine.scenario.purposes[at] {
        Purpose::Replace(request) => Some(request.base),
        _ => None,
    };
    let own = base(usize::from(purpose));
    let rival = (0..machine.scenario.purposes.len())
        .find(|at| *at != usize::from(purpose) && state.acknowledged & (1 << at) != 0 && base(*at) == own);
    match rival {
        Some(rival) => breach(format!("requests {purpose} and {rival} on one base are both acknowledged")),
        None => Ok(()),
    }
}

fn refused(machine: &mut Machine, state: &mut State, purpose: u8) -> Result<(), Violation> {
    if state.acknowledged & (1 << purpose) != 0 {
        return breach(format!("request {purpose} was acknowledged and is refused"));
    }
    if was_in_force(machine, state, purpose) {
        return breach(format!("request {purpose} is refused and is chosen"));
    }
    state.refused |= 1 << purpose;
    Ok(())
}

fn was_in_force(machine: &mut Machine, state: &State, purpose: u8) -> bool {
    let brought = |committed: &u32| {
        let value = machine.value_of(*committed);
        machine.facts(value).request == Some(purpose)
    };
    state.chosen.iter().any(brought)
}

/// A read from any majority must return the newest value that was returned to any caller, or a newer one.
pub fn check_reads(machine: &mut Machine, state: &State) -> Result<(), Violation> {
    if state.seen == 0 {
        return Ok(());
    }
    let nodes: [u32; MAX_NODES] = state.nodes;
    let least = least_read(machine, nodes);
    if least < state.seen {
        return breach(format!("a majority reads sequence {least} after {} was seen", state.seen));
    }
    Ok(())
}
