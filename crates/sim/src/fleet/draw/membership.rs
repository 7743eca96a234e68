//! Trouble around changes of members: several close together while copies are slow, members that one other cannot reach,
//! who leaves while others missed what it holds, and a second loss as soon as the first one is repaired.

use super::READY;
use super::losses::{Losses, SETTLE};
use crate::draw::Draws;
use crate::fleet::script::{DiskFault, Fault, Manner, Request, RequestKind, Script, Way};

/// Machines that come later have the numbers after those of the first boot; so many of them are drawn as the victims of
/// slow disks and links.
const LATER_MACHINES: u32 = 2;
/// Changes that are close together begin within this at most.
const MAX_CLOSE: u32 = 3_000;
/// A machine that loses its disk is down for so long at most.
const MAX_DOWN: u32 = 2_000;

/// Draws one kind of this trouble.
pub fn draw(draws: &mut Draws, script: &mut Script, losses: &mut Losses, length: u32) {
    let mut at = draws.of(READY, length);
    if script.tolerance > 1 {
        // Members are added once there is a configuration. By then they are as many as bear two losses.
        let what = RequestKind::Replace { step: 1, manner: Manner::Patient };
        script.requests.push(Request {
            at: draws.of(100, READY),
            operator: 0,
            member: draws.of(0, 15),
            what,
        });
        at += SETTLE;
    }
    match draws.of(0, 7) {
        0..=2 => changes_close_together(draws, script, losses, at),
        3 | 4 => unreachable_for_one(draws, script, losses, at),
        5 | 6 => leaver(draws, script, losses, at),
        _ => second_loss(draws, script, losses, at),
    }
}

/// A disk that takes long, or links that do.
fn slowness(draws: &mut Draws, core: u32, at: u32) -> Fault {
    let lasts = draws.of(300, 4_500);
    match draws.of(0, 5) {
        0 => Fault::SlowLinks { core, by: draws.of(20, 250), at, lasts },
        1 | 2 => Fault::Disk { core, what: DiskFault::Slow(draws.of(5, 300)), at, lasts },
        3 => Fault::Disk { core, what: DiskFault::Full, at, lasts },
        _ => Fault::Disk { core, what: DiskFault::Stall, at, lasts },
    }
}

/// Machines come, or come back empty, within a moment, while disks or links are slow at some.
fn changes_close_together(draws: &mut Draws, script: &mut Script, losses: &mut Losses, at: u32) {
    let longest = draws.of(200, MAX_CLOSE);
    let close = draws.of(100, longest);
    let at = at + MAX_DOWN;
    let machines = script.cores + LATER_MACHINES;
    for _ in 0..draws.of(1, 2) {
        let (core, from) = (draws.of(0, machines - 1), at + draws.of(0, 2 * close));
        script.faults.push(slowness(draws, core, from - close));
    }
    // What was wiped is repaired only once the slow copies are there.
    let slow = script.faults.iter().map(|fault| fault.span()).map(|(at, lasts)| at + lasts).max();
    for _ in 0..draws.of(2, 4) {
        let comes = at + draws.of(0, close);
        let core = draws.of(0, script.cores - 1);
        if draws.one_in(2) {
            script.faults.push(Fault::Spare { at: comes });
        } else {
            loses_disk(draws, script, losses, core, (comes, slow.unwrap_or(0)));
        }
    }
}

/// A machine loses its disk, and it or another one comes with an empty one at that moment.
fn loses_disk(
    draws: &mut Draws,
    script: &mut Script,
    losses: &mut Losses,
    core: u32,
    (comes, repaired): (u32, u32),
) {
    let replaced = script.faults.iter().any(|fault| matches!(fault, Fault::Replace { .. }));
    let planned = !replaced && draws.one_in(6);
    let lasts = if planned { draws.of(4_000, 10_000) } else { draws.of(150, MAX_DOWN) };
    let at = if planned { comes } else { comes.saturating_sub(lasts).max(READY) };
    if !losses.take(core, at, repaired.max(at + lasts)) {
        return;
    }
    let replace = planned || !replaced && draws.one_in(4);
    script.faults.push(match replace {
        true => Fault::Replace { core, planned, at, lasts },
        false => Fault::Wipe { core, at, lasts },
    });
}

/// Two machines that can't reach each other, beside one that would take a place, and perhaps a loss.
fn unreachable_for_one(draws: &mut Draws, script: &mut Script, losses: &mut Losses, at: u32) {
    let machines = script.cores + 1;
    let core = draws.of(0, machines - 1);
    let other = (core + draws.of(1, machines - 1)) % machines;
    let way = [Way::Both, Way::In, Way::Out][draws.of(0, 2) as usize];
    let lasts = draws.of(500, 6_000);
    // With one of the two down the other one has a further member less.
    if !losses.take(core, at, at + lasts) {
        return;
    }
    script.faults.push(Fault::PairCut { core, other, way, at, lasts });
    let spare = (at + draws.of(0, 4_000)).saturating_sub(3_000).max(READY);
    script.faults.push(Fault::Spare { at: spare });
    if draws.one_in(2) {
        second(draws, script, losses, at + lasts + SETTLE);
    }
}

/// One machine misses changes, and another one that holds them is told to end.
fn leaver(draws: &mut Draws, script: &mut Script, losses: &mut Losses, at: u32) {
    let core = draws.of(0, script.cores - 1);
    let other = (core + draws.of(1, script.cores - 1)) % script.cores;
    let lasts = draws.of(500, 4_500);
    let what = match draws.of(0, 3) {
        0 => DiskFault::Slow(draws.of(20, 200)),
        1 => DiskFault::Full,
        _ => DiskFault::Stall,
    };
    let told = at + draws.of(0, lasts);
    if !losses.take(core, at, told.max(at + lasts)) {
        return;
    }
    if draws.one_in(2) {
        script.faults.push(Fault::Spare { at: READY.max(at.saturating_sub(draws.of(0, 3_000))) });
    }
    script.faults.push(Fault::Disk { core: other, what, at, lasts });
    script.faults.push(Fault::Term { core, at: told, lasts: draws.of(600, 4_500) });
    if draws.one_in(2) {
        second(draws, script, losses, told.max(at + lasts) + SETTLE);
    }
}

/// A member is lost with its disk, and another one as soon as the first counts as repaired.
fn second_loss(draws: &mut Draws, script: &mut Script, losses: &mut Losses, at: u32) {
    let core = draws.of(0, script.cores - 1);
    let before = script.faults.len();
    loses_disk(draws, script, losses, core, (at + MAX_DOWN, 0));
    let Some((from, lasts)) = script.faults.get(before).map(|fault| fault.span()) else { return };
    if draws.one_in(3) {
        script.faults.push(Fault::Spare { at: from + draws.of(0, MAX_CLOSE) });
    }
    second(draws, script, losses, from + lasts + SETTLE);
}

/// A loss as soon as it may be.
fn second(draws: &mut Draws, script: &mut Script, losses: &mut Losses, earliest: u32) {
    let core = draws.of(0, script.cores - 1);
    let gone = |fault: &Fault| matches!(fault, Fault::Replace { core: gone, .. } if *gone == core);
    if script.faults.iter().any(gone) {
        return;
    }
    let (at, lasts) = (earliest + draws.of(0, 200), draws.of(150, 4_000));
    if !losses.take(core, at, at + lasts) {
        return;
    }
    script.faults.push(match draws.of(0, 4) {
        0 => Fault::Kill { core, at, lasts },
        1 => Fault::Power { core, at, lasts },
        2 => Fault::Freeze { core, at, lasts },
        _ => Fault::Wipe { core, at, lasts },
    });
}
