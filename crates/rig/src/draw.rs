//! Rounds drawn from a seed.

use crate::script::{Fault, How, Script, What, Who};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

struct Draws(Pcg32);

impl Draws {
    fn below(&mut self, most: u32) -> u32 {
        self.0.next_u32() % most.max(1)
    }

    fn who(&mut self, instances: u32) -> Who {
        // Whoever leads is worth the most.
        if self.below(2) == 0 { Who::Leader } else { Who::Instance(self.below(instances)) }
    }

    fn how(&mut self) -> How {
        match self.below(10) {
            0..=2 => How::Held,
            3 => How::HeldThere,
            4 => How::HeldBack,
            5 => How::Refused,
            6 => How::Reset,
            7 => How::Late(50 + self.below(200)),
            8 => How::Slow(1 + self.below(64)),
            _ => How::Flaps(2 + self.below(9)),
        }
    }
}

/// The round of a seed: three instances or five, a few faults that overlap, a drain and proxies that move in each.
pub fn script(seed: u64) -> Script {
    let mut draws = Draws(Pcg32::seed_from_u64(seed ^ 0x5269_6721));
    let instances = if draws.below(4) == 0 { 5 } else { 3 };
    let (proxies, lasts) = (4, 5_000 + draws.below(3_000));
    let mut faults: Vec<Fault> = Vec::new();
    for _ in 0..2 + draws.below(4) {
        let who = draws.who(instances);
        let what = match draws.below(16) {
            0..=3 => What::Cut { who, how: draws.how() },
            4 | 5 => {
                let (from, to) = (draws.below(instances), draws.below(instances));
                let to = if to == from { (to + 1) % instances } else { to };
                What::Link { from: Who::Instance(from), to: Who::Instance(to), how: draws.how() }
            }
            6 | 7 => What::Blind { who },
            8..=10 => What::Kill { who },
            // Two folders lost may be a majority of three: then nobody can help.
            11 if !faults.iter().any(|fault| matches!(fault.what, What::Lose { .. })) => What::Lose { who },
            11 => What::Kill { who },
            12 | 13 => What::Stop { who },
            14 => What::End { who },
            _ if draws.below(2) == 0 => What::PowerOff,
            _ => What::Transfer { to: draws.below(instances) },
        };
        faults.push(Fault { at: draws.below(lasts - 1_000), lasts: 200 + draws.below(3_000), what });
    }
    for _ in 0..1 + draws.below(2) {
        faults.push(Fault { at: draws.below(lasts - 500), lasts: 0, what: What::Drain });
    }
    for _ in 0..1 + draws.below(4) {
        let what = What::Move { proxy: draws.below(proxies), to: draws.below(instances) };
        faults.push(Fault { at: draws.below(lasts), lasts: 0, what });
    }
    if draws.below(2) == 0 {
        faults.push(Fault { at: draws.below(lasts - 500), lasts: 0, what: What::Apply });
    }
    faults.sort_by_key(|fault| fault.at);
    Script { seed, instances, proxies, lasts, faults }
}
