//! Application of a plan to a version store: one commit, or no change at all.

use crate::diff::{StepError, apply_steps, diff};
use crate::file::Plan;
use crate::risk::Risk;
use runtrack_model::{Fleet, Severity};
use runtrack_store::{CommitInfo, Files, Store, StoreError, Version};
use std::collections::BTreeSet;
use std::time::Duration;
use thiserror::Error;

/// Maximum clock skew between two machines, in milliseconds. A plan from further in the future was created with a wrong
/// clock.
const MAX_CLOCK_SKEW_MS: u64 = 5 * 60 * 1000;
/// Maximum number of changed objects named in the error about a state that has changed.
const MAX_NAMED_OBJECTS: usize = 5;

/// Result of applying a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The plan was committed as this serial.
    Committed(u64),
    /// The plan had been applied before as this serial; nothing was changed.
    AlreadyApplied(u64),
}

/// Why a plan was not applied. The state is unchanged, except if the store failed in the last step of a commit.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// The plan was created for another state.
    #[error(
        "the plan is for the state {plan}, and this is {found}: apply it to the state that it was created for"
    )]
    LineageMismatch {
        /// Lineage in the plan.
        plan: String,
        /// Lineage of the state.
        found: String,
    },
    /// The state has changed since the plan was created.
    #[error(
        "the state has moved: the plan is based on serial {planned}, and this is serial {found}, committed by {by}{changed}. \
         Create a new plan"
    )]
    StateChanged {
        /// Serial that the plan is based on.
        planned: u64,
        /// Current serial of the state.
        found: u64,
        /// Author and reason of the current version.
        by: String,
        /// Changed objects, if the version that the plan is based on is still kept; otherwise empty.
        changed: String,
    },
    /// The plan expired this long ago.
    #[error("the plan expired {0:?} ago: create a new plan")]
    Expired(Duration),
    /// The plan was created this far in the future: its clock or the local one is wrong.
    #[error("the plan was created {0:?} in the future: one of the two clocks is wrong")]
    ClockSkew(Duration),
    /// High risks that were not accepted.
    #[error("{}", unaccepted_message(.0))]
    UnacceptedRisks(Vec<Risk>),
    /// A risk was accepted that the plan does not have.
    #[error("the plan has no risk `{0}`: the id is misspelled or comes from another plan")]
    UnknownRisk(String),
    /// A step does not match the state.
    #[error("the plan's steps don't match the state that it is based on: {0}. Create a new plan")]
    Step(#[from] StepError),
    /// The hash of the resulting fleet differs from the one in the plan.
    #[error("the plan's steps don't result in the fleet that it states: create a new plan")]
    WrongResult,
    /// A version in the store does not contain a valid fleet.
    #[error("serial {serial} is not a valid fleet: {problem}")]
    InvalidFleet {
        /// Serial of the version.
        serial: u64,
        /// Description of the problem.
        problem: String,
    },
    /// The store failed or refused the commit.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The service that holds the state refused the request or did not respond.
    #[error("{at}: {problem}")]
    Service {
        /// Address of the service.
        at: String,
        /// Description of the problem.
        problem: String,
    },
}

/// Access to the versions of a state, in a local folder or in a cluster.
pub trait VersionStore {
    /// Lineage of the state.
    fn lineage(&self) -> &str;
    /// Versions that are kept, oldest first.
    fn history(&self) -> &[Version];
    /// Text of a version.
    fn text(&self, serial: u64) -> Result<String, ApplyError>;
    /// Commits a text as the version after `base_serial`; fails if that is not the current one.
    fn commit(&mut self, base_serial: u64, text: &str, entry: CommitInfo) -> Result<Applied, ApplyError>;

    /// Current version; `None` before the first.
    fn current(&self) -> Option<&Version> {
        self.history().last()
    }

    /// Serial of the current version; 0 before the first.
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

    fn commit(&mut self, base_serial: u64, text: &str, entry: CommitInfo) -> Result<Applied, ApplyError> {
        Ok(Applied::Committed(Store::commit(self, base_serial, text, entry)?.serial))
    }
}

fn unaccepted_message(risks: &[Risk]) -> String {
    let lines: Vec<String> =
        risks.iter().map(|risk| format!("  --accept-risk {}   {}", risk.id, risk.description)).collect();
    format!("high risks must be accepted one by one:\n{}", lines.join("\n"))
}

/// Fleet of a version; an empty fleet for serial 0.
pub fn fleet_at(store: &(impl VersionStore + ?Sized), serial: u64) -> Result<Fleet, ApplyError> {
    if serial == 0 {
        return Ok(Fleet::default());
    }
    Fleet::from_canonical_json(&store.text(serial)?)
        .map_err(|problem| ApplyError::InvalidFleet { serial, problem })
}

/// Applies a plan as one commit. For a store in a folder, the caller must hold its lock. Every high risk of the plan
/// must be among the `accepted` ids. Returns the existing serial if the plan was applied before.
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
    if plan.made_ms > now_ms.saturating_add(MAX_CLOCK_SKEW_MS) {
        return Err(ApplyError::ClockSkew(Duration::from_millis(plan.made_ms - now_ms)));
    }
    if now_ms > plan.expires_ms {
        return Err(ApplyError::Expired(Duration::from_millis(now_ms - plan.expires_ms)));
    }
    let hash = store.current().map(|version| version.hash.as_str()).unwrap_or_default();
    if (store.serial(), hash) != (plan.serial, plan.base_hash.as_str()) {
        return Err(state_changed(store, plan));
    }
    if let Some(unknown) = accepted.iter().find(|id| plan.risks.iter().all(|risk| risk.id != **id)) {
        return Err(ApplyError::UnknownRisk(unknown.clone()));
    }
    let unaccepted = |risk: &&Risk| risk.severity == Severity::High && !accepted.contains(&risk.id);
    let unaccepted: Vec<Risk> = plan.risks.iter().filter(unaccepted).cloned().collect();
    if !unaccepted.is_empty() {
        return Err(ApplyError::UnacceptedRisks(unaccepted));
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

/// Error for a state that has changed, with the author of the current version and the changed objects.
fn state_changed(store: &(impl VersionStore + ?Sized), plan: &Plan) -> ApplyError {
    let by = store.current().map_or("nobody".to_owned(), |version| {
        let reason = if version.reason.is_empty() { "no reason given" } else { &version.reason };
        format!("{} ({reason})", version.author)
    });
    let fleets = || Some((fleet_at(store, plan.serial).ok()?, fleet_at(store, store.serial()).ok()?));
    let changed = fleets().map(|(was, is)| {
        let steps = diff(&was, &is);
        let named: Vec<String> =
            steps.iter().take(MAX_NAMED_OBJECTS).map(|step| step.address().to_string()).collect();
        match (named.is_empty(), steps.len() - named.len()) {
            (true, _) => "; the fleet is the same".to_owned(),
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
