//! StateSource what is served in step with what is desired and what sources tell: commits first, then publishes; and takes
//! a version that is handed out in stages through them.

use crate::core::Core;
use crate::desired::{Desired, Origin};
use crate::errors::Tolerance;
use crate::memory::Memory;
use crate::progress::ProgressFile;
use crate::rollout::{Next, Progress, Rollout};
use crate::serving_state::{ServingState, halted, locked};
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
    from: Origin,
    memory: Option<Memory>,
    progress: Option<ProgressFile>,
    tolerance: Tolerance,
    /// A version in stages that waits for another one's roll-out to end.
    waits: Option<u64>,
}

impl SingleInstance {
    /// Nothing is served yet.
    pub fn new(
        shared: Arc<Shared>,
        from: Origin,
        memory: Option<Memory>,
        progress: Option<ProgressFile>,
        seed: u64,
        tolerance: Tolerance,
    ) -> SingleInstance {
        let serving = ServingState::new(shared.clone(), seed);
        SingleInstance { shared, serving, from, memory, progress, tolerance, waits: None }
    }

    /// Serves what is desired, with the lists that were held before a restart; a roll-out goes on where it was.
    pub fn start(&mut self, desired: Desired, held: BTreeMap<String, List>) {
        let staged = desired.version.as_ref().filter(|version| !version.stages.is_empty()).map(|version| {
            let was = self.progress.as_ref().and_then(ProgressFile::read);
            let fresh = Progress::new(version.serial, &version.hash, version.serial - 1);
            was.filter(|was| was.is_of(version.serial, &version.hash)).unwrap_or(fresh)
        });
        let stages = desired.version.as_ref().map_or(0, |version| version.stages.len());
        let under_way = staged.filter(|progress| progress.stage < stages);
        let before = under_way.and_then(|progress| Some((self.from.fleet_of(progress.from)?, progress)));
        match before {
            Some((before, progress)) => {
                self.serving.begin(before, held);
                self.publish(true);
                self.hand_out(desired, progress);
            }
            None => {
                self.serving.begin(desired.fleet, held);
                locked(&self.shared.version, |version| *version = desired.version);
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
    pub fn told(&mut self, now: Duration, pool: &str, from: SocketAddr, told: Update) {
        self.serving.both(|core| core.told(now, pool, from, told.clone()));
    }

    /// Looks at the clock, the store and the roll-out; says whether the sources may have changed.
    pub fn tick(&mut self) -> bool {
        let now = self.shared.clock.now();
        self.serving.both(|core| core.tick(now));
        let followed = self.follow();
        let ended = self.roll();
        self.serving.show();
        followed || ended
    }

    /// First the disk, then the proxies: what a proxy was told, a restart knows. A disk that fails holds no
    /// drain up.
    pub fn publish(&mut self, whole: bool) {
        let (shared, memory) = (&self.shared, &mut self.memory);
        self.serving.publish(whole, |lists| {
            let Some(memory) = memory.as_mut().filter(|_| !lists.is_empty()) else { return };
            let mut done = memory.commit(lists);
            if memory.wants_rewrite() {
                done = memory.rewrite(locked(&shared.core, |core: &mut Core| core.lists()));
            }
            let what = |e| format!("{e}: a restart now would not know of the last changes");
            shared.trouble("state", done.err().map(what));
        });
    }

    /// Reads the desired state again where it comes from a store whose head has moved; says whether it has.
    fn follow(&mut self) -> bool {
        let served =
            locked(&self.shared.version, |version| version.as_ref().map_or(0, |version| version.serial));
        match self.from.serial() {
            None => false,
            Some(Ok(serial)) if serial == served => {
                self.waits = None;
                self.shared.trouble("reload", None);
                false
            }
            Some(Ok(serial)) if self.waits == Some(serial) && self.serving.is_parted() => false,
            // A bad one is told by the reload, once.
            Some(_) => self.reload(),
        }
    }

    /// Takes the desired state as it is now, or goes on with the old one and says why. Says whether it has changed.
    pub fn reload(&mut self) -> bool {
        let desired = match self.from.read() {
            Ok(desired) => desired,
            Err(problem) => {
                self.shared.trouble("reload", Some(format!("{problem}\nthe old state goes on")));
                return false;
            }
        };
        let serial = desired.version.as_ref().map(|version| version.serial);
        let served = locked(&self.shared.version, |version| version.as_ref().map(|version| version.serial));
        let staged = desired.version.as_ref().is_some_and(|version| !version.stages.is_empty());
        if self.serving.is_parted() && serial == served {
            return false; // it is being handed out
        }
        if self.serving.is_parted() && staged {
            self.waits = serial;
            let what = "waits for the roll-out under way: resume that, or abort it";
            self.shared.trouble("reload", Some(format!("serial {}: {what}", serial.unwrap_or_default())));
            return false;
        }
        let (hash, now) = (desired.fleet.hash(), self.shared.clock.now());
        if let (true, Some(from), Some(version)) = (staged, served, &desired.version) {
            let progress = Progress::new(version.serial, &version.hash, from);
            self.hand_out(desired, progress);
        } else {
            // What is not staged goes to all at once, and ends a roll-out: so does going back in a hurry.
            self.serving.core(|core| core.replace(now, desired.fleet));
            locked(&self.shared.version, |version| *version = desired.version);
            self.publish(true);
            self.end_rollout();
            self.shared.trouble("rollout", None);
        }
        self.shared.trouble("reload", None);
        let serial = serial.map(|serial| format!("serial {serial}, ")).unwrap_or_default();
        eprintln!("reloaded: {serial}fleet {}", &hash[..12]);
        true
    }

    // ---- a version in stages ----

    /// Begins to hand a version out, or goes on with it.
    fn hand_out(&mut self, desired: Desired, progress: Progress) {
        let Desired { fleet, version: Some(version) } = desired else { return };
        let hub = self.shared.hub.clone();
        self.serving.part(fleet);
        let pause = Duration::from_millis(version.pause_ms);
        let rollout = Rollout::new(progress, &version.stages, pause, hub.now());
        if let Some(why) = &rollout.progress().halted {
            self.shared.trouble("rollout", Some(halted(version.serial, why)));
        }
        locked(&self.shared.version, |shown| *shown = Some(version));
        self.publish(true);
        self.keep(&rollout);
        hub.set_share(rollout.share());
        locked(&self.shared.rollout, |shown| *shown = Some(rollout));
    }

    /// Looks at the roll-out, if there is one; says whether it has ended.
    fn roll(&mut self) -> bool {
        let Some(mut rollout) = locked(&self.shared.rollout, |rollout| rollout.clone()) else {
            return false;
        };
        let cohort = self.serving.cohort(&rollout, rollout.since(), self.tolerance);
        let next = rollout.look(self.shared.hub.now(), &cohort);
        if next == Next::Wait {
            return false;
        }
        // On disk before any proxy is told: a restart gives no proxy less than it has.
        self.keep(&rollout);
        let serial = rollout.progress().serial;
        match &rollout.progress().halted {
            Some(why) => {
                self.shared.trouble("rollout", Some(halted(serial, why)));
            }
            None => eprintln!("serial {serial}: {} of 10000 nodes", rollout.share()),
        }
        self.shared.hub.set_share(rollout.share());
        locked(&self.shared.rollout, |shown| *shown = Some(rollout));
        if next == Next::Done {
            self.end_rollout();
        }
        next == Next::Done
    }

    /// Goes on with a roll-out that has halted.
    pub fn resume(&mut self) {
        let now = self.shared.hub.now();
        let resumed = locked(&self.shared.rollout, |rollout| {
            rollout.as_mut().filter(|rollout| rollout.progress().halted.is_some()).map(|rollout| {
                rollout.resume(now);
                rollout.clone()
            })
        });
        if let Some(rollout) = resumed {
            // What failed before somebody said to go on no longer counts.
            self.shared.hub.set_share(rollout.share());
            self.keep(&rollout);
            self.shared.trouble("rollout", None);
        }
    }

    fn end_rollout(&mut self) {
        self.serving.settle();
        self.waits = None;
    }

    fn keep(&self, rollout: &Rollout) {
        if let Some(file) = &self.progress {
            let done = file.write(rollout.progress());
            let what = |e| format!("{e}: a restart now would begin the roll-out anew");
            self.shared.trouble("rollout state", done.err().map(what));
        }
    }
}
