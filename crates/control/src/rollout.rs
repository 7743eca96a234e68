//! Staged roll-out of a version to proxies: its progress, and when it advances or halts. No I/O.
//!
//! The proxies of a stage are determined by a hash of their node ids ([`runtrack_xds::rollout_bucket`]), so that they stay the
//! same after a reconnect or a restart, and are in all later stages too.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after which a proxy of the stage that has not acknowledged the version halts the roll-out.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(60);

/// The persistent progress of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The serial of the version.
    pub serial: u64,
    /// Its hash: another store may have a version of the same serial.
    pub hash: String,
    /// The serial of the version before it.
    pub from: u64,
    /// The current stage, from 0; equal to the number of stages once it is done.
    pub stage: usize,
    /// Why it has halted, until it is resumed.
    pub halted: Option<String>,
}

impl Progress {
    /// The progress of a version at its first stage.
    pub fn new(serial: u64, hash: &str, from: u64) -> Progress {
        Progress { serial, hash: hash.to_owned(), from, stage: 0, halted: None }
    }

    /// Whether this is the progress of the given version.
    pub fn matches(&self, serial: u64, hash: &str) -> bool {
        self.serial == serial && self.hash == hash
    }
}

/// A roll-out in progress.
#[derive(Clone, Debug)]
pub struct Rollout {
    progress: Progress,
    /// Share of the proxies per stage, in 1/10,000, increasing.
    stages: Vec<u32>,
    pause: Duration,
    /// When the stage began, or was resumed.
    counting_since: Duration,
}

/// The status of the proxies of the current stage.
#[derive(Clone, Debug, Default)]
pub struct Cohort {
    /// Nodes that have not acknowledged all resources.
    pub behind: Vec<String>,
    /// Nodes that have rejected a resource, with their error details.
    pub rejected: Vec<(String, String)>,
    /// A description of an increased error rate; see [`crate::error_rate`].
    pub failing: Option<String>,
}

/// The result of an evaluation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// No change.
    Wait,
    /// The next stage begins.
    Stage,
    /// The roll-out halts.
    Halt,
    /// The last stage is complete.
    Done,
}

impl Rollout {
    /// Creates a roll-out that continues from `progress`.
    pub fn new(progress: Progress, stages: &[u32], pause: Duration, now: Duration) -> Rollout {
        Rollout { progress, stages: stages.to_vec(), pause, counting_since: now }
    }

    /// The progress.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// The share of the proxies per stage, in 1/10,000.
    pub fn stages(&self) -> &[u32] {
        &self.stages
    }

    /// The share of the proxies in the current stage, in 1/10,000.
    pub fn share(&self) -> u32 {
        self.stages.get(self.progress.stage).copied().unwrap_or(10_000)
    }

    /// Evaluates the proxies of the stage: a rejection, a missing acknowledgement or an increased error rate halts the
    /// roll-out; it advances once all have acknowledged and the pause is over.
    pub fn evaluate(&mut self, now: Duration, cohort: &Cohort) -> Decision {
        if self.progress.halted.is_some() {
            return Decision::Wait;
        }
        let elapsed = now.saturating_sub(self.counting_since);
        if let Some((node, detail)) = cohort.rejected.first() {
            return self.halt(format!("{node} rejects a part of it: {detail}"));
        }
        if let Some(detail) = &cohort.failing {
            return self.halt(detail.clone());
        }
        if !cohort.behind.is_empty() {
            if elapsed < ACKNOWLEDGE_TIMEOUT {
                return Decision::Wait;
            }
            let others = cohort.behind.len() - 1;
            return self.halt(format!("{} and {others} more have not acknowledged it", cohort.behind[0]));
        }
        // The pause applies to the last stage too: errors appear only once requests have been sent.
        if elapsed < self.pause {
            return Decision::Wait;
        }
        let last = self.progress.stage + 1 >= self.stages.len();
        self.progress.stage += 1;
        self.counting_since = now;
        if last { Decision::Done } else { Decision::Stage }
    }

    fn halt(&mut self, why: String) -> Decision {
        self.progress.halted = Some(why);
        Decision::Halt
    }

    /// Resumes after a halt; returns whether it was halted. The caller must ignore rejections from before
    /// [`counting_since`](Self::counting_since).
    pub fn resume(&mut self, now: Duration) -> bool {
        self.counting_since = now;
        self.progress.halted.take().is_some()
    }

    /// Since when rejections count: the beginning of the stage, or the last resumption.
    pub fn counting_since(&self) -> Duration {
        self.counting_since
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(seconds: u64) -> Duration {
        Duration::from_secs(seconds)
    }

    fn rollout() -> Rollout {
        Rollout::new(Progress::new(7, "h", 6), &[1000, 5000, 10_000], at(10), at(100))
    }

    fn behind() -> Cohort {
        Cohort { behind: vec!["a".to_owned()], ..Cohort::default() }
    }

    #[test]
    fn a_stage_ends_after_acknowledgement_and_the_pause() {
        let mut rollout = rollout();
        assert_eq!(
            (rollout.share(), rollout.evaluate(at(109), &Cohort::default())),
            (1000, Decision::Wait)
        );
        assert_eq!(
            rollout.evaluate(at(111), &behind()),
            Decision::Wait,
            "the pause is over, the proxies are not"
        );
        assert_eq!(
            (rollout.evaluate(at(112), &Cohort::default()), rollout.share()),
            (Decision::Stage, 5000)
        );
        assert_eq!(
            rollout.evaluate(at(121), &Cohort::default()),
            Decision::Wait,
            "the pause counts from the stage"
        );
        assert_eq!(
            (rollout.evaluate(at(122), &Cohort::default()), rollout.share()),
            (Decision::Stage, 10_000)
        );
        assert_eq!(rollout.evaluate(at(123), &behind()), Decision::Wait);
        assert_eq!(
            rollout.evaluate(at(131), &Cohort::default()),
            Decision::Wait,
            "so does the last stage's"
        );
        assert_eq!(rollout.evaluate(at(132), &Cohort::default()), Decision::Done);
        assert_eq!(rollout.progress(), &Progress { stage: 3, ..Progress::new(7, "h", 6) });
    }

    #[test]
    fn a_rejection_halts_until_resumed() {
        let mut rollout = rollout();
        let rejected =
            Cohort { rejected: vec![("p7".to_owned(), "no such".to_owned())], ..Cohort::default() };
        assert_eq!(rollout.evaluate(at(101), &rejected), Decision::Halt);
        assert!(rollout.progress().halted.as_ref().is_some_and(|why| why.contains("p7 rejects")));
        assert_eq!(rollout.evaluate(at(1000), &Cohort::default()), Decision::Wait);
        assert!(rollout.resume(at(1000)));
        assert_eq!(rollout.evaluate(at(1009), &Cohort::default()), Decision::Wait, "the pause begins anew");
        assert_eq!(rollout.evaluate(at(1010), &Cohort::default()), Decision::Stage);
    }

    #[test]
    fn an_increased_error_rate_halts_in_the_last_stage_too() {
        let mut rollout = rollout();
        let failing = Cohort { failing: Some("pool p fails".to_owned()), ..Cohort::default() };
        assert_eq!(rollout.evaluate(at(111), &Cohort::default()), Decision::Stage);
        assert_eq!(rollout.evaluate(at(121), &Cohort::default()), Decision::Stage);
        assert_eq!(rollout.evaluate(at(122), &failing), Decision::Halt);
        assert_eq!(rollout.progress().halted.as_deref(), Some("pool p fails"));
    }

    #[test]
    fn a_proxy_that_never_acknowledges_halts() {
        let mut rollout = rollout();
        assert_eq!(rollout.evaluate(at(159), &behind()), Decision::Wait);
        assert_eq!(rollout.evaluate(at(160), &behind()), Decision::Halt);
    }

    #[test]
    fn a_rollout_resumes_from_its_progress() {
        let saved = Progress { stage: 1, halted: Some("why".to_owned()), ..Progress::new(7, "h", 6) };
        let resumed = Rollout::new(saved.clone(), &[1000, 5000, 10_000], at(10), at(0));
        assert_eq!((resumed.share(), resumed.progress()), (5000, &saved));
        assert!(saved.matches(7, "h") && !saved.matches(7, "g") && !saved.matches(8, "h"));
    }
}
