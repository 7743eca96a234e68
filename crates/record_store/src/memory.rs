//! Files in memory with injected disk faults, for tests and simulations.

use crate::Files;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;

type Content = BTreeMap<String, Vec<u8>>;

/// Files in memory. Clones share them, like processes on one machine.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    files: Rc<RefCell<Content>>,
    /// Names that have been synced with their folder.
    named: Rc<RefCell<BTreeSet<String>>>,
    full: Rc<Cell<bool>>,
    capacity: Rc<Cell<Option<usize>>>,
    torn_at: Rc<Cell<Option<usize>>>,
    names_sync_fails: Rc<Cell<bool>>,
}

impl Memory {
    /// Makes every write fail from now on, or succeed again.
    pub fn set_full(&self, full: bool) {
        self.full.set(full);
    }

    /// Limits the total size of all files in bytes; a write beyond it extends its file only up to the limit and fails.
    pub fn set_capacity(&self, capacity: Option<usize>) {
        self.capacity.set(capacity);
    }

    /// Total size of all files in bytes.
    pub fn bytes(&self) -> usize {
        self.files.borrow().values().map(Vec::len).sum()
    }

    /// Makes the next write fail after this many bytes, like a power failure.
    pub fn tear_next(&self, after: usize) {
        self.torn_at.set(Some(after));
    }

    /// Makes the next sync of names fail, as if the process were killed before it.
    pub fn fail_next_sync_of_names(&self) {
        self.names_sync_fails.set(true);
    }

    /// Power failure: removes each file whose name was not synced.
    pub fn lose_power(&self) {
        let named = self.named.borrow();
        self.files.borrow_mut().retain(|name, _| named.contains(name));
    }

    /// Corrupts the byte at an offset of a file.
    pub fn corrupt(&self, name: &str, at: usize) {
        if let Some(byte) = self.files.borrow_mut().get_mut(name).and_then(|file| file.get_mut(at)) {
            *byte ^= 0x40;
        }
    }

    /// Truncates a file to this length.
    pub fn truncate(&self, name: &str, length: usize) {
        if let Some(file) = self.files.borrow_mut().get_mut(name) {
            file.truncate(length);
        }
    }

    /// A snapshot of all files, by name.
    pub fn snapshot(&self) -> BTreeMap<String, Vec<u8>> {
        self.files.borrow().clone()
    }

    /// Replaces all files by those of a snapshot.
    pub fn restore(&self, snapshot: &BTreeMap<String, Vec<u8>>) {
        *self.files.borrow_mut() = snapshot.clone();
    }

    /// Removes all files.
    pub fn wipe(&self) {
        self.files.borrow_mut().clear();
        self.named.borrow_mut().clear();
    }

    fn grow(&self, name: &str, length: usize) -> io::Result<()> {
        let others = self.bytes() - self.files.borrow().get(name).map_or(0, Vec::len);
        let available = self.capacity.get().map_or(usize::MAX, |capacity| capacity.saturating_sub(others));
        let mut files = self.files.borrow_mut();
        let file = files.entry(name.to_owned()).or_default();
        if file.len() < length {
            file.resize(length.min(available).max(file.len()), 0);
        }
        if file.len() < length { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
}

impl Files for Memory {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.borrow().get(name).cloned())
    }

    fn write(&self, name: &str, bytes: &[u8], preallocated: usize) -> io::Result<()> {
        if self.full.get() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.grow(name, preallocated.max(bytes.len()))?;
        let mut files = self.files.borrow_mut();
        let file = files.entry(name.to_owned()).or_default();
        let torn = self.torn_at.take();
        let written = torn.map_or(bytes.len(), |after| after.min(bytes.len()));
        file[..written].copy_from_slice(&bytes[..written]);
        if torn.is_some() { Err(io::ErrorKind::Interrupted.into()) } else { Ok(()) }
    }

    fn sync_names(&self) -> io::Result<()> {
        if self.names_sync_fails.take() {
            return Err(io::ErrorKind::Interrupted.into());
        }
        *self.named.borrow_mut() = self.files.borrow().keys().cloned().collect();
        Ok(())
    }
}
