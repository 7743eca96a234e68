//! Request counts from the load reports of proxies (LRS): completed and failed requests by pool. During a staged
//! rollout they are counted separately for proxies with and without the new version. No I/O.
//!
//! Memory is proportional to the number of served pools: reports for other pools are discarded, and nothing is kept per
//! proxy.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of time slots over which requests before a rollout are counted.
const SLOT_COUNT: usize = 10;
/// Length of a slot. All slots together are long enough for a pool with little traffic and still recent.
const SLOT_LENGTH: Duration = Duration::from_secs(60);
/// Reports with larger counts are rejected as invalid: a proxy would need ten million requests per second for a day.
const MAX_REPORTED_REQUESTS: u64 = 1_000_000_000_000;

/// Counts of completed requests, and of those that failed or were dropped by the proxy's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All completed requests.
    pub ended: u64,
    /// Requests without a successful response.
    pub failed: u64,
}

impl RequestCounts {
    /// The sum of both counts.
    pub fn plus(self, other: RequestCounts) -> RequestCounts {
        RequestCounts {
            ended: self.ended.saturating_add(other.ended),
            failed: self.failed.saturating_add(other.failed),
        }
    }

    /// Fraction of failed requests; `None` without requests.
    pub fn fail_rate(self) -> Option<f64> {
        (self.ended > 0).then(|| self.failed as f64 / self.ended as f64)
    }
}

/// Requests of a pool during a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutComparison {
    /// Proxies with the new version, since the stage began.
    pub with: RequestCounts,
    /// Proxies without the new version, since the stage began.
    pub without: RequestCounts,
    /// All proxies, in the ten minutes before the rollout.
    pub before: RequestCounts,
}

/// Load report of one proxy for one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Name of the pool.
    pub pool: String,
    /// Requests with a successful response.
    pub succeeded: u64,
    /// Requests without a successful response.
    pub failed: u64,
    /// Requests that the proxy's own limits dropped.
    pub dropped: u64,
    /// The period that it covers, up to now; `None`: the requested interval.
    pub interval: Option<Duration>,
}

/// A report with implausible counts.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("pool `{0}`: a report of more than {MAX_REPORTED_REQUESTS} requests")]
pub struct InvalidReport(pub String);

#[derive(Clone, Debug)]
struct Stage {
    /// Share of the nodes that have the new version, in 1/10,000.
    share: u32,
    since: Duration,
}

/// Request counts of all pools.
#[derive(Clone, Debug)]
pub struct LoadStats {
    /// The requested report interval.
    interval: Duration,
    stage: Option<Stage>,
    pools: BTreeMap<String, Pool>,
    /// Number of reports received, and of entries for pools that are not served here.
    report_counts: (u64, u64),
}

#[derive(Clone, Debug, Default)]
struct Pool {
    /// Slots with their start times, the newest last; empty during a rollout.
    slots: VecDeque<(Duration, RequestCounts)>,
    compared: RolloutComparison,
}

impl LoadStats {
    /// Empty counts.
    pub fn new(interval: Duration) -> LoadStats {
        LoadStats { interval, stage: None, pools: BTreeMap::new(), report_counts: (0, 0) }
    }

    /// Adds the report of a proxy, given its rollout bucket. Ignores pools for which `served` is false.
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
            let interval = report.interval.unwrap_or(self.interval);
            let pool = self.pools.entry(report.pool.clone()).or_default();
            match &self.stage {
                // A report that begins before the stage covers requests of both versions.
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

    /// Starts a rollout with a share of 0. The counts of the last ten minutes are kept as its baseline.
    pub fn start_rollout(&mut self, now: Duration) {
        for pool in self.pools.values_mut() {
            pool.compared = RolloutComparison { before: pool.recent(now), ..RolloutComparison::default() };
            pool.slots.clear();
        }
        self.stage = Some(Stage { share: 0, since: now });
    }

    /// Starts a stage with a share of the nodes in 1/10,000, or restarts the current one. Resets the stage's counts.
    pub fn start_stage(&mut self, now: Duration, share: u32) {
        if let Some(stage) = &mut self.stage {
            *stage = Stage { share, since: now };
            for Pool { compared, .. } in self.pools.values_mut() {
                *compared = RolloutComparison { before: compared.before, ..RolloutComparison::default() };
            }
        }
    }

    /// Ends the rollout, completed or aborted. Discards pools that are no longer served.
    pub fn finish_rollout(&mut self, served: impl Fn(&str) -> bool) {
        self.stage = None;
        self.pools.retain(|name, _| served(name));
        for pool in self.pools.values_mut() {
            pool.compared = RolloutComparison::default();
        }
    }

    /// Comparison of each pool in the current rollout; empty if there is none.
    pub fn rollout_comparisons(&self) -> impl Iterator<Item = (&str, RolloutComparison)> {
        let pools = self.pools.iter().filter(|_| self.stage.is_some());
        pools.map(|(name, pool)| (name.as_str(), pool.compared))
    }

    /// Counts of the last ten minutes by pool; not updated during a rollout.
    pub fn recent(&self, now: Duration) -> impl Iterator<Item = (&str, RequestCounts)> {
        self.pools.iter().map(move |(name, pool)| (name.as_str(), pool.recent(now)))
    }

    /// Number of reports received, and of entries for pools that are not served.
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

    fn load_report(pool: &str, succeeded: u64, failed: u64) -> LoadReport {
        LoadReport { pool: pool.to_owned(), succeeded, failed, dropped: 0, interval: None }
    }

    fn send_report(loads: &mut LoadStats, now: u64, bucket: u32, report: LoadReport) {
        loads.report(at(now), bucket, &[report], |pool| pool != "ghost").expect("possible");
    }

    fn p(loads: &LoadStats) -> RolloutComparison {
        loads.rollout_comparisons().find(|(name, _)| *name == "p").expect("it is known").1
    }

    #[test]
    fn rollout_counts_are_separated_by_version_and_baseline() {
        let mut loads = LoadStats::new(EVERY);
        send_report(&mut loads, 100, 1, load_report("p", 90, 10));
        send_report(&mut loads, 200, 9000, load_report("p", 100, 0));
        assert_eq!(loads.rollout_comparisons().count(), 0, "there is no rollout");
        loads.start_rollout(at(210));
        loads.start_stage(at(210), 1000);
        send_report(&mut loads, 215, 1, load_report("p", 7, 7));
        assert_eq!(p(&loads).with, RequestCounts::default(), "half of that report is from before");
        send_report(&mut loads, 220, 999, load_report("p", 5, 1));
        send_report(&mut loads, 221, 1000, load_report("p", 50, 2));
        send_report(&mut loads, 222, 1, LoadReport { dropped: 3, ..load_report("p", 1, 0) });
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
    fn the_baseline_covers_the_last_ten_minutes() {
        let mut loads = LoadStats::new(EVERY);
        for minute in 0..1000 {
            send_report(&mut loads, minute * 60, 1, load_report("p", 1, 0));
        }
        assert!(loads.pools["p"].slots.len() <= SLOT_COUNT + 1, "{:?}", loads.pools["p"].slots);
        assert_eq!(loads.recent(at(999 * 60)).next(), Some(("p", RequestCounts { ended: 11, failed: 0 })));
        assert_eq!(loads.recent(at(3000 * 60)).next(), Some(("p", RequestCounts::default())));
        loads.start_rollout(at(3000 * 60));
        assert_eq!(p(&loads).before, RequestCounts::default());
    }

    #[test]
    fn unknown_pools_are_not_stored_and_invalid_counts_are_rejected() {
        let mut loads = LoadStats::new(EVERY);
        for n in 0..1000 {
            loads
                .report(at(1), n, &[load_report(&format!("ghost-{n}"), 1, 1)], |_| false)
                .expect("possible");
        }
        assert!(loads.pools.is_empty());
        assert_eq!(loads.report_counts(), (1000, 1000));
        let below_zero = load_report("p", (-1_i64) as u64, 0);
        assert_eq!(loads.report(at(1), 1, &[below_zero], |_| true), Err(InvalidReport("p".to_owned())));
        let huge = LoadReport { dropped: MAX_REPORTED_REQUESTS + 1, ..load_report("p", 0, 0) };
        assert_eq!(loads.report(at(1), 1, &[huge], |_| true), Err(InvalidReport("p".to_owned())));
        assert!(loads.pools.is_empty(), "nothing of it is kept");
    }

    #[test]
    fn removed_pools_are_discarded_after_a_rollout() {
        let mut loads = LoadStats::new(EVERY);
        send_report(&mut loads, 1, 1, load_report("p", 1, 0));
        send_report(&mut loads, 1, 1, load_report("q", 1, 0));
        loads.start_rollout(at(2));
        loads.finish_rollout(|pool| pool == "q");
        assert_eq!(loads.recent(at(2)).map(|(name, _)| name).collect::<Vec<_>>(), ["q"]);
    }
}
