//! What proxies say of the requests that they sent (LRS): how many ended, and how many of those badly, by pool. While
//! a version is handed out in stages these are told apart by whether the proxy has it. No I/O.
//!
//! Memory follows the pools that are served: reports of other names are not kept, and nothing is kept by proxy.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Shares from before a roll-out are taken from so many slots ...
const SLOT_COUNT: usize = 10;
/// ... of so long each: long enough for a quiet pool, short enough to speak of now.
const SLOT_LENGTH: Duration = Duration::from_secs(60);
/// More requests than this in one report are no count but a fault: a proxy would have to end ten million a second
/// for a day.
const MAX_REPORTED_REQUESTS: u64 = 1_000_000_000_000;

/// Requests that have ended, and those of them that failed or were dropped by the proxy's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All.
    pub ended: u64,
    /// Those with no good answer.
    pub failed: u64,
}

impl RequestCounts {
    /// Both together.
    pub fn plus(self, other: RequestCounts) -> RequestCounts {
        RequestCounts {
            ended: self.ended.saturating_add(other.ended),
            failed: self.failed.saturating_add(other.failed),
        }
    }

    /// The part that failed; none of nothing.
    pub fn fail_rate(self) -> Option<f64> {
        (self.ended > 0).then(|| self.failed as f64 / self.ended as f64)
    }
}

/// A pool's requests, seen from a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutComparison {
    /// Of proxies that have the new version, since the stage began.
    pub with: RequestCounts,
    /// Of the others, since the stage began.
    pub without: RequestCounts,
    /// Of all, in the ten minutes before the roll-out.
    pub before: RequestCounts,
}

/// What one proxy says of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The pool.
    pub pool: String,
    /// Requests with a good answer.
    pub succeeded: u64,
    /// Requests without.
    pub failed: u64,
    /// Requests that the proxy's own limits dropped.
    pub dropped: u64,
    /// The time that it is about, up to now; none: as long as was asked for.
    pub interval: Option<Duration>,
}

/// A report that can't be true.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("pool `{0}`: a report of more than {MAX_REPORTED_REQUESTS} requests")]
pub struct InvalidReport(pub String);

#[derive(Clone, Debug)]
struct Stage {
    /// The part of the nodes that have the new version, in 10,000.
    share: u32,
    since: Duration,
}

/// What is known of all pools' requests.
#[derive(Clone, Debug)]
pub struct LoadStats {
    /// How often proxies are asked to report.
    every: Duration,
    stage: Option<Stage>,
    pools: BTreeMap<String, Pool>,
    /// Reports taken, and the pools in them that are not served here.
    report_counts: (u64, u64),
}

#[derive(Clone, Debug, Default)]
struct Pool {
    /// Slots with the time that each began, the newest last; none while a version is handed out.
    slots: VecDeque<(Duration, RequestCounts)>,
    compared: RolloutComparison,
}

impl LoadStats {
    /// Nothing is known yet.
    pub fn new(every: Duration) -> LoadStats {
        LoadStats { every, stage: None, pools: BTreeMap::new(), report_counts: (0, 0) }
    }

    /// Takes a proxy's report, of the pools that are `served`.
    pub fn report(
        &mut self,
        now: Duration,
        bucket: u32,
        reports: &[LoadReport],
        served: impl Fn(&str) -> bool,
    ) -> Result<(), InvalidReport> {
        let too_many = |report: &&LoadReport| {
            [report.succeeded, report.failed, report.dropped].iter().any(|n| *n > MAX_REPORTED_REQUESTS)
        };
        if let Some(report) = reports.iter().find(too_many) {
            return Err(InvalidReport(report.pool.clone()));
        }
        self.report_counts.0 += 1;
        for report in reports {
            if !served(&report.pool) {
                self.report_counts.1 += 1;
                continue;
            }
            let failed = report.failed + report.dropped;
            let tally = RequestCounts { ended: report.succeeded + failed, failed };
            let interval = report.interval.unwrap_or(self.every);
            let pool = self.pools.entry(report.pool.clone()).or_default();
            match &self.stage {
                // A report that reaches back to before the stage mixes what it is to tell apart.
                Some(stage) if now.saturating_sub(interval) < stage.since => {}
                Some(stage) => {
                    let side = match bucket < stage.share {
                        true => &mut pool.compared.with,
                        false => &mut pool.compared.without,
                    };
                    *side = side.plus(tally);
                }
                None => pool.record(now, tally),
            }
        }
        Ok(())
    }

    /// A version is handed out from now on, to nobody yet. What is known of the time before stands beside it to the
    /// end.
    pub fn start_rollout(&mut self, now: Duration) {
        for pool in self.pools.values_mut() {
            pool.compared = RolloutComparison { before: pool.recent(now), ..RolloutComparison::default() };
            pool.slots.clear();
        }
        self.stage = Some(Stage { share: 0, since: now });
    }

    /// So many of 10,000 nodes have it from now on; or the same as before, looked at anew.
    pub fn start_stage(&mut self, now: Duration, share: u32) {
        if let Some(stage) = &mut self.stage {
            *stage = Stage { share, since: now };
            for Pool { compared, .. } in self.pools.values_mut() {
                *compared = RolloutComparison { before: compared.before, ..RolloutComparison::default() };
            }
        }
    }

    /// All have it, or nobody ever will. Pools that are served no more are forgotten.
    pub fn finish_rollout(&mut self, served: impl Fn(&str) -> bool) {
        self.stage = None;
        self.pools.retain(|name, _| served(name));
        for pool in self.pools.values_mut() {
            pool.compared = RolloutComparison::default();
        }
    }

    /// How the pools stand in the roll-out that is under way; nothing where there is none.
    pub fn rollout_comparisons(&self) -> impl Iterator<Item = (&str, RolloutComparison)> {
        let pools = self.pools.iter().filter(|_| self.stage.is_some());
        pools.map(|(name, pool)| (name.as_str(), pool.compared))
    }

    /// The last ten minutes of each pool, where no version is handed out.
    pub fn recent(&self, now: Duration) -> impl Iterator<Item = (&str, RequestCounts)> {
        self.pools.iter().map(move |(name, pool)| (name.as_str(), pool.recent(now)))
    }

    /// Reports taken, and the pools named in them that are not served.
    pub fn report_counts(&self) -> (u64, u64) {
        self.report_counts
    }
}

fn is_expired(slot: Duration, now: Duration) -> bool {
    now.saturating_sub(slot) > SLOT_LENGTH * SLOT_COUNT as u32
}

impl Pool {
    fn recent(&self, now: Duration) -> RequestCounts {
        let fresh = self.slots.iter().filter(|(at, _)| !is_expired(*at, now));
        fresh.fold(RequestCounts::default(), |sum, (_, tally)| sum.plus(*tally))
    }

    fn record(&mut self, now: Duration, tally: RequestCounts) {
        while self.slots.front().is_some_and(|(at, _)| is_expired(*at, now)) {
            self.slots.pop_front();
        }
        match self.slots.back_mut().filter(|(at, _)| now.saturating_sub(*at) < SLOT_LENGTH) {
            Some((_, sum)) => *sum = sum.plus(tally),
            None => self.slots.push_back((now, tally)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EVERY: Duration = Duration::from_secs(10);

    fn at(seconds: u64) -> Duration {
        Duration::from_secs(seconds)
    }

    fn of(pool: &str, succeeded: u64, failed: u64) -> LoadReport {
        LoadReport { pool: pool.to_owned(), succeeded, failed, dropped: 0, interval: None }
    }

    fn say(loads: &mut LoadStats, now: u64, bucket: u32, report: LoadReport) {
        loads.report(at(now), bucket, &[report], |pool| pool != "ghost").expect("possible");
    }

    fn p(loads: &LoadStats) -> RolloutComparison {
        loads.rollout_comparisons().find(|(name, _)| *name == "p").expect("it is known").1
    }

    #[test]
    fn a_roll_out_tells_who_has_it_from_who_has_not_and_from_before() {
        let mut loads = LoadStats::new(EVERY);
        say(&mut loads, 100, 1, of("p", 90, 10));
        say(&mut loads, 200, 9000, of("p", 100, 0));
        assert_eq!(loads.rollout_comparisons().count(), 0, "there is no roll-out");
        loads.start_rollout(at(210));
        loads.start_stage(at(210), 1000);
        say(&mut loads, 215, 1, of("p", 7, 7));
        assert_eq!(p(&loads).with, RequestCounts::default(), "half of that report is from before");
        say(&mut loads, 220, 999, of("p", 5, 1));
        say(&mut loads, 221, 1000, of("p", 50, 2));
        say(&mut loads, 222, 1, LoadReport { dropped: 3, ..of("p", 1, 0) });
        let expected = RolloutComparison {
            with: RequestCounts { ended: 10, failed: 4 },
            without: RequestCounts { ended: 52, failed: 2 },
            before: RequestCounts { ended: 200, failed: 10 },
        };
        assert_eq!(p(&loads), expected);
        loads.start_stage(at(230), 5000);
        assert_eq!(
            p(&loads),
            RolloutComparison { before: expected.before, ..RolloutComparison::default() }
        );
    }

    #[test]
    fn the_time_before_is_the_last_ten_minutes_and_no_more() {
        let mut loads = LoadStats::new(EVERY);
        for minute in 0..1000 {
            say(&mut loads, minute * 60, 1, of("p", 1, 0));
        }
        assert!(loads.pools["p"].slots.len() <= SLOT_COUNT + 1, "{:?}", loads.pools["p"].slots);
        assert_eq!(loads.recent(at(999 * 60)).next(), Some(("p", RequestCounts { ended: 11, failed: 0 })));
        assert_eq!(loads.recent(at(3000 * 60)).next(), Some(("p", RequestCounts::default())));
        loads.start_rollout(at(3000 * 60));
        assert_eq!(p(&loads).before, RequestCounts::default());
    }

    #[test]
    fn strangers_names_leave_nothing_and_impossible_counts_are_refused() {
        let mut loads = LoadStats::new(EVERY);
        for n in 0..1000 {
            loads.report(at(1), n, &[of(&format!("ghost-{n}"), 1, 1)], |_| false).expect("possible");
        }
        assert!(loads.pools.is_empty());
        assert_eq!(loads.report_counts(), (1000, 1000));
        let below_zero = of("p", (-1_i64) as u64, 0);
        assert_eq!(loads.report(at(1), 1, &[below_zero], |_| true), Err(InvalidReport("p".to_owned())));
        let huge = LoadReport { dropped: MAX_REPORTED_REQUESTS + 1, ..of("p", 0, 0) };
        assert_eq!(loads.report(at(1), 1, &[huge], |_| true), Err(InvalidReport("p".to_owned())));
        assert!(loads.pools.is_empty(), "nothing of it is kept");
    }

    #[test]
    fn pools_that_are_gone_are_forgotten() {
        let mut loads = LoadStats::new(EVERY);
        say(&mut loads, 1, 1, of("p", 1, 0));
        say(&mut loads, 1, 1, of("q", 1, 0));
        loads.start_rollout(at(2));
        loads.finish_rollout(|pool| pool == "q");
        assert_eq!(loads.recent(at(2)).map(|(name, _)| name).collect::<Vec<_>>(), ["q"]);
    }
}
