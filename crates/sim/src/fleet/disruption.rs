//! Derives the effects of faults on machines for the oracle: when a machine was disrupted, slowed or cut
//! off from all other core machines.

use crate::fleet::facts::Disruption;
use crate::fleet::script::{Fault, Script};
use std::time::Duration;

/// A machine counts as affected for this long after its fault ends, since it has to restart after a loss of
/// power; milliseconds.
const RESTART_MS: u32 = 50;
/// Time that a process has to end after SIGTERM before it is killed, in milliseconds.
pub const SHUTDOWN_GRACE_MS: u32 = 3_700;

fn ms(time: u32) -> Duration {
    Duration::from_millis(time.into())
}

fn on_core(core: u32, at: u32, lasts: u32) -> Disruption {
    let (from, until) = (ms(at), ms(at + lasts + RESTART_MS));
    Disruption {
        core: Some(core),
        agent: None,
        from,
        until,
        isolates: false,
        degraded: false,
        disk_only: false,
        freezes: false,
        delay: Duration::ZERO,
    }
}

fn on_agent(agent: u32, at: u32, lasts: u32) -> Disruption {
    Disruption { core: None, agent: Some(agent), ..on_core(0, at, lasts) }
}

/// The core machine whose connections a fault resets, and when.
pub fn connection_reset_of(fault: &Fault) -> Option<(u32, Duration)> {
    match fault {
        Fault::Cut { core, resets: true, at, .. } | Fault::Reset { core, at } => Some((*core, ms(*at))),
        _ => None,
    }
}

/// The effects of a fault on machines.
pub fn disruptions_of(script: &Script, fault: &Fault) -> Vec<Disruption> {
    let (at, lasts) = fault.span();
    match fault {
        Fault::Cut { core, resets, .. } => {
            let until = ms(at + lasts);
            let mut disruptions = vec![Disruption { isolates: true, until, ..on_core(*core, at, lasts) }];
            if *resets {
                // The connections to agents are reset as well.
                disruptions.extend((0..script.agents).map(|agent| on_agent(agent, at, 0)));
            }
            disruptions
        }
        Fault::SlowLinks { core, by, .. } => {
            vec![Disruption { degraded: true, delay: ms(*by), ..on_core(*core, at, lasts) }]
        }
        Fault::Loss { core, .. } => vec![Disruption { degraded: true, ..on_core(*core, at, lasts) }],
        Fault::Freeze { core, .. } => {
            vec![Disruption { freezes: true, ..on_core(*core, at, lasts) }]
        }
        Fault::Disk { core, .. } => vec![Disruption { disk_only: true, ..on_core(*core, at, lasts) }],
        Fault::Reset { core, .. }
        | Fault::Kill { core, .. }
        | Fault::Power { core, .. }
        | Fault::Wipe { core, .. }
        | Fault::Replace { core, .. }
        | Fault::OlderDisk { core, .. } => vec![on_core(*core, at, lasts)],
        Fault::Term { core, .. } => vec![on_core(*core, at, lasts.max(SHUTDOWN_GRACE_MS))],
        Fault::KillAll { .. } | Fault::PowerAll { .. } => {
            (0..script.machine_count()).map(|core| on_core(core, at, lasts)).collect()
        }
        Fault::Roll { gap, .. } => {
            let restart_of = |core: u32| on_core(core, at + core * gap, *gap);
            (0..script.cores).map(restart_of).collect()
        }
        // Each of the two machines of a pair cut can still reach all others.
        Fault::PairCut { .. } | Fault::Spare { .. } | Fault::Seeds { .. } => {
            vec![on_core(u32::MAX, at, lasts)]
        }
        Fault::AgentCut { agent, .. }
        | Fault::AgentKill { agent, .. }
        | Fault::AgentFreeze { agent, .. } => vec![on_agent(*agent, at, lasts)],
    }
}
