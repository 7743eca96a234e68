//! What must hold, judged from what callers and agents' observers saw alone. It knows nothing of the code under test.

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

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One version is one configuration.
    OneConfiguration,
    /// What is in force was sent by an operator, and is valid.
    Sent,
    /// An amendment is applied to the version that it builds on, once, and keeps the rest of it.
    Amended,
    /// What was refused never comes into force, and what came into force is never refused.
    Refused,
    /// What was acknowledged or seen in force is part of one history.
    Durable,
    /// Reads and refusals show what was acknowledged before they were asked for.
    Current,
    /// A member that is cut off acknowledges, serves and refuses nothing.
    CutOffSilent,
    /// It gives a clear answer within a second.
    CutOffAnswers,
    /// One answer to each caller.
    OneAnswer,
    /// An agent never goes back within a life.
    AgentMonotone,
    /// An agent in touch hears of an acknowledged leaver in time.
    LeaverHeard,
    /// A leaver never becomes ready again.
    LeaverStays,
    /// An agent in touch has an acknowledged configuration in time.
    AgentCurrent,
    /// Nobody whose heartbeats are acknowledged is named silent.
    NotSilent,
    /// An endpoint that crashed is named silent by agents in touch, while others beat.
    SilentNamed,
    /// An agent that starts takes nothing from a member that is cut off while it may wait for others.
    StartsCurrent,
    /// Once all is mended, changes and reads come through at each member.
    Heals,
    /// Once all is mended, the newest value is on as many disks as are wanted.
    Copies,
    /// No process ends by itself, but one that finds its disk to be an older copy.
    Runs,
    /// A member whose disk was put back from an older copy does not go on as the same member.
    OlderDisk,
    /// A member that is told to end waits, for a while, until the others hold what is committed.
    HandsOver,
    /// One member is added, replaced or removed at a time.
    OneChange,
    /// A change of members waits until the members that can be reached hold the value of the one before.
    CopiesFirst,
    /// A member that joins holds the committed configuration by then.
    JoinsWhole,
    /// A member that a majority can reach stays a member.
    MemberStays,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When it showed.
    pub at: Duration,
    /// What showed it.
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

/// The broken rules, in the order of time.
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
