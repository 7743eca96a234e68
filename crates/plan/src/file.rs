//! The plan file: a line that says what it is and its hash, then JSON with all that apply needs.

use crate::diff::{Step, StepCounts, count_steps, diff};
use crate::risk::{Load, Risk, RiskContext, assess_risks};
use runtrack_model::{Fleet, Severity};
use runtrack_store::{Version, seal};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The format that this version writes, and the newest that it reads.
pub const FORMAT: u32 = 1;
const MAGIC: &str = "runtrack-plan";
/// Longest file that is read, in bytes: ten times a plan of 10,000 routes and pools that are all new.
const BYTES_MOST: usize = 64 << 20;

/// Why a plan file can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlanError {
    /// Something else, or its first line is damaged.
    #[error("it is no plan: a plan begins with a line `{MAGIC} {FORMAT} HASH`")]
    NotAPlan,
    /// A newer version wrote it.
    #[error(
        "it has format {found}, and this version reads up to {FORMAT}: apply it with the version that made it"
    )]
    NewerFormat {
        /// Its format.
        found: u32,
    },
    /// It is not what was written.
    #[error("it was changed or cut short after it was made: its hash does not fit. Make the plan anew")]
    HashMismatch,
    /// The hash fits and the content does not.
    #[error("it makes no sense: {0}. Make the plan anew")]
    Invalid(String),
    /// Too long to be read.
    #[error("it has {0} bytes, and {BYTES_MOST} is the most")]
    TooLong(usize),
}

/// What is planned, for whom, on what and until when.
#[derive(Clone, Copy, Debug)]
pub struct PlanRequest<'a> {
    /// Who plans.
    pub author: &'a str,
    /// Why.
    pub reason: &'a str,
    /// Now, Unix time in milliseconds.
    pub now_ms: u64,
    /// For how long it may be applied, in milliseconds.
    pub lifetime_ms: u64,
    /// The state's lineage.
    pub lineage: &'a str,
    /// The version it is made against; none: the state is empty.
    pub base: Option<&'a Version>,
    /// What the fleet carries.
    pub load: &'a Load,
    /// Parts of the proxies that get it one after the other, in 10,000, rising to all; empty: all at once.
    pub stages: &'a [u32],
    /// Least time between two stages, in milliseconds.
    pub pause_ms: u64,
}

/// A plan: what will be done, on which state and no other, and what that risks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The hash of the file's text. Not in the text.
    #[serde(skip)]
    pub id: String,
    /// Who made it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, Unix time in milliseconds.
    pub made_ms: u64,
    /// From when on it is no longer applied, likewise.
    pub expires_ms: u64,
    /// The state's lineage.
    pub lineage: String,
    /// The serial that it was made against; 0: an empty state.
    pub serial: u64,
    /// That version's hash; empty for an empty state.
    pub base_hash: String,
    /// The hash of the state that it leads to.
    pub desired_hash: String,
    /// Parts of the proxies that get it one after the other, in 10,000, rising to all; empty: all at once.
    pub stages: Vec<u32>,
    /// Least time between two stages, in milliseconds.
    pub pause_ms: u64,
    /// What is done, in this order.
    pub steps: Vec<Step>,
    /// What it risks, the heaviest first.
    pub risks: Vec<Risk>,
}

impl Plan {
    /// Plans the way from one fleet to another.
    pub fn new(request: PlanRequest, from: &Fleet, to: &Fleet) -> Plan {
        let seen = RiskContext {
            load: request.load,
            applied_at_ms: request.base.map_or(0, |version| version.at_ms),
            now_ms: request.now_ms,
        };
        let steps = diff(from, to);
        let risks = if steps.is_empty() { Vec::new() } else { assess_risks(from, to, seen) };
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
        serde_json::to_string_pretty(self).unwrap_or_default() // fails only for maps with keys that are no text
    }

    /// The file's bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        seal::seal(MAGIC, FORMAT, &self.text())
    }

    /// Reads a file's bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Plan, PlanError> {
        if bytes.len() > BYTES_MOST {
            return Err(PlanError::TooLong(bytes.len()));
        }
        let (_, text) = seal::open(MAGIC, FORMAT, bytes).map_err(|broken| match broken {
            seal::SealError::Newer { found, .. } => PlanError::NewerFormat { found },
            seal::SealError::HashMismatch => PlanError::HashMismatch,
            seal::SealError::BadHeader | seal::SealError::UnknownFormat(_) | seal::SealError::NotUtf8 => {
                PlanError::NotAPlan
            }
        })?;
        let plan: Plan = serde_json::from_str(text).map_err(|e| PlanError::Invalid(e.to_string()))?;
        if plan.expires_ms < plan.made_ms {
            return Err(PlanError::Invalid("it expires before it is made".to_owned()));
        }
        if (plan.serial == 0) != plan.base_hash.is_empty() {
            return Err(PlanError::Invalid("its serial and its base's hash are at odds".to_owned()));
        }
        let rising = plan.stages.windows(2).all(|pair| pair[0] < pair[1]);
        let ends = plan.stages.first().is_none_or(|&first| first > 0)
            && plan.stages.last().is_none_or(|&last| last == 10_000);
        if !(rising && ends) {
            return Err(PlanError::Invalid("its stages don't rise to all proxies".to_owned()));
        }
        Ok(Plan { id: seal::hash(text), ..plan })
    }

    /// How many things it touches.
    pub fn counts(&self) -> StepCounts {
        count_steps(&self.steps)
    }

    /// How many risks have a severity.
    pub fn count_risks(&self, severity: Severity) -> usize {
        self.risks.iter().filter(|risk| risk.severity == severity).count()
    }

    /// `2 to add, 1 to change, 0 to destroy; 1 high risk`.
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
