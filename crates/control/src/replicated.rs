//! State source of a cluster member: serves the state that the cluster has committed, and proposes what this instance
//! learns from discovery.
//!
//! The desired fleet, the progress of a roll-out, the endpoints and the held-back endpoints come from the replicated
//! log alone, so that a proxy that moves between instances never goes back to an older state. One exception only
//! removes endpoints: a drain that this instance learns itself is published to its proxies at once, with or without a
//! majority.

use crate::error_rate::Tolerance;
use crate::fleet_state::FleetState;
use crate::persistence::replace_file;
use crate::rollout::{Cohort, Decision, Progress, Rollout};
use crate::serving_state::{ServingState, halt_message, with_lock};
use crate::shared::Shared;
use crate::source::Sources;
use runtrack_agree::host::{Handle, View};
use runtrack_agree::{Command, MemberChange, State as Agreed, command, state};
use runtrack_discovery::{List, State, Target, Update};
use runtrack_model::Fleet;
use runtrack_store::seal;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which an uncommitted proposal is repeated.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a follower proposes a list itself, in case the leader cannot reach the source.
const FALLBACK_DELAY: Duration = Duration::from_secs(2);
/// Maximum age of another instance's note on its proxies.
const COHORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Maximum number of nodes per category in a note to the leader.
const MAX_NAMED_NODES: usize = 8;
/// The kind of those notes on the wire.
const COHORT_NOTE: &str = "cohort";

/// Note to the leader: the status of an instance's proxies in a stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CohortNote {
    serial: u64,
    stage: usize,
    halted: bool,
    behind: Vec<String>,
    rejected: Vec<(String, String)>,
    failing: Option<String>,
}

/// A drain that this instance has learned and the cluster has not committed yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PendingDrain {
    pool: String,
    uid: String,
    boot_ms: u64,
    rev: u64,
    #[serde(skip)]
    proposed: Option<Instant>,
}

/// File of the pending drains in the member's folder, so that a restart knows all drains that proxies have got.
const DRAINS_FILE: &str = "drains";
const DRAINS_MAGIC: &str = "runtrack-drains";
const DRAINS_FORMAT: u32 = 1;

type PendingDrains = BTreeMap<(String, String), PendingDrain>;

/// Reads the pending drains; empty if the file is missing or invalid.
fn read_drains(folder: &Path) -> PendingDrains {
    let read = || {
        let bytes = std::fs::read(folder.join(DRAINS_FILE)).ok()?;
        let drains: Vec<PendingDrain> =
            serde_json::from_str(seal::open(DRAINS_MAGIC, DRAINS_FORMAT, &bytes).ok()?.1).ok()?;
        Some(drains.into_iter().map(|drain| ((drain.pool.clone(), drain.uid.clone()), drain)).collect())
    };
    read().unwrap_or_default()
}

/// State source of a cluster member.
pub struct Replicated {
    shared: Arc<Shared>,
    serving: ServingState,
    handle: Handle,
    tolerance: Tolerance,
    /// The lists from this instance's own discovery clients, with the usual plausibility checks.
    local: FleetState,
    /// Pending drains, by pool and uid.
    drains: PendingDrains,
    /// The member's folder, and the drains that are saved in it.
    folder: PathBuf,
    saved_drains: Vec<(String, String)>,
    /// The committed state that is served.
    served: Option<Arc<Agreed>>,
    /// By pool: since when the local list differs from the committed one, and when it was last proposed.
    divergences: BTreeMap<String, (Instant, Option<Instant>)>,
    /// The roll-out step last proposed, and when.
    last_step: Option<(command::RolloutStep, Instant)>,
    last_promotion: Option<Instant>,
    /// Since when rejections count, on the hub's clock: the beginning of the stage, or its resumption.
    stage_since: Duration,
}

fn boot_ms_of(target: &Target) -> u64 {
    target.boot_ms.max(0.0) as u64
}

fn to_committed_endpoint(target: &Target) -> command::Endpoint {
    // The drain is a separate field, since it may be committed without a new list.
    let up = Target { state: State::Up, ..target.clone() };
    command::Endpoint {
        said: serde_json::to_string(&up).unwrap_or_default(), // fails only for maps with non-string keys
        draining: target.state == State::Draining,
        boot_ms: boot_ms_of(target),
    }
}

/// The committed list, in discovery's format.
fn to_list(pool: &state::Pool) -> List {
    let target = |endpoint: &command::Endpoint| {
        let target: Target = serde_json::from_str(&endpoint.said).ok()?;
        let state = if endpoint.draining { State::Draining } else { State::Up };
        Some(Target { state, ..target })
    };
    List { rev: pool.rev, all: true, targets: pool.endpoints.values().filter_map(target).collect() }
}

/// The update to propose so that the committed list matches the local one; none if it does already.
fn list_update(
    name: &str,
    local: &List,
    numbering_restarted: bool,
    committed: Option<&state::Pool>,
) -> Option<command::PoolUpdate> {
    let nothing = state::Pool::default();
    let committed_pool = committed.unwrap_or(&nothing);
    if local.rev < committed_pool.rev && !numbering_restarted {
        return None; // the committed list is newer
    }
    let mut endpoints: BTreeMap<String, Option<command::Endpoint>> = BTreeMap::new();
    let uids: BTreeSet<&str> = local.targets.iter().map(|target| target.uid.as_str()).collect();
    for target in local.targets.iter().filter(|target| target.state != State::Removed) {
        let endpoint = to_committed_endpoint(target);
        let old = committed_pool.endpoints.get(&target.uid);
        let reverts_drain =
            old.is_some_and(|old| old.draining && old.boot_ms >= endpoint.boot_ms) && !endpoint.draining;
        let drained_at_rev = committed_pool.drained_at.get(&target.uid).copied().unwrap_or_default();
        if old != Some(&endpoint) && !(reverts_drain && local.rev <= drained_at_rev && !numbering_restarted)
        {
            endpoints.insert(target.uid.clone(), Some(endpoint));
        }
    }
    for uid in committed_pool.endpoints.keys().filter(|uid| !uids.contains(uid.as_str())) {
        endpoints.insert(uid.clone(), None);
    }
    (committed.is_none() || !endpoints.is_empty()).then(|| command::PoolUpdate {
        pool: name.to_owned(),
        rev: local.rev,
        whole: false,
        settled: numbering_restarted,
        endpoints,
    })
}

impl Replicated {
    /// Creates the state source; nothing is served before the committed state is known.
    pub fn new(
        shared: Arc<Shared>,
        handle: Handle,
        folder: &Path,
        seed: u64,
        tolerance: Tolerance,
    ) -> Replicated {
        let now = shared.clock.now();
        let drains = read_drains(folder);
        shared.hub.begin_update(0, 0);
        let mut replicated = Replicated {
            serving: ServingState::new(shared.clone(), seed),
            shared,
            handle,
            tolerance,
            local: FleetState::new(Fleet::default(), BTreeMap::new(), seed, now),
            saved_drains: drains.keys().cloned().collect(),
            drains,
            folder: folder.to_owned(),
            served: None,
            divergences: BTreeMap::new(),
            last_step: None,
            last_promotion: None,
            stage_since: Duration::ZERO,
        };
        replicated.publish();
        replicated
    }

    /// The discovery servers to watch.
    pub fn sources(&self) -> Sources {
        self.serving.sources()
    }

    /// Whether there are changes to publish.
    pub fn is_dirty(&self) -> bool {
        self.serving.is_dirty() || !self.is_up_to_date()
    }

    fn is_up_to_date(&self) -> bool {
        match (&self.handle.view().state, &self.served) {
            (Some(now), Some(served)) => Arc::ptr_eq(now, served),
            (now, _) => now.is_none(),
        }
    }

    /// Handles an update from discovery.
    pub fn handle_update(&mut self, now: Duration, pool: &str, from: SocketAddr, update: Update) {
        self.local.handle_update(now, pool, from, update);
        self.propose_list(pool);
        self.update_held_back();
    }

    /// Records drains that are not committed, and proposes the pool's list if it differs from the committed one.
    fn propose_list(&mut self, pool: &str) {
        let Some((local, numbering_restarted)) = self.local.source_list(pool) else { return };
        let view = self.handle.view();
        let committed = view.state.as_ref().and_then(|state| state.pools.get(pool)).map(Arc::as_ref);
        for target in local.targets.iter().filter(|target| target.state == State::Draining) {
            let committed_endpoint = committed.and_then(|committed| committed.endpoints.get(&target.uid));
            if committed_endpoint.is_some_and(|known| known.draining || known.boot_ms > boot_ms_of(target))
            {
                continue;
            }
            let (pool, uid) = (pool.to_owned(), target.uid.clone());
            let drain = PendingDrain {
                pool: pool.clone(),
                uid: uid.clone(),
                boot_ms: boot_ms_of(target),
                rev: local.rev,
                proposed: None,
            };
            self.drains.entry((pool, uid)).or_insert(drain);
        }
        let now = Instant::now();
        let Some(listed) = list_update(pool, &local, numbering_restarted, committed) else {
            self.divergences.remove(pool);
            return self.propose_drains(&view);
        };
        let (since, proposed) = *self.divergences.entry(pool.to_owned()).or_insert((now, None));
        let should_propose = view.is_leader() || now >= since + FALLBACK_DELAY;
        if should_propose && proposed.is_none_or(|at| now >= at + RETRY_INTERVAL) {
            self.divergences.insert(pool.to_owned(), (since, Some(now)));
            self.handle.propose(Command::Listed(listed));
        }
        self.propose_drains(&view);
    }

    fn propose_drains(&mut self, view: &View) {
        let (now, committed_state) = (Instant::now(), view.state.as_ref());
        for ((pool, uid), drain) in &mut self.drains {
            // An endpoint that is not committed yet is proposed with its pool's list.
            let is_known = committed_state
                .and_then(|state| state.pools.get(pool))
                .is_some_and(|p| p.endpoints.contains_key(uid));
            if is_known && drain.proposed.is_none_or(|at| now >= at + RETRY_INTERVAL) {
                drain.proposed = Some(now);
                let (pool, uid) = (pool.clone(), uid.clone());
                let (boot_ms, rev) = (drain.boot_ms, drain.rev);
                self.handle.propose(Command::Draining { pool, uid, boot_ms, rev });
            }
        }
    }

    /// Drops pending drains that are committed, or superseded by a newer list of the source.
    fn drop_settled_drains(&mut self) {
        let Some(state) = &self.served else { return };
        let local = &self.local;
        self.drains.retain(|(pool, uid), drain| {
            let Some(committed) = state.pools.get(pool) else { return true };
            let up_here = || {
                let (list, _) = local.source_list(pool)?;
                let target = list.targets.iter().find(|target| target.uid == *uid)?;
                Some(target.state == State::Up)
            };
            match committed.endpoints.get(uid) {
                Some(endpoint) if endpoint.draining || endpoint.boot_ms > drain.boot_ms => false,
                Some(_) => committed.rev <= drain.rev || up_here() != Some(true),
                None => committed.rev <= drain.rev,
            }
        });
    }

    /// Saves the pending drains before they are published. A disk failure does not delay them.
    fn save_drains(&mut self) {
        let names: Vec<(String, String)> = self.drains.keys().cloned().collect();
        if names == self.saved_drains {
            return;
        }
        let drains: Vec<&PendingDrain> = self.drains.values().collect();
        let text = serde_json::to_string(&drains).unwrap_or_default(); // fails only for maps with non-string keys
        let done = replace_file(&self.folder, DRAINS_FILE, &seal::seal(DRAINS_MAGIC, DRAINS_FORMAT, &text));
        let error_message = |e| format!("{e}: the last drains would be lost on a restart");
        self.shared.set_trouble("drains", done.err().map(error_message));
        self.saved_drains = names;
    }

    fn update_held_back(&mut self) {
        self.save_drains();
        let mut held: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        let committed = self.served.iter().flat_map(|state| state.held.iter().cloned());
        for (pool, uid) in committed.chain(self.drains.keys().cloned()) {
            held.entry(pool).or_default().insert(uid);
        }
        self.serving.for_each_state(|fleet_state| fleet_state.set_held_back(&held));
    }

    /// Checks timers and proposes changes; returns whether the sources may have changed.
    pub fn tick(&mut self) -> bool {
        let now = self.shared.clock.now();
        self.local.tick(now);
        self.serving.for_each_state(|fleet_state| fleet_state.tick(now));
        let pools: BTreeSet<String> = self.local.sources().into_iter().map(|(pool, _)| pool).collect();
        self.divergences.retain(|pool, _| pools.contains(pool));
        pools.iter().for_each(|pool| self.propose_list(pool));
        self.update_held_back();
        let view = self.handle.view();
        self.propose_rollout_step(&view);
        self.promote_learner(&view);
        self.serving.update_pool_status();
        let no_majority = (!self.handle.has_majority()).then(|| describe_trouble(&view));
        self.shared.set_trouble("cluster", no_majority);
        false
    }

    /// Applies and publishes the committed state; returns whether the sources may have changed.
    pub fn publish(&mut self) -> bool {
        let state = self.handle.view().state.clone();
        let changed_state =
            state.filter(|state| !self.served.as_ref().is_some_and(|served| Arc::ptr_eq(served, state)));
        let Some(state) = changed_state else {
            self.serving.publish(false, drop);
            return false;
        };
        let before = self.served.replace(state.clone());
        let previous = before.as_ref().map(|before| (before.epoch, before.served));
        if previous == Some((state.epoch, state.served)) {
            self.serving.publish(false, drop);
            return false;
        }
        self.shared.hub.begin_update(state.epoch, state.served);
        let version = |state: &Agreed| (state.serial(), state.rollout.as_ref().map(|r| (r.serial, r.from)));
        let moved = before.as_ref().map(|before| version(before)) != Some(version(&state));
        if moved {
            self.apply_version(&state, before.as_deref());
        }
        self.apply_lists(&state, before.as_deref(), moved);
        self.drop_settled_drains();
        self.update_held_back();
        self.serving.publish(moved, drop);
        self.apply_stage(&state);
        self.shared.hub.finish_update();
        moved
    }

    fn fleet(&self, state: &Agreed, serial: u64) -> Option<Fleet> {
        if serial == 0 {
            return Some(Fleet::default());
        }
        let read = state
            .text(serial)
            .ok_or_else(|| "it is no longer kept".to_owned())
            .and_then(Fleet::from_canonical_json);
        let problem = read.as_ref().err().map(|why| format!("serial {serial} can't be served: {why}"));
        self.shared.set_trouble("reload", problem);
        read.ok()
    }

    /// Serves another version, or the two versions of a roll-out.
    fn apply_version(&mut self, state: &Agreed, before: Option<&Agreed>) {
        let now = self.shared.clock.now();
        let Some(fleet) = self.fleet(state, state.serial()) else { return };
        self.local.replace(now, fleet.clone());
        if before.is_none() {
            // The committed lists from before a restart are the reference for the checks of discovery's next lists.
            let held = state.pools.iter().map(|(name, pool)| (name.clone(), to_list(pool))).collect();
            self.local = FleetState::new(fleet.clone(), held, state.epoch, now);
        }
        match state.rollout.as_ref().and_then(|rollout| self.fleet(state, rollout.from)) {
            Some(from) => {
                if self.serving.is_split() {
                    self.serving.finish_rollout();
                }
                self.serving.fleet_state(|fleet_state| fleet_state.replace(now, from));
                self.serving.publish(true, drop);
                self.serving.split(fleet);
                self.stage_since = self.shared.hub.now();
            }
            None => {
                self.serving.fleet_state(|fleet_state| fleet_state.replace(now, fleet));
                if self.serving.is_split() {
                    self.serving.publish(true, drop);
                    self.serving.finish_rollout();
                }
            }
        }
        let version = state.current().cloned();
        with_lock(&self.shared.version, |shown| *shown = version);
        eprintln!("committed: serial {}, index {}", state.serial(), state.served);
    }

    fn apply_lists(&mut self, state: &Agreed, before: Option<&Agreed>, all: bool) {
        let now = self.shared.clock.now();
        for (name, pool) in &state.pools {
            let old = before.and_then(|before| before.pools.get(name));
            if !all && old.is_some_and(|old| Arc::ptr_eq(old, pool)) {
                continue;
            }
            let list = to_list(pool);
            self.serving
                .for_each_state(|fleet_state| fleet_state.set_committed_list(now, name, list.clone()));
        }
    }

    /// Serves the new version to the committed share of proxies.
    fn apply_stage(&mut self, state: &Agreed) {
        let Some((committed, version)) = state.rollout.as_ref().zip(state.current()) else {
            self.shared.set_trouble("rollout", None);
            if self.serving.is_split() {
                self.serving.finish_rollout();
            }
            with_lock(&self.shared.rollout, |shown| *shown = None);
            return;
        };
        let progress = Progress {
            serial: committed.serial,
            hash: version.hash.clone(),
            from: committed.from,
            stage: committed.stage,
            halted: committed.halted.clone(),
        };
        let previous =
            with_lock(&self.shared.rollout, |shown| shown.as_ref().map(|shown| shown.progress().clone()));
        if previous.as_ref() == Some(&progress) {
            return;
        }
        self.stage_since = self.shared.hub.now();
        let error_message = progress.halted.as_ref().map(|why| halt_message(progress.serial, why));
        self.shared.set_trouble("rollout", error_message);
        let pause = Duration::from_millis(version.pause_ms);
        let rollout = Rollout::new(progress, &version.stages, pause, self.stage_since);
        self.shared.hub.set_rollout_share(rollout.share());
        eprintln!("serial {}: {} of 10000 nodes", committed.serial, rollout.share());
        with_lock(&self.shared.rollout, |shown| *shown = Some(rollout));
    }

    /// The leader evaluates all proxies of the stage and proposes the next step; the others send it notes on theirs.
    fn propose_rollout_step(&mut self, view: &View) {
        let Some(rollout) = with_lock(&self.shared.rollout, |rollout| rollout.clone()) else { return };
        let own = self.serving.cohort(&rollout, self.stage_since, self.tolerance);
        let progress = rollout.progress().clone();
        if !view.is_leader() {
            let mut note = CohortNote {
                serial: progress.serial,
                stage: progress.stage,
                halted: progress.halted.is_some(),
                behind: own.behind,
                rejected: own.rejected,
                failing: own.failing,
            };
            note.behind.truncate(MAX_NAMED_NODES);
            note.rejected.truncate(MAX_NAMED_NODES);
            return self.handle.note(COHORT_NOTE, serde_json::to_string(&note).unwrap_or_default());
        }
        let cohort = self.collect_cohorts(view, &progress, own);
        let mut evaluated = rollout;
        let to = match evaluated.evaluate(self.shared.hub.now(), &cohort) {
            Decision::Wait => return,
            Decision::Halt => {
                command::RolloutAction::Halt(evaluated.progress().halted.clone().unwrap_or_default())
            }
            Decision::Stage | Decision::Done => command::RolloutAction::Next,
        };
        let step = command::RolloutStep { serial: progress.serial, stage: progress.stage, to };
        let now = Instant::now();
        if self
            .last_step
            .as_ref()
            .is_some_and(|(previous, at)| *previous == step && now < *at + RETRY_INTERVAL)
        {
            return;
        }
        self.last_step = Some((step.clone(), now));
        self.handle.propose(Command::Rollout(step));
    }

    fn collect_cohorts(&self, view: &View, progress: &Progress, mut all: Cohort) -> Cohort {
        let notes = self.handle.notes(COHORT_NOTE, COHORT_MAX_AGE);
        let connected = view.status.iter().flat_map(|status| &status.peers).filter(|(_, peer)| peer.heard);
        for (member, _) in connected {
            let note = notes.get(member).and_then(|text| serde_json::from_str::<CohortNote>(text).ok());
            let note = note.filter(|note| {
                (note.serial, note.stage, note.halted)
                    == (progress.serial, progress.stage, progress.halted.is_some())
            });
            match note {
                Some(note) => {
                    all.behind.extend(note.behind);
                    all.rejected.extend(note.rejected);
                    all.failing = all.failing.or(note.failing);
                }
                None => all.behind.push(format!("instance {member}")),
            }
        }
        all
    }

    /// Promotes a learner that has caught up to a voter.
    fn promote_learner(&mut self, view: &View) {
        let Some(state) = view.state.as_ref().filter(|_| view.is_leader()) else { return };
        let (now, status) = (Instant::now(), view.status.as_ref());
        if self.last_promotion.is_some_and(|at| now < at + RETRY_INTERVAL) {
            return;
        }
        let ready = state.members.iter().find(|(id, member)| {
            let caught_up = status
                .and_then(|status| status.peers.get(id))
                .is_some_and(|peer| peer.heard && !peer.snapshot);
            !member.voter && member.folder.is_some() && caught_up
        });
        if let Some((&member, _)) = ready {
            self.last_promotion = Some(now);
            let (handle, id) = (self.handle.clone(), format!("promote-{member}-{}", state.index));
            tokio::spawn(async move {
                // A refusal, because it still lags too far behind, is retried.
                let _ = handle.change(&id, MemberChange::Promote { member }, RETRY_INTERVAL).await;
            });
        }
    }
}

/// Describes why this instance has no majority.
pub fn describe_trouble(view: &View) -> String {
    let why = view.removed.clone().or_else(|| view.storage_error.clone());
    let why = why.unwrap_or_else(|| {
        let down: Vec<String> = view
            .links
            .values()
            .filter(|link| !link.connected)
            .map(|link| format!("{}: {}", link.address, link.problem.as_deref().unwrap_or("not connected")))
            .collect();
        if down.is_empty() { "no leader has been found yet".to_owned() } else { down.join("; ") }
    });
    format!(
        "not in touch with a majority ({why}): proxies are served what was agreed last, and nothing new is decided"
    )
}
