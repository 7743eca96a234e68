//! A plan becomes one commit of the store, or nothing happens.

use crate::diff::{StepError, apply_steps, diff};
use crate::file::Plan;
use crate::risk::Risk;
use runtrack_model::{Fleet, Severity};
use runtrack_store::{CommitInfo, Files, Store, StoreError, Version};
use std::collections::BTreeSet;
use std::time::Duration;
use thiserror::Error;

/// Clocks of two machines differ by no more than this; a plan from later than that was made by a clock that is wrong.
const SKEW_MOST_MS: u64 = 5 * 60 * 1000;
/// Things named where a state has moved.
const NAMED_MOST: usize = 5;

/// What has come of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is now this serial.
    Committed(u64),
    /// It had been applied as this serial; nothing was done.
    AlreadyApplied(u64),
}

/// Why a plan was not applied. Nothing was changed, but for a store that failed in the last step of a commit.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// Another state's plan.
    #[error(
        "the plan is for the state {plan}, and this is {found}: apply it to the state that it was made for"
    )]
    LineageMismatch {
        /// The plan's lineage.
        plan: String,
        /// The state's.
        found: String,
    },
    /// The state has changed since.
    #[error(
        "the state has moved: the plan was made on serial {planned}, and this is serial {found}, made by {by}{changed}. \
         Make the plan anew"
    )]
    StateChanged {
        /// The plan's serial.
        planned: u64,
        /// The state's.
        found: u64,
        /// Who moved it, and why.
        by: String,
        /// What has changed, where the old version is still kept.
        changed: String,
    },
    /// Too old.
    #[error("the plan could be applied until {0:?} ago: make it anew")]
    Expired(Duration),
    /// Made by a clock that is wrong, or this one is.
    #[error("the plan was made {0:?} from now: one of the two clocks is wrong")]
    ClockSkew(Duration),
    /// High risks that nobody has taken.
    #[error("{}", not_accepted(.0))]
    UnacceptedRisks(Vec<Risk>),
    /// Risks were accepted that the plan does not have.
    #[error("the plan has no risk `{0}`: a slip of the pen, or it was looked at in another plan")]
    UnknownRisk(String),
    /// The steps don't lead to what they say.
    #[error("the plan's steps don't fit the state that it names: {0}. Make it anew")]
    Step(#[from] StepError),
    /// The steps lead elsewhere.
    #[error("the plan's steps don't lead to the state that it names: make it anew")]
    WrongResult,
    /// What is in the store is no fleet.
    #[error("serial {serial} is no fleet: {problem}")]
    InvalidFleet {
        /// The version.
        serial: u64,
        /// What is wrong.
        problem: String,
    },
    /// The store refuses.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A service that keeps the state refuses, or does not answer.
    #[error("{at}: {problem}")]
    Service {
        /// Which.
        at: String,
        /// What is wrong.
        problem: String,
    },
}

/// The versions of a state, wherever they are kept.
pub trait VersionStore {
    /// The lineage.
    fn lineage(&self) -> &str;
    /// The versions that are kept, the newest last.
    fn history(&self) -> &[Version];
    /// A version's text.
    fn text(&self, serial: u64) -> Result<String, ApplyError>;
    /// Makes a text the version after this serial and no other.
    fn commit(&mut self, on: u64, text: &str, entry: CommitInfo) -> Result<Applied, ApplyError>;

    /// The current version.
    fn current(&self) -> Option<&Version> {
        self.history().last()
    }

    /// The serial of the current version; 0 before the first.
    fn serial(&self) -> u64 {
        self.current().map_or(0, |version| version.serial)
    }
}

impl<F: Files> VersionStore for Store<F> {
    fn lineage(&self) -> &str {
        Store::lineage(self)
    }

    fn history(&self) -> &[Version] {
        Store::history(self)
    }

    fn text(&self, serial: u64) -> Result<String, ApplyError> {
        Ok(Store::text(self, serial)?)
    }

    fn commit(&mut self, on: u64, text: &str, entry: CommitInfo) -> Result<Applied, ApplyError> {
        Ok(Applied::Committed(Store::commit(self, on, text, entry)?.serial))
    }
}

fn not_accepted(risks: &[Risk]) -> String {
    let lines: Vec<String> =
        risks.iter().map(|risk| format!("  --accept-risk {}   {}", risk.id, risk.what)).collect();
    format!("high risks must be accepted one by one:\n{}", lines.join("\n"))
}

/// The fleet of a version; an empty one before the first.
pub fn fleet_at(store: &(impl VersionStore + ?Sized), serial: u64) -> Result<Fleet, ApplyError> {
    if serial == 0 {
        return Ok(Fleet::default());
    }
    Fleet::from_canonical_json(&store.text(serial)?)
        .map_err(|problem| ApplyError::InvalidFleet { serial, problem })
}

/// Carries a plan out as one commit. The caller holds the lock of a store in a folder.
pub fn apply(
    store: &mut (impl VersionStore + ?Sized),
    plan: &Plan,
    accepted: &BTreeSet<String>,
    author: &str,
    now_ms: u64,
) -> Result<Applied, ApplyError> {
    if store.lineage() != plan.lineage {
        let (plan, found) = (plan.lineage.clone(), store.lineage().to_owned());
        return Err(ApplyError::LineageMismatch { plan, found });
    }
    if let Some(version) = store.history().iter().find(|version| version.plan == plan.id) {
        return Ok(Applied::AlreadyApplied(version.serial));
    }
    if plan.made_ms > now_ms.saturating_add(SKEW_MOST_MS) {
        return Err(ApplyError::ClockSkew(Duration::from_millis(plan.made_ms - now_ms)));
    }
    if now_ms > plan.expires_ms {
        return Err(ApplyError::Expired(Duration::from_millis(now_ms - plan.expires_ms)));
    }
    let hash = store.current().map(|version| version.hash.as_str()).unwrap_or_default();
    if (store.serial(), hash) != (plan.serial, plan.base_hash.as_str()) {
        return Err(moved(store, plan));
    }
    if let Some(unknown) = accepted.iter().find(|id| plan.risks.iter().all(|risk| risk.id != **id)) {
        return Err(ApplyError::UnknownRisk(unknown.clone()));
    }
    let open = |risk: &&Risk| risk.severity == Severity::High && !accepted.contains(&risk.id);
    let open: Vec<Risk> = plan.risks.iter().filter(open).cloned().collect();
    if !open.is_empty() {
        return Err(ApplyError::UnacceptedRisks(open));
    }
    let fleet = apply_steps(&fleet_at(store, plan.serial)?, &plan.steps)?;
    if fleet.hash() != plan.desired_hash {
        return Err(ApplyError::WrongResult);
    }
    let (stages, pause_ms) = (plan.stages.as_slice(), plan.pause_ms);
    let entry =
        CommitInfo { author, reason: &plan.reason, at_ms: now_ms, plan: &plan.id, stages, pause_ms };
    store.commit(plan.serial, &fleet.to_canonical_json(), entry)
}

/// Who has moved the state, and what has changed.
fn moved(store: &(impl VersionStore + ?Sized), plan: &Plan) -> ApplyError {
    let by = store.current().map_or("nobody".to_owned(), |version| {
        let reason = if version.reason.is_empty() { "no reason given" } else { &version.reason };
        format!("{} ({reason})", version.author)
    });
    let fleets = || Some((fleet_at(store, plan.serial).ok()?, fleet_at(store, store.serial()).ok()?));
    let changed = fleets().map(|(was, is)| {
        let steps = diff(&was, &is);
        let named: Vec<String> =
            steps.iter().take(NAMED_MOST).map(|step| step.what().to_string()).collect();
        match (named.is_empty(), steps.len() - named.len()) {
            (true, _) => "; it says the same".to_owned(),
            (false, 0) => format!("; changed: {}", named.join(", ")),
            (false, more) => format!("; changed: {} and {more} more", named.join(", ")),
        }
    });
    ApplyError::StateChanged {
        planned: plan.serial,
        found: store.serial(),
        by,
        changed: changed.unwrap_or_default(),
    }
}
