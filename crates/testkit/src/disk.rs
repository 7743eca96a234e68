//! An in-memory disk that can fail at any operation, and that models what a power failure leaves behind.

use rand_core::RngCore;
use rand_pcg::Pcg32;
use runtrack_store::Files;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// Bytes that are written atomically.
const SECTOR_BYTES: usize = 64;

#[derive(Clone, Default)]
struct Content {
    synced: Vec<u8>,
    now: Vec<u8>,
    /// Length of the prefix that was synced and not written since; it survives a power failure.
    synced_prefix: usize,
}

/// A change of file names that is not durable yet.
#[derive(Clone)]
enum NameChange {
    Link(String, usize),
    Unlink(String),
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            NameChange::Link(name, content) => drop(names.insert(name.clone(), *content)),
            NameChange::Unlink(name) => drop(names.remove(name)),
        }
    }
}

#[derive(Clone, Default)]
struct State {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
    pending: Vec<NameChange>,
}

impl State {
    fn change_name(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.pending.push(change);
    }
}

/// An in-memory disk. At a power failure, data that was not synced may be lost in part and in any order.
#[derive(Clone, Default)]
pub struct Disk {
    state: Rc<RefCell<State>>,
    operations: Rc<Cell<usize>>,
    /// Number of the operation that fails, and whether all later ones fail as well.
    fault: Rc<Cell<Option<(usize, bool)>>>,
}

impl Disk {
    /// Number of modifying operations so far.
    pub fn operations(&self) -> usize {
        self.operations.get()
    }

    /// Makes the operation with this number fail, either once (disk full) or with all later ones (disk lost); `None`
    /// clears the fault.
    pub fn fail_at(&self, fault: Option<(usize, bool)>) {
        self.fault.set(fault);
    }

    /// Names of the files.
    pub fn names(&self) -> Vec<String> {
        self.state.borrow().names.keys().cloned().collect()
    }

    /// Replaces the content of a file durably, without counting an operation.
    pub fn overwrite(&self, name: &str, bytes: &[u8]) {
        let mut state = self.state.borrow_mut();
        if let Some(content) = state.names.get(name).copied() {
            state.contents[content] =
                Content { synced: bytes.to_vec(), now: bytes.to_vec(), synced_prefix: bytes.len() };
        }
    }

    fn count_operation(&self) -> io::Result<()> {
        let number = self.operations.get();
        self.operations.set(number + 1);
        match self.fault.get() {
            Some((at, false)) if number == at => Err(io::Error::from(io::ErrorKind::StorageFull)),
            Some((at, true)) if number >= at => Err(io::Error::other("cut off")),
            _ => Ok(()),
        }
    }

    fn write_bytes(&self, name: &str, bytes: &[u8], append: bool) -> io::Result<()> {
        let result = self.count_operation();
        let mut state = self.state.borrow_mut();
        let content = match state.names.get(name) {
            Some(content) => *content,
            None => {
                state.contents.push(Content::default());
                let content = state.contents.len() - 1;
                state.change_name(NameChange::Link(name.to_owned(), content));
                content
            }
        };
        let content = &mut state.contents[content];
        if !append {
            content.now.clear();
            content.synced_prefix = 0;
        }
        // A failing write stores half of its bytes.
        let written = if result.is_ok() { bytes.len() } else { bytes.len() / 2 };
        content.now.extend_from_slice(&bytes[..written]);
        result
    }

    /// The state of the disk after a power failure: unsynced changes are kept or lost at random.
    pub fn after_power_loss(&self, rng: &mut Pcg32) -> Disk {
        let state = self.state.borrow();
        let mut names = state.synced.clone();
        for change in &state.pending {
            if rng.next_u32().is_multiple_of(2) {
                change.apply(&mut names);
            }
        }
        let torn = |content: &Content, rng: &mut Pcg32| {
            let (min_length, max_length) =
                (content.synced_prefix, content.now.len().max(content.synced_prefix));
            let length = match rng.next_u32() % 3 {
                0 => content.synced.len(),
                1 => content.now.len(),
                _ => min_length + rng.next_u32() as usize % (max_length - min_length + 1),
            };
            let mut bytes = vec![0; length];
            for (n, sector) in bytes.chunks_mut(SECTOR_BYTES).enumerate() {
                let from = if rng.next_u32().is_multiple_of(2) { &content.synced } else { &content.now };
                let available = from.get(n * SECTOR_BYTES..).unwrap_or_default();
                let count = sector.len().min(available.len());
                sector[..count].copy_from_slice(&available[..count]);
            }
            bytes
        };
        let contents = state.contents.iter().map(|content| {
            let bytes =
                if content.synced == content.now { content.now.clone() } else { torn(content, rng) };
            Content { synced: bytes.clone(), synced_prefix: bytes.len(), now: bytes }
        });
        let contents = contents.collect();
        let state = State { contents, synced: names.clone(), names, pending: Vec::new() };
        Disk { state: Rc::new(RefCell::new(state)), ..Disk::default() }
    }
}

impl Files for Disk {
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state.borrow();
        let content = state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(state.contents[*content].now.clone())
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.write_bytes(name, bytes, false)
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.write_bytes(name, bytes, true)
    }

    fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
        self.count_operation()?;
        let mut state = self.state.borrow_mut();
        let content = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let content = &mut state.contents[content];
        content.now.truncate(length as usize);
        content.synced_prefix = content.synced_prefix.min(length as usize);
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let mut state = self.state.borrow_mut();
        let content = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let content = &mut state.contents[content];
        content.synced = content.now.clone();
        content.synced_prefix = content.now.len();
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.count_operation()?;
        let mut state = self.state.borrow_mut();
        let content = *state.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        // The new name becomes visible before the old one is removed, or at the same time.
        state.change_name(NameChange::Link(to.to_owned(), content));
        state.change_name(NameChange::Unlink(from.to_owned()));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        self.state.borrow_mut().change_name(NameChange::Unlink(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.count_operation()?;
        let mut state = self.state.borrow_mut();
        state.synced = state.names.clone();
        state.pending.clear();
        Ok(())
    }
}
