//! How far a roll-out has come, on disk: a restart goes on where it was.

use crate::rollout::Progress;
use runtrack_store::{Files, Folder, seal};
use std::io;
use std::path::Path;

const MAGIC: &str = "runtrack-rollout";
const FORMAT: u32 = 1;
const NAME: &str = "rollout";
const NEW: &str = "rollout.new";

/// The file.
pub struct ProgressFile(Folder);

impl ProgressFile {
    /// In this folder.
    pub fn new(folder: &Path) -> io::Result<ProgressFile> {
        Folder::new(folder).map(ProgressFile)
    }

    /// What was written last; none where there is nothing, or nothing of use: the roll-out then begins anew, which
    /// takes proxies back to the version before and is safe.
    pub fn read(&self) -> Option<Progress> {
        let bytes = self.0.read(NAME).ok()?;
        serde_json::from_str(seal::open(MAGIC, FORMAT, &bytes).ok()?).ok()
    }

    /// Writes it durably, as a whole.
    pub fn write(&self, progress: &Progress) -> io::Result<()> {
        let text = serde_json::to_string(progress)?;
        self.0.write(NEW, &seal::seal(MAGIC, FORMAT, &text))?;
        self.0.sync(NEW)?;
        self.0.rename(NEW, NAME)?;
        self.0.sync_folder()
    }
}
