//! The rules that a run must keep, and the result of a run.

use std::fmt;

/// A rule that a run can violate. Each variant describes its violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Two leaders in one term.
    Leaders,
    /// Members applied different entries at one index, or have different states for it.
    Agreement,
    /// An acknowledged write is missing or has another outcome.
    Lost,
    /// A write took effect twice, or took effect although it was refused.
    Twice,
    /// A consistent read missed a write that was acknowledged before the read was submitted.
    Stale,
    /// A drain was undone.
    Undrained,
    /// A proxy was sent an older version than it holds.
    Back,
    /// A removed member got a vote response.
    Removed,
    /// Two membership changes at the same time.
    Changes,
    /// A folder cannot be reopened.
    Folder,
    /// The cluster does not recover after the faults have ended.
    Return,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Time in ticks.
    pub at: u64,
    /// Evidence of the violation.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} at tick {}: {}", self.rule, self.at, self.detail)
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// The first violation of each rule.
    pub violations: Vec<Violation>,
    /// Number of answered writes and reads.
    pub answered: u64,
    /// The last applied index.
    pub index: u64,
    /// Hash over all applied entries, equal for equal runs.
    pub hash: u64,
}
