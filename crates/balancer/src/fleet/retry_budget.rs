//! The budget of retries: how many requests may be sent to another endpoint.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Retries stay below this part of what the fleet may make: members come and go, and counts are late.
const USED_PART: f64 = 0.5;

/// What the whole fleet may do in retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// For each request of a service.
    pub ratio: f64,
    /// Over the whole fleet beyond that.
    pub slack: f64,
    /// The window in which both are counted.
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

/// This proxy's share of the budget, by service.
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

    /// Counts a request of a service.
    pub(super) fn on_request(&mut self, now: Duration, service: u64) {
        self.window(now, service).requests.push_back(now);
    }

    /// Takes a retry off the share of one of so many proxies, if there is one left.
    pub(super) fn try_acquire(&mut self, now: Duration, service: u64, proxies: u32) -> bool {
        let RetryBudget { ratio, slack, .. } = self.budget;
        let window = self.window(now, service);
        let share = slack / f64::from(proxies.max(1));
        let most = (window.requests.len() as f64 * ratio + share) * USED_PART;
        let may = window.retries.len() as f64 + 1.0 <= most;
        if may {
            window.retries.push_back(now);
        }
        may
    }
}
