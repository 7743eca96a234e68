//! How long rounds and the pauses between them last. No I/O and no clock.

use std::time::Duration;

/// A round that receives no reply for this long is given up: some reply is lost, and another round asks again.
const ROUND_TIMEOUT: Duration = Duration::from_millis(450);
/// Where disks are slow a round waits for this many writes, up to [`MAX_ROUND_TIMEOUT`]: given up sooner it would only ask
/// for more writes, and never complete any.
const ROUND_TIMEOUT_WRITES: u32 = 3;
/// Upper bound of the time-out of a round on slow disks.
const MAX_ROUND_TIMEOUT: Duration = Duration::from_millis(1800);
/// A round that a member refused for a higher ballot waits this long only, or for a write: where another member is lost, no
/// majority is left for it.
const OUTRUN_TIMEOUT: Duration = Duration::from_millis(30);
/// Backoff after a round that a higher ballot preempted, or a write where that takes longer: the other round has writes to
/// wait for. Multiplied by the attempts so far, and up to as much more at random.
const ROUND_BACKOFF: Duration = Duration::from_millis(8);
/// Upper bound of the backoff, before its random addition.
const MAX_ROUND_BACKOFF: Duration = ROUND_TIMEOUT;
/// Attempts after which the backoff grows no more.
const MAX_BACKOFF_STEPS: u32 = 8;
/// A proposer that was preempted leaps over at most two to this power of others' rounds.
const MAX_LEAP_STEPS: u32 = 10;

/// A wait, or a longer one where this member's disk is slow: the others' disks may well be alike.
pub(super) fn at_least_writes(wait: Duration, write_time: Duration) -> Duration {
    wait.max((write_time * ROUND_TIMEOUT_WRITES).min(MAX_ROUND_TIMEOUT))
}

/// How long a round waits for the next reply.
pub(super) fn reply_timeout(is_outrun: bool, write_time: Duration) -> Duration {
    if is_outrun {
        OUTRUN_TIMEOUT.max(write_time).min(ROUND_TIMEOUT)
    } else {
        at_least_writes(ROUND_TIMEOUT, write_time)
    }
}

/// How long a proposer waits after this many attempts; the random part keeps two from meeting again.
pub(super) fn backoff(attempts: u32, write_time: Duration) -> Duration {
    let step = ROUND_BACKOFF.max(write_time);
    let least = (step * attempts.min(MAX_BACKOFF_STEPS)).min(MAX_ROUND_BACKOFF);
    least.mul_f64(1.0 + fastrand::f64())
}

/// How many rounds of others a proposer leaps over after this many attempts: theirs go on while it waits, and a
/// ballot just above theirs of now would be too low then.
pub(super) fn leap(attempts: u32) -> u64 {
    1 << attempts.min(MAX_LEAP_STEPS)
}
