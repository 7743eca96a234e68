//! Applies actions to states.

use crate::actions::{Action, ReadAs, ballot, bits, has_unchecked_disk, is_up, known_as};
use crate::initial::INITIAL_BALLOT;
use crate::machine::{Machine, Request};
use crate::rules::{self, Violation};
use crate::scenario::{JOINING, LEAVING, Network};
use crate::state::{Answer, NONE, Reply, Slot, State};
use crate::support::mutants::Mutant;
use crate::support::node::Node;
use std::rc::Rc;

/// Delivery of a round's message to a member.
#[derive(Clone, Copy)]
struct Delivery {
    rank: u8,
    proposer: u8,
    member: u8,
}

/// The state after an action, or the violated invariant; `None` if the action changes nothing.
pub fn apply(machine: &mut Machine, state: &State, action: Action) -> Result<Option<State>, Violation> {
    let mut next = state.clone();
    match action {
        Action::Begin { proposer, operation, rank, member } => {
            begin(machine, &mut next, proposer, operation, rank);
            prepare(machine, &mut next, Delivery { rank, proposer, member })?;
        }
        Action::Prepare { rank, proposer, member } => {
            prepare(machine, &mut next, Delivery { rank, proposer, member })?;
        }
        Action::Accept { rank, proposer, member } => {
            accept(machine, &mut next, Delivery { rank, proposer, member })?;
        }
        Action::Reply { at } => {
            let reply = next.replies.remove(usize::from(at));
            take_reply(machine, &mut next, &reply)?;
        }
        Action::Timeout { proposer } => next.time_out(proposer),
        Action::RestartProposer { proposer } => restart_proposer(machine, &mut next, proposer),
        Action::RestartMember { member } => {
            let node = &mut next.nodes[usize::from(member)];
            *node = machine.restart(*node);
        }
        Action::BeginRead { as_who, member } => {
            begin_read(&mut next, as_who);
            inspect(machine, &mut next, member)?;
        }
        Action::Inspect { member } => inspect(machine, &mut next, member)?,
        Action::Wipe => wipe(machine, &mut next),
        Action::Adopt { member, committed } => adopt(machine, &mut next, member, committed),
    }
    normalize(machine, &mut next);
    rules::check_reads(machine, &next)?;
    Ok((next != *state).then_some(next))
}

fn begin(machine: &mut Machine, state: &mut State, proposer: u8, operation: u8, rank: u8) {
    state.time_out(proposer);
    let seen = state.seen;
    let own = &mut state.proposers[usize::from(proposer)];
    if own.operation != operation {
        own.operation = operation;
        own.sent = false;
    }
    own.begun = true;
    own.rounds -= 1;
    own.rank = rank;
    own.floor = seen;
    own.answer = Answer::Nothing;
    let known = own.known;
    state.used |= 1 << rank;
    let (attempt, prepares) = machine.begin(ballot(machine, rank, proposer), known);
    state.slots.push(Slot { rank, proposer, attempt, value: NONE, prepares, accepts: 0, votes: 0 });
}

fn position(state: &State, rank: u8, proposer: u8, wanted: impl Fn(&Slot) -> bool) -> usize {
    let is = |slot: &Slot| slot.rank == rank && slot.proposer == proposer && wanted(slot);
    state.slots.iter().position(is).expect("the round of the message")
}

fn prepare(machine: &mut Machine, state: &mut State, delivery: Delivery) -> Result<(), Violation> {
    let Delivery { rank, proposer, member } = delivery;
    let at = position(state, rank, proposer, |slot| slot.prepares & (1 << member) != 0);
    state.slots[at].prepares &= !(1 << member);
    let known =
        if state.slots[at].attempt == NONE { NONE } else { state.proposers[usize::from(proposer)].known };
    let request = Request::Prepare { ballot: ballot(machine, rank, proposer), known };
    let reply = handle(machine, state, member, request);
    answer(machine, state, Reply { rank, proposer, member, reply })
}

fn accept(machine: &mut Machine, state: &mut State, delivery: Delivery) -> Result<(), Violation> {
    let Delivery { rank, proposer, member } = delivery;
    let at = position(state, rank, proposer, |slot| slot.accepts & (1 << member) != 0);
    state.slots[at].accepts &= !(1 << member);
    let value = state.slots[at].value;
    let request = Request::Accept { ballot: ballot(machine, rank, proposer), value };
    let reply = handle(machine, state, member, request);
    if machine.is_acceptance(reply) {
        state.slots[at].votes |= 1 << member;
        rules::record_acceptance(machine, state, at)?;
    }
    answer(machine, state, Reply { rank, proposer, member, reply })
}

/// A member handles a request; returns its reply.
fn handle(machine: &mut Machine, state: &mut State, member: u8, request: Request) -> u32 {
    let node = &mut state.nodes[usize::from(member)];
    let (after, reply) = machine.handle(*node, member, request);
    *node = after;
    reply
}

fn answer(machine: &mut Machine, state: &mut State, reply: Reply) -> Result<(), Violation> {
    if machine.scenario.network == Network::Reduced {
        return take_reply(machine, state, &reply);
    }
    state.replies.push(reply);
    Ok(())
}

fn take_reply(machine: &mut Machine, state: &mut State, reply: &Reply) -> Result<(), Violation> {
    let Some(at) = state.live(reply.proposer).filter(|at| state.slots[*at].rank == reply.rank) else {
        return Ok(());
    };
    rules::on_reply(machine, state, at, reply)
}

fn begin_read(state: &mut State, as_who: ReadAs) {
    let known = known_as(state, as_who);
    state.reader.reads -= 1;
    state.reader.begun = true;
    state.reader.known = known;
    state.reader.floor = state.seen;
}

fn inspect(machine: &mut Machine, state: &mut State, member: u8) -> Result<(), Violation> {
    let at = usize::from(member);
    let known = state.reader.known;
    let node =
        if has_unchecked_disk(machine, state, member) { older_node(machine) } else { state.nodes[at] };
    let mut answer = machine.inspect(node, member, known);
    if machine.scenario.mutant == Mutant::UnsyncedReported {
        let written = |slot: &&Slot| slot.accepts & (1 << member) != 0;
        let newest = state.slots.iter().filter(written).max_by_key(|slot| slot.rank);
        if let Some(slot) = newest {
            let ballot = ballot(machine, slot.rank, slot.proposer);
            let writing = machine.inspect_while_writing(node, member, known, ballot, slot.value);
            answer = writing.unwrap_or(answer);
        }
    }
    state.reader.answers[at] = answer;
    rules::on_inspection(machine, state)
}

/// A member whose disk was restored to what it was before the first request.
fn older_node(machine: &mut Machine) -> u32 {
    let mut node = Node::new(machine.scenario.members[usize::from(LEAVING)].incarnation);
    if let Some(value) = machine.scenario.initial.clone() {
        node.adopt(INITIAL_BALLOT, &Rc::new(value), Mutant::None);
    }
    machine.intern_node(node)
}

fn restart_proposer(machine: &Machine, state: &mut State, proposer: u8) {
    state.time_out(proposer);
    state.restarts -= 1;
    let own = &mut state.proposers[usize::from(proposer)];
    own.operation += u8::from(own.begun);
    own.begun = false;
    own.sent = false;
    own.known = NONE;
    own.answer = Answer::Nothing;
    own.rank = if machine.scenario.mutant == Mutant::BallotReused { own.rank - 1 } else { 0 };
}

fn wipe(machine: &mut Machine, state: &mut State) {
    state.wiped = true;
    let mutant = machine.scenario.mutant;
    let stays = matches!(mutant, Mutant::WipedMemberVotes | Mutant::OlderDiskAccepted);
    let at = usize::from(if stays { LEAVING } else { JOINING });
    let empty = Node::new(machine.scenario.members[at].incarnation);
    let is_older = mutant == Mutant::OlderDiskAccepted;
    let node = if is_older { older_node(machine) } else { machine.intern_node(empty) };
    state.nodes[usize::from(LEAVING)] = NONE;
    state.nodes[at] = node;
}

fn adopt(machine: &mut Machine, state: &mut State, member: u8, committed: u32) {
    let value = machine.value_of(committed);
    let ballot = machine.committed(committed).0;
    handle(machine, state, member, Request::Adopt { ballot, value });
}

/// Removes parts of the state that can no longer affect the outcome.
fn normalize(machine: &mut Machine, state: &mut State) {
    let full = machine.scenario.network == Network::Full;
    for at in 0..state.slots.len() {
        let mut slot = state.slots[at].clone();
        if !full && (slot.attempt == NONE || slot.value != NONE) {
            slot.prepares = 0;
        }
        if !full {
            let own = ballot(machine, slot.rank, slot.proposer);
            let reachable: u8 = bits(slot.prepares | slot.accepts)
                .filter(|at| is_up(state, *at) && machine.takes(state.nodes[usize::from(*at)], own))
                .map(|at| 1 << at)
                .sum();
            slot.prepares &= reachable;
            slot.accepts &= reachable;
        }
        state.slots[at] = slot;
    }
    let under_way = |slot: &Slot| slot.prepares != 0 || slot.accepts != 0;
    state.slots.retain(|slot| slot.attempt != NONE || under_way(slot));
    let slots = &state.slots;
    state.replies.retain(|reply| {
        slots
            .iter()
            .any(|slot| slot.attempt != NONE && slot.rank == reply.rank && slot.proposer == reply.proposer)
    });
    state.slots.sort_unstable();
    state.replies.sort_unstable();
}
