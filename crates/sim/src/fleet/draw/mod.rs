//! Generates scripts from seeds. Each script uses only a few kinds of fault (swarm testing), so that
//! combinations come up that a uniform mix would hardly ever produce. No more core machines fail at once
//! than the cluster tolerates.

mod contact;
mod disks;
mod failure_budget;
mod faults;
mod membership;
mod requests;

use crate::draw::Draws;
use crate::fleet::draw::failure_budget::FailureBudget;
use crate::fleet::script::{Fault, Script};
use clap::ValueEnum;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

/// Time by which the members have formed a cluster, in milliseconds.
const READY_MS: u32 = 1_500;
/// Separates the random draws for themes from all others, so that scripts without a theme do not depend on
/// them.
const THEME_SEED: u64 = 0x7e3e_5eed;

/// The area in which the faults of a script concentrate, close together in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Theme {
    /// Loss of contact between members, starting agents, and leaving endpoints.
    Contact,
    /// Membership changes.
    Membership,
    /// Disk faults.
    Disks,
}

/// Draws a theme; some scripts have none.
fn theme_of(theme_draws: &mut Draws) -> Option<Theme> {
    match theme_draws.of(0, 19) {
        0..8 => Some(Theme::Contact),
        8..15 => Some(Theme::Membership),
        15..19 => Some(Theme::Disks),
        _ => None,
    }
}

/// The script of a seed.
pub fn script(seed: u64) -> Script {
    script_of(None, seed)
}

/// The script of a seed, with the given theme or, if `None`, the theme that the seed draws.
pub fn script_of(theme: Option<Theme>, seed: u64) -> Script {
    let mut theme_draws = Draws(Pcg32::seed_from_u64(seed ^ THEME_SEED));
    let of_seed = theme_of(&mut theme_draws);
    draw_script(seed, theme.or(of_seed), theme_draws)
}

fn draw_script(seed: u64, theme: Option<Theme>, mut theme_draws: Draws) -> Script {
    let mut draws = Draws(Pcg32::seed_from_u64(seed ^ 0xf1ee7));
    // Five members tolerate slow disks in addition to a loss.
    let has_five_cores = draws.one_in(6) || theme == Some(Theme::Membership) && theme_draws.one_in(3);
    let min_latency = draws.of(1, 3);
    let mut script = Script {
        seed,
        cores: if has_five_cores { 5 } else { 3 },
        agents: draws.of(1, 3),
        tolerance: if has_five_cores { 2 } else { 1 },
        latency_ms: (min_latency, min_latency + draws.of(0, 5)),
        split: if draws.one_in(3) { draws.of(1, 40) } else { 0 },
        healed_ms: 0,
        requests: Vec::new(),
        endpoints: Vec::new(),
        faults: Vec::new(),
    };
    let mut length = draws.of(6_000, 14_000);
    let mut budget = FailureBudget::new(script.tolerance);
    match theme {
        Some(Theme::Contact) => contact::draw(&mut theme_draws, &mut script, &mut budget),
        Some(Theme::Membership) => membership::draw(&mut theme_draws, &mut script, &mut budget, length),
        Some(Theme::Disks) => disks::draw(&mut theme_draws, &mut script, &mut budget, length),
        None => {}
    }
    // A cluster of five machines has only three members until the first configuration is committed, and a
    // fault at any time may delay that.
    let may_mix = theme == Some(Theme::Contact) || script.tolerance == 1;
    let mixed = may_mix && theme_draws.one_in(3);
    if theme.is_none() || mixed {
        faults::draw(&mut draws, &mut script, &mut budget, length);
    }
    if theme == Some(Theme::Contact) {
        // The machine that a contact scenario is about is not removed for good.
        script.faults.retain(|fault| !matches!(fault, Fault::Replace { .. }));
    }
    failure_budget::remove_early_disk_losses(&mut script);
    disks::remove_loss_around_disk_rollbacks(&mut script);
    let last = script.faults.iter().map(|fault| fault.span()).map(|(at, lasts)| at + lasts).max();
    length = length.max(last.unwrap_or(0));
    script.healed_ms = length;
    requests::draw(&mut draws, &mut script, length);
    requests::draw_endpoints(&mut draws, &mut script, length);
    script
}
