//! StateSource what is served in step with what is desired and what sources tell: commits first, then publishes; and takes
//! a version that is handed out in stages through them.

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

/// Commits and publishes what the core makes necessary.
pub struct SingleInstance {
    shared: Arc<Shared>,
    serving: ServingState,
    origin: Origin,
    journal: Option<ListJournal>,
    progress: Option<ProgressFile>,
    tolerance: Tolerance,
    /// A version in stages that waits for another one's roll-out to end.
    queued_serial: Option<u64>,
}

impl SingleInstance {
    /// Nothing is served yet.
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

    /// Serves what is desired, with the lists that were held before a restart; a roll-out goes on where it was.
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

    /// The sources to follow.
    pub fn sources(&self) -> Sources {
        self.serving.sources()
    }

    /// Whether there is anything to publish.
    pub fn is_dirty(&self) -> bool {
        self.serving.is_dirty()
    }

    /// Takes what a source told.
    pub fn handle_update(&mut self, now: Duration, pool: &str, from: SocketAddr, update: Update) {
        self.serving
            .for_each_state(|fleet_state| fleet_state.handle_update(now, pool, from, update.clone()));
    }

    /// Looks at the clock, the store and the roll-out; says whether the sources may have changed.
    pub fn tick(&mut self) -> bool {
        let now = self.shared.clock.now();
        self.serving.for_each_state(|fleet_state| fleet_state.tick(now));
        let state_changed = self.check_store();
        let rollout_ended = self.advance_rollout();
        self.serving.update_pool_status();
        state_changed || rollout_ended
    }

    /// First the disk, then the proxies: what a proxy was told, a restart knows. A disk that fails holds no
    /// drain up.
    pub fn publish(&mut self, whole: bool) {
        let (shared, journal) = (&self.shared, &mut self.journal);
        self.serving.publish(whole, |lists| {
            let Some(journal) = journal.as_mut().filter(|_| !lists.is_empty()) else { return };
            let mut done = journal.commit(lists);
            if journal.needs_rewrite() {
                done = journal.rewrite(with_lock(&shared.fleet_state, |fleet_state: &mut FleetState| {
                    fleet_state.lists()
                }));
            }
            let describe = |e| format!("{e}: a restart now would not know of the last changes");
            shared.set_trouble("state", done.err().map(describe));
        });
    }

    /// Reads the desired state again where it comes from a store whose head has moved; says whether it has.
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
            // A bad one is told by the reload, once.
            Some(_) => self.reload(),
        }
    }

    /// Takes the desired state as it is now, or goes on with the old one and says why. Says whether it has changed.
    pub fn reload(&mut self) -> bool {
        let desired = match self.origin.read() {
            Ok(desired) => desired,
            Err(problem) => {
                self.shared.set_trouble("reload", Some(format!("{problem}\nthe old state goes on")));
                return false;
            }
        };
        let serial = desired.version.as_ref().map(|version| version.serial);
        let served_serial =
            with_lock(&self.shared.version, |version| version.as_ref().map(|version| version.serial));
        let staged = desired.version.as_ref().is_some_and(|version| !version.stages.is_empty());
        if self.serving.is_split() && serial == served_serial {
            return false; // it is being handed out
        }
        if self.serving.is_split() && staged {
            self.queued_serial = serial;
            let reason = "waits for the roll-out under way: resume that, or abort it";
            self.shared
                .set_trouble("reload", Some(format!("serial {}: {reason}", serial.unwrap_or_default())));
            return false;
        }
        let (hash, now) = (desired.fleet.hash(), self.shared.clock.now());
        if let (true, Some(from), Some(version)) = (staged, served_serial, &desired.version) {
            let progress = Progress::new(version.serial, &version.hash, from);
            self.start_rollout(desired, progress);
        } else {
            // What is not staged goes to all at once, and ends a roll-out: so does going back in a hurry.
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

    // ---- a version in stages ----

    /// Begins to hand a version out, or goes on with it.
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
        hub.set_share(rollout.share());
        with_lock(&self.shared.rollout, |shown| *shown = Some(rollout));
    }

    /// Looks at the roll-out, if there is one; says whether it has ended.
    fn advance_rollout(&mut self) -> bool {
        let Some(mut rollout) = with_lock(&self.shared.rollout, |rollout| rollout.clone()) else {
            return false;
        };
        let cohort = self.serving.cohort(&rollout, rollout.counting_since(), self.tolerance);
        let next = rollout.evaluate(self.shared.hub.now(), &cohort);
        if next == Decision::Wait {
            return false;
        }
        // On disk before any proxy is told: a restart gives no proxy less than it has.
        self.save_progress(&rollout);
        let serial = rollout.progress().serial;
        match &rollout.progress().halted {
            Some(why) => {
                self.shared.set_trouble("rollout", Some(halt_message(serial, why)));
            }
            None => eprintln!("serial {serial}: {} of 10000 nodes", rollout.share()),
        }
        self.shared.hub.set_share(rollout.share());
        with_lock(&self.shared.rollout, |shown| *shown = Some(rollout));
        if next == Decision::Done {
            self.end_rollout();
        }
        next == Decision::Done
    }

    /// Goes on with a roll-out that has halted.
    pub fn resume(&mut self) {
        let now = self.shared.hub.now();
        let resumed = with_lock(&self.shared.rollout, |rollout| {
            rollout.as_mut().filter(|rollout| rollout.progress().halted.is_some()).map(|rollout| {
                rollout.resume(now);
                rollout.clone()
            })
        });
        if let Some(rollout) = resumed {
            // What failed before somebody said to go on no longer counts.
            self.shared.hub.set_share(rollout.share());
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
            let describe = |e| format!("{e}: a restart now would begin the roll-out anew");
            self.shared.set_trouble("rollout state", done.err().map(describe));
        }
    }
}
