//! Generates the script of a round of the fleet from a seed.
//!
//! A round has up to two phases. In the first, any number of members at a time are killed, paused or cut off and keep
//! their disks. In the optional second phase disks are lost or restored from an older copy: never more at once than
//! the fleet tolerates, without other faults of members from [`SETTLE_MS`] before, and often with a power failure
//! right after the cluster has settled.

use super::script::{Cut, Fault, FaultKind, Script};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Time after its return until a member no longer counts as lost.
pub const SETTLE_MS: u32 = 5_000;
/// Duration of a long pause or cut.
const LONG_MS: u32 = 20_000;

struct Random(Pcg32);

impl Random {
    fn below(&mut self, bound: u32) -> u32 {
        self.0.next_u32() % bound.max(1)
    }

    fn one_in(&mut self, many: u32) -> bool {
        self.below(many) == 0
    }

    fn member(&mut self, members: usize) -> usize {
        self.below(members as u32) as usize
    }

    fn cut(&mut self) -> Cut {
        match self.below(6) {
            0..=2 => Cut::Both,
            3 => Cut::Outbound,
            4 => Cut::Inbound,
            _ => Cut::Refused,
        }
    }

    fn outage(&mut self, members: usize) -> FaultKind {
        let member = self.member(members);
        let other = (member + 1 + self.member(members - 1)) % members;
        match self.below(12) {
            0..=2 => FaultKind::Kill { member },
            3 => FaultKind::Terminate { member },
            4 => FaultKind::PowerOff,
            5 | 6 => FaultKind::Stop { member },
            7..=9 => FaultKind::CutMember { member, cut: self.cut() },
            _ => FaultKind::CutPair { member, other },
        }
    }

    fn agent_outage(&mut self, agents: usize) -> FaultKind {
        let agent = self.member(agents);
        match self.below(3) {
            0 => FaultKind::CutAgent { agent },
            1 => FaultKind::KillAgent { agent },
            _ => FaultKind::StopAgent { agent },
        }
    }

    fn disk_loss(&mut self, member: usize) -> FaultKind {
        match self.below(3) {
            0 => FaultKind::Wipe { member },
            1 => FaultKind::Restore { member, age: 500 + self.below(3_000) },
            _ => FaultKind::Replace { member },
        }
    }

    /// Generates overlapping outages; returns the time when the last one ends.
    fn first_phase(&mut self, script: &mut Script) -> u32 {
        let window = 3_000 + self.below(3_000);
        let mut over = window;
        for _ in 0..2 + self.below(4) {
            let fault = Fault {
                at: self.below(window),
                lasts: 200 + self.below(4_000),
                what: self.outage(script.members),
            };
            over = over.max(fault.at + fault.lasts);
            script.faults.push(fault);
        }
        if self.one_in(4) {
            let member = self.member(script.members);
            let what = if self.one_in(2) {
                FaultKind::Stop { member }
            } else {
                FaultKind::CutMember { member, cut: self.cut() }
            };
            script.faults.push(Fault { at: 500, lasts: LONG_MS, what });
            over = over.max(500 + LONG_MS);
        }
        over
    }

    /// Generates disk losses and possibly a power failure after them; returns the time when all of them have ended.
    fn second_phase(&mut self, script: &mut Script, from: u32) -> u32 {
        let at = from + SETTLE_MS;
        let first = self.member(script.members);
        let mut over = at;
        for n in 0..if script.members == 5 { 1 + self.below(2) as usize } else { 1 } {
            let what = self.disk_loss((first + n) % script.members);
            let age = if let FaultKind::Restore { age, .. } = what { age } else { 0 };
            let fault = Fault { at: at + self.below(500), lasts: 200 + self.below(2_000), what };
            over = over.max(fault.at + fault.lasts + age);
            script.faults.push(fault);
        }
        over += SETTLE_MS;
        if self.one_in(2) {
            let member = (first + 1) % script.members;
            let what = if self.one_in(2) { FaultKind::PowerOff } else { FaultKind::Kill { member } };
            script.faults.push(Fault { at: over, lasts: 300, what });
            over += 600;
        }
        over
    }
}

/// Generates the round of a seed.
pub fn script(seed: u64) -> Script {
    let mut rng = Random(Pcg32::seed_from_u64(seed ^ 0x666c_6565));
    let members = if rng.one_in(4) { 5 } else { 3 };
    let pause = [5, 60, 250][rng.below(3) as usize];
    let mut script =
        Script { seed, members, agents: 2, lasts: 0, pause, quiet_from: None, faults: Vec::new() };
    let mut over = rng.first_phase(&mut script);
    if rng.one_in(2) {
        if rng.one_in(3) {
            script.quiet_from = Some(over);
        }
        over = rng.second_phase(&mut script, over);
    }
    for _ in 0..rng.below(3) {
        let what = rng.agent_outage(script.agents);
        script.faults.push(Fault { at: rng.below(over), lasts: 200 + rng.below(4_000), what });
    }
    script.lasts = over + 500;
    script.faults.sort_by_key(|fault| fault.at);
    script
}
