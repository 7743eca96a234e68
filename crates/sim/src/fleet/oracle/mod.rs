//! The oracle: the rules of the control plane, judged only by what callers and the observers of agents saw.
//! It does not use the code under test.

mod agents;
mod contact;
mod disks;
mod healing;
mod membership;
mod register;
mod silence;
mod starts;

use crate::fleet::facts::Facts;
use crate::fleet::script::Script;
use std::fmt;
use std::time::Duration;

/// A rule that a run must not break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each version stands for a single configuration.
    OneConfiguration,
    /// A configuration that took effect was sent by an operator and is valid.
    Sent,
    /// An amendment is applied once, to the version that it builds on, and keeps the rest of it.
    Amended,
    /// A refused change never takes effect, and a change that took effect is never refused.
    Refused,
    /// All changes that were acknowledged or seen in effect form a single history.
    Durable,
    /// Reads and refusals reflect everything that was acknowledged before the call began.
    Current,
    /// A member that is cut off does not acknowledge, serve or refuse anything.
    CutOffSilent,
    /// A member that is cut off gives a definite answer within a second.
    CutOffAnswers,
    /// Each call gets at most one answer.
    OneAnswer,
    /// The versions and endpoint states that an agent reports do not go back between two starts of its
    /// process.
    AgentMonotone,
    /// A connected agent learns of an acknowledged departure in time.
    LeaverHeard,
    /// An endpoint that left never becomes ready again.
    LeaverStays,
    /// A connected agent has an acknowledged configuration in time.
    AgentCurrent,
    /// No endpoint whose heartbeats are acknowledged is suspected.
    NotSilent,
    /// Connected agents suspect an endpoint that crashed, provided that others send heartbeats.
    SilentNamed,
    /// A starting agent takes nothing from a member that is cut off as long as it may wait for others.
    StartsCurrent,
    /// After the last fault, changes and reads succeed at every member.
    Heals,
    /// After the last fault, the newest value is on as many disks as the tolerance requires.
    Copies,
    /// No process ends by itself, except one that finds that its disk was rolled back.
    Runs,
    /// A member whose disk was rolled back does not resume as the same member.
    OlderDisk,
    /// A member that is asked to terminate waits for a limited time until the others hold what is
    /// committed.
    HandsOver,
    /// Only one member is added, replaced or removed at a time.
    OneChange,
    /// A membership change waits until the members that can be reached hold the value of the previous one.
    CopiesFirst,
    /// A member that joins holds the committed configuration.
    JoinsWhole,
    /// A member that a majority can reach is not removed.
    MemberStays,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When the violation showed.
    pub at: Duration,
    /// What showed the violation.
    pub what: String,
}

impl Violation {
    fn new(rule: Rule, at: Duration, what: impl Into<String>) -> Self {
        Violation { rule, at, what: what.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} at {:.3}: {}", self.rule, self.at.as_secs_f64(), self.what)
    }
}

/// All violations in a run, ordered by time.
pub fn check(script: &Script, facts: &Facts) -> Vec<Violation> {
    let mut violations = register::check(facts);
    violations.extend(contact::check(script, facts));
    violations.extend(agents::check(script, facts));
    violations.extend(healing::check(script, facts));
    violations.extend(disks::check(script, facts));
    violations.extend(membership::check(facts));
    violations.sort_by_key(|violation| (violation.at, violation.rule));
    violations
}
