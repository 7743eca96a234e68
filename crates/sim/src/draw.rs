//! Generates scripts from seeds. Each seed enables a random subset of the fault kinds (swarm testing), so that rare
//! combinations occur that a mixture of all kinds would hide.

use crate::script::{
    Class, ClientBehavior, Fault, RequestPlan, ResponseFault, Script, default_connect_ms, default_window_ms,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Number of fault kinds that can be enabled.
const FAULT_KINDS: u32 = 19;
/// Longest delay of a duplicate response. The sidecar keeps a connection out of use for at least 5 ms after a response
/// (`docs/design/wire-speed.md`); it does not promise to catch an endpoint's first duplicate that comes later than that.
const MAX_DUPLICATE_DELAY_MS: u32 = 4;
const CLASSES: [Class; 3] = [Class::Quote, Class::Book, Class::Pay];
/// Gives `draw_extra_timings` a random stream of its own.
const EXTRA_DRAWS_SEED: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time of the first request, when the sidecars listen.
const FIRST_REQUEST_MS: u32 = 300;

/// Random number source of a script.
pub(crate) struct Draws(pub(crate) Pcg32);

impl Draws {
    /// A number in `least..=most`.
    pub(crate) fn of(&mut self, least: u32, most: u32) -> u32 {
        least + self.0.next_u32() % (most - least + 1)
    }

    /// True with a probability of 1 in `count`.
    pub(crate) fn one_in(&mut self, count: u32) -> bool {
        self.0.next_u32().is_multiple_of(count)
    }
}

/// The script of a seed.
pub fn script(seed: u64) -> Script {
    let mut d = Draws(Pcg32::seed_from_u64(seed));
    let sidecars = d.of(1, 2);
    let endpoints = d.of(2, 6);
    let length = if d.one_in(4) { d.of(12_000, 20_000) } else { d.of(4_000, 12_000) };
    let clients = d.of(1, 12);
    let latency = d.of(1, 4);
    let mut script = Script {
        seed,
        sidecars,
        latency_ms: (latency, latency + d.of(0, 6)),
        split: if d.one_in(2) { 0 } else { d.of(1, 60) },
        fall_tenths: d.of(12, 40),
        endpoints,
        connect_ms: default_connect_ms(),
        window_ms: default_window_ms(),
        uncancelled: false,
        asks: Vec::new(),
        faults: Vec::new(),
    };
    let mut request_count = d.of(30, 220);
    if d.one_in(8) {
        request_count += 200;
    }
    let with_malformed = d.one_in(3);
    let short_timeouts = d.one_in(3);
    for _ in 0..request_count {
        let class = CLASSES[d.of(0, 2) as usize];
        let manner = match d.of(0, 39) {
            0 if with_malformed => ClientBehavior::Rubbish,
            1 if with_malformed => ClientBehavior::Smuggles,
            2 if with_malformed => ClientBehavior::Pipelines,
            3 if with_malformed => ClientBehavior::Stops,
            4 if with_malformed => ClientBehavior::HalfCloses,
            5 => ClientBehavior::Leaves(d.of(1, 400)),
            6 => ClientBehavior::Slowly(d.of(1, 300)),
            _ => ClientBehavior::Plain,
        };
        let wait = if short_timeouts { d.of(60, 700) } else { d.of(400, 3000) };
        let at = FIRST_REQUEST_MS + d.of(0, length);
        script.asks.push(RequestPlan { at, client: d.of(0, clients * sidecars - 1), class, wait, manner });
    }
    script.asks.sort_by_key(|ask| ask.at);
    let enabled: Vec<u32> = (0..FAULT_KINDS).filter(|_| d.one_in(4)).collect();
    let mut draining = 0;
    let mut moved = false;
    for kind in enabled {
        for _ in 0..d.of(1, 3) {
            let (at, lasts) = (FIRST_REQUEST_MS + d.of(0, length), d.of(50, 3_000));
            let (endpoint, sidecar) = (d.of(0, endpoints - 1), d.of(0, sidecars - 1));
            let fault = match kind {
                0 => Fault::Slow { endpoint, at, lasts, times: d.of(2, 20) },
                1..=4 => {
                    let how = match d.of(0, 6) {
                        0 => ResponseFault::Noise,
                        1 => ResponseFault::Short,
                        2 => ResponseFault::Twice(d.of(0, MAX_DUPLICATE_DELAY_MS)),
                        3 => ResponseFault::Swallowed,
                        4 => ResponseFault::Informed,
                        5 => ResponseFault::Error,
                        _ => ResponseFault::Reset,
                    };
                    Fault::Spoils { endpoint, at, lasts, one_of: d.of(1, 8), how }
                }
                5 => Fault::Silent { endpoint, at, lasts },
                6 => Fault::Hangs { endpoint, at, lasts },
                7 => Fault::Resets { endpoint, at },
                8 => Fault::Stalls { endpoint, sidecar, answers: d.one_in(2), at, lasts },
                9 => Fault::Dies { endpoint, at, lasts },
                10 if draining + 1 < endpoints => {
                    draining += 1;
                    Fault::Drains {
                        endpoint,
                        at,
                        lasts: if d.one_in(2) { d.of(500, 6_000) } else { 15_000 },
                    }
                }
                11 => Fault::Wavers { endpoint, at, lasts: d.of(500, 5_000) },
                12 => Fault::Joins { at, count: d.of(1, 3) },
                13 => match d.of(0, 2) {
                    0 => {
                        // Changes during the outage must reach the sidecars afterwards.
                        if draining + 1 < endpoints {
                            draining += 1;
                            let at = at + d.of(0, lasts);
                            script.faults.push(Fault::Drains { endpoint, at, lasts: 15_000 });
                        }
                        Fault::DiscoveryDown { at, lasts }
                    }
                    1 => Fault::DiscoveryLags { at, lasts },
                    _ => Fault::WatchesBreak { at },
                },
                14 => Fault::Pause { sidecar, at, lasts: d.of(10, 900) },
                15 => Fault::Term { sidecar, at, lasts: d.of(3_700, 6_000) },
                16 => Fault::Kill { sidecar, at, lasts: d.of(100, 3_000) },
                17 if !moved => {
                    moved = true;
                    Fault::Moves { at: at.max(1_500) }
                }
                18 if draining == 0 => {
                    // A rolling release: cold endpoints join and the existing ones drain.
                    draining = endpoints;
                    for endpoint in 0..endpoints {
                        script.faults.push(Fault::Drains {
                            endpoint,
                            at: at + d.of(300, 1_500),
                            lasts: 4_000,
                        });
                    }
                    Fault::Joins { at, count: d.of(1, endpoints) }
                }
                _ => Fault::ClientStalls { client: d.of(0, clients - 1), at, lasts },
            };
            script.faults.push(fault);
        }
    }
    draw_extra_timings(&mut script, length, clients);
    script.asks.sort_by_key(|ask| ask.at);
    script
}

/// Draws the kinds that were added later from a separate random stream, so that existing seeds keep their earlier faults.
fn draw_extra_timings(script: &mut Script, length: u32, clients: u32) {
    let mut d = Draws(Pcg32::seed_from_u64(script.seed ^ EXTRA_DRAWS_SEED));
    let enabled = |d: &mut Draws| d.one_in(4);
    if enabled(&mut d) {
        // Only sidecars that reopen their watch learn of the drain, and requests continue for long enough to show it.
        let at = FIRST_REQUEST_MS + d.of(0, 2_000);
        script.faults.push(Fault::WatchesSilent { at });
        if !script.faults.iter().any(|fault| matches!(fault, Fault::Drains { .. })) {
            let endpoint = d.of(0, script.endpoints - 1);
            script.faults.push(Fault::Drains { endpoint, at: at + d.of(1, 2_000), lasts: 15_000 });
        }
        for _ in 0..d.of(20, 60) {
            let (at, client) = (at + d.of(7_000, 15_000), d.of(0, clients * script.sidecars - 1));
            let class = CLASSES[d.of(0, 2) as usize];
            script.asks.push(RequestPlan {
                at,
                client,
                class,
                wait: d.of(400, 3_000),
                manner: ClientBehavior::Plain,
            });
        }
    }
    if enabled(&mut d) {
        script.window_ms = d.of(20, 400);
    }
    if enabled(&mut d) {
        script.uncancelled = d.one_in(2);
        script.connect_ms = d.of(250, 1_500);
        let (at, lasts) = (FIRST_REQUEST_MS + d.of(0, length), d.of(500, 4_000));
        for endpoint in 0..script.endpoints {
            if !d.one_in(3) {
                let by = d.of(100, 1_500);
                script.faults.push(Fault::LateConnects { endpoint, at, lasts, by });
            }
        }
        // More concurrent requests than connections; many of these clients disconnect early.
        let (at, after) = (at + d.of(0, lasts), d.of(20, 400));
        for n in 0..d.of(10, 50) {
            let client = clients * script.sidecars + n;
            let class = CLASSES[d.of(0, 2) as usize];
            let manner = if d.one_in(4) { ClientBehavior::Plain } else { ClientBehavior::Leaves(after) };
            script.asks.push(RequestPlan { at, client, class, wait: d.of(600, 3_000), manner });
        }
    }
}
