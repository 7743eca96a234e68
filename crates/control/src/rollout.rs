//! A version that proxies get in stages: how far it has come, and when it goes on or halts. No I/O.
//!
//! Which proxies are in a stage follows from a hash of their node ids ([`runtrack_xds::place`]), so they are the same
//! ones after a reconnect or a restart, and those of one stage are in all later ones.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A proxy of the stage that has not acknowledged after so long halts the roll-out.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(60);

/// How far a version has come; kept beside the service's other state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The version.
    pub serial: u64,
    /// Its hash: another state may have a version of the same number.
    pub hash: String,
    /// The version that proxies have until they get it.
    pub from: u64,
    /// The stage that it is in, from 0; as many as there are: it is done.
    pub stage: usize,
    /// Why it goes no further, until somebody says so.
    pub halted: Option<String>,
}

impl Progress {
    /// Of a version that nobody has yet.
    pub fn new(serial: u64, hash: &str, from: u64) -> Progress {
        Progress { serial, hash: hash.to_owned(), from, stage: 0, halted: None }
    }

    /// Whether it speaks of this version.
    pub fn matches(&self, serial: u64, hash: &str) -> bool {
        self.serial == serial && self.hash == hash
    }
}

/// A roll-out under way.
#[derive(Clone, Debug)]
pub struct Rollout {
    progress: Progress,
    /// Parts of the proxies, in 10,000, rising.
    stages: Vec<u32>,
    pause: Duration,
    /// When the stage began.
    counting_since: Duration,
}

/// How the proxies of the stage stand.
#[derive(Clone, Debug, Default)]
pub struct Cohort {
    /// Nodes that have not acknowledged all of it.
    pub behind: Vec<String>,
    /// Nodes that have rejected a part of it, and their words.
    pub rejected: Vec<(String, String)>,
    /// What shows that requests fail more often where it is; see [`crate::error_rate`].
    pub failing: Option<String>,
}

/// What follows from a look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing.
    Wait,
    /// The stage has changed.
    Stage,
    /// It halts.
    Halt,
    /// All proxies have it.
    Done,
}

impl Rollout {
    /// A roll-out of a version in stages, from where it is.
    pub fn new(progress: Progress, stages: &[u32], pause: Duration, now: Duration) -> Rollout {
        Rollout { progress, stages: stages.to_vec(), pause, counting_since: now }
    }

    /// How far it has come.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Its stages, parts in 10,000.
    pub fn stages(&self) -> &[u32] {
        &self.stages
    }

    /// The part of the proxies that get the version now, in 10,000.
    pub fn share(&self) -> u32 {
        self.stages.get(self.progress.stage).copied().unwrap_or(10_000)
    }

    /// Looks at the proxies of the stage: a rejection, a silence or a rise of errors halts, and what all have
    /// acknowledged for as long as the pause goes on.
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
        // The last stage stands as long as the others: errors show only once requests have been sent.
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

    /// Goes on after a halt: rejections from before no longer count, which the caller sees to. Says whether it had
    /// halted.
    pub fn resume(&mut self, now: Duration) -> bool {
        self.counting_since = now;
        self.progress.halted.take().is_some()
    }

    /// Since when rejections count: the stage's beginning, or the last resumption.
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
    fn stages_follow_each_other_once_acknowledged_and_paused() {
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
    fn a_rise_of_errors_halts_in_the_last_stage_too() {
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
    fn it_goes_on_where_it_was() {
        let was = Progress { stage: 1, halted: Some("why".to_owned()), ..Progress::new(7, "h", 6) };
        let same = Rollout::new(was.clone(), &[1000, 5000, 10_000], at(10), at(0));
        assert_eq!((same.share(), same.progress()), (5000, &was));
        assert!(was.matches(7, "h") && !was.matches(7, "g") && !was.matches(8, "h"));
    }
}
