//! What can go wrong, and the exit code of each.

use runtrack_plan::{ApplyError, PlanError};
use runtrack_store::StoreError;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a command did not do what it was asked.
#[derive(Debug, Error)]
pub enum Failure {
    /// A file can't be read or written.
    #[error("{}: {error}", file.display())]
    File {
        /// Which.
        file: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// A fleet's file is wrong: every problem with its place.
    #[error("{0}")]
    Fleet(String),
    /// A plan file can't be used.
    #[error("{}: {problem}", file.display())]
    Plan {
        /// Which.
        file: PathBuf,
        /// Why.
        problem: PlanError,
    },
    /// A plan can't be applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// There is no state in the folder.
    #[error("{}: there is no state here: make one with `runtrackctl init`", .0.display())]
    NoState(PathBuf),
    /// Something that the command line asks makes no sense here.
    #[error("{0}")]
    Usage(String),
    /// The control service does not answer, or not as expected.
    #[error("{at}: {problem}")]
    Service {
        /// Its address.
        at: String,
        /// What is wrong.
        problem: String,
    },
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Failure {
        Failure::Apply(ApplyError::Store(error))
    }
}

impl Failure {
    /// `map_err` for what the system says of a file.
    pub fn file(file: &Path) -> impl FnOnce(io::Error) -> Failure {
        let file = file.to_owned();
        |error| Failure::File { file, error }
    }

    /// The exit code, as the operators' page lists them.
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
