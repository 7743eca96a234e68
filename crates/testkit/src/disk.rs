//! A disk in memory that can fail or be cut off at any operation, and what is left of it then.

use rand_core::RngCore;
use rand_pcg::Pcg32;
use runtrack_store::Files;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// Bytes written together or not at all.
const SECTOR: usize = 64;

#[derive(Clone, Default)]
struct Content {
    synced: Vec<u8>,
    now: Vec<u8>,
    /// Bytes at the beginning that were synced and not written since: they stay in any case.
    kept: usize,
}

/// A change of names that is not durable yet.
#[derive(Clone)]
enum Naming {
    Link(String, usize),
    Unlink(String),
}

impl Naming {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            Naming::Link(name, content) => drop(names.insert(name.clone(), *content)),
            Naming::Unlink(name) => drop(names.remove(name)),
        }
    }
}

#[derive(Clone, Default)]
struct State {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
    pending: Vec<Naming>,
}

impl State {
    fn name(&mut self, change: Naming) {
        change.apply(&mut self.names);
        self.pending.push(change);
    }
}

/// A disk in memory. What was not synced may be lost, in part and in any order, when it is cut off.
#[derive(Clone, Default)]
pub struct Disk {
    state: Rc<RefCell<State>>,
    operations: Rc<Cell<usize>>,
    /// The operation that fails, and whether all after it do.
    fault: Rc<Cell<Option<(usize, bool)>>>,
}

impl Disk {
    /// Operations so far that change something.
    pub fn operations(&self) -> usize {
        self.operations.get()
    }

    /// The operation of this number fails, once (the disk is full) or like all after it (it is cut off); none does.
    pub fn fail_at(&self, fault: Option<(usize, bool)>) {
        self.fault.set(fault);
    }

    /// The files' names.
    pub fn names(&self) -> Vec<String> {
        self.state.borrow().names.keys().cloned().collect()
    }

    /// Changes a file behind everybody's back, durably.
    pub fn overwrite(&self, name: &str, bytes: &[u8]) {
        let mut state = self.state.borrow_mut();
        if let Some(content) = state.names.get(name).copied() {
            state.contents[content] =
                Content { synced: bytes.to_vec(), now: bytes.to_vec(), kept: bytes.len() };
        }
    }

    fn step(&self) -> io::Result<()> {
        let number = self.operations.get();
        self.operations.set(number + 1);
        match self.fault.get() {
            Some((at, false)) if number == at => Err(io::Error::from(io::ErrorKind::StorageFull)),
            Some((at, true)) if number >= at => Err(io::Error::other("cut off")),
            _ => Ok(()),
        }
    }

    fn put(&self, name: &str, bytes: &[u8], behind: bool) -> io::Result<()> {
        let cut = self.step();
        let mut state = self.state.borrow_mut();
        let content = match state.names.get(name) {
            Some(content) => *content,
            None => {
                state.contents.push(Content::default());
                let content = state.contents.len() - 1;
                state.name(Naming::Link(name.to_owned(), content));
                content
            }
        };
        let content = &mut state.contents[content];
        if !behind {
            content.now.clear();
            content.kept = 0;
        }
        // A write that fails has come half-way.
        let come = if cut.is_ok() { bytes.len() } else { bytes.len() / 2 };
        content.now.extend_from_slice(&bytes[..come]);
        cut
    }

    /// What a machine finds when it comes up again.
    pub fn after_power_loss(&self, draws: &mut Pcg32) -> Disk {
        let state = self.state.borrow();
        let mut names = state.synced.clone();
        for change in &state.pending {
            if draws.next_u32().is_multiple_of(2) {
                change.apply(&mut names);
            }
        }
        let torn = |content: &Content, draws: &mut Pcg32| {
            let (least, most) = (content.kept, content.now.len().max(content.kept));
            let length = match draws.next_u32() % 3 {
                0 => content.synced.len(),
                1 => content.now.len(),
                _ => least + draws.next_u32() as usize % (most - least + 1),
            };
            let mut bytes = vec![0; length];
            for (n, sector) in bytes.chunks_mut(SECTOR).enumerate() {
                let from = if draws.next_u32().is_multiple_of(2) { &content.synced } else { &content.now };
                let there = from.get(n * SECTOR..).unwrap_or_default();
                let count = sector.len().min(there.len());
                sector[..count].copy_from_slice(&there[..count]);
            }
            bytes
        };
        let contents = state.contents.iter().map(|content| {
            let bytes =
                if content.synced == content.now { content.now.clone() } else { torn(content, draws) };
            Content { synced: bytes.clone(), kept: bytes.len(), now: bytes }
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
        self.put(name, bytes, false)
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.put(name, bytes, true)
    }

    fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        let mut state = self.state.borrow_mut();
        let content = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let content = &mut state.contents[content];
        content.now.truncate(length as usize);
        content.kept = content.kept.min(length as usize);
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        self.step()?;
        let mut state = self.state.borrow_mut();
        let content = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let content = &mut state.contents[content];
        content.synced = content.now.clone();
        content.kept = content.now.len();
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let mut state = self.state.borrow_mut();
        let content = *state.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        // One change on the disk: the new name appears with the old one's going, or before it.
        state.name(Naming::Link(to.to_owned(), content));
        state.name(Naming::Unlink(from.to_owned()));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.step()?;
        self.state.borrow_mut().name(Naming::Unlink(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.step()?;
        let mut state = self.state.borrow_mut();
        state.synced = state.names.clone();
        state.pending.clear();
        Ok(())
    }
}
