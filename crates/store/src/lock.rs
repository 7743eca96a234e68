//! Lock file that admits one writer at a time.

use crate::StoreError;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, Write};
use std::path::Path;

const LOCK_FILE: &str = "lock";

/// An exclusive lock on the folder, held until it is dropped or its process ends. The kernel releases it when the
/// process ends in any way, so a crashed owner leaves no stale lock and no time-out is needed.
pub struct Lock(File);

impl Lock {
    /// Acquires the lock of a folder, or fails with [`StoreError::Locked`] and the name of its owner.
    pub fn acquire(folder: &Path, owner: &str) -> Result<Lock, StoreError> {
        let file_error = |error| StoreError::File { file: LOCK_FILE.to_owned(), error };
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        let mut file = options.open(folder.join(LOCK_FILE)).map_err(file_error)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let mut owner = String::new();
                let read = file.read_to_string(&mut owner);
                let owner = read.ok().map(|_| owner).filter(|owner| !owner.is_empty());
                return Err(StoreError::Locked(owner.unwrap_or_else(|| "somebody".to_owned())));
            }
            Err(TryLockError::Error(error)) => return Err(file_error(error)),
        }
        // The owner's name only serves other processes' error messages; one left by a crashed owner is overwritten.
        file.set_len(0)
            .and_then(|()| file.rewind())
            .and_then(|()| file.write_all(owner.as_bytes()))
            .map_err(file_error)?;
        Ok(Lock(file))
    }
}

impl Drop for Lock {
    fn drop(&mut self) {
        let _ = self.0.set_len(0);
    }
}
