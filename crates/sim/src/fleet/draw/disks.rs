//! Disk faults: disks that refuse, stall or are slow just as values are accepted or endpoints leave,
//! followed by a loss of power; and disks that are rolled back to an older state.

use super::READY_MS;
use super::failure_budget::{FailureBudget, REPAIR_MS};
use crate::draw::Draws;
use crate::fleet::script::{Departure, DiskFault, EndpointPlan, Fault, Script};

/// Before a disk is rolled back, no other fault occurs for this long, so that the other members hold the
/// newest value; milliseconds.
const QUIET_MS: u32 = 5_000;
/// Time after which endpoints that start once the members are up are known everywhere, in milliseconds.
const PROPAGATION_MS: u32 = 1_500;
/// Agents are cut off, and disks are slow, from this long before endpoints leave, in milliseconds.
const LEAD_MS: u32 = 300;
/// Stalls of several disks start within this time of each other, in milliseconds.
const STALL_SPREAD_MS: u32 = 400;

/// Draws one kind of disk fault and adds it to the script.
pub fn draw(draws: &mut Draws, script: &mut Script, budget: &mut FailureBudget, length: u32) {
    let at = draws.of(READY_MS, length);
    match draws.of(0, 7) {
        0..=2 => disk_fault_with_power_loss(draws, script, budget, at),
        3 => several_disks_stall(draws, script, budget, at),
        4 | 5 => disk_rollback(draws, script, budget, at),
        _ => departures_before_power_loss(draws, script, budget, at),
    }
}

fn disk_fault(draws: &mut Draws) -> DiskFault {
    match draws.of(0, 5) {
        0 => DiskFault::Slow(draws.of(5, 200)),
        1 => DiskFault::Stall,
        2 => DiskFault::FailingSync,
        _ => DiskFault::Full,
    }
}

/// The disk of one machine refuses writes or is late, and power may be lost at that machine or at all of
/// them.
fn disk_fault_with_power_loss(draws: &mut Draws, script: &mut Script, budget: &mut FailureBudget, at: u32) {
    let core = draws.of(0, script.cores - 1);
    let lasts = draws.of(150, 4_500);
    let power = draws.of(0, 2);
    let power_loss_lasts = draws.of(100, 1_500);
    let power_loss_at = at + draws.of(0, lasts + 1_000);
    let until = (at + lasts).max(power_loss_at + power_loss_lasts);
    let is_allowed = match power {
        0 => budget.reserve_all(script.cores, at, until),
        _ => budget.reserve(core, at, until),
    };
    if !is_allowed {
        return;
    }
    script.faults.push(Fault::Disk { core, what: disk_fault(draws), at, lasts });
    match power {
        0 => script.faults.push(Fault::PowerAll { at: power_loss_at, lasts: power_loss_lasts }),
        1 => script.faults.push(Fault::Power { core, at: power_loss_at, lasts: power_loss_lasts }),
        _ => {}
    }
}

/// Endpoints leave while disks are slow and all agents are cut off, and power is lost everywhere at about
/// the time of the acknowledgements. After that only the disks hold what the agents must learn.
fn departures_before_power_loss(
    draws: &mut Draws,
    script: &mut Script,
    budget: &mut FailureBudget,
    at: u32,
) {
    let at = at.max(READY_MS + PROPAGATION_MS);
    let power_loss_at = at + draws.of(2, 700);
    let power_loss_lasts = draws.of(150, 1_500);
    if !budget.reserve_all(script.cores, at, power_loss_at + power_loss_lasts) {
        return;
    }
    for core in 0..script.cores {
        let what = DiskFault::Slow(draws.of(10, 150));
        script.faults.push(Fault::Disk {
            core,
            what,
            at: at - LEAD_MS,
            lasts: power_loss_at - at + LEAD_MS,
        });
    }
    for _ in 0..draws.of(2, 5) {
        let plan = EndpointPlan::steady(draws.of(0, script.cores - 1), READY_MS);
        let leaves = Some((draws.of(at, power_loss_at), Departure::Deregisters));
        script.endpoints.push(EndpointPlan { leaves, ..plan });
    }
    for agent in 0..script.agents {
        let lasts = power_loss_at + power_loss_lasts - at + LEAD_MS + draws.of(0, 2_000);
        script.faults.push(Fault::AgentCut { agent, but: None, at: at - LEAD_MS, lasts });
    }
    script.faults.push(Fault::PowerAll { at: power_loss_at, lasts: power_loss_lasts });
}

/// Removes packet loss around disk rollbacks: members learn of each other's disks by probes every 250 ms,
/// and if these take seconds no other member may know that a disk was rolled back.
pub fn remove_loss_around_disk_rollbacks(script: &mut Script) {
    let rollbacks = script.faults.iter().filter(|fault| matches!(fault, Fault::OlderDisk { .. }));
    let spans: Vec<(u32, u32)> = rollbacks.map(Fault::span).collect();
    script.faults.retain(|fault| {
        let (from, lasts) = fault.span();
        let overlaps =
            |(at, down): &(u32, u32)| from < at + down + REPAIR_MS && from + lasts + QUIET_MS > *at;
        !matches!(fault, Fault::Loss { .. }) || !spans.iter().any(overlaps)
    });
}

/// Several disks stall or are slow at the same time: nothing is lost, but rounds take longer than callers wait.
fn several_disks_stall(draws: &mut Draws, script: &mut Script, budget: &mut FailureBudget, at: u32) {
    let lasts = draws.of(300, 3_000);
    if !budget.reserve_all(script.cores, at, at + lasts + STALL_SPREAD_MS) {
        return;
    }
    let first = draws.of(0, script.cores - 1);
    for n in 0..draws.of(2, script.cores) {
        let core = (first + n) % script.cores;
        let what = if draws.one_in(2) { DiskFault::Stall } else { DiskFault::Slow(draws.of(20, 300)) };
        let from = at + draws.of(0, STALL_SPREAD_MS);
        script.faults.push(Fault::Disk { core, what, at: from, lasts });
    }
}

/// A machine comes back with an older state of its disk.
fn disk_rollback(draws: &mut Draws, script: &mut Script, budget: &mut FailureBudget, at: u32) {
    let at = at.max(READY_MS + QUIET_MS);
    let core = draws.of(0, script.cores - 1);
    let (age, lasts) = (draws.of(100, 8_000), draws.of(150, 3_000));
    let others_healthy = budget.reserve_all(script.cores, at - QUIET_MS, at + lasts);
    if others_healthy {
        script.faults.push(Fault::OlderDisk { core, age, at, lasts });
        let second = at + lasts + REPAIR_MS + draws.of(0, 200);
        let other = (core + draws.of(1, script.cores - 1)) % script.cores;
        let down_lasts = draws.of(150, 3_000);
        if draws.one_in(2) && budget.reserve(other, second, second + down_lasts) {
            script.faults.push(Fault::Kill { core: other, at: second, lasts: down_lasts });
        }
    }
}
