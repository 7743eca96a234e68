//! Faults around membership changes: several changes close together while copies are slow, two members that
//! cannot reach each other, a member that leaves while others lack what it holds, and a second loss as soon
//! as the first is repaired.

use super::READY_MS;
use super::failure_budget::{FailureBudget, REPAIR_MS};
use crate::draw::Draws;
use crate::fleet::script::{Direction, DiskFault, Fault, Request, RequestKind, Script, SendMode};

/// Machines added during the run are numbered after those of the first boot. Slow disks and links are drawn
/// for this many of them.
const LATER_MACHINES: u32 = 2;
/// Longest time between changes that are close together, in milliseconds.
const MAX_SPACING_MS: u32 = 3_000;
/// Longest downtime of a machine that loses its disk, in milliseconds.
const MAX_DOWN_MS: u32 = 2_000;

/// Draws one kind of fault around membership changes and adds it to the script.
pub fn draw(draws: &mut Draws, script: &mut Script, budget: &mut FailureBudget, length: u32) {
    let mut at = draws.of(READY_MS, length);
    if script.tolerance > 1 {
        // Members are added only once there is a configuration. After this delay there are enough of them
        // to tolerate two losses.
        let what = RequestKind::Replace { step: 1, manner: SendMode::Patient };
        script.requests.push(Request {
            at: draws.of(100, READY_MS),
            operator: 0,
            member: draws.of(0, 15),
            what,
        });
        at += REPAIR_MS;
    }
    match draws.of(0, 7) {
        0..=2 => changes_close_together(draws, script, budget, at),
        3 | 4 => pair_cut_with_spare(draws, script, budget, at),
        5 | 6 => departure_with_missed_copies(draws, script, budget, at),
        _ => consecutive_losses(draws, script, budget, at),
    }
}

/// A slow, full or stalled disk, or slow links.
fn slow_fault(draws: &mut Draws, core: u32, at: u32) -> Fault {
    let lasts = draws.of(300, 4_500);
    match draws.of(0, 5) {
        0 => Fault::SlowLinks { core, by: draws.of(20, 250), at, lasts },
        1 | 2 => Fault::Disk { core, what: DiskFault::Slow(draws.of(5, 300)), at, lasts },
        3 => Fault::Disk { core, what: DiskFault::Full, at, lasts },
        _ => Fault::Disk { core, what: DiskFault::Stall, at, lasts },
    }
}

/// Machines are added, or come back empty, within a short time while some disks or links are slow.
fn changes_close_together(draws: &mut Draws, script: &mut Script, budget: &mut FailureBudget, at: u32) {
    let max_spacing = draws.of(200, MAX_SPACING_MS);
    let spacing = draws.of(100, max_spacing);
    let at = at + MAX_DOWN_MS;
    let machine_count = script.cores + LATER_MACHINES;
    for _ in 0..draws.of(1, 2) {
        let (core, from) = (draws.of(0, machine_count - 1), at + draws.of(0, 2 * spacing));
        script.faults.push(slow_fault(draws, core, from - spacing));
    }
    // A wiped disk is repaired only once the slow copies have arrived.
    let slow = script.faults.iter().map(|fault| fault.span()).map(|(at, lasts)| at + lasts).max();
    for _ in 0..draws.of(2, 4) {
        let added_at = at + draws.of(0, spacing);
        let core = draws.of(0, script.cores - 1);
        if draws.one_in(2) {
            script.faults.push(Fault::Spare { at: added_at });
        } else {
            add_disk_loss(draws, script, budget, core, (added_at, slow.unwrap_or(0)));
        }
    }
}

/// A machine loses its disk: it comes back empty, or an empty machine replaces it.
fn add_disk_loss(
    draws: &mut Draws,
    script: &mut Script,
    budget: &mut FailureBudget,
    core: u32,
    (added_at, repaired): (u32, u32),
) {
    let replaced = script.faults.iter().any(|fault| matches!(fault, Fault::Replace { .. }));
    let planned = !replaced && draws.one_in(6);
    let lasts = if planned { draws.of(4_000, 10_000) } else { draws.of(150, MAX_DOWN_MS) };
    let at = if planned { added_at } else { added_at.saturating_sub(lasts).max(READY_MS) };
    if !budget.reserve(core, at, repaired.max(at + lasts)) {
        return;
    }
    let is_replaced = planned || !replaced && draws.one_in(4);
    script.faults.push(match is_replaced {
        true => Fault::Replace { core, planned, at, lasts },
        false => Fault::Wipe { core, at, lasts },
    });
}

/// Two machines cannot reach each other while a spare joins; a loss may follow.
fn pair_cut_with_spare(draws: &mut Draws, script: &mut Script, budget: &mut FailureBudget, at: u32) {
    let machine_count = script.cores + 1;
    let core = draws.of(0, machine_count - 1);
    let other = (core + draws.of(1, machine_count - 1)) % machine_count;
    let way = [Direction::Both, Direction::In, Direction::Out][draws.of(0, 2) as usize];
    let lasts = draws.of(500, 6_000);
    // If one of the two goes down, the other reaches one member fewer still.
    if !budget.reserve(core, at, at + lasts) {
        return;
    }
    script.faults.push(Fault::PairCut { core, other, way, at, lasts });
    let spare = (at + draws.of(0, 4_000)).saturating_sub(3_000).max(READY_MS);
    script.faults.push(Fault::Spare { at: spare });
    if draws.one_in(2) {
        add_second_loss(draws, script, budget, at + lasts + REPAIR_MS);
    }
}

/// One machine misses changes, and another one that holds them is terminated.
fn departure_with_missed_copies(
    draws: &mut Draws,
    script: &mut Script,
    budget: &mut FailureBudget,
    at: u32,
) {
    let core = draws.of(0, script.cores - 1);
    let other = (core + draws.of(1, script.cores - 1)) % script.cores;
    let lasts = draws.of(500, 4_500);
    let what = match draws.of(0, 3) {
        0 => DiskFault::Slow(draws.of(20, 200)),
        1 => DiskFault::Full,
        _ => DiskFault::Stall,
    };
    let terminated_at = at + draws.of(0, lasts);
    if !budget.reserve(core, at, terminated_at.max(at + lasts)) {
        return;
    }
    if draws.one_in(2) {
        script.faults.push(Fault::Spare { at: READY_MS.max(at.saturating_sub(draws.of(0, 3_000))) });
    }
    script.faults.push(Fault::Disk { core: other, what, at, lasts });
    script.faults.push(Fault::Term { core, at: terminated_at, lasts: draws.of(600, 4_500) });
    if draws.one_in(2) {
        add_second_loss(draws, script, budget, terminated_at.max(at + lasts) + REPAIR_MS);
    }
}

/// A member is lost with its disk, and another one as soon as the first counts as repaired.
fn consecutive_losses(draws: &mut Draws, script: &mut Script, budget: &mut FailureBudget, at: u32) {
    let core = draws.of(0, script.cores - 1);
    let before = script.faults.len();
    add_disk_loss(draws, script, budget, core, (at + MAX_DOWN_MS, 0));
    let Some((from, lasts)) = script.faults.get(before).map(|fault| fault.span()) else { return };
    if draws.one_in(3) {
        script.faults.push(Fault::Spare { at: from + draws.of(0, MAX_SPACING_MS) });
    }
    add_second_loss(draws, script, budget, from + lasts + REPAIR_MS);
}

/// Adds a loss at the given time or slightly later.
fn add_second_loss(draws: &mut Draws, script: &mut Script, budget: &mut FailureBudget, earliest: u32) {
    let core = draws.of(0, script.cores - 1);
    let is_removed =
        |fault: &Fault| matches!(fault, Fault::Replace { core: removed, .. } if *removed == core);
    if script.faults.iter().any(is_removed) {
        return;
    }
    let (at, lasts) = (earliest + draws.of(0, 200), draws.of(150, 4_000));
    if !budget.reserve(core, at, at + lasts) {
        return;
    }
    script.faults.push(match draws.of(0, 4) {
        0 => Fault::Kill { core, at, lasts },
        1 => Fault::Power { core, at, lasts },
        2 => Fault::Freeze { core, at, lasts },
        _ => Fault::Wipe { core, at, lasts },
    });
}
