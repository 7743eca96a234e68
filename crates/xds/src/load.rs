//! What proxies say of the requests that they sent (LRS): how many ended, and how many of those badly, by pool. While
//! a version is handed out in stages these are told apart by whether the proxy has it. No I/O.
//!
//! Memory follows the pools that are served: reports of other names are not kept, and nothing is kept by proxy.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Shares from before a roll-out are taken from so many slots ...
const SLOTS: usize = 10;
/// ... of so long each: long enough for a quiet pool, short enough to speak of now.
const SLOT: Duration = Duration::from_secs(60);
/// More requests than this in one report are no count but a fault: a proxy would have to end ten million a second
/// for a day.
const COUNT_MOST: u64 = 1_000_000_000_000;

/// Requests that have ended, and those of them that failed or were dropped by the proxy's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// All.
    pub ended: u64,
    /// Those with no good answer.
    pub failed: u64,
}

impl Tally {
    /// Both together.
    pub fn plus(self, other: Tally) -> Tally {
        Tally {
            ended: self.ended.saturating_add(other.ended),
            failed: self.failed.saturating_add(other.failed),
        }
    }

    /// The part that failed; none of nothing.
    pub fn share(self) -> Option<f64> {
        (self.ended > 0).then(|| self.failed as f64 / self.ended as f64)
    }
}

/// A pool's requests, seen from a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Compared {
    /// Of proxies that have the new version, since the stage began.
    pub with: Tally,
    /// Of the others, since the stage began.
    pub without: Tally,
    /// Of all, in the ten minutes before the roll-out.
    pub before: Tally,
}

/// What one proxy says of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The pool.
    pub pool: String,
    /// Requests with a good answer.
    pub succeeded: u64,
    /// Requests without.
    pub failed: u64,
    /// Requests that the proxy's own limits dropped.
    pub dropped: u64,
    /// The time that it is about, up to now; none: as long as was asked for.
    pub over: Option<Duration>,
}

/// A report that can't be true.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("pool `{0}`: a report of more than {COUNT_MOST} requests")]
pub struct Impossible(pub String);

#[derive(Clone, Debug)]
struct Stage {
    /// The part of the nodes that have the new version, in 10,000.
    share: u32,
    since: Duration,
}

/// What is known of all pools' requests.
#[derive(Clone, Debug)]
pub struct Loads {
    /// How often proxies are asked to report.
    every: Duration,
    stage: Option<Stage>,
    pools: BTreeMap<String, Pool>,
    /// Reports taken, and the pools in them that are not served here.
    taken: (u64, u64),
}

#[derive(Clone, Debug, Default)]
struct Pool {
    /// Slots with the time that each began, the newest last; none while a version is handed out.
    slots: VecDeque<(Duration, Tally)>,
    compared: Compared,
}

impl Loads {
    /// Nothing is known yet.
    pub fn new(every: Duration) -> Loads {
        Loads { every, stage: None, pools: BTreeMap::new(), taken: (0, 0) }
    }

    /// Takes a proxy's report, of the pools that are `served`.
    pub fn report(
        &mut self,
        now: Duration,
        place: u32,
        reports: &[Report],
        served: impl Fn(&str) -> bool,
    ) -> Result<(), Impossible> {
        let too_many = |report: &&Report| {
            [report.succeeded, report.failed, report.dropped].iter().any(|n| *n > COUNT_MOST)
        };
        if let Some(report) = reports.iter().find(too_many) {
            return Err(Impossible(report.pool.clone()));
        }
        self.taken.0 += 1;
        for report in reports {
            if !served(&report.pool) {
                self.taken.1 += 1;
                continue;
            }
            let failed = report.failed + report.dropped;
            let tally = Tally { ended: report.succeeded + failed, failed };
            let over = report.over.unwrap_or(self.every);
            let pool = self.pools.entry(report.pool.clone()).or_default();
            match &self.stage {
                // A report that reaches back to before the stage mixes what it is to tell apart.
                Some(stage) if now.saturating_sub(over) < stage.since => {}
                Some(stage) => {
                    let side = match place < stage.share {
                        true => &mut pool.compared.with,
                        false => &mut pool.compared.without,
                    };
                    *side = side.plus(tally);
                }
                None => pool.note(now, tally),
            }
        }
        Ok(())
    }

    /// A version is handed out from now on, to nobody yet. What is known of the time before stands beside it to the
    /// end.
    pub fn part(&mut self, now: Duration) {
        for pool in self.pools.values_mut() {
            pool.compared = Compared { before: pool.recent(now), ..Compared::default() };
            pool.slots.clear();
        }
        self.stage = Some(Stage { share: 0, since: now });
    }

    /// So many of 10,000 nodes have it from now on; or the same as before, looked at anew.
    pub fn stage(&mut self, now: Duration, share: u32) {
        if let Some(stage) = &mut self.stage {
            *stage = Stage { share, since: now };
            for Pool { compared, .. } in self.pools.values_mut() {
                *compared = Compared { before: compared.before, ..Compared::default() };
            }
        }
    }

    /// All have it, or nobody ever will. Pools that are served no more are forgotten.
    pub fn settle(&mut self, served: impl Fn(&str) -> bool) {
        self.stage = None;
        self.pools.retain(|name, _| served(name));
        for pool in self.pools.values_mut() {
            pool.compared = Compared::default();
        }
    }

    /// How the pools stand in the roll-out that is under way; nothing where there is none.
    pub fn compared(&self) -> impl Iterator<Item = (&str, Compared)> {
        let pools = self.pools.iter().filter(|_| self.stage.is_some());
        pools.map(|(name, pool)| (name.as_str(), pool.compared))
    }

    /// The last ten minutes of each pool, where no version is handed out.
    pub fn recent(&self, now: Duration) -> impl Iterator<Item = (&str, Tally)> {
        self.pools.iter().map(move |(name, pool)| (name.as_str(), pool.recent(now)))
    }

    /// Reports taken, and the pools named in them that are not served.
    pub fn taken(&self) -> (u64, u64) {
        self.taken
    }
}

fn is_over(slot: Duration, now: Duration) -> bool {
    now.saturating_sub(slot) > SLOT * SLOTS as u32
}

impl Pool {
    fn recent(&self, now: Duration) -> Tally {
        let fresh = self.slots.iter().filter(|(at, _)| !is_over(*at, now));
        fresh.fold(Tally::default(), |sum, (_, tally)| sum.plus(*tally))
    }

    fn note(&mut self, now: Duration, tally: Tally) {
        while self.slots.front().is_some_and(|(at, _)| is_over(*at, now)) {
            self.slots.pop_front();
        }
        match self.slots.back_mut().filter(|(at, _)| now.saturating_sub(*at) < SLOT) {
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

    fn of(pool: &str, succeeded: u64, failed: u64) -> Report {
        Report { pool: pool.to_owned(), succeeded, failed, dropped: 0, over: None }
    }

    fn say(loads: &mut Loads, now: u64, place: u32, report: Report) {
        loads.report(at(now), place, &[report], |pool| pool != "ghost").expect("possible");
    }

    fn p(loads: &Loads) -> Compared {
        loads.compared().find(|(name, _)| *name == "p").expect("it is known").1
    }

    #[test]
    fn a_roll_out_tells_who_has_it_from_who_has_not_and_from_before() {
        let mut loads = Loads::new(EVERY);
        say(&mut loads, 100, 1, of("p", 90, 10));
        say(&mut loads, 200, 9000, of("p", 100, 0));
        assert_eq!(loads.compared().count(), 0, "there is no roll-out");
        loads.part(at(210));
        loads.stage(at(210), 1000);
        say(&mut loads, 215, 1, of("p", 7, 7));
        assert_eq!(p(&loads).with, Tally::default(), "half of that report is from before");
        say(&mut loads, 220, 999, of("p", 5, 1));
        say(&mut loads, 221, 1000, of("p", 50, 2));
        say(&mut loads, 222, 1, Report { dropped: 3, ..of("p", 1, 0) });
        let expected = Compared {
            with: Tally { ended: 10, failed: 4 },
            without: Tally { ended: 52, failed: 2 },
            before: Tally { ended: 200, failed: 10 },
        };
        assert_eq!(p(&loads), expected);
        loads.stage(at(230), 5000);
        assert_eq!(p(&loads), Compared { before: expected.before, ..Compared::default() });
    }

    #[test]
    fn the_time_before_is_the_last_ten_minutes_and_no_more() {
        let mut loads = Loads::new(EVERY);
        for minute in 0..1000 {
            say(&mut loads, minute * 60, 1, of("p", 1, 0));
        }
        assert!(loads.pools["p"].slots.len() <= SLOTS + 1, "{:?}", loads.pools["p"].slots);
        assert_eq!(loads.recent(at(999 * 60)).next(), Some(("p", Tally { ended: 11, failed: 0 })));
        assert_eq!(loads.recent(at(3000 * 60)).next(), Some(("p", Tally::default())));
        loads.part(at(3000 * 60));
        assert_eq!(p(&loads).before, Tally::default());
    }

    #[test]
    fn strangers_names_leave_nothing_and_impossible_counts_are_refused() {
        let mut loads = Loads::new(EVERY);
        for n in 0..1000 {
            loads.report(at(1), n, &[of(&format!("ghost-{n}"), 1, 1)], |_| false).expect("possible");
        }
        assert!(loads.pools.is_empty());
        assert_eq!(loads.taken(), (1000, 1000));
        let below_zero = of("p", (-1_i64) as u64, 0);
        assert_eq!(loads.report(at(1), 1, &[below_zero], |_| true), Err(Impossible("p".to_owned())));
        let huge = Report { dropped: COUNT_MOST + 1, ..of("p", 0, 0) };
        assert_eq!(loads.report(at(1), 1, &[huge], |_| true), Err(Impossible("p".to_owned())));
        assert!(loads.pools.is_empty(), "nothing of it is kept");
    }

    #[test]
    fn pools_that_are_gone_are_forgotten() {
        let mut loads = Loads::new(EVERY);
        say(&mut loads, 1, 1, of("p", 1, 0));
        say(&mut loads, 1, 1, of("q", 1, 0));
        loads.part(at(2));
        loads.settle(|pool| pool == "q");
        assert_eq!(loads.recent(at(2)).map(|(name, _)| name).collect::<Vec<_>>(), ["q"]);
    }
}
