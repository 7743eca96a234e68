//! Deterministic simulation of a cluster of control instances: the real consensus members over disks that fail and links
//! that lose and delay messages, with clients that retry writes, consistent readers, a discovery that drains endpoints,
//! and proxies that move their sessions between instances. Equal seeds give equal runs. The rules are checked during the
//! run, on what the members apply and answer.

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
pub use rules::{Outcomes, Rule, Violation};
pub use script::{Fault, FaultKind, Script, script};

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
/// Ticks within which the cluster must recover once all faults have ended.
const RECOVERY_TICKS: u64 = 3_000;
/// Ticks without an answer after which a client retries at another member.
const RETRY_TICKS: u64 = 25;
/// Ticks after which a member whose disk failed reopens its folder.
const REOPEN_TICKS: u64 = 15;
/// Interval in ticks at which snapshots that were not fetched are offered again.
const SNAPSHOT_RETRY_TICKS: u64 = 60;
/// Vote and pre-vote responses, by the library's numbers of message kinds.
const VOTE_RESPONSE_KINDS: [u32; 2] = [6, 18];
const POOL: &str = "p";
const ENDPOINTS: u64 = 5;
const WRITERS: usize = 3;
const PROXIES: usize = 2;

/// Runs a script. A panic of a member is reported as lost data, which is what members panic on.
pub fn run(script: &Script) -> Outcomes {
    std::panic::catch_unwind(|| run_script(script)).unwrap_or_else(|payload| {
        let message = payload.downcast_ref::<String>().cloned();
        let message =
            message.or_else(|| payload.downcast_ref::<&str>().map(|message| (*message).to_owned()));
        let detail =
            format!("a member panicked: {}", message.unwrap_or_else(|| "without a message".to_owned()));
        Outcomes { violations: vec![Violation { rule: Rule::Lost, at: 0, detail }], ..Outcomes::default() }
    })
}

fn run_script(script: &Script) -> Outcomes {
    let mut world = World::new(script);
    world.bootstrap_cluster();
    let started = world.now;
    let mut faults = script.faults.iter();
    let mut next = faults.next();
    while world.now < started + script.lasts && world.outcomes.violations.is_empty() {
        while let Some(fault) = next.filter(|fault| fault.at + started <= world.now) {
            world.inject_fault(fault);
            next = faults.next();
        }
        world.tick(true);
    }
    if world.outcomes.violations.is_empty() {
        world.recover();
    }
    let World { mut outcomes, observed, .. } = world;
    let applied = observed.applied;
    outcomes.index = applied.last_key_value().map_or(0, |(index, _)| *index);
    outcomes.hash =
        applied.values().fold(0, |hash, applied| fnv1a(hash, format!("{applied:?}").as_bytes()));
    outcomes
}
