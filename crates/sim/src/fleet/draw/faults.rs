//! Mixed faults: a few kinds per script, several at once.

use super::READY_MS;
use super::failure_budget::FailureBudget;
use crate::draw::Draws;
use crate::fleet::script::{CutScope, Direction, DiskFault, Fault, Script};

/// Number of fault kinds that can be drawn.
const FAULT_KINDS: u32 = 20;

/// Draws faults and adds those that the failure budget allows to the script.
pub fn draw(draws: &mut Draws, script: &mut Script, budget: &mut FailureBudget, length: u32) {
    let kinds: Vec<u32> = (0..draws.of(1, 5)).map(|_| draws.of(0, FAULT_KINDS - 1)).collect();
    // One machine is hit more often than others, so that its faults overlap.
    let preferred_core = draws.of(0, script.cores - 1);
    let replaced_by = |fault: &Fault| match fault {
        Fault::Replace { core, .. } => Some(*core),
        _ => None,
    };
    let mut replaced: Vec<u32> = script.faults.iter().filter_map(replaced_by).collect();
    for _ in 0..draws.of(1, 7) {
        let kind = kinds[draws.of(0, kinds.len() as u32 - 1) as usize];
        let core = if draws.one_in(2) { preferred_core } else { draws.of(0, script.cores - 1) };
        if replaced.contains(&core) {
            continue;
        }
        let at = draws.of(READY_MS, length);
        let long = draws.one_in(12);
        let lasts = if long { draws.of(8_000, 20_000) } else { draws.of(150, 4_500) };
        let fault = draw_fault(draws, script, kind, core, (at, lasts));
        let (at, lasts) = fault.span();
        let is_allowed = match &fault {
            Fault::KillAll { .. } | Fault::PowerAll { .. } | Fault::Roll { .. } => {
                budget.reserve_all(script.cores, at, at + lasts)
            }
            Fault::Replace { .. } if !replaced.is_empty() => false,
            Fault::Cut { .. }
            | Fault::Kill { .. }
            | Fault::Freeze { .. }
            | Fault::Power { .. }
            | Fault::Disk { .. }
            | Fault::Wipe { .. }
            | Fault::Replace { .. }
            | Fault::Term { .. } => budget.reserve(core, at, at + lasts),
            _ => true,
        };
        if !is_allowed {
            continue;
        }
        if matches!(fault, Fault::Replace { .. }) {
            replaced.push(core);
        }
        script.faults.push(fault);
    }
}

fn draw_fault(draws: &mut Draws, script: &Script, kind: u32, core: u32, (at, lasts): (u32, u32)) -> Fault {
    let agent = draws.of(0, script.agents - 1);
    match kind {
        0..=2 => draw_cut(draws, core, at, lasts),
        3 => Fault::SlowLinks { core, by: draws.of(20, 250), at, lasts },
        4 => Fault::Loss { core, percent: draws.of(2, 25), at, lasts },
        5 => Fault::Reset { core, at },
        6 => Fault::Kill { core, at, lasts },
        7 => Fault::KillAll { at, lasts: lasts.min(3_000) },
        8 => Fault::Freeze { core, at, lasts },
        9 => Fault::Power { core, at, lasts },
        10 => Fault::PowerAll { at, lasts: lasts.min(3_000) },
        11 => Fault::Disk { core, what: DiskFault::Slow(draws.of(5, 60)), at, lasts },
        12 => {
            let what = if draws.one_in(2) { DiskFault::Stall } else { DiskFault::Full };
            Fault::Disk { core, what, at, lasts }
        }
        13 => Fault::Wipe { core, at, lasts },
        14 => {
            let planned = draws.one_in(2);
            let lasts = if planned { draws.of(8_000, 10_000) } else { draws.of(300, 2_000) };
            Fault::Replace { core, planned, at, lasts }
        }
        15 => Fault::Term { core, at, lasts },
        16 => Fault::Roll { at, gap: draws.of(2_500, 5_000) },
        17 => draw_agent_fault(draws, script, agent, (at, lasts)),
        18 => Fault::Spare { at },
        _ => Fault::Seeds { first: draws.of(0, 2), at },
    }
}

fn draw_cut(draws: &mut Draws, core: u32, at: u32, lasts: u32) -> Fault {
    let way = match draws.of(0, 3) {
        0 => Direction::Out,
        1 => Direction::In,
        _ => Direction::Both,
    };
    let from = match draws.of(0, 3) {
        0 => CutScope::All,
        1 => CutScope::Near,
        _ => CutScope::Cores,
    };
    Fault::Cut { core, way, from, resets: draws.one_in(4), at, lasts }
}

fn draw_agent_fault(draws: &mut Draws, script: &Script, agent: u32, (at, lasts): (u32, u32)) -> Fault {
    match draws.of(0, 3) {
        0 => Fault::AgentCut { agent, but: None, at, lasts },
        1 => Fault::AgentCut { agent, but: Some(draws.of(0, script.cores - 1)), at, lasts },
        2 => Fault::AgentKill { agent, at, lasts: lasts.min(1_500) },
        _ => Fault::AgentFreeze { agent, at, lasts },
    }
}
