//! One writer at a time.

use crate::StoreError;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, Write};
use std::path::Path;

const NAME: &str = "lock";

/// The right to write, until it is dropped or its process ends, however that ends: the kernel holds it, so no
/// clock is asked and no crashed owner keeps it.
pub struct Lock(File);

impl Lock {
    /// Takes the lock of a folder, or says who has it.
    pub fn acquire(folder: &Path, owner: &str) -> Result<Lock, StoreError> {
        let failed = |error| StoreError::File { file: NAME.to_owned(), error };
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        let mut file = options.open(folder.join(NAME)).map_err(failed)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let mut owner = String::new();
                let read = file.read_to_string(&mut owner);
                let owner = read.ok().map(|_| owner).filter(|owner| !owner.is_empty());
                return Err(StoreError::Locked(owner.unwrap_or_else(|| "somebody".to_owned())));
            }
            Err(TryLockError::Error(error)) => return Err(failed(error)),
        }
        // Only to be told to others; what a crashed owner left is replaced.
        file.set_len(0)
            .and_then(|()| file.rewind())
            .and_then(|()| file.write_all(owner.as_bytes()))
            .map_err(failed)?;
        Ok(Lock(file))
    }
}

impl Drop for Lock {
    fn drop(&mut self) {
        let _ = self.0.set_len(0);
    }
}
