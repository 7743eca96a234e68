//! How long the rounds of one operation may go on.

use std::time::Duration;
use tokio::time::Instant;

/// A change or a read whose outcome is not certain by then gets no clear answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// No round of a change or a read begins later than this: the caller has gone on to another member by then, and rounds here
/// would only be in the way of its next try. One that has begun goes on.
const LAST_ROUND: Duration = Duration::from_millis(900);

/// How long rounds of one operation may go on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// No round begins later.
    pub last_start: Instant,
    /// None goes on for longer.
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
