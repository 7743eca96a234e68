//! The state of a pending request and of its attempts.

use super::*;
use crate::stats::CallSeq;
use crate::timers::TimerKey;

/// What is known of an attempt's execution at its endpoint.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Exec {
    InFlight,
    NotExecuted,
    MaybeExecuted,
}

#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) cell: CellId,
    pub(super) zone: ZoneId,
    pub(super) sent: Duration,
    /// How long its connection had been idle before; zero for a new connection.
    pub(super) idle: Duration,
    pub(super) seq: CallSeq,
    pub(super) state: Exec,
}

/// A request, kept until it is finished and all its attempts have ended.
pub(super) struct Pending {
    pub(super) class: usize,
    pub(super) arrived: Duration,
    pub(super) deadline: Duration,
    /// Fraction of its class's value; reduced above the tenant's share and for client retries.
    pub(super) value_share: f64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) timers: Vec<TimerKey>,
    pub(super) finished: bool,
    pub(super) streaming: bool,
}

/// Key of requests of equal value: the class and the bits of `value_share`.
pub(super) type ValueClass = (usize, u64);
/// A queued request, ordered by arrival time.
pub(super) type QueueEntry = (Duration, RequestId);

impl Pending {
    /// Whether no decision is left: it is finished, or the client reads its stream.
    pub(super) fn is_settled(&self) -> bool {
        self.finished || self.streaming
    }

    /// Key of the queue that it waits in.
    pub(super) fn value_class(&self) -> ValueClass {
        (self.class, self.value_share.to_bits())
    }

    pub(super) fn none_in_flight(&self) -> bool {
        self.attempts.iter().all(|a| a.state != Exec::InFlight)
    }

    /// Attempts that may have been executed.
    pub(super) fn maybe_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.state != Exec::NotExecuted)
    }
}
