//! Compares error rates to detect that requests fail more often with a new version. No I/O.
//!
//! The error rate of proxies with the new version is compared with two baselines, and must exceed both: the proxies
//! without it at the same time (an incident that affects all must not halt the roll-out), and all proxies before it (a
//! pool that always failed more on one side must not halt it, and the last stage, which has no proxies without the
//! version, still has a baseline). A pool without either baseline, a new one, is compared with all pools together.

use runtrack_xds::{RequestCounts, RolloutComparison};

/// Sample size below which a pool is not judged.
const MIN_REQUESTS: u64 = 100;
/// Number of failures below which a pool is not judged: with few, chance easily doubles the rate.
const MIN_FAILURES: u64 = 10;
/// Significance threshold, in standard errors of the difference of two proportions: chance alone exceeds it once in
/// 30,000 checks, and a check is made for every pool with every report.
const MIN_STANDARD_ERRORS: f64 = 4.0;

/// The increase of the error rate that does not halt a roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Tolerated increase of the share of failed requests over the baseline, `0..=1`.
    pub rise: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Tolerance { rise: 0.01 }
    }
}

/// Describes the pool with the greatest increase of its error rate beyond the tolerance; none if there is none.
pub fn failing<'a>(
    pools: impl Iterator<Item = (&'a str, RolloutComparison)>,
    tolerance: Tolerance,
) -> Option<String> {
    let pools: Vec<(&str, RolloutComparison)> = pools.collect();
    let all = pools
        .iter()
        .fold(RequestCounts::default(), |sum, (_, pool)| sum.plus(pool.without).plus(pool.before));
    let increases = pools.iter().filter_map(|(name, pool)| {
        let baselines = [(pool.without, "without it"), (pool.before, "before it")];
        let baselines = baselines.into_iter().filter(|(tally, _)| tally.ended >= MIN_REQUESTS);
        let (baseline, baseline_name) = baselines
            .max_by(|(a, _), (b, _)| a.fail_rate().unwrap_or(0.0).total_cmp(&b.fail_rate().unwrap_or(0.0)))
            .or((all.ended >= MIN_REQUESTS).then_some((all, "in all pools without it")))?;
        let rise = rise(pool.with, baseline, tolerance)?;
        Some((rise, name, pool.with, baseline, baseline_name))
    });
    let (_, name, with, baseline, baseline_name) = increases.max_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(format!(
        "requests to pool {name} fail more often: {} with it, {} {baseline_name}",
        format_share(with),
        format_share(baseline)
    ))
}

/// The increase of the share of failures, if it exceeds the tolerance and is significant.
fn rise(with: RequestCounts, baseline: RequestCounts, tolerance: Tolerance) -> Option<f64> {
    if with.ended < MIN_REQUESTS || with.failed < MIN_FAILURES {
        return None;
    }
    let rise = with.fail_rate()? - baseline.fail_rate()?;
    let pooled_share = with.plus(baseline).fail_rate()?;
    let inverse_counts = 1.0 / with.ended as f64 + 1.0 / baseline.ended as f64;
    let standard_error = (pooled_share * (1.0 - pooled_share) * inverse_counts).sqrt();
    (rise > tolerance.rise && rise > MIN_STANDARD_ERRORS * standard_error).then_some(rise)
}

fn format_share(tally: RequestCounts) -> String {
    format!("{:.1}% of {}", tally.fail_rate().unwrap_or_default() * 100.0, tally.ended)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn tally(ended: u64, failed: u64) -> RequestCounts {
        RequestCounts { ended, failed }
    }

    fn check(with: RequestCounts, without: RequestCounts, before: RequestCounts) -> Option<String> {
        failing([("p", RolloutComparison { with, without, before })].into_iter(), Tolerance::default())
    }

    #[test]
    fn an_increase_over_both_baselines_is_reported_with_figures() {
        let message = check(tally(500, 60), tally(5000, 10), tally(9000, 90)).expect("worse");
        assert_eq!(
            message,
            "requests to pool p fail more often: 12.0% of 500 with it, 1.0% of 9000 before it"
        );
    }

    #[test]
    fn errors_in_both_groups_or_before_the_stage_do_not_halt() {
        assert_eq!(check(tally(500, 60), tally(5000, 600), tally(9000, 0)), None, "an incident everywhere");
        assert_eq!(check(tally(500, 60), tally(5000, 0), tally(9000, 1080)), None, "no worse than before");
    }

    #[test]
    fn the_last_stage_is_compared_with_the_time_before() {
        assert!(check(tally(500, 60), tally(0, 0), tally(9000, 9)).is_some());
    }

    #[test]
    fn small_samples_and_insignificant_increases_do_not_halt() {
        assert_eq!(check(tally(99, 99), tally(5000, 0), tally(5000, 0)), None, "too few requests");
        assert_eq!(check(tally(5000, 9), tally(5000, 0), tally(5000, 0)), None, "too few failures");
        assert_eq!(
            check(tally(100_000, 900), tally(100_000, 0), tally(100_000, 0)),
            None,
            "within what is tolerated"
        );
        assert_eq!(check(tally(200, 16), tally(200, 8), tally(200, 8)), None, "chance");
        assert!(
            check(tally(20_000, 1600), tally(20_000, 800), tally(20_000, 800)).is_some(),
            "the same, proved"
        );
    }

    #[test]
    fn a_new_pool_is_compared_with_all_pools() {
        let old =
            RolloutComparison { with: tally(50, 0), without: tally(4000, 20), before: tally(9000, 40) };
        let new = RolloutComparison { with: tally(300, 200), ..RolloutComparison::default() };
        let message =
            failing([("old", old), ("new", new)].into_iter(), Tolerance::default()).expect("worse");
        assert!(message.contains("pool new") && message.contains("in all pools without it"), "{message}");
        assert_eq!(
            failing([("new", new)].into_iter(), Tolerance::default()),
            None,
            "nothing to compare with"
        );
    }

    #[test]
    fn a_tolerance_of_one_accepts_any_increase() {
        let pool =
            RolloutComparison { with: tally(500, 500), without: tally(5000, 0), before: tally(0, 0) };
        assert_eq!(failing([("p", pool)].into_iter(), Tolerance { rise: 1.0 }), None);
    }
}
