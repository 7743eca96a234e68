//! Retry budget: how many requests may be sent to a second endpoint.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Fraction of the fleet's budget that is used, as a margin for membership changes and late counts.
const USED_FRACTION: f64 = 0.5;

/// Retry budget of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries per request of a service.
    pub ratio: f64,
    /// Additional retries per service over the whole fleet.
    pub slack: f64,
    /// Sliding window over which both are counted.
    pub window: Duration,
}

/// Requests and retries of a service within the window.
#[derive(Default)]
struct Window {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Window {
    fn forget(&mut self, before: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < before) {
                times.pop_front();
            }
        }
    }
}

/// This proxy's share of the budget, per service.
pub(super) struct RetryBudgets {
    budget: RetryBudget,
    windows: HashMap<u64, Window>,
}

impl RetryBudgets {
    pub(super) fn new(budget: RetryBudget) -> Self {
        RetryBudgets { budget, windows: HashMap::new() }
    }

    fn window(&mut self, now: Duration, service: u64) -> &mut Window {
        let window = self.windows.entry(service).or_default();
        window.forget(now.saturating_sub(self.budget.window));
        window
    }

    /// Records a request of a service.
    pub(super) fn on_request(&mut self, now: Duration, service: u64) {
        self.window(now, service).requests.push_back(now);
    }

    /// Takes a retry from the share of one of `proxies` proxies; returns whether one was left.
    pub(super) fn try_acquire(&mut self, now: Duration, service: u64, proxies: u32) -> bool {
        let RetryBudget { ratio, slack, .. } = self.budget;
        let window = self.window(now, service);
        let share = slack / f64::from(proxies.max(1));
        let limit = (window.requests.len() as f64 * ratio + share) * USED_FRACTION;
        let allowed = window.retries.len() as f64 + 1.0 <= limit;
        if allowed {
            window.retries.push_back(now);
        }
        allowed
    }
}
