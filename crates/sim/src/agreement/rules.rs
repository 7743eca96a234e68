//! The rules of a run, and what a run came to.

use std::fmt;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Two lead in a term.
    Leaders,
    /// Two members applied different things under one index, or hold different states of one.
    Agreement,
    /// What was acknowledged is not there, or otherwise.
    Lost,
    /// A write took effect twice, or its repeat was answered otherwise.
    Twice,
    /// A consistent read missed what was acknowledged before it was asked.
    Stale,
    /// A drain was undone.
    Undrained,
    /// A proxy went back.
    Back,
    /// One that was removed is answered.
    Removed,
    /// Two changes of members at once.
    Changes,
    /// A folder can't be opened again.
    Folder,
    /// After healing it does not come back.
    Return,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When, in ticks.
    pub at: u64,
    /// What shows it.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} at tick {}: {}", self.rule, self.at, self.detail)
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Broken rules, the first of each.
    pub violations: Vec<Violation>,
    /// Writes and reads that were answered.
    pub answered: u64,
    /// The last index.
    pub index: u64,
    /// A hash over all that was applied: equal runs have equal ones.
    pub hash: u64,
}
