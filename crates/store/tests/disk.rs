//! A disk that can be cut off at any operation, and what the store makes of what is left.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_store::{Entry, Files, Store, StoreError};
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
struct Disk {
    state: Rc<RefCell<State>>,
    /// Operations that change something.
    done: Rc<Cell<usize>>,
    /// The operation that fails, and whether all after it do.
    fails: Rc<Cell<Option<(usize, bool)>>>,
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
    fn after_cut(&self, draws: &mut Pcg32) -> Disk {
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

fn entry(author: &str) -> Entry<'_> {
    Entry { author, reason: "a test", at_ms: 1_796_000_000_000, plan: "" }
}

fn text(serial: u64) -> String {
    format!("{{\"serial\":{serial},\"pad\":\"{}\"}}", "x".repeat(serial as usize * 37 % 300))
}

/// A disk with so many versions.
fn made(versions: u64) -> Disk {
    let disk = Disk::default();
    let mut store = Store::open_or_make(disk.clone(), "lineage-1").unwrap();
    for serial in 1..=versions {
        store.commit(serial - 1, &text(serial), entry("maker")).unwrap();
    }
    disk
}

/// The serial of what is there, after a look at all of it.
fn whole(disk: &Disk) -> u64 {
    let store = Store::open(disk.clone()).expect("readable").expect("there");
    assert_eq!(store.lineage(), "lineage-1");
    for version in store.history() {
        assert_eq!(store.text(version.serial).expect("readable"), text(version.serial), "a mix");
    }
    store.serial()
}

#[test]
fn a_commit_cut_off_anywhere_leaves_the_old_state_or_the_new() {
    let (mut old, mut new) = (0, 0);
    for versions in [0, 1, 3] {
        let steps = {
            let disk = made(versions);
            let before = disk.done.get();
            let mut store = Store::open(disk.clone()).unwrap().unwrap();
            store.commit(versions, &text(versions + 1), entry("maker")).unwrap();
            disk.done.get() - before
        };
        for cut in 0..=steps {
            for seed in 0..200 {
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
    }
    assert!(old > 0 && new > 0, "{old} old, {new} new");
}

#[test]
fn making_a_store_cut_off_anywhere_leaves_none_or_an_empty_one() {
    for cut in 0..=4 {
        for seed in 0..100 {
            let disk = Disk::default();
            disk.fails.set(Some((cut, true)));
            let _ = Store::open_or_make(disk.clone(), "lineage-1");
            let left = disk.after_cut(&mut Pcg32::seed_from_u64(seed));
            let store = Store::open_or_make(left, "lineage-1").expect("made or there");
            assert_eq!((store.serial(), store.lineage()), (0, "lineage-1"));
        }
    }
}

#[test]
fn a_full_disk_refuses_a_commit_and_the_next_one_works() {
    for at in 0..6 {
        let disk = made(2);
        let mut store = Store::open(disk.clone()).unwrap().unwrap();
        disk.fails.set(Some((disk.done.get() + at, false)));
        let refused = store.commit(2, &text(3), entry("maker"));
        assert!(matches!(refused, Err(StoreError::File { .. })), "step {at}: {refused:?}");
        let serial = whole(&disk);
        let mut store = Store::open(disk.clone()).unwrap().unwrap();
        store.commit(serial, &text(serial + 1), entry("maker")).unwrap();
        assert_eq!(whole(&disk), serial + 1);
    }
}

#[test]
fn a_flipped_byte_anywhere_is_refused_or_harmless_and_never_served() {
    let disk = made(3);
    let files: Vec<String> = disk.state.borrow().names.keys().cloned().collect();
    assert_eq!(files, ["head", "state-0000000001", "state-0000000002", "state-0000000003"]);
    for name in files {
        let good = disk.read(&name).unwrap();
        for at in 0..good.len() {
            for flip in [0x01, 0x80] {
                let mut bad = good.clone();
                bad[at] ^= flip;
                disk.write(&name, &bad).unwrap();
                let Ok(Some(store)) = Store::open(disk.clone()) else {
                    assert_eq!(name, "head", "only the head is read at the start");
                    continue;
                };
                assert_ne!(name, "head", "byte {at}");
                for serial in 1..=3 {
                    let read = store.text(serial);
                    if name == format!("state-{serial:010}") {
                        assert!(read.is_err(), "{name}, byte {at}");
                    } else {
                        assert_eq!(read.unwrap(), text(serial));
                    }
                }
            }
        }
        disk.write(&name, &good).unwrap();
    }
}

#[test]
fn a_commit_on_a_state_that_has_moved_is_refused_and_says_who_moved_it() {
    let disk = made(7);
    let mut late = Store::open(disk.clone()).unwrap().unwrap();
    let mut first = Store::open(disk.clone()).unwrap().unwrap();
    first.commit(7, &text(8), entry("somchai")).unwrap();
    let refused = late.commit(7, "something else", entry("malee")).unwrap_err();
    let line = "the state has moved: expected serial 7, found 8 by somchai (a test)";
    assert_eq!(refused.to_string(), line);
    assert_eq!(whole(&disk), 8);
}

#[test]
fn a_file_of_a_newer_format_is_refused_with_its_number() {
    let disk = made(1);
    let head = String::from_utf8(disk.read("head").unwrap()).unwrap();
    disk.write("head", head.replacen("runtrack-state 1 ", "runtrack-state 2 ", 1).as_bytes()).unwrap();
    let refused = Store::open(disk).err().expect("refused");
    assert_eq!(refused.to_string(), "head: format 2, this version reads up to 1");
}

#[test]
fn history_is_kept_to_its_bound_and_what_is_over_is_removed() {
    let versions = runtrack_store::HISTORY as u64 + 5;
    let disk = made(versions);
    let store = Store::open(disk.clone()).unwrap().unwrap();
    assert_eq!(store.history().len(), runtrack_store::HISTORY);
    assert_eq!(store.history()[0].serial, 6);
    assert!(matches!(store.text(5), Err(StoreError::Unknown(5))));
    assert_eq!(disk.state.borrow().names.len(), runtrack_store::HISTORY + 1);
    assert_eq!(whole(&disk), versions);
}
