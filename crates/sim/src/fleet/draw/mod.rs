//! Scripts from seeds. A seed draws a part of the kinds of fault (swarm testing), so that rare combinations come about that
//! a mixture of all would bury; no more core machines are lost at once than the tolerance bears.

mod faults;
mod losses;
mod requests;

use crate::draw::Draws;
use crate::fleet::script::Script;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

/// The members have come together by then.
const READY: u32 = 1_500;

/// The script of a seed.
pub fn script(seed: u64) -> Script {
    let mut draws = Draws(Pcg32::seed_from_u64(seed ^ 0xf1ee7));
    let five = draws.one_in(6);
    let least = draws.of(1, 3);
    let mut script = Script {
        seed,
        cores: if five { 5 } else { 3 },
        agents: draws.of(1, 3),
        tolerance: if five { 2 } else { 1 },
        latency_ms: (least, least + draws.of(0, 5)),
        split: if draws.one_in(3) { draws.of(1, 40) } else { 0 },
        healed_ms: 0,
        requests: Vec::new(),
        endpoints: Vec::new(),
        faults: Vec::new(),
    };
    let mut length = draws.of(6_000, 14_000);
    faults::draw(&mut draws, &mut script, length);
    let last = script.faults.iter().map(|fault| fault.span()).map(|(at, lasts)| at + lasts).max();
    length = length.max(last.unwrap_or(0));
    script.healed_ms = length;
    requests::draw(&mut draws, &mut script, length);
    requests::endpoints(&mut draws, &mut script, length);
    script
}
