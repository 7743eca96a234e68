//! Generates the script of a round from a seed.

use crate::script::{Fault, FaultKind, InstanceRef, LinkFault, Script};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

struct Random(Pcg32);

impl Random {
    fn below(&mut self, bound: u32) -> u32 {
        self.0.next_u32() % bound.max(1)
    }

    fn who(&mut self, instances: u32) -> InstanceRef {
        // Faults at the leader exercise the most code, so half of them hit it.
        if self.below(2) == 0 { InstanceRef::Leader } else { InstanceRef::Instance(self.below(instances)) }
    }

    fn how(&mut self) -> LinkFault {
        match self.below(10) {
            0..=2 => LinkFault::Held,
            3 => LinkFault::HeldThere,
            4 => LinkFault::HeldBack,
            5 => LinkFault::Refused,
            6 => LinkFault::Reset,
            7 => LinkFault::Late(50 + self.below(200)),
            8 => LinkFault::Slow(1 + self.below(64)),
            _ => LinkFault::Flaps(2 + self.below(9)),
        }
    }
}

/// Generates the round of a seed: three or five instances, a few overlapping faults, drains, and proxies that move to
/// another instance.
pub fn script(seed: u64) -> Script {
    let mut rng = Random(Pcg32::seed_from_u64(seed ^ 0x5269_6721));
    let instances = if rng.below(4) == 0 { 5 } else { 3 };
    let (proxies, lasts) = (4, 5_000 + rng.below(3_000));
    let mut faults: Vec<Fault> = Vec::new();
    for _ in 0..2 + rng.below(4) {
        let who = rng.who(instances);
        let what = match rng.below(16) {
            0..=3 => FaultKind::Cut { who, how: rng.how() },
            4 | 5 => {
                let (from, to) = (rng.below(instances), rng.below(instances));
                let to = if to == from { (to + 1) % instances } else { to };
                FaultKind::Link {
                    from: InstanceRef::Instance(from),
                    to: InstanceRef::Instance(to),
                    how: rng.how(),
                }
            }
            6 | 7 => FaultKind::Blind { who },
            8..=10 => FaultKind::Kill { who },
            // Losing two data folders may lose a majority of three, which can't be recovered from.
            11 if !faults.iter().any(|fault| matches!(fault.what, FaultKind::Lose { .. })) => {
                FaultKind::Lose { who }
            }
            11 => FaultKind::Kill { who },
            12 | 13 => FaultKind::Stop { who },
            14 => FaultKind::End { who },
            _ if rng.below(2) == 0 => FaultKind::PowerOff,
            _ => FaultKind::Transfer { to: rng.below(instances) },
        };
        faults.push(Fault { at: rng.below(lasts - 1_000), lasts: 200 + rng.below(3_000), what });
    }
    for _ in 0..1 + rng.below(2) {
        faults.push(Fault { at: rng.below(lasts - 500), lasts: 0, what: FaultKind::Drain });
    }
    for _ in 0..1 + rng.below(4) {
        let what = FaultKind::Move { proxy: rng.below(proxies), to: rng.below(instances) };
        faults.push(Fault { at: rng.below(lasts), lasts: 0, what });
    }
    if rng.below(2) == 0 {
        faults.push(Fault { at: rng.below(lasts - 500), lasts: 0, what: FaultKind::Apply });
    }
    faults.sort_by_key(|fault| fault.at);
    Script { seed, instances, proxies, lasts, faults }
}
