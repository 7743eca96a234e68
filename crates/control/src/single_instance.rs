//! State source of a single instance: applies the desired fleet and discovery's updates, commits them before it
//! publishes them, and takes a staged version through its roll-out.

use crate::desired::{Desired, Origin};
use crate::error_rate::Tolerance;
use crate::fleet_state::FleetState;
use crate::persistence::ListJournal;
use crate::progress::ProgressFile;
use crate::rollout::{Decision, Progress, Rollout};
use crate::serving_state::{ServingState, halt_message, with_lock};
use crate::shared::Shared;
use crate::source::Sources;
use runtrack_discovery::{List, Update};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// State source of a single instance, with the desired fleet from a file or a store.
pub struct SingleInstance {
    shared: Arc<Shared>,
    serving: ServingState,
    origin: Origin,
    journal: Option<ListJournal>,
    progress: Option<ProgressFile>,
    tolerance: Tolerance,
    /// The serial of a staged version that waits for the current roll-out to end.
    queued_serial: Option<u64>,
}

impl SingleInstance {
    /// Creates the state source; nothing is served yet.
    pub fn new(
        shared: Arc<Shared>,
        origin: Origin,
        journal: Option<ListJournal>,
        progress: Option<ProgressFile>,
        seed: u64,
        tolerance: Tolerance,
    ) -> SingleInstance {
        let serving = ServingState::new(shared.clone(), seed);
        SingleInstance { shared, serving, origin, journal, progress, tolerance, queued_serial: None }
    }

    /// Starts serving the desired fleet, with the lists saved before a restart; resumes an unfinished roll-out.
    pub fn start(&mut self, desired: Desired, held: BTreeMap<String, List>) {
        let staged = desired.version.as_ref().filter(|version| !version.stages.is_empty()).map(|version| {
            let saved = self.progress.as_ref().and_then(ProgressFile::read);
            let fresh = Progress::new(version.serial, &version.hash, version.serial - 1);
            saved.filter(|saved| saved.matches(version.serial, &version.hash)).unwrap_or(fresh)
        });
        let stages = desired.version.as_ref().map_or(0, |version| version.stages.len());
        let under_way = staged.filter(|progress| progress.stage < stages);
        let before = under_way.and_then(|progress| Some((self.origin.fleet_of(progress.from)?, progress)));
        match before {
            Some((before, progress)) => {
                self.serving.start(before, held);
                self.publish(true);
                self.start_rollout(desired, progress);
            }
            None => {
                self.serving.start(desired.fleet, held);
                with_lock(&self.shared.version, |version| *version = desired.version);
                self.publish(true);
            }
        }
    }

    /// The discovery servers to watch.
    pub fn sources(&self) -> Sources {
        self.serving.sources()
    }

    /// Whether there are changes to publish.
    pub fn is_dirty(&self) -> bool {
        self.serving.is_dirty()
    }

    /// Handles an update from discovery.
    pub fn handle_update(&mut self, now: Duration, pool: &str, from: SocketAddr, update: Update) {
        self.serving
            .for_each_state(|fleet_state| fleet_state.handle_update(now, pool, from, update.clone()));
    }

    /// Checks timers, the store and the roll-out; returns whether the sources may have changed.
    pub fn tick(&mut self) -> bool {
        let now = self.shared.clock.now();
        self.serving.for_each_state(|fleet_state| fleet_state.tick(now));
        let state_changed = self.check_store();
        let rollout_ended = self.advance_rollout();
        self.serving.update_pool_status();
        state_changed || rollout_ended
    }

    /// Commits changes to disk, then publishes them, so that a restart knows all that proxies have got. Publishes also
    /// if the disk fails: drains must not be delayed.
    pub fn publish(&mut self, full: bool) {
        let (shared, journal) = (&self.shared, &mut self.journal);
        self.serving.publish(full, |lists| {
            let Some(journal) = journal.as_mut().filter(|_| !lists.is_empty()) else { return };
            let mut done = journal.commit(lists);
            if journal.needs_rewrite() {
                done = journal.rewrite(with_lock(&shared.fleet_state, |fleet_state: &mut FleetState| {
                    fleet_state.lists()
                }));
            }
            let describe = |e| format!("{e}: the last changes would be lost on a restart");
            shared.set_trouble("state", done.err().map(describe));
        });
    }

    /// Reloads the desired fleet if the head of its store has changed; returns whether the fleet has changed.
    fn check_store(&mut self) -> bool {
        let served_serial =
            with_lock(&self.shared.version, |version| version.as_ref().map_or(0, |version| version.serial));
        match self.origin.head_serial() {
            None => false,
            Some(Ok(serial)) if serial == served_serial => {
                self.queued_serial = None;
                self.shared.set_trouble("reload", None);
                false
            }
            Some(Ok(serial)) if self.queued_serial == Some(serial) && self.serving.is_split() => false,
            // The reload reports an unreadable store once.
            Some(_) => self.reload(),
        }
    }

    /// Reloads the desired fleet; on failure, keeps the old one and reports why. Returns whether it has changed.
    pub fn reload(&mut self) -> bool {
        let desired = match self.origin.read() {
            Ok(desired) => desired,
            Err(problem) => {
                self.shared.set_trouble("reload", Some(format!("{problem}\nkeeping the old state")));
                return false;
            }
        };
        let serial = desired.version.as_ref().map(|version| version.serial);
        let served_serial =
            with_lock(&self.shared.version, |version| version.as_ref().map(|version| version.serial));
        let staged = desired.version.as_ref().is_some_and(|version| !version.stages.is_empty());
        if self.serving.is_split() && serial == served_serial {
            return false; // its roll-out is in progress
        }
        if self.serving.is_split() && staged {
            self.queued_serial = serial;
            let reason = "waits for the current roll-out: resume or abort it";
            self.shared
                .set_trouble("reload", Some(format!("serial {}: {reason}", serial.unwrap_or_default())));
            return false;
        }
        let (hash, now) = (desired.fleet.hash(), self.shared.clock.now());
        if let (true, Some(from), Some(version)) = (staged, served_serial, &desired.version) {
            let progress = Progress::new(version.serial, &version.hash, from);
            self.start_rollout(desired, progress);
        } else {
            // A version without stages goes to all proxies at once and ends a roll-out, as for a quick rollback.
            self.serving.fleet_state(|fleet_state| fleet_state.replace(now, desired.fleet));
            with_lock(&self.shared.version, |version| *version = desired.version);
            self.publish(true);
            self.end_rollout();
            self.shared.set_trouble("rollout", None);
        }
        self.shared.set_trouble("reload", None);
        let serial = serial.map(|serial| format!("serial {serial}, ")).unwrap_or_default();
        eprintln!("reloaded: {serial}fleet {}", &hash[..12]);
        true
    }

    // ---- staged roll-outs ----

    /// Starts or resumes the roll-out of a version.
    fn start_rollout(&mut self, desired: Desired, progress: Progress) {
        let Desired { fleet, version: Some(version) } = desired else { return };
        let hub = self.shared.hub.clone();
        self.serving.split(fleet);
        let pause = Duration::from_millis(version.pause_ms);
        let rollout = Rollout::new(progress, &version.stages, pause, hub.now());
        if let Some(why) = &rollout.progress().halted {
            self.shared.set_trouble("rollout", Some(halt_message(version.serial, why)));
        }
        with_lock(&self.shared.version, |shown| *shown = Some(version));
        self.publish(true);
        self.save_progress(&rollout);
        hub.set_rollout_share(rollout.share());
        with_lock(&self.shared.rollout, |shown| *shown = Some(rollout));
    }

    /// Advances or halts the current roll-out, if any; returns whether it has ended.
    fn advance_rollout(&mut self) -> bool {
        let Some(mut rollout) = with_lock(&self.shared.rollout, |rollout| rollout.clone()) else {
            return false;
        };
        let cohort = self.serving.cohort(&rollout, rollout.counting_since(), self.tolerance);
        let next = rollout.evaluate(self.shared.hub.now(), &cohort);
        if next == Decision::Wait {
            return false;
        }
        // Persisted before any proxy gets the version, so that after a restart none falls back to the previous one.
        self.save_progress(&rollout);
        let serial = rollout.progress().serial;
        match &rollout.progress().halted {
            Some(why) => {
                self.shared.set_trouble("rollout", Some(halt_message(serial, why)));
            }
            None => eprintln!("serial {serial}: {} of 10000 nodes", rollout.share()),
        }
        self.shared.hub.set_rollout_share(rollout.share());
        with_lock(&self.shared.rollout, |shown| *shown = Some(rollout));
        if next == Decision::Done {
            self.end_rollout();
        }
        next == Decision::Done
    }

    /// Resumes a halted roll-out.
    pub fn resume(&mut self) {
        let now = self.shared.hub.now();
        let resumed = with_lock(&self.shared.rollout, |rollout| {
            rollout.as_mut().filter(|rollout| rollout.progress().halted.is_some()).map(|rollout| {
                rollout.resume(now);
                rollout.clone()
            })
        });
        if let Some(rollout) = resumed {
            // Setting the share again discards the failures counted before the resumption.
            self.shared.hub.set_rollout_share(rollout.share());
            self.save_progress(&rollout);
            self.shared.set_trouble("rollout", None);
        }
    }

    fn end_rollout(&mut self) {
        self.serving.finish_rollout();
        self.queued_serial = None;
    }

    fn save_progress(&self, rollout: &Rollout) {
        if let Some(file) = &self.progress {
            let done = file.write(rollout.progress());
            let describe = |e| format!("{e}: a restart would begin the roll-out again");
            self.shared.set_trouble("rollout state", done.err().map(describe));
        }
    }
}
