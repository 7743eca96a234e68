//! Files in memory, with what a disk can do to them.

use crate::Files;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// Files in memory. Clones share them, as processes of one machine do.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    files: Rc<RefCell<BTreeMap<String, Vec<u8>>>>,
    full: Rc<Cell<bool>>,
    torn_at: Rc<Cell<Option<usize>>>,
}

impl Memory {
    /// Refuses every write from now on, or takes them again.
    pub fn set_full(&self, full: bool) {
        self.full.set(full);
    }

    /// The next write fails after so many bytes, as a loss of power would have it.
    pub fn tear_next(&self, after: usize) {
        self.torn_at.set(Some(after));
    }

    /// Loses everything.
    pub fn wipe(&self) {
        self.files.borrow_mut().clear();
    }
}

impl Files for Memory {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.borrow().get(name).cloned())
    }

    fn write(&self, name: &str, bytes: &[u8], room: usize) -> io::Result<()> {
        if self.full.get() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut files = self.files.borrow_mut();
        let file = files.entry(name.to_owned()).or_default();
        if file.len() < room.max(bytes.len()) {
            file.resize(room.max(bytes.len()), 0);
        }
        let torn = self.torn_at.take();
        let written = torn.map_or(bytes.len(), |after| after.min(bytes.len()));
        file[..written].copy_from_slice(&bytes[..written]);
        if torn.is_some() { Err(io::ErrorKind::Interrupted.into()) } else { Ok(()) }
    }
}
