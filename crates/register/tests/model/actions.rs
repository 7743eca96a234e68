//! Enumerates the actions that are enabled in a state.
//!
//! Reductions, each with the reason why it hides no violation:
//!
//! * A message that is never delivered stands for one that is lost. A member that was restarted equals what it was
//!   before, since all its replies are based on its disk: the search restarts every member in every state all the same and finds
//!   new states only with a mutant.
//! * A reply reaches its round in the step in which the member sends it. It touches that round alone, so it can be moved
//!   forward over all steps of others; a reply that is lost or that comes too late is one whose round timed out
//!   before ([`Action::Timeout`]), and a promise that is lost is a prepare that is lost, for a promise alone does
//!   nothing but reject lower ballots, as a loss of these does.
//! * A prepare or an accept that a member would reject is not delivered: it changes no member, and its round learns
//!   of a higher ballot, which has the same effect as a timeout. For the same reason prepares end with their round.
//! * A round begins when its first prepare is delivered. Until then it has no observable effect.
//! * Once a round is over, its value has no message under way, and it is not chosen, it is forgotten; once the value is
//!   chosen, only that is remembered.
//! * A member's answer to the reader arrives in the step in which it is given, as replies do: a read that ends earlier
//!   only makes what holds from then on stricter. A read that times out equals one that gets no more replies.
//!
//! `Network::Full` does without the second and the third, for small searches that show that the verdicts agree.

use crate::machine::Machine;
use crate::scenario::{LEAVING, Network};
use crate::state::{MAX_NODES, NONE, State};
use crate::support::mutants::Mutant;
use runtrack_message::Ballot;

/// One step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A proposer begins a round of this rank, for the operation of its script, and its first prepare arrives.
    Begin { proposer: u8, operation: u8, rank: u8, member: u8 },
    /// A prepare arrives.
    Prepare { rank: u8, proposer: u8, member: u8 },
    /// An accept arrives.
    Accept { rank: u8, proposer: u8, member: u8 },
    /// A reply arrives (network of kind `Full` alone).
    Reply { at: u8 },
    /// A proposer's round times out.
    Timeout { proposer: u8 },
    /// A proposer's process ends and starts again.
    RestartProposer { proposer: u8 },
    /// A member's process ends and starts again.
    RestartMember { member: u8 },
    /// A member loses its disk.
    Wipe,
    /// The reader begins a read as a process that knows what this one does, and a member answers it.
    BeginRead { as_who: ReadAs, member: u8 },
    /// A member answers the reader.
    Inspect { member: u8 },
    /// A member adopts a committed value outside a round.
    Adopt { member: u8, committed: u32 },
}

/// The initial knowledge of a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAs {
    /// The first members alone.
    Newcomer,
    /// What it has learnt by its own reads.
    Itself,
    /// What a proposer knows.
    Proposer(u8),
}

/// The ballot of a rank.
pub fn ballot(machine: &Machine, rank: u8, proposer: u8) -> Ballot {
    let boot = if machine.scenario.mutant == Mutant::BallotsShared { 1 } else { u64::from(proposer) + 1 };
    Ballot { round: u64::from(rank), boot }
}

/// All enabled actions of a state.
pub fn enabled(machine: &mut Machine, state: &State) -> Vec<Action> {
    let mut actions = Vec::new();
    for proposer in 0..2 {
        begins(machine, state, proposer, &mut actions);
        let live = state.live(proposer).map(|at| &state.slots[at]);
        if live.is_some_and(|slot| slot.value != NONE) {
            actions.push(Action::Timeout { proposer });
        }
        let loses = live.is_some() || state.proposers[usize::from(proposer)].known != NONE;
        if state.restarts > 0 && loses {
            actions.push(Action::RestartProposer { proposer });
        }
    }
    for slot in &state.slots {
        for member in bits(slot.prepares).filter(|at| is_up(state, *at)) {
            actions.push(Action::Prepare { rank: slot.rank, proposer: slot.proposer, member });
        }
        for member in bits(slot.accepts).filter(|at| is_up(state, *at)) {
            actions.push(Action::Accept { rank: slot.rank, proposer: slot.proposer, member });
        }
    }
    actions.extend((0..state.replies.len()).map(|at| Action::Reply { at: at as u8 }));
    for member in (0..MAX_NODES as u8).filter(|at| is_up(state, *at)) {
        let node = state.nodes[usize::from(member)];
        if machine.restart(node) != node {
            actions.push(Action::RestartMember { member });
        }
    }
    reads(machine, state, &mut actions);
    if machine.scenario.wipe && !state.wiped {
        actions.push(Action::Wipe);
    }
    if machine.scenario.adopt {
        for committed in &state.chosen {
            let up = (0..MAX_NODES as u8).filter(|at| is_up(state, *at));
            actions.extend(up.map(|member| Action::Adopt { member, committed: *committed }));
        }
    }
    actions
}

pub fn is_up(state: &State, member: u8) -> bool {
    state.nodes[usize::from(member)] != NONE
}

pub fn bits(mask: u8) -> impl Iterator<Item = u8> {
    (0..MAX_NODES as u8).filter(move |at| mask & (1 << at) != 0)
}

fn begins(machine: &Machine, state: &State, proposer: u8, actions: &mut Vec<Action>) {
    let own = &state.proposers[usize::from(proposer)];
    if own.rounds == 0 {
        return;
    }
    let script = &machine.scenario.scripts[usize::from(proposer)];
    let last = own.operation + u8::from(own.begun);
    let ranks: u8 = machine.scenario.rounds.iter().sum();
    for operation in own.operation..=last {
        let Some(purpose) = script.get(usize::from(operation)) else { continue };
        if !machine.can_begin(*purpose, state) {
            continue;
        }
        let free = |rank: &u8| state.used & (1 << rank) == 0 || reuses(machine, state, proposer, *rank);
        for rank in (own.rank + 1..=ranks).filter(free) {
            let asked = machine.asked(own.known);
            for member in bits(asked).filter(|at| promises(machine, state, *at, rank, proposer)) {
                actions.push(Action::Begin { proposer, operation, rank, member });
            }
        }
    }
}

/// Actions of the reader: begin with any process's knowledge, or get one more member's reply.
fn reads(machine: &mut Machine, state: &State, actions: &mut Vec<Action>) {
    let reader = &state.reader;
    if reader.reads > 0 && !reader.begun {
        let all = [ReadAs::Newcomer, ReadAs::Itself, ReadAs::Proposer(0), ReadAs::Proposer(1)];
        let mut begun: Vec<u32> = Vec::new();
        for as_who in all {
            let known = known_as(state, as_who);
            if begun.contains(&known) {
                continue;
            }
            begun.push(known);
            let answering = bits(machine.asked(known)).filter(|at| answers(machine, state, *at));
            actions.extend(answering.map(|member| Action::BeginRead { as_who, member }));
        }
    }
    if reader.begun {
        let asked = machine.reading(reader.known, reader.answers).asked;
        let waited_for = bits(asked).filter(|at| reader.answers[usize::from(*at)] == NONE);
        let answering = waited_for.filter(|at| answers(machine, state, *at));
        actions.extend(answering.map(|member| Action::Inspect { member }));
    }
}

pub fn known_as(state: &State, as_who: ReadAs) -> u32 {
    match as_who {
        ReadAs::Newcomer => NONE,
        ReadAs::Itself => state.reader.learned,
        ReadAs::Proposer(proposer) => state.proposers[usize::from(proposer)].known,
    }
}

/// Whether a member answers a reader. With a mutant a member with an older disk answers before its disk check.
fn answers(machine: &Machine, state: &State, member: u8) -> bool {
    is_up(state, member) || has_unchecked_disk(machine, state, member)
}

pub fn has_unchecked_disk(machine: &Machine, state: &State, member: u8) -> bool {
    let is_mutant = machine.scenario.mutant == Mutant::InspectedBeforeDiskCheck;
    is_mutant && state.wiped && member == LEAVING
}

fn promises(machine: &Machine, state: &State, member: u8, rank: u8, proposer: u8) -> bool {
    let full = machine.scenario.network == Network::Full;
    let node = state.nodes[usize::from(member)];
    node != NONE && (full || machine.takes(node, ballot(machine, rank, proposer)))
}

/// Whether a mutant lets a proposer use a ballot again.
fn reuses(machine: &Machine, state: &State, proposer: u8, rank: u8) -> bool {
    match machine.scenario.mutant {
        Mutant::BallotsShared => true,
        Mutant::BallotReused => {
            state.restarts < machine.scenario.restarts
                && state.slots.iter().any(|slot| slot.rank == rank && slot.proposer == proposer)
        }
        _ => false,
    }
}
