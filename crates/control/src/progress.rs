//! How far a roll-out has come, on disk: a restart goes on where it was.

use crate::persistence::replace_file;
use crate::rollout::Progress;
use runtrack_store::seal;
use std::io;
use std::path::{Path, PathBuf};

const MAGIC: &str = "runtrack-rollout";
const FORMAT: u32 = 1;
const FILE_NAME: &str = "rollout";

/// The file.
pub struct ProgressFile(PathBuf);

impl ProgressFile {
    /// In this folder, which is there.
    pub fn new(folder: &Path) -> ProgressFile {
        ProgressFile(folder.to_owned())
    }

    /// What was written last; none where there is nothing, or nothing of use: the roll-out then begins anew, which
    /// takes proxies back to the version before and is safe.
    pub fn read(&self) -> Option<Progress> {
        let bytes = std::fs::read(self.0.join(FILE_NAME)).ok()?;
        serde_json::from_str(seal::open(MAGIC, FORMAT, &bytes).ok()?.1).ok()
    }

    /// Writes it durably, as a whole.
    pub fn write(&self, progress: &Progress) -> io::Result<()> {
        let text = serde_json::to_string(progress)?;
        replace_file(&self.0, FILE_NAME, &seal::seal(MAGIC, FORMAT, &text))
    }
}
