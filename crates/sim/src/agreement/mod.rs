//! Several control instances in virtual time: the agreement's real members over disks that are cut off and links that
//! lose, delay and cut, with clients that repeat their writes, consistent readers, a discovery that drains, and proxies
//! that move between instances with their sessions. One seed gives one run; what is broken is judged as it happens, from
//! what the members applied and answered.

mod applied;
mod clients;
mod discovery;
mod faults;
mod members;
mod mutants;
mod network;
mod proxies;
mod recovery;
mod rules;
mod script;
mod turn;
mod world;

pub use mutants::MUTANTS;
pub use rules::{Breach, Outcomes, Rule};
pub use script::{Fault, Script, What, script};

use clients::{Read, Write};
use proxies::{Proxy, Serving};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_agree::command::{Attribution, Commit, Endpoint, PoolUpdate};
use runtrack_agree::{
    Applied, Command, DiskError, Identity, MemberChange, MemberId, Node, NodeError, Outcome, Output,
    PeerMessage, Proposal, SnapshotFetch, State, Tuning,
};
use runtrack_testkit::Disk;
use runtrack_xds::{Cache, Change, Limits, Request, ResourceType, Response, Session};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use world::{World, fnv1a, identity};

const TUNING: Tuning = Tuning { heartbeat_ticks: 1, election_ticks: 10, log_bytes: 6_000 };
/// Ticks in which all must be back after everything was healed.
const BACK: u64 = 3_000;
/// Ticks after which somebody without an answer asks elsewhere.
const ASKS: u64 = 25;
/// Ticks after which a member whose disk failed opens its folder again.
const REOPENS: u64 = 15;
/// Ticks after which a snapshot that was not fetched is offered again.
const OFFERS: u64 = 60;
/// Kinds of messages that answer one that stands, or would stand, for election, as the library numbers them.
const VOTES: [u32; 2] = [6, 18];
const POOL: &str = "p";
const ENDPOINTS: u64 = 5;
const WRITERS: usize = 3;
const PROXIES: usize = 2;

/// Plays a run. A member that panics has noticed that something was lost.
pub fn run(script: &Script) -> Outcomes {
    std::panic::catch_unwind(|| play(script)).unwrap_or_else(|problem| {
        let words = problem.downcast_ref::<String>().cloned();
        let words = words.or_else(|| problem.downcast_ref::<&str>().map(|words| (*words).to_owned()));
        let why = format!("a member panicked: {}", words.unwrap_or_else(|| "with no word".to_owned()));
        Outcomes { breaches: vec![Breach { rule: Rule::Lost, at: 0, why }], ..Outcomes::default() }
    })
}

fn play(script: &Script) -> Outcomes {
    let mut world = World::new(script);
    world.build_up();
    let began = world.now;
    let mut faults = script.faults.iter();
    let mut next = faults.next();
    while world.now < began + script.lasts && world.outcomes.breaches.is_empty() {
        while let Some(fault) = next.filter(|fault| fault.at + began <= world.now) {
            world.fault(fault);
            next = faults.next();
        }
        world.turn(true);
    }
    if world.outcomes.breaches.is_empty() {
        world.come_back();
    }
    let World { mut outcomes, observed, .. } = world;
    let applied = observed.applied;
    outcomes.index = applied.last_key_value().map_or(0, |(index, _)| *index);
    outcomes.hash =
        applied.values().fold(0, |hash, applied| fnv1a(hash, format!("{applied:?}").as_bytes()));
    outcomes
}
