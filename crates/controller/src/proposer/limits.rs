//! How long the rounds of one operation may go on.

use std::time::Duration;
use tokio::time::Instant;

/// An order or a read that has not come through by then gets no clear answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// No round of an order or a read begins later than this: the caller has gone on to another member by then, and rounds here
/// would only be in the way of its next try. One that has begun goes on.
const LAST_ROUND: Duration = Duration::from_millis(900);

/// How long rounds of one operation may go on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// No round begins later.
    pub last_round: Instant,
    /// None goes on for longer.
    pub until: Instant,
    /// It ends with the first round that another one got in the way of.
    pub gives_way: bool,
}

impl Limits {
    /// Rounds until this moment.
    pub fn until(until: Instant) -> Self {
        Limits { last_round: until, until, gives_way: false }
    }

    /// Those of an operator's change or read that begins now.
    pub fn of_request() -> Self {
        let now = Instant::now();
        Limits { last_round: now + LAST_ROUND, ..Limits::until(now + REQUEST_TIMEOUT) }
    }
}
