//! Errors of the commands, and their exit codes.

use runtrack_plan::{ApplyError, PlanError};
use runtrack_store::StoreError;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// A file can't be read or written.
    #[error("{}: {error}", file.display())]
    File {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A fleet file is invalid; lists every problem with its position.
    #[error("{0}")]
    Fleet(String),
    /// A plan file can't be used.
    #[error("{}: {problem}", file.display())]
    Plan {
        /// Path of the file.
        file: PathBuf,
        /// Why the plan was refused.
        problem: PlanError,
    },
    /// A plan can't be applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The folder contains no state.
    #[error("{}: no state found: create one with `runtrackctl init`", .0.display())]
    NoState(PathBuf),
    /// The command line is invalid, or doesn't apply to this state.
    #[error("{0}")]
    Usage(String),
    /// The control service does not respond, or not as expected.
    #[error("{at}: {problem}")]
    Service {
        /// Address of the service.
        at: String,
        /// Description of the problem.
        problem: String,
    },
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Failure {
        Failure::Apply(ApplyError::Store(error))
    }
}

impl Failure {
    /// Returns a function for `map_err` that turns an I/O error on a file into a `Failure`.
    pub fn file(file: &Path) -> impl FnOnce(io::Error) -> Failure {
        let file = file.to_owned();
        |error| Failure::File { file, error }
    }

    /// Exit code, as documented for operators.
    pub fn code(&self) -> u8 {
        match self {
            Failure::File { .. } | Failure::Fleet(_) | Failure::Usage(_) | Failure::NoState(_) => 1,
            Failure::Service { .. } | Failure::Apply(ApplyError::Service { .. }) => 3,
            Failure::Plan { .. } => 10,
            Failure::Apply(
                ApplyError::StateChanged { .. } | ApplyError::Store(StoreError::Moved { .. }),
            ) => 11,
            Failure::Apply(ApplyError::LineageMismatch { .. }) => 12,
            Failure::Apply(ApplyError::Expired(_) | ApplyError::ClockSkew(_)) => 13,
            Failure::Apply(ApplyError::UnacceptedRisks(_) | ApplyError::UnknownRisk(_)) => 14,
            Failure::Apply(ApplyError::Store(StoreError::Locked(_))) => 15,
            Failure::Apply(ApplyError::Step(_) | ApplyError::WrongResult) => 10,
            Failure::Apply(ApplyError::InvalidFleet { .. } | ApplyError::Store(_)) => 16,
        }
    }
}
