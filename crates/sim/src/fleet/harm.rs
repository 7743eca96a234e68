//! What faults do to machines, for the oracle: when a machine was harmed, slowed or cut off from all others of the core.

use crate::fleet::facts::Harm;
use crate::fleet::script::{Fault, Script};
use std::time::Duration;

/// After a loss of power a machine takes a moment more than the fault lasts.
const RESTART: u32 = 50;
/// A process that is told to end gets so long before it is killed.
pub const GRACE: u32 = 3_700;

fn ms(time: u32) -> Duration {
    Duration::from_millis(time.into())
}

fn of_core(core: u32, at: u32, lasts: u32) -> Harm {
    let (from, until) = (ms(at), ms(at + lasts + RESTART));
    Harm {
        core: Some(core),
        agent: None,
        from,
        until,
        isolates: false,
        slows: false,
        disk: false,
        stands_still: false,
        delay: Duration::ZERO,
    }
}

fn of_agent(agent: u32, at: u32, lasts: u32) -> Harm {
    Harm { core: None, agent: Some(agent), ..of_core(0, at, lasts) }
}

/// When a fault resets all connections of which core machine.
pub fn reset_of(fault: &Fault) -> Option<(u32, Duration)> {
    match fault {
        Fault::Cut { core, resets: true, at, .. } | Fault::Reset { core, at } => Some((*core, ms(*at))),
        _ => None,
    }
}

/// What a fault does to which machines.
pub fn of(script: &Script, fault: &Fault) -> Vec<Harm> {
    let (at, lasts) = fault.span();
    match fault {
        Fault::Cut { core, resets, .. } => {
            let until = ms(at + lasts);
            let mut harms = vec![Harm { isolates: true, until, ..of_core(*core, at, lasts) }];
            if *resets {
                // Its connections to agents break as well.
                harms.extend((0..script.agents).map(|agent| of_agent(agent, at, 0)));
            }
            harms
        }
        Fault::SlowLinks { core, by, .. } => {
            vec![Harm { slows: true, delay: ms(*by), ..of_core(*core, at, lasts) }]
        }
        Fault::Loss { core, .. } => vec![Harm { slows: true, ..of_core(*core, at, lasts) }],
        Fault::Freeze { core, .. } => {
            vec![Harm { stands_still: true, ..of_core(*core, at, lasts) }]
        }
        Fault::Disk { core, .. } => vec![Harm { disk: true, ..of_core(*core, at, lasts) }],
        Fault::Reset { core, .. }
        | Fault::Kill { core, .. }
        | Fault::Power { core, .. }
        | Fault::Wipe { core, .. }
        | Fault::Replace { core, .. }
        | Fault::OlderDisk { core, .. } => vec![of_core(*core, at, lasts)],
        Fault::Term { core, .. } => vec![of_core(*core, at, lasts.max(GRACE))],
        Fault::KillAll { .. } | Fault::PowerAll { .. } => {
            (0..script.machines()).map(|core| of_core(core, at, lasts)).collect()
        }
        Fault::Roll { gap, .. } => {
            let turn = |core: u32| of_core(core, at + core * gap, *gap);
            (0..script.cores).map(turn).collect()
        }
        // Each of the two is in touch with all others.
        Fault::PairCut { .. } | Fault::Spare { .. } | Fault::Seeds { .. } => {
            vec![of_core(u32::MAX, at, lasts)]
        }
        Fault::AgentCut { agent, .. }
        | Fault::AgentKill { agent, .. }
        | Fault::AgentFreeze { agent, .. } => vec![of_agent(*agent, at, lasts)],
    }
}
