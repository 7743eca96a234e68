//! What can happen next in a state.
//!
//! Reductions, each with the reason why it hides nothing from the rules:
//!
//! * A message that is never delivered stands for one that is lost. A member that was restarted equals what it was
//!   before, since all that it said is on disk: the search restarts every member in every state all the same and finds
//!   new states only with a mutant.
//! * A reply reaches its round in the step in which the member sends it. It touches that round alone, so it can be moved
//!   forward over all steps of others; a reply that is lost or that comes too late is one whose round was given up
//!   before ([`Action::Timeout`]), and a promise that is lost is a prepare that is lost, for a promise alone does
//!   nothing but reject lower ballots, as a loss of these does.
//! * A prepare or an accept that a member would reject is not delivered: it changes no member, and its round hears
//!   of a higher ballot, which is one more way to time out. For the same reason prepares end with their round.
//! * A round begins when its first prepare is delivered. Until then nobody can tell.
//! * Once a round is over, its value has no message under way, and it is not chosen, it is forgotten; once the value is
//!   chosen, only that is remembered.
//! * A member's answer to the reader arrives in the step in which it is given, as replies do: a read that ends earlier
//!   only makes what holds from then on stricter. A read that is given up is one that hears no more.
//!
//! `Network::Full` does without the second and the third, for small searches that show that the verdicts agree.

use crate::machine::{Machine, Request};
use crate::rules::{self, Violation};
use crate::scenario::{JOINING, LEAVING, Network};
use crate::state::{Answer, MAX_NODES, NONE, Proposer, Reader, Reply, Slot, State};
use crate::support::mutants::Mutant;
use crate::support::node::Node;
use runtrack_message::Ballot;
use std::rc::Rc;

/// Of the value that is chosen before anything else.
const INITIAL_BALLOT: Ballot = Ballot { round: 0, boot: 1 };

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
    /// A proposer waits no longer for the replies to what it sent out.
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
    /// A committed value reaches a member by itself.
    Adopt { member: u8, committed: u32 },
}

/// What a reader knows when it begins.
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

/// The first state.
pub fn initial(machine: &mut Machine) -> State {
    let mut nodes = [NONE; MAX_NODES];
    for (at, member) in machine.scenario.members.clone().into_iter().enumerate() {
        let mut node = Node::new(member.incarnation);
        let is_first = machine.scenario.first.contains(&member);
        let value = machine.scenario.initial.clone().map(Rc::new);
        let has_it = machine.scenario.initial_at & (1 << at) != 0;
        if has_it && let Some(value) = &value {
            node.adopt(INITIAL_BALLOT, value, Mutant::None);
        }
        let is_there = value.is_some() || machine.scenario.grows;
        let joins_at_start = is_there && !machine.scenario.wipe;
        if is_first || joins_at_start {
            nodes[at] = machine.intern_node(node);
        }
    }
    let chosen = machine.scenario.initial.clone().map(|value| machine.intern_value(value));
    let chosen: Vec<u32> =
        chosen.map(|value| machine.intern_committed(INITIAL_BALLOT, value)).into_iter().collect();
    let proposer = |rounds| Proposer {
        operation: 0,
        begun: false,
        sent: false,
        rounds,
        rank: 0,
        known: NONE,
        floor: 0,
        answer: Answer::Nothing,
    };
    State {
        nodes,
        proposers: machine.scenario.rounds.map(proposer),
        reader: Reader {
            reads: machine.scenario.reads,
            begun: false,
            known: NONE,
            learned: NONE,
            floor: 0,
            answers: [NONE; MAX_NODES],
        },
        slots: Vec::new(),
        replies: Vec::new(),
        chosen,
        used: 0,
        acknowledged: 0,
        refused: 0,
        seen: 0,
        restarts: machine.scenario.restarts,
        wiped: false,
    }
}

/// All that can happen in a state.
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

fn is_up(state: &State, member: u8) -> bool {
    state.nodes[usize::from(member)] != NONE
}

fn bits(mask: u8) -> impl Iterator<Item = u8> {
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

/// What the reader can do: begin, as anybody, or hear one more member.
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

fn known_as(state: &State, as_who: ReadAs) -> u32 {
    match as_who {
        ReadAs::Newcomer => NONE,
        ReadAs::Itself => state.reader.learned,
        ReadAs::Proposer(proposer) => state.proposers[usize::from(proposer)].known,
    }
}

/// Whether a member answers a reader. A mutant lets one do so whose disk is an older one, before it has found out.
fn answers(machine: &Machine, state: &State, member: u8) -> bool {
    is_up(state, member) || has_unchecked_disk(machine, state, member)
}

fn has_unchecked_disk(machine: &Machine, state: &State, member: u8) -> bool {
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

/// The state after a step, or the rule that it breaks; nothing where the step changes nothing.
pub fn apply(machine: &mut Machine, state: &State, action: Action) -> Result<Option<State>, Violation> {
    let mut next = state.clone();
    match action {
        Action::Begin { proposer, operation, rank, member } => {
            begin(machine, &mut next, proposer, operation, rank);
            prepare(machine, &mut next, rank, proposer, member)?;
        }
        Action::Prepare { rank, proposer, member } => prepare(machine, &mut next, rank, proposer, member)?,
        Action::Accept { rank, proposer, member } => accept(machine, &mut next, rank, proposer, member)?,
        Action::Reply { at } => {
            let reply = next.replies.remove(usize::from(at));
            take_reply(machine, &mut next, &reply)?;
        }
        Action::Timeout { proposer } => next.give_up(proposer),
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
    state.give_up(proposer);
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

fn prepare(
    machine: &mut Machine,
    state: &mut State,
    rank: u8,
    proposer: u8,
    member: u8,
) -> Result<(), Violation> {
    let at = position(state, rank, proposer, |slot| slot.prepares & (1 << member) != 0);
    state.slots[at].prepares &= !(1 << member);
    let known =
        if state.slots[at].attempt == NONE { NONE } else { state.proposers[usize::from(proposer)].known };
    let request = Request::Prepare { ballot: ballot(machine, rank, proposer), known };
    let node = &mut state.nodes[usize::from(member)];
    let (after, reply) = machine.handle(*node, member, request);
    *node = after;
    answer(machine, state, Reply { rank, proposer, member, reply })
}

fn accept(
    machine: &mut Machine,
    state: &mut State,
    rank: u8,
    proposer: u8,
    member: u8,
) -> Result<(), Violation> {
    let at = position(state, rank, proposer, |slot| slot.accepts & (1 << member) != 0);
    state.slots[at].accepts &= !(1 << member);
    let value = state.slots[at].value;
    let request = Request::Accept { ballot: ballot(machine, rank, proposer), value };
    let node = &mut state.nodes[usize::from(member)];
    let (after, reply) = machine.handle(*node, member, request);
    *node = after;
    if machine.is_acceptance(reply) {
        state.slots[at].votes |= 1 << member;
        rules::note_vote(machine, state, at)?;
    }
    answer(machine, state, Reply { rank, proposer, member, reply })
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
    state.give_up(proposer);
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
    let node = &mut state.nodes[usize::from(member)];
    *node = machine.handle(*node, member, Request::Adopt { ballot, value }).0;
}

/// Forgets what can make no difference any more.
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
