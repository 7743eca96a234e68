//! The state in which a search begins.

use crate::machine::Machine;
use crate::state::{Answer, MAX_NODES, NONE, Proposer, Reader, State};
use crate::support::mutants::Mutant;
use crate::support::node::Node;
use runtrack_message::Ballot;
use std::rc::Rc;

/// Ballot of the value that is chosen initially.
pub const INITIAL_BALLOT: Ballot = Ballot { round: 0, boot: 1 };

/// The first state.
pub fn initial(machine: &mut Machine) -> State {
    let nodes = initial_nodes(machine);
    let chosen = machine.scenario.initial.clone().map(|value| machine.intern_value(value));
    let chosen: Vec<u32> =
        chosen.map(|value| machine.intern_committed(INITIAL_BALLOT, value)).into_iter().collect();
    State {
        nodes,
        proposers: machine.scenario.rounds.map(proposer),
        reader: reader(machine.scenario.reads),
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

/// The members present at the start, some of them with the initial value.
fn initial_nodes(machine: &mut Machine) -> [u32; MAX_NODES] {
    let mut nodes = [NONE; MAX_NODES];
    let value = machine.scenario.initial.clone().map(Rc::new);
    let is_there = value.is_some() || machine.scenario.grows;
    let joins_at_start = is_there && !machine.scenario.wipe;
    for (at, member) in machine.scenario.members.clone().into_iter().enumerate() {
        let mut node = Node::new(member.incarnation);
        let has_it = machine.scenario.initial_at & (1 << at) != 0;
        if has_it && let Some(value) = &value {
            node.adopt(INITIAL_BALLOT, value, Mutant::None);
        }
        if joins_at_start || machine.scenario.first.contains(&member) {
            nodes[at] = machine.intern_node(node);
        }
    }
    nodes
}

fn proposer(rounds: u8) -> Proposer {
    Proposer {
        operation: 0,
        begun: false,
        sent: false,
        rounds,
        rank: 0,
        known: NONE,
        floor: 0,
        answer: Answer::Nothing,
    }
}

fn reader(reads: u8) -> Reader {
    Reader { reads, begun: false, known: NONE, learned: NONE, floor: 0, answers: [NONE; MAX_NODES] }
}
