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

/// A value that was accepted here and not heard to be chosen is settled by a round of our own after this, and up to as
/// much more.
const SETTLE: Duration = Duration::from_millis(250);
/// Until it is known after the start what is chosen, it is asked for this often, and up to twice as seldom.
const ASK_AT_START: Duration = Duration::from_millis(40);
/// A proposer that wants to know after its start what is chosen gives way so often in a row at most.
const MAX_GIVING_WAY: u32 = 4;

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
            let settle = at_least_writes(SETTLE, self.member.write_time());
            let pause = if self.informed.get() { settle } else { ASK_AT_START };
            let _ = timeout(pause.mul_f64(1.0 + fastrand::f64()), self.unsettled.notified()).await;
            // What is accepted later may be on its way to be chosen, and a round would only preempt it.
            let (accepted, elsewhere) = (self.newest_accepted(), self.newest_elsewhere.get());
            if self.informed.get() {
                if !self.is_behind(accepted) {
                    continue;
                }
                // Word of it may still be on its way.
                sleep(settle.mul_f64(fastrand::f64())).await;
                if !self.is_behind(accepted) {
                    continue;
                }
            }
            // Who is in the way of a member that has just started goes first, within bounds. One that missed something while
            // it ran would come back to it much later.
            let gives_way = !self.informed.get() && failures < MAX_GIVING_WAY;
            let limits = Limits { gives_way, ..Limits::of_request() };
            if self.catch_up(accepted, limits).await.is_err() {
                failures += 1;
            } else {
                failures = 0;
                self.settled.set(elsewhere);
                info!(self.gossip.logger(), "register.settled";
                    "sequence" => self.known.borrow().as_ref().map_or(0, |(_, value)| value.sequence));
            }
        }
    }
}
