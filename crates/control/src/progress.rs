//! Persists a roll-out's progress, so that a restart resumes it.

use crate::persistence::replace_file;
use crate::rollout::Progress;
use runtrack_store::seal;
use std::io;
use std::path::{Path, PathBuf};

const MAGIC: &str = "runtrack-rollout";
const FORMAT: u32 = 1;
const FILE_NAME: &str = "rollout";

/// The progress file in the state folder.
pub struct ProgressFile(PathBuf);

impl ProgressFile {
    /// The file in `folder`, which must exist.
    pub fn new(folder: &Path) -> ProgressFile {
        ProgressFile(folder.to_owned())
    }

    /// The progress last written; none if the file is missing or invalid. The roll-out then restarts from the first
    /// stage: proxies return to the previous version, which is safe.
    pub fn read(&self) -> Option<Progress> {
        let bytes = std::fs::read(self.0.join(FILE_NAME)).ok()?;
        serde_json::from_str(seal::open(MAGIC, FORMAT, &bytes).ok()?.1).ok()
    }

    /// Replaces the file durably and atomically.
    pub fn write(&self, progress: &Progress) -> io::Result<()> {
        let text = serde_json::to_string(progress)?;
        replace_file(&self.0, FILE_NAME, &seal::seal(MAGIC, FORMAT, &text))
    }
}
