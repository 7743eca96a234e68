//! Breadth-first search over all states, so that the first violation found is a shortest one.

use crate::actions::{Action, enabled};
use crate::initial::initial;
use crate::intern::FixedHasher;
use crate::machine::Machine;
use crate::rules::Violation;
use crate::scenario::Scenario;
use crate::state::{MAX_NODES, State};
use crate::steps::apply;
use crate::trace;
use std::collections::HashSet;
use std::hash::{BuildHasher, BuildHasherDefault, Hasher};

/// Result of a search.
#[derive(Debug)]
pub struct Report {
    /// Number of distinct states visited.
    pub states: usize,
    /// Maximum depth in steps.
    pub depth: usize,
    /// Number of transitions, including those to known states.
    pub steps: u64,
    /// Number of distinct rounds, members and values.
    pub sizes: (usize, usize, usize),
    /// Whether all states within the bounds were visited.
    pub complete: bool,
    /// A shortest path to a violation.
    pub counterexample: Option<Counterexample>,
}

/// A path to a violation.
#[derive(Debug)]
pub struct Counterexample {
    pub steps: usize,
    /// One line a step.
    pub trace: String,
    pub violation: Violation,
}

/// Hasher for keys that are hashes already.
#[derive(Default)]
pub struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, _: &[u8]) {
        unreachable!("fingerprints are integers")
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = number;
    }
}

/// The transition by which a state was first reached.
#[derive(Clone, Copy)]
struct Step {
    from: u32,
    action: Action,
}

struct Search {
    machine: Machine,
    /// Fingerprints of all visited states. Two states share one of 64 bits with a probability of about n^2 / 2^65.
    fingerprints: HashSet<u64, BuildHasherDefault<IdentityHasher>>,
    steps: Vec<Step>,
    taken: u64,
}

/// Searches a scenario, up to `max_states` states.
pub fn search(scenario: Scenario, max_states: usize) -> Report {
    let mut search = Search {
        machine: Machine::new(scenario),
        fingerprints: HashSet::default(),
        steps: vec![Step { from: 0, action: Action::Wipe }], // placeholder for the first state, never read
        taken: 0,
    };
    let start = initial(&mut search.machine);
    search.fingerprints.insert(FixedHasher::default().hash_one(&start));
    let (mut frontier, mut depth) = (vec![(start, 0)], 0);
    while !frontier.is_empty() && search.steps.len() < max_states {
        match search.expand(frontier) {
            Ok(next) => frontier = next,
            Err((last, violation)) => return search.report(depth + 1, false, Some((last, violation))),
        }
        depth += usize::from(!frontier.is_empty());
    }
    let complete = frontier.is_empty();
    search.report(depth, complete, None)
}

impl Search {
    /// Expands a frontier to all new states one step further.
    fn expand(&mut self, frontier: Vec<(State, u32)>) -> Result<Vec<(State, u32)>, (Step, Violation)> {
        let mut next = Vec::new();
        for (state, from) in frontier {
            for action in enabled(&mut self.machine, &state) {
                self.taken += 1;
                let after = apply(&mut self.machine, &state, action)
                    .map_err(|violation| (Step { from, action }, violation))?;
                let Some(after) = after else { continue };
                let (after, _) = canonical(&mut self.machine, after);
                if self.fingerprints.insert(FixedHasher::default().hash_one(&after)) {
                    next.push((after, self.steps.len() as u32));
                    self.steps.push(Step { from, action });
                }
            }
        }
        Ok(next)
    }

    fn report(mut self, depth: usize, complete: bool, found: Option<(Step, Violation)>) -> Report {
        let counterexample = found.map(|(last, violation)| {
            let mut actions = vec![last.action];
            let mut at = last.from;
            while at != 0 {
                let step = self.steps[at as usize];
                actions.push(step.action);
                at = step.from;
            }
            actions.reverse();
            let trace = trace::readable(&mut self.machine, &actions);
            Counterexample { steps: actions.len(), trace, violation }
        });
        Report {
            states: self.steps.len(),
            depth,
            steps: self.taken,
            sizes: self.machine.sizes(),
            complete,
            counterexample,
        }
    }
}

/// The representative of all states that differ only in the names of members, and the row of names that leads to it: the
/// least in an order that compares the members' states first.
pub fn canonical(machine: &mut Machine, state: State) -> (State, usize) {
    let ties = rows_to_least(machine, &state);
    if ties == [0] {
        return (state, 0); // the first row is the identity
    }
    let mut least: Option<(State, usize)> = None;
    for at in ties {
        let row = machine.rows()[at].clone();
        let other = state.renamed(&row, &mut |attempt| machine.renamed(attempt, at));
        if least.as_ref().is_none_or(|(least, _)| other < *least) {
            least = Some((other, at));
        }
    }
    least.expect("a row")
}

/// The rows that bring the members' states into the least order.
fn rows_to_least(machine: &Machine, state: &State) -> Vec<usize> {
    let mut least = [u32::MAX; MAX_NODES];
    let mut ties = Vec::with_capacity(1);
    for (at, row) in machine.rows().iter().enumerate() {
        let mut nodes = state.nodes;
        for (old, node) in state.nodes.iter().enumerate() {
            nodes[usize::from(row[old])] = *node;
        }
        if nodes < least {
            least = nodes;
            ties.clear();
        }
        if nodes == least {
            ties.push(at);
        }
    }
    ties
}
