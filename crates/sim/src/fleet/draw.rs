//! Scripts from seeds. A seed draws a part of the kinds of fault (swarm testing), so that rare combinations come about that
//! a mixture of all would bury; no more core machines are lost at once than the tolerance bears.

use crate::draw::Draws;
use crate::fleet::script::{
    DiskFault, EndpointPlan, Fault, From, Leaving, Manner, Request, RequestKind, Script, Way,
};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

/// The members have come together by then.
const READY: u32 = 1_500;
/// A machine that was lost counts as lost for so long after it is back.
const SETTLE: u32 = 4_000;
/// Operators.
const OPERATORS: u32 = 4;

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
    faults(&mut draws, &mut script, length);
    let last = script.faults.iter().map(|fault| fault.span()).map(|(at, lasts)| at + lasts).max();
    length = length.max(last.unwrap_or(0));
    script.healed_ms = length;
    requests(&mut draws, &mut script, length);
    endpoints(&mut draws, &mut script, length);
    script
}

fn requests(draws: &mut Draws, script: &mut Script, length: u32) {
    let count = draws.of(12, 40);
    for _ in 0..count {
        let mut at = draws.of(100, length);
        // Right at the beginning or the end of a fault is where things go wrong.
        if !script.faults.is_empty() && draws.one_in(2) {
            let (begin, lasts) = script.faults[draws.of(0, script.faults.len() as u32 - 1) as usize].span();
            let edge = if draws.one_in(2) { begin } else { begin + lasts };
            at = (edge + draws.of(0, 600)).saturating_sub(200).max(100);
        }
        let (operator, member) = (draws.of(0, OPERATORS - 1), draws.of(0, 15));
        let what = request(draws);
        let request = Request { at, operator, member, what };
        if draws.one_in(4) {
            // Another operator does the same at the same time, under the same number.
            let (operator, member) = ((operator + 1) % OPERATORS, draws.of(0, 15));
            let what = RequestKind::Replace { step: 1, manner: Manner::Patient };
            script.requests.push(Request { at: at + draws.of(0, 12), operator, member, what });
        }
        script.requests.push(request);
    }
    script.requests.sort_by_key(|request| request.at);
}

fn request(draws: &mut Draws) -> RequestKind {
    match draws.of(0, 19) {
        0..=4 => RequestKind::Read,
        5..=9 => RequestKind::Replace { step: draws.of(1, 3), manner: Manner::Patient },
        10..=12 => RequestKind::Replace { step: 1, manner: Manner::Once },
        13..=15 => RequestKind::Replace { step: 1, manner: Manner::AnswerLost(draws.of(0, 40)) },
        16 => RequestKind::ReplaceStale { behind: draws.of(0, 4) as i32 - 2 },
        17 => RequestKind::ReplaceInvalid,
        _ => RequestKind::Repeat { back: draws.of(0, 6) },
    }
}

fn endpoints(draws: &mut Draws, script: &mut Script, length: u32) {
    for _ in 0..draws.of(1, 5) {
        let at = draws.of(200, length / 2);
        let leaving = match draws.of(0, 3) {
            0 | 1 => Some(Leaving::Drains),
            2 => Some(Leaving::Deregisters),
            _ => Some(Leaving::Crashes),
        };
        let leaves =
            leaving.filter(|_| !draws.one_in(4)).map(|how| (draws.of(at + 500, length + 1_000), how));
        script.endpoints.push(EndpointPlan { at, leaves, member: draws.of(0, 15) });
    }
}

/// Losses of core machines, so that never more are lost at once than may be.
struct Losses {
    tolerance: u32,
    lost: Vec<(u32, u32, u32)>,
}

impl Losses {
    /// Takes a loss in, if it may be.
    fn take(&mut self, core: u32, at: u32, until: u32) -> bool {
        let until = until + SETTLE;
        let overlaps = self.lost.iter().filter(|(_, from, to)| *from < until && at < *to);
        let mut others: Vec<u32> =
            overlaps.map(|(other, _, _)| *other).filter(|other| *other != core).collect();
        others.sort_unstable();
        others.dedup();
        let may = (others.len() as u32) < self.tolerance;
        if may {
            self.lost.push((core, at, until));
        }
        may
    }

    /// Nothing is lost in that time, and this is all of them.
    fn take_all(&mut self, cores: u32, at: u32, until: u32) -> bool {
        let until = until + SETTLE;
        let free = self.lost.iter().all(|(_, from, to)| *from >= until || at >= *to);
        if free {
            self.lost.extend((0..=cores + 8).map(|core| (core, at, until)));
        }
        free
    }
}

/// Kinds of fault that can be drawn.
const KINDS: u32 = 20;

fn faults(draws: &mut Draws, script: &mut Script, length: u32) {
    let mut losses = Losses { tolerance: script.tolerance, lost: Vec::new() };
    let kinds: Vec<u32> = (0..draws.of(1, 5)).map(|_| draws.of(0, KINDS - 1)).collect();
    // One machine is struck more than others: faults meet on it.
    let favourite = draws.of(0, script.cores - 1);
    let mut replaced = Vec::new();
    for _ in 0..draws.of(1, 7) {
        let kind = kinds[draws.of(0, kinds.len() as u32 - 1) as usize];
        let core = if draws.one_in(2) { favourite } else { draws.of(0, script.cores - 1) };
        if replaced.contains(&core) {
            continue;
        }
        let at = draws.of(READY, length);
        let long = draws.one_in(12);
        let lasts = if long { draws.of(8_000, 20_000) } else { draws.of(150, 4_500) };
        let fault = fault(draws, script, kind, core, (at, lasts));
        let (at, lasts) = fault.span();
        let may = match &fault {
            Fault::KillAll { .. } | Fault::PowerAll { .. } | Fault::Roll { .. } => {
                losses.take_all(script.cores, at, at + lasts)
            }
            Fault::Replace { .. } if !replaced.is_empty() => false,
            Fault::Cut { .. }
            | Fault::Kill { .. }
            | Fault::Freeze { .. }
            | Fault::Power { .. }
            | Fault::Disk { .. }
            | Fault::Wipe { .. }
            | Fault::Replace { .. }
            | Fault::Term { .. } => losses.take(core, at, at + lasts),
            _ => true,
        };
        if !may {
            continue;
        }
        if matches!(fault, Fault::Replace { .. }) {
            replaced.push(core);
        }
        script.faults.push(fault);
    }
}

fn fault(draws: &mut Draws, script: &Script, kind: u32, core: u32, (at, lasts): (u32, u32)) -> Fault {
    let agent = draws.of(0, script.agents - 1);
    match kind {
        0..=2 => cut(draws, core, at, lasts),
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
        17 => agent_fault(draws, script, agent, (at, lasts)),
        18 => Fault::Spare { at },
        _ => Fault::Seeds { first: draws.of(0, 2), at },
    }
}

fn cut(draws: &mut Draws, core: u32, at: u32, lasts: u32) -> Fault {
    let way = match draws.of(0, 3) {
        0 => Way::Out,
        1 => Way::In,
        _ => Way::Both,
    };
    let from = match draws.of(0, 3) {
        0 => From::All,
        1 => From::Near,
        _ => From::Cores,
    };
    Fault::Cut { core, way, from, resets: draws.one_in(4), at, lasts }
}

fn agent_fault(draws: &mut Draws, script: &Script, agent: u32, (at, lasts): (u32, u32)) -> Fault {
    match draws.of(0, 3) {
        0 => Fault::AgentCut { agent, but: None, at, lasts },
        1 => Fault::AgentCut { agent, but: Some(draws.of(0, script.cores - 1)), at, lasts },
        2 => Fault::AgentKill { agent, at, lasts: lasts.min(1_500) },
        _ => Fault::AgentFreeze { agent, at, lasts },
    }
}
