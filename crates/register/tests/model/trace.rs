//! Formats a counterexample, one line a step, with the members under their initial names.

use crate::actions::Action;
use crate::initial::initial;
use crate::machine::Machine;
use crate::search::canonical;
use crate::state::{MAX_NODES, State};
use crate::steps::apply;
use crate::support::attempt::Purpose;
use std::fmt::Write;

/// Formats the steps from the first state to the violation.
pub fn readable(machine: &mut Machine, actions: &[Action]) -> String {
    let mut text = String::new();
    let mut names: Vec<u8> = (0..MAX_NODES as u8).collect();
    let mut state = initial(machine);
    for (at, action) in actions.iter().enumerate() {
        let what = describe(machine, *action, &names, &state);
        let _ = write!(text, "{:>3}. {what}", at + 1);
        match apply(machine, &state, *action) {
            Err(violation) => {
                let _ = write!(text, " -- {}", violation.0);
            }
            Ok(None) => {}
            Ok(Some(after)) => {
                text.push_str(&effects(machine, &state, &after));
                let (after, row) = canonical(machine, after);
                let row = machine.rows()[row].clone();
                let before = names.clone();
                for (old, new) in row.iter().enumerate() {
                    names[usize::from(*new)] = before[old];
                }
                state = after;
            }
        }
        text.push('\n');
    }
    text
}

fn describe(machine: &Machine, action: Action, names: &[u8], state: &State) -> String {
    let name = |member: u8| format!("member {}", names[usize::from(member)]);
    match action {
        Action::Begin { proposer, operation, rank, member } => {
            let purpose = purpose_of(machine, proposer, operation);
            let name = name(member);
            format!("proposer {proposer} begins round {rank} to {purpose}; {name} takes its prepare")
        }
        Action::Prepare { rank, member, .. } => {
            format!("{} takes the prepare of round {rank}", name(member))
        }
        Action::Accept { rank, member, .. } => format!("{} takes the accept of round {rank}", name(member)),
        Action::Reply { at } => {
            let reply = &state.replies[usize::from(at)];
            let (name, kind) = (name(reply.member), kind(machine, reply.reply));
            format!("the reply of {name} to round {} arrives: {kind:?}", reply.rank)
        }
        Action::Timeout { proposer } => format!("proposer {proposer} gives its round up"),
        Action::RestartProposer { proposer } => format!("proposer {proposer} restarts"),
        Action::RestartMember { member } => format!("{} restarts", name(member)),
        Action::BeginRead { as_who, member } => {
            format!("a reader begins as {as_who:?}; {} answers it", name(member))
        }
        Action::Inspect { member } => format!("{} answers the reader", name(member)),
        Action::Wipe => "member 2 loses its disk".into(),
        Action::Adopt { member, committed } => {
            let sequence = machine.committed(committed).1.sequence;
            format!("{} learns that sequence {sequence} is committed", name(member))
        }
    }
}

fn purpose_of(machine: &Machine, proposer: u8, operation: u8) -> String {
    let purpose = machine.scenario.scripts[usize::from(proposer)][usize::from(operation)];
    purpose_text(&machine.scenario.purposes[usize::from(purpose)])
}

fn kind(machine: &Machine, reply: u32) -> String {
    let text = format!("{:?}", machine.reply(reply));
    text.split([' ', '{']).next().unwrap_or_default().to_string()
}

fn purpose_text(purpose: &Purpose) -> String {
    match purpose {
        Purpose::Replace(request) => format!("put version {} on {}", request.version, request.base),
        Purpose::Read => "read".into(),
        Purpose::Members(_) => "write joint sets".into(),
        Purpose::Finish => "write the new set".into(),
    }
}

fn effects(machine: &mut Machine, before: &State, after: &State) -> String {
    let mut text = String::new();
    for committed in after.chosen.iter().filter(|committed| !before.chosen.contains(committed)) {
        let value = &machine.committed(*committed).1;
        let _ = write!(text, "; sequence {} with version {} is chosen", value.sequence, value.version);
    }
    for request in 0..8 {
        if after.acknowledged & !before.acknowledged & (1 << request) != 0 {
            let _ = write!(text, "; request {request} is acknowledged");
        }
        if after.refused & !before.refused & (1 << request) != 0 {
            let _ = write!(text, "; request {request} is refused");
        }
    }
    if after.seen > before.seen {
        let _ = write!(text, "; sequence {} is answered", after.seen);
    }
    text
}
