//! The plan file: a header line with format and hash, followed by JSON with everything that `apply` needs.

use crate::diff::{Step, StepCounts, count_steps, diff};
use crate::risk::{Load, Risk, RiskContext, assess_risks};
use runtrack_model::{Fleet, Severity};
use runtrack_store::{Version, seal};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Format that this version writes, and the newest one that it reads.
pub const FORMAT: u32 = 1;
const MAGIC: &str = "runtrack-plan";
/// Maximum size of a plan file, in bytes: ten times that of a plan that creates 10,000 routes and pools.
const MAX_PLAN_BYTES: usize = 64 << 20;

/// Why a plan file can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlanError {
    /// The file is not a plan, or its header line is damaged.
    #[error("not a plan file: a plan file begins with a line `{MAGIC} {FORMAT} HASH`")]
    NotAPlan,
    /// The file was written by a newer version.
    #[error(
        "the plan has format {found}, and this version reads up to {FORMAT}: apply it with the version that created it"
    )]
    NewerFormat {
        /// Format of the file.
        found: u32,
    },
    /// The content does not match the hash in the header.
    #[error(
        "the plan was modified or truncated after its creation: its hash does not match. Create a new plan"
    )]
    HashMismatch,
    /// The hash matches, but the content is invalid.
    #[error("invalid plan: {0}. Create a new plan")]
    Invalid(String),
    /// The file exceeds the maximum size; its size in bytes.
    #[error("the plan file has {0} bytes, more than the maximum of {MAX_PLAN_BYTES}")]
    TooLong(usize),
}

/// Parameters of a new plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanRequest<'a> {
    /// Author of the plan.
    pub author: &'a str,
    /// Reason for the change, for the history.
    pub reason: &'a str,
    /// Current Unix time in milliseconds.
    pub now_ms: u64,
    /// How long the plan can be applied, in milliseconds.
    pub lifetime_ms: u64,
    /// Lineage of the state.
    pub lineage: &'a str,
    /// Version that the plan is based on; `None` for an empty state.
    pub base: Option<&'a Version>,
    /// Current load of the fleet.
    pub load: &'a Load,
    /// Cumulative share of the proxies that receive the change in each stage, in units of 0.01%, increasing to 10,000. If
    /// empty, all proxies receive it at once.
    pub stages: &'a [u32],
    /// Minimum time between two stages, in milliseconds.
    pub pause_ms: u64,
}

/// A planned change: its steps, the state that it applies to, and its risks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Hash of the file's text; not part of the text itself.
    #[serde(skip)]
    pub id: String,
    /// Author of the plan.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
    /// Time of creation, Unix time in milliseconds.
    pub made_ms: u64,
    /// Time after which the plan can no longer be applied, Unix time in milliseconds.
    pub expires_ms: u64,
    /// Lineage of the state.
    pub lineage: String,
    /// Serial of the version that the plan is based on; 0 for an empty state.
    pub serial: u64,
    /// Hash of that version; empty for an empty state.
    pub base_hash: String,
    /// Hash of the resulting fleet.
    pub desired_hash: String,
    /// Cumulative share of the proxies that receive the change in each stage, in units of 0.01%, increasing to 10,000. If
    /// empty, all proxies receive it at once.
    pub stages: Vec<u32>,
    /// Minimum time between two stages, in milliseconds.
    pub pause_ms: u64,
    /// Steps, in the order in which they are applied.
    pub steps: Vec<Step>,
    /// Risks, highest severity first.
    pub risks: Vec<Risk>,
}

impl Plan {
    /// Plans the change from one fleet to another.
    pub fn new(request: PlanRequest, from: &Fleet, to: &Fleet) -> Plan {
        let context = RiskContext {
            load: request.load,
            applied_at_ms: request.base.map_or(0, |version| version.at_ms),
            now_ms: request.now_ms,
        };
        let steps = diff(from, to);
        let risks = if steps.is_empty() { Vec::new() } else { assess_risks(from, to, context) };
        let plan = Plan {
            id: String::new(),
            author: request.author.to_owned(),
            reason: request.reason.to_owned(),
            made_ms: request.now_ms,
            expires_ms: request.now_ms.saturating_add(request.lifetime_ms),
            lineage: request.lineage.to_owned(),
            serial: request.base.map_or(0, |version| version.serial),
            base_hash: request.base.map(|version| version.hash.clone()).unwrap_or_default(),
            desired_hash: to.hash(),
            stages: request.stages.to_vec(),
            pause_ms: request.pause_ms,
            steps,
            risks,
        };
        Plan { id: seal::hash(&plan.text()), ..plan }
    }

    fn text(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default() // fails only for maps with non-string keys, which a plan does not have
    }

    /// Encodes the plan as the content of a plan file.
    pub fn to_bytes(&self) -> Vec<u8> {
        seal::seal(MAGIC, FORMAT, &self.text())
    }

    /// Decodes the content of a plan file and validates it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Plan, PlanError> {
        if bytes.len() > MAX_PLAN_BYTES {
            return Err(PlanError::TooLong(bytes.len()));
        }
        let (_, text) = seal::open(MAGIC, FORMAT, bytes).map_err(|error| match error {
            seal::SealError::Newer { found, .. } => PlanError::NewerFormat { found },
            seal::SealError::HashMismatch => PlanError::HashMismatch,
            seal::SealError::BadHeader | seal::SealError::UnknownFormat(_) | seal::SealError::NotUtf8 => {
                PlanError::NotAPlan
            }
        })?;
        let plan: Plan = serde_json::from_str(text).map_err(|e| PlanError::Invalid(e.to_string()))?;
        if plan.expires_ms < plan.made_ms {
            return Err(PlanError::Invalid("it expires before it was created".to_owned()));
        }
        if (plan.serial == 0) != plan.base_hash.is_empty() {
            return Err(PlanError::Invalid("its serial and its base hash are inconsistent".to_owned()));
        }
        let increasing = plan.stages.windows(2).all(|pair| pair[0] < pair[1]);
        let valid_ends = plan.stages.first().is_none_or(|&first| first > 0)
            && plan.stages.last().is_none_or(|&last| last == 10_000);
        if !(increasing && valid_ends) {
            return Err(PlanError::Invalid("its stages don't increase to 10,000".to_owned()));
        }
        Ok(Plan { id: seal::hash(text), ..plan })
    }

    /// Number of objects that the plan changes.
    pub fn counts(&self) -> StepCounts {
        count_steps(&self.steps)
    }

    /// Number of risks of a severity.
    pub fn count_risks(&self, severity: Severity) -> usize {
        self.risks.iter().filter(|risk| risk.severity == severity).count()
    }

    /// One-line summary, such as `2 to add, 1 to change, 0 to destroy; 1 high risk`.
    pub fn summary(&self) -> String {
        let StepCounts { add, change, destroy } = self.counts();
        let severities =
            [Severity::High, Severity::Medium, Severity::Low].map(|s| (self.count_risks(s), s.name()));
        let risks: Vec<String> = severities
            .iter()
            .filter(|(count, _)| *count > 0)
            .map(|(count, name)| format!("{count} {name} {}", if *count == 1 { "risk" } else { "risks" }))
            .collect();
        let risks = if risks.is_empty() { "no risk found".to_owned() } else { risks.join(", ") };
        format!("{add} to add, {change} to change, {destroy} to destroy; {risks}")
    }
}
