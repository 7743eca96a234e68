//! Learning the chosen value: at the start, and whenever other members or this member's disk have a newer ballot.

use crate::proposer::Proposer;
use crate::proposer::limits::Limits;
use crate::proposer::read::ReadError;
use crate::proposer::timing::at_least_writes;
use runtrack_message::Ballot;
use slog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// If a value was accepted here and no notice arrived that it is chosen, this process catches up after up to twice this delay,
/// and runs a round no sooner than this after it has noticed.
const CATCH_UP_DELAY: Duration = Duration::from_millis(250);
/// Interval of catch-up attempts after the start, plus up to the same time at random.
const START_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of consecutive times that a proposer that has just started yields to the rounds of others.
const MAX_YIELDS: u32 = 4;

impl Proposer {
    /// Learns the chosen value if this process may be behind a value that some member has accepted under this ballot.
    ///
    /// A quorum read disturbs no other process. If it finds an older value, the accepted one is either a change in progress, which
    /// a round would only preempt, or left by a failed proposer, which only a round commits or supersedes: a round is run only if
    /// this process is still behind at `round_at`, and after the rounds of its own changes.
    async fn catch_up(&self, accepted: Ballot, round_at: Instant, failures: u32) -> Result<(), ReadError> {
        if self.quorum_read().await.is_some() && !self.is_behind(accepted) {
            return Ok(());
        }
        sleep_until(round_at).await;
        let limits = self.limits_of_catch_up(failures);
        let turn = self.take_turn(limits).await.ok_or(ReadError::Indeterminate)?;
        if self.informed.get() && !self.is_behind(accepted) {
            return Ok(());
        }
        self.read_in_turn(turn, limits).await.map(|_| ())
    }

    /// The rounds of others go before those of a member that has just started, within bounds. One that missed something while
    /// it ran would come back to it much later.
    fn limits_of_catch_up(&self, failures: u32) -> Limits {
        let yields_when_preempted = !self.informed.get() && failures < MAX_YIELDS;
        Limits { yields_when_preempted, ..Limits::of_request() }
    }

    /// Catches up at the start, and whenever other members or this member's disk have a newer ballot.
    pub async fn run(self: Rc<Self>) {
        let mut failures = 0;
        loop {
            let delay = at_least_writes(CATCH_UP_DELAY, self.member.write_time());
            let pause = if self.informed.get() { delay } else { START_INTERVAL };
            let _ = timeout(pause.mul_f64(1.0 + fastrand::f64()), self.wake.notified()).await;
            // Values accepted later may be about to be chosen; a round would only preempt them.
            let (accepted, elsewhere) = (self.newest_accepted(), self.newest_elsewhere.get());
            let mut round_at = Instant::now();
            if self.informed.get() {
                if !self.is_behind(accepted) {
                    continue;
                }
                round_at += delay;
                // The notice may still be on its way.
                sleep(delay.mul_f64(fastrand::f64())).await;
                if !self.is_behind(accepted) {
                    continue;
                }
            }
            if self.catch_up(accepted, round_at, failures).await.is_err() {
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
