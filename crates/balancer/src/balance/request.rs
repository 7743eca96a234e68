//! A request under way and its attempts.

use super::*;
use crate::stats::Turn;
use crate::timers::Due;

/// What an attempt is known to have done.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) cell: CellId,
    pub(super) zone: ZoneId,
    pub(super) sent: Duration,
    /// How long the connection it went out on had lain idle; none for a new one.
    pub(super) idle: Duration,
    pub(super) turn: Turn,
    pub(super) fate: Fate,
}

/// A request until it is finished and all its attempts have ended.
pub(super) struct Pending {
    pub(super) class: usize,
    pub(super) arrived: Duration,
    pub(super) deadline: Duration,
    /// Part of its class's value: little above its tenant's share, and for a repeat.
    pub(super) part: f64,
    pub(super) attempts: Vec<Attempt>,
    /// Its timers, to be dropped with it.
    pub(super) due: Vec<Due>,
    pub(super) finished: bool,
    pub(super) streaming: bool,
}

/// Requests of equal value: their class and the bits of their part.
pub(super) type Alike = (usize, u64);
/// A held request among its like: when it came.
pub(super) type Place = (Duration, RequestId);

impl Pending {
    /// Whether nothing is to be decided for it any more.
    pub(super) fn settled(&self) -> bool {
        self.finished || self.streaming
    }

    /// Where it is held.
    pub(super) fn group(&self) -> Alike {
        (self.class, self.part.to_bits())
    }

    pub(super) fn none_out(&self) -> bool {
        self.attempts.iter().all(|a| a.fate != Fate::Out)
    }

    /// The attempts that are not known never to have run.
    pub(super) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.fate != Fate::NeverRan)
    }
}
