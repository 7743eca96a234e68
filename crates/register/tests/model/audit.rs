//! Evaluates reads by rounds of any majority in a state, with nothing else in progress.

use crate::machine::Machine;
use crate::state::{MAX_NODES, NONE};
use crate::support::attempt::{Attempt, OperationSettings, Purpose};
use crate::support::mutants::Mutant;
use crate::support::node::Node;
use runtrack_message::{Ballot, Member, RegisterRequest};
use runtrack_register::{Outcome, Progress, sets_of};
use std::collections::BTreeSet;

/// Above every ballot of a search.
const TOP: Ballot = Ballot { round: 1000, boot: 1 };

/// The least sequence that any majority of members in these states reads, from whichever sets of members a process can
/// begin at: the first ones, or those that a member has on its disk. `u8::MAX` without a majority.
pub fn least_read(machine: &mut Machine, nodes: [u32; MAX_NODES]) -> u8 {
    if let Some(least) = machine.audited.get(&nodes) {
        return *least;
    }
    let mut views = vec![vec![machine.scenario.first.clone()]];
    for node in nodes.iter().filter(|node| **node != NONE) {
        let view = machine.node(*node).acceptor.accepted().map(|accepted| sets_of(&accepted.value));
        views.extend(view.filter(|view| !views.contains(view)));
    }
    let mut least = u8::MAX;
    for view in views {
        let mut answered: Vec<u8> = Vec::new();
        let mut masks: Vec<u8> = (1..1 << MAX_NODES).collect();
        masks.sort_by_key(|mask: &u8| mask.count_ones());
        for mask in masks {
            // A majority has replied already without the others.
            if answered.iter().any(|smaller| mask & smaller == *smaller) {
                continue;
            }
            if let Some(sequence) = read(machine, nodes, mask, view.clone()) {
                answered.push(mask);
                least = least.min(sequence);
            }
        }
    }
    machine.audited.insert(nodes, least);
    least
}

/// Sequence number that a read from only these members returns; `None` if they are no majority.
fn read(machine: &Machine, nodes: [u32; MAX_NODES], mask: u8, view: Vec<BTreeSet<Member>>) -> Option<u8> {
    let mut asked: Vec<Option<Node>> = nodes
        .iter()
        .enumerate()
        .map(|(at, node)| (*node != NONE && mask & (1 << at) != 0).then(|| (*machine.node(*node)).clone()))
        .collect();
    let settings = OperationSettings { mutant: Mutant::None, ..machine.scenario.settings() };
    let (mut attempt, mut sends) = Attempt::new(TOP, view, None);
    while let Some((to, request)) = sends.pop() {
        if let RegisterRequest::Accept { value, .. } = &request {
            return Some(value.sequence as u8);
        }
        let at = usize::from(machine.scenario.index(to));
        let Some(node) = &mut asked[at] else { continue };
        let reply = node.handle(&request, Mutant::None);
        match attempt.reply(to, reply, &Purpose::Read, &settings).progress {
            Progress::Send(more) => sends.extend(more),
            Progress::Done(Outcome::Empty) => return Some(0),
            Progress::Done(Outcome::Read(_, value)) => return Some(value.sequence as u8),
            Progress::Done(_) => return None,
        }
    }
    None
}
