//! A disk in memory that can fail or be cut off at any operation, and what is left of it then.
#![allow(dead_code)]

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_store::{Entry, Files, Store};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// Bytes written together or not at all.
pub const SECTOR: usize = 64;

#[derive(Clone, Default)]
pub struct Content {
    pub synced: Vec<u8>,
    pub now: Vec<u8>,
}

/// A change of names that is not durable yet.
#[derive(Clone)]
pub enum Naming {
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
pub struct State {
    pub contents: Vec<Content>,
    pub names: BTreeMap<String, usize>,
    pub synced: BTreeMap<String, usize>,
    pub pending: Vec<Naming>,
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
    pub state: Rc<RefCell<State>>,
    /// Operations that change something.
    pub done: Rc<Cell<usize>>,
    /// The operation that fails, and whether all after it do.
    pub fails: Rc<Cell<Option<(usize, bool)>>>,
}

impl Disk {
    fn step(&self) -> io::Result<()> {
        let number = self.done.get();
        self.done.set(number + 1);
        match self.fails.get() {
            Some((at, false)) if number == at => Err(io::Error::from(io::ErrorKind::StorageFull)),
            Some((at, true)) if number >= at => Err(io::Error::other("cut off")),
            _ => Ok(()),
        }
    }

    /// What a machine finds when it comes up again.
    pub fn after_cut(&self, draws: &mut Pcg32) -> Disk {
        let state = self.state.borrow();
        let mut names = state.synced.clone();
        for change in &state.pending {
            if draws.next_u32().is_multiple_of(2) {
                change.apply(&mut names);
            }
        }
        let torn = |content: &Content, draws: &mut Pcg32| {
            let length = match draws.next_u32() % 3 {
                0 => content.synced.len(),
                1 => content.now.len(),
                _ => draws.next_u32() as usize % (content.now.len() + 1),
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
            Content { synced: bytes.clone(), now: bytes }
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
        // A write that fails has come half-way.
        let come = if cut.is_ok() { bytes.len() } else { bytes.len() / 2 };
        state.contents[content].now = bytes[..come].to_vec();
        cut
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        self.step()?;
        let mut state = self.state.borrow_mut();
        let content = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let content = &mut state.contents[content];
        content.synced = content.now.clone();
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

pub fn entry(author: &str) -> Entry<'_> {
    Entry { author, reason: "a test", at_ms: 1_796_000_000_000, ..Entry::default() }
}

pub fn text(serial: u64) -> String {
    format!("{{\"serial\":{serial},\"pad\":\"{}\"}}", "x".repeat(serial as usize * 37 % 300))
}

/// A disk with so many versions.
pub fn made(versions: u64) -> Disk {
    let disk = Disk::default();
    let mut store = Store::open_or_make(disk.clone(), "lineage-1").unwrap();
    for serial in 1..=versions {
        store.commit(serial - 1, &text(serial), entry("maker")).unwrap();
    }
    disk
}

/// The serial of what is there, after a look at all of it.
pub fn whole(disk: &Disk) -> u64 {
    let store = Store::open(disk.clone()).expect("readable").expect("there");
    assert_eq!(store.lineage(), "lineage-1");
    for version in store.history() {
        assert_eq!(store.text(version.serial).expect("readable"), text(version.serial), "a mix");
    }
    store.serial()
}

/// Cuts a commit off at each of its operations, with so many losses of what was not synced for each, on a store with
/// so many versions; gives how often the old state and how often the new one was there. Anything else panics.
pub fn cuts(versions: u64, seeds: std::ops::Range<u64>) -> (usize, usize) {
    let (mut old, mut new) = (0, 0);
    let steps = {
        let disk = made(versions);
        let before = disk.done.get();
        let mut store = Store::open(disk.clone()).unwrap().unwrap();
        store.commit(versions, &text(versions + 1), entry("maker")).unwrap();
        disk.done.get() - before
    };
    for cut in 0..=steps {
        for seed in seeds.clone() {
            let disk = made(versions);
            let mut store = Store::open(disk.clone()).unwrap().unwrap();
            disk.fails.set(Some((disk.done.get() + cut, true)));
            let done = store.commit(versions, &text(versions + 1), entry("maker")).is_ok();
            let left = disk.after_cut(&mut Pcg32::seed_from_u64(seed));
            let serial = whole(&left);
            assert!(serial == versions || serial == versions + 1, "{serial} of {versions}");
            assert!(!done || serial == versions + 1, "told done, and lost: cut {cut}, seed {seed}");
            (old, new) = (old + usize::from(serial == versions), new + usize::from(serial > versions));
            // What was left behind stands in nobody's way.
            let mut store = Store::open(left.clone()).unwrap().unwrap();
            store.commit(serial, &text(serial + 1), entry("next")).unwrap();
            assert_eq!(whole(&left), serial + 1);
        }
    }
    (old, new)
}
