//! Time limits of the rounds of one operation.

use std::time::Duration;
use tokio::time::Instant;

/// Time after which a change or read without a certain outcome is answered as indeterminate.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after which no round of a change or read begins: the caller has moved on to another member, and rounds here would only
/// compete with its retry. A round that has begun continues.
const LAST_ROUND: Duration = Duration::from_millis(900);

/// Time limits of the rounds of one operation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// No round begins later.
    pub last_start: Instant,
    /// Rounds are abandoned at this time.
    pub deadline: Instant,
    /// It ends with the first round that is preempted.
    pub yields_when_preempted: bool,
}

impl Limits {
    /// Rounds until this moment.
    pub fn until(deadline: Instant) -> Self {
        Limits { last_start: deadline, deadline, yields_when_preempted: false }
    }

    /// Those of an operator's change or read that begins now.
    pub fn of_request() -> Self {
        let now = Instant::now();
        Limits { last_start: now + LAST_ROUND, ..Limits::until(now + REQUEST_TIMEOUT) }
    }
}
