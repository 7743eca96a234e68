//! Finding out what is chosen: at the start, and where others or this member's own disk know of more.

use crate::proposer::Proposer;
use crate::proposer::limits::Limits;
use crate::proposer::read::ReadError;
use crate::proposer::timing::at_least_writes;
use runtrack_message::Ballot;
use slog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Where a value was accepted here and no notice came that it is chosen, this process finds out after this, and up to as
/// much more.
const CATCH_UP_DELAY: Duration = Duration::from_millis(250);
/// Interval of attempts to find out what is chosen after the start; up to as much more.
const START_INTERVAL: Duration = Duration::from_millis(40);
/// How often in a row a proposer that has just started yields to the rounds of others.
const MAX_YIELDS: u32 = 4;

impl Proposer {
    /// Finds out what is chosen where this process may be behind what somebody has accepted under this ballot: a round is
    /// only taken where it still is then.
    async fn catch_up(&self, accepted: Ballot, limits: Limits) -> Result<(), ReadError> {
        if self.quorum_read().await.is_some() && !self.is_behind(accepted) {
            return Ok(());
        }
        self.read_by_round(limits).await.map(|_| ())
    }

    /// Finds out what is chosen: at the start, and where others or this member's own disk know of more.
    pub async fn run(self: Rc<Self>) {
        let mut failures = 0;
        loop {
            let delay = at_least_writes(CATCH_UP_DELAY, self.member.write_time());
            let pause = if self.informed.get() { delay } else { START_INTERVAL };
            let _ = timeout(pause.mul_f64(1.0 + fastrand::f64()), self.wake.notified()).await;
            // What is accepted later may be on its way to be chosen, and a round would only preempt it.
            let (accepted, elsewhere) = (self.newest_accepted(), self.newest_elsewhere.get());
            if self.informed.get() {
                if !self.is_behind(accepted) {
                    continue;
                }
                // The notice may still be on its way.
                sleep(delay.mul_f64(fastrand::f64())).await;
                if !self.is_behind(accepted) {
                    continue;
                }
            }
            // The rounds of others go before those of a member that has just started, within bounds. One that missed
            // something while it ran would come back to it much later.
            let yields_when_preempted = !self.informed.get() && failures < MAX_YIELDS;
            let limits = Limits { yields_when_preempted, ..Limits::of_request() };
            if self.catch_up(accepted, limits).await.is_err() {
                failures += 1;
            } else {
                failures = 0;
                self.accounted_for.set(elsewhere);
                info!(self.gossip.logger(), "register.caught_up";
                    "sequence" => self.known.borrow().as_ref().map_or(0, |(_, value)| value.sequence));
            }
        }
    }
}
