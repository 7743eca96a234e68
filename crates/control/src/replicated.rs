//! StateSource what is served in step with what the instances of a cluster have agreed; and has agreed what this one hears.
//!
//! What is desired, how far a roll-out has come, which endpoints there are and which are held back comes from the log
//! alone, so a proxy that moves between instances never goes back. With one exception, which only takes away: a drain
//! that this instance hears of itself is shown to its proxies at once, majority or not.

use crate::core::Core;
use crate::errors::Tolerance;
use crate::memory::replace;
use crate::rollout::{Cohort, Next, Progress, Rollout};
use crate::serving_state::{ServingState, halted, locked};
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

/// What was proposed and is not agreed after so long is proposed again.
const AGAIN: Duration = Duration::from_secs(1);
/// What the leader does not hear of a source, another instance tells after so long.
const DEPUTY: Duration = Duration::from_secs(2);
/// How the proxies of another instance stood longer ago says nothing.
const COHORT_FRESH: Duration = Duration::from_secs(2);
/// Nodes named in a note to the leader.
const NAMED_MOST: usize = 8;
/// The kind of those notes.
const COHORT: &str = "cohort";

/// How an instance's proxies stand towards a stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CohortNote {
    serial: u64,
    stage: usize,
    halted: bool,
    behind: Vec<String>,
    rejected: Vec<(String, String)>,
    failing: Option<String>,
}

/// A drain that was heard here and is not agreed yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Drain {
    pool: String,
    uid: String,
    boot_ms: u64,
    rev: u64,
    #[serde(skip)]
    proposed: Option<Instant>,
}

/// The file of those, in the member's folder: what a proxy was told a restart knows.
const DRAINS: &str = "drains";
const DRAINS_MAGIC: &str = "runtrack-drains";
const DRAINS_FORMAT: u32 = 1;

type Drains = BTreeMap<(String, String), Drain>;

/// The drains of the file; none where there is none of use.
fn read_drains(folder: &Path) -> Drains {
    let read = || {
        let bytes = std::fs::read(folder.join(DRAINS)).ok()?;
        let drains: Vec<Drain> =
            serde_json::from_str(seal::open(DRAINS_MAGIC, DRAINS_FORMAT, &bytes).ok()?.1).ok()?;
        Some(drains.into_iter().map(|drain| ((drain.pool.clone(), drain.uid.clone()), drain)).collect())
    };
    read().unwrap_or_default()
}

/// One that keeps what is served in step with the log.
pub struct Replicated {
    shared: Arc<Shared>,
    serving: ServingState,
    handle: Handle,
    tolerance: Tolerance,
    /// What this instance's own sources told, believed and doubted as everywhere.
    heard: Core,
    /// Drains that were heard here and are not agreed yet, by pool and uid.
    drains: Drains,
    /// The member's folder, and which drains its file has.
    folder: PathBuf,
    kept: Vec<(String, String)>,
    /// What is served.
    seen: Option<Arc<Agreed>>,
    /// Since when a pool's list differs from the agreed one, and when that was proposed last.
    differs: BTreeMap<String, (Instant, Option<Instant>)>,
    /// The step of the roll-out proposed last.
    stepped: Option<(command::RolloutStep, Instant)>,
    promoted: Option<Instant>,
    /// Since when rejections count, on the hub's clock: the stage began, or was resumed.
    stage_since: Duration,
}

fn boot_of(target: &Target) -> u64 {
    target.boot_ms.max(0.0) as u64
}

fn listed(target: &Target) -> command::Endpoint {
    // Whether it drains is told apart: an instance may learn that alone.
    let said = Target { state: State::Up, ..target.clone() };
    command::Endpoint {
        said: serde_json::to_string(&said).unwrap_or_default(), // fails only for maps with odd keys
        draining: target.state == State::Draining,
        boot_ms: boot_of(target),
    }
}

/// The list that is agreed, in the source's words.
fn list_of(pool: &state::Pool) -> List {
    let target = |endpoint: &command::Endpoint| {
        let said: Target = serde_json::from_str(&endpoint.said).ok()?;
        let state = if endpoint.draining { State::Draining } else { State::Up };
        Some(Target { state, ..said })
    };
    List { rev: pool.rev, all: true, targets: pool.endpoints.values().filter_map(target).collect() }
}

/// What must be agreed so that the log says what is heard; none: it does.
fn difference(
    name: &str,
    heard: &List,
    anew: bool,
    agreed: Option<&state::Pool>,
) -> Option<command::PoolUpdate> {
    let nothing = state::Pool::default();
    let known = agreed.unwrap_or(&nothing);
    if heard.rev < known.rev && !anew {
        return None; // others have heard more
    }
    let mut endpoints: BTreeMap<String, Option<command::Endpoint>> = BTreeMap::new();
    let uids: BTreeSet<&str> = heard.targets.iter().map(|target| target.uid.as_str()).collect();
    for target in heard.targets.iter().filter(|target| target.state != State::Removed) {
        let endpoint = listed(target);
        let old = known.endpoints.get(&target.uid);
        let undrains =
            old.is_some_and(|old| old.draining && old.boot_ms >= endpoint.boot_ms) && !endpoint.draining;
        let said_at = known.drained_at.get(&target.uid).copied().unwrap_or_default();
        if old != Some(&endpoint) && !(undrains && heard.rev <= said_at && !anew) {
            endpoints.insert(target.uid.clone(), Some(endpoint));
        }
    }
    for uid in known.endpoints.keys().filter(|uid| !uids.contains(uid.as_str())) {
        endpoints.insert(uid.clone(), None);
    }
    (agreed.is_none() || !endpoints.is_empty()).then(|| command::PoolUpdate {
        pool: name.to_owned(),
        rev: heard.rev,
        whole: false,
        settled: anew,
        endpoints,
    })
}

impl Replicated {
    /// Nothing is served before something is agreed.
    pub fn new(
        shared: Arc<Shared>,
        handle: Handle,
        folder: &Path,
        seed: u64,
        tolerance: Tolerance,
    ) -> Replicated {
        let now = shared.clock.now();
        let drains = read_drains(folder);
        shared.hub.move_to(0, 0);
        let mut replicated = Replicated {
            serving: ServingState::new(shared.clone(), seed),
            shared,
            handle,
            tolerance,
            heard: Core::new(Fleet::default(), BTreeMap::new(), seed, now),
            kept: drains.keys().cloned().collect(),
            drains,
            folder: folder.to_owned(),
            seen: None,
            differs: BTreeMap::new(),
            stepped: None,
            promoted: None,
            stage_since: Duration::ZERO,
        };
        replicated.publish();
        replicated
    }

    /// The sources to follow.
    pub fn sources(&self) -> Sources {
        self.serving.sources()
    }

    /// Whether there is anything to publish.
    pub fn is_dirty(&self) -> bool {
        self.serving.is_dirty() || !self.is_up_to_date()
    }

    fn is_up_to_date(&self) -> bool {
        match (&self.handle.view().state, &self.seen) {
            (Some(now), Some(seen)) => Arc::ptr_eq(now, seen),
            (now, _) => now.is_none(),
        }
    }

    /// Takes what a source told.
    pub fn told(&mut self, now: Duration, pool: &str, from: SocketAddr, told: Update) {
        self.heard.told(now, pool, from, told);
        self.hear(pool);
        self.hold_back();
    }

    /// Shows drains that the log does not know, and has the list agreed.
    fn hear(&mut self, pool: &str) {
        let Some((heard, anew)) = self.heard.heard(pool) else { return };
        let view = self.handle.view();
        let agreed = view.state.as_ref().and_then(|state| state.pools.get(pool)).map(Arc::as_ref);
        for target in heard.targets.iter().filter(|target| target.state == State::Draining) {
            let known = agreed.and_then(|agreed| agreed.endpoints.get(&target.uid));
            if known.is_some_and(|known| known.draining || known.boot_ms > boot_of(target)) {
                continue;
            }
            let (pool, uid) = (pool.to_owned(), target.uid.clone());
            let drain = Drain {
                pool: pool.clone(),
                uid: uid.clone(),
                boot_ms: boot_of(target),
                rev: heard.rev,
                proposed: None,
            };
            self.drains.entry((pool, uid)).or_insert(drain);
        }
        let now = Instant::now();
        let Some(listed) = difference(pool, &heard, anew, agreed) else {
            self.differs.remove(pool);
            return self.propose_drains(&view);
        };
        let (since, proposed) = *self.differs.entry(pool.to_owned()).or_insert((now, None));
        let mine = view.is_leader() || now >= since + DEPUTY;
        if mine && proposed.is_none_or(|at| now >= at + AGAIN) {
            self.differs.insert(pool.to_owned(), (since, Some(now)));
            self.handle.propose(Command::Listed(listed));
        }
        self.propose_drains(&view);
    }

    fn propose_drains(&mut self, view: &View) {
        let (now, known) = (Instant::now(), view.state.as_ref());
        for ((pool, uid), drain) in &mut self.drains {
            // An endpoint that the log does not know yet comes with its pool's list.
            let there = known
                .and_then(|state| state.pools.get(pool))
                .is_some_and(|p| p.endpoints.contains_key(uid));
            if there && drain.proposed.is_none_or(|at| now >= at + AGAIN) {
                drain.proposed = Some(now);
                let (pool, uid) = (pool.clone(), uid.clone());
                let (boot_ms, rev) = (drain.boot_ms, drain.rev);
                self.handle.propose(Command::Draining { pool, uid, boot_ms, rev });
            }
        }
    }

    /// A drain that was heard here stands until the log has it, or a newer word of the source.
    fn settle_drains(&mut self) {
        let Some(state) = &self.seen else { return };
        let heard = &self.heard;
        self.drains.retain(|(pool, uid), drain| {
            let Some(agreed) = state.pools.get(pool) else { return true };
            let up_here = || {
                let (list, _) = heard.heard(pool)?;
                let target = list.targets.iter().find(|target| target.uid == *uid)?;
                Some(target.state == State::Up)
            };
            match agreed.endpoints.get(uid) {
                Some(endpoint) if endpoint.draining || endpoint.boot_ms > drain.boot_ms => false,
                Some(_) => agreed.rev <= drain.rev || up_here() != Some(true),
                None => agreed.rev <= drain.rev,
            }
        });
    }

    /// First the disk, then the proxies. A disk that fails holds no drain up.
    fn keep_drains(&mut self) {
        let names: Vec<(String, String)> = self.drains.keys().cloned().collect();
        if names == self.kept {
            return;
        }
        let drains: Vec<&Drain> = self.drains.values().collect();
        let text = serde_json::to_string(&drains).unwrap_or_default(); // fails only for maps with odd keys
        let done = replace(&self.folder, DRAINS, &seal::seal(DRAINS_MAGIC, DRAINS_FORMAT, &text));
        let what = |e| format!("{e}: a restart now would not know of the last drains");
        self.shared.trouble("drains", done.err().map(what));
        self.kept = names;
    }

    fn hold_back(&mut self) {
        self.keep_drains();
        let mut held: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        let agreed = self.seen.iter().flat_map(|state| state.held.iter().cloned());
        for (pool, uid) in agreed.chain(self.drains.keys().cloned()) {
            held.entry(pool).or_default().insert(uid);
        }
        self.serving.both(|core| core.hold_back(&held));
    }

    /// Looks at the clock; says whether the sources may have changed.
    pub fn tick(&mut self) -> bool {
        let now = self.shared.clock.now();
        self.heard.tick(now);
        self.serving.both(|core| core.tick(now));
        let pools: BTreeSet<String> = self.heard.sources().into_iter().map(|(pool, _)| pool).collect();
        self.differs.retain(|pool, _| pools.contains(pool));
        pools.iter().for_each(|pool| self.hear(pool));
        self.hold_back();
        let view = self.handle.view();
        self.roll(&view);
        self.promote(&view);
        self.serving.show();
        let alone = (!self.handle.has_majority()).then(|| trouble_of(&view));
        self.shared.trouble("cluster", alone);
        false
    }

    /// Brings what is served to what is agreed, and tells proxies. Says whether the sources may have changed.
    pub fn publish(&mut self) -> bool {
        let state = self.handle.view().state.clone();
        let news = state.filter(|state| !self.seen.as_ref().is_some_and(|seen| Arc::ptr_eq(seen, state)));
        let Some(state) = news else {
            self.serving.publish(false, drop);
            return false;
        };
        let before = self.seen.replace(state.clone());
        let was = before.as_ref().map(|before| (before.epoch, before.served));
        if was == Some((state.epoch, state.served)) {
            self.serving.publish(false, drop);
            return false;
        }
        self.shared.hub.move_to(state.epoch, state.served);
        let version = |state: &Agreed| (state.serial(), state.rollout.as_ref().map(|r| (r.serial, r.from)));
        let moved = before.as_ref().map(|before| version(before)) != Some(version(&state));
        if moved {
            self.take_version(&state, before.as_deref());
        }
        self.take_lists(&state, before.as_deref(), moved);
        self.settle_drains();
        self.hold_back();
        self.serving.publish(moved, drop);
        self.take_stage(&state);
        self.shared.hub.arrive();
        moved
    }

    fn fleet(&self, state: &Agreed, serial: u64) -> Option<Fleet> {
        if serial == 0 {
            return Some(Fleet::default());
        }
        let read = state
            .text(serial)
            .ok_or_else(|| "it is no longer kept".to_owned())
            .and_then(Fleet::from_canonical);
        let problem = read.as_ref().err().map(|why| format!("serial {serial} can't be served: {why}"));
        self.shared.trouble("reload", problem);
        read.ok()
    }

    /// Serves another version, or the two of a roll-out.
    fn take_version(&mut self, state: &Agreed, before: Option<&Agreed>) {
        let now = self.shared.clock.now();
        let Some(fleet) = self.fleet(state, state.serial()) else { return };
        self.heard.replace(now, fleet.clone());
        if before.is_none() {
            // Lists from before a restart: what the source says next is doubted against them.
            let held = state.pools.iter().map(|(name, pool)| (name.clone(), list_of(pool))).collect();
            self.heard = Core::new(fleet.clone(), held, state.epoch, now);
        }
        match state.rollout.as_ref().and_then(|rollout| self.fleet(state, rollout.from)) {
            Some(from) => {
                if self.serving.is_parted() {
                    self.serving.settle();
                }
                self.serving.core(|core| core.replace(now, from));
                self.serving.publish(true, drop);
                self.serving.part(fleet);
                self.stage_since = self.shared.hub.now();
            }
            None => {
                self.serving.core(|core| core.replace(now, fleet));
                if self.serving.is_parted() {
                    self.serving.publish(true, drop);
                    self.serving.settle();
                }
            }
        }
        let version = state.current().cloned();
        locked(&self.shared.version, |shown| *shown = version);
        eprintln!("agreed: serial {}, index {}", state.serial(), state.served);
    }

    fn take_lists(&mut self, state: &Agreed, before: Option<&Agreed>, all: bool) {
        let now = self.shared.clock.now();
        for (name, pool) in &state.pools {
            let old = before.and_then(|before| before.pools.get(name));
            if !all && old.is_some_and(|old| Arc::ptr_eq(old, pool)) {
                continue;
            }
            let list = list_of(pool);
            self.serving.both(|core| core.agreed(now, name, list.clone()));
        }
    }

    /// Hands the new version to as many as is agreed.
    fn take_stage(&mut self, state: &Agreed) {
        let Some((agreed, version)) = state.rollout.as_ref().zip(state.current()) else {
            self.shared.trouble("rollout", None);
            if self.serving.is_parted() {
                self.serving.settle();
            }
            locked(&self.shared.rollout, |shown| *shown = None);
            return;
        };
        let progress = Progress {
            serial: agreed.serial,
            hash: version.hash.clone(),
            from: agreed.from,
            stage: agreed.stage,
            halted: agreed.halted.clone(),
        };
        let was =
            locked(&self.shared.rollout, |shown| shown.as_ref().map(|shown| shown.progress().clone()));
        if was.as_ref() == Some(&progress) {
            return;
        }
        self.stage_since = self.shared.hub.now();
        let what = progress.halted.as_ref().map(|why| halted(progress.serial, why));
        self.shared.trouble("rollout", what);
        let pause = Duration::from_millis(version.pause_ms);
        let rollout = Rollout::new(progress, &version.stages, pause, self.stage_since);
        self.shared.hub.set_share(rollout.share());
        eprintln!("serial {}: {} of 10000 nodes", agreed.serial, rollout.share());
        locked(&self.shared.rollout, |shown| *shown = Some(rollout));
    }

    /// The leader looks at all proxies of the stage and proposes what follows; the others tell it how theirs stand.
    fn roll(&mut self, view: &View) {
        let Some(rollout) = locked(&self.shared.rollout, |rollout| rollout.clone()) else { return };
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
            note.behind.truncate(NAMED_MOST);
            note.rejected.truncate(NAMED_MOST);
            return self.handle.note(COHORT, serde_json::to_string(&note).unwrap_or_default());
        }
        let cohort = self.all_cohorts(view, &progress, own);
        let mut looked = rollout;
        let to = match looked.look(self.shared.hub.now(), &cohort) {
            Next::Wait => return,
            Next::Halt => {
                command::RolloutAction::Halt(looked.progress().halted.clone().unwrap_or_default())
            }
            Next::Stage | Next::Done => command::RolloutAction::Next,
        };
        let step = command::RolloutStep { serial: progress.serial, stage: progress.stage, to };
        let now = Instant::now();
        if self.stepped.as_ref().is_some_and(|(was, at)| *was == step && now < *at + AGAIN) {
            return;
        }
        self.stepped = Some((step.clone(), now));
        self.handle.propose(Command::Rollout(step));
    }

    fn all_cohorts(&self, view: &View, progress: &Progress, mut all: Cohort) -> Cohort {
        let notes = self.handle.notes(COHORT, COHORT_FRESH);
        let heard = view.status.iter().flat_map(|standing| &standing.peers).filter(|(_, peer)| peer.heard);
        for (member, _) in heard {
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

    /// A learner that has caught up may vote.
    fn promote(&mut self, view: &View) {
        let Some(state) = view.state.as_ref().filter(|_| view.is_leader()) else { return };
        let (now, standing) = (Instant::now(), view.status.as_ref());
        if self.promoted.is_some_and(|at| now < at + AGAIN) {
            return;
        }
        let ready = state.members.iter().find(|(id, member)| {
            let heard = standing
                .and_then(|standing| standing.peers.get(id))
                .is_some_and(|peer| peer.heard && !peer.snapshot);
            !member.voter && member.folder.is_some() && heard
        });
        if let Some((&member, _)) = ready {
            self.promoted = Some(now);
            let (handle, id) = (self.handle.clone(), format!("promote-{member}-{}", state.index));
            tokio::spawn(async move {
                // What is refused, because it lacks too much yet, is tried again.
                let _ = handle.change(&id, MemberChange::Promote { member }, AGAIN).await;
            });
        }
    }
}

/// What ails the cluster as this instance sees it.
pub fn trouble_of(view: &View) -> String {
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
