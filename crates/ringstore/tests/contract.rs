//! What every store must keep, on a disk and in memory.

use runtrack_ringstore::{Files, Folder, Memory, Ring};
use std::path::PathBuf;

const ROOM: usize = 4096;

/// A folder of this test run that goes away with it.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ringstore-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path); // of a run that was killed
        std::fs::create_dir_all(&path).expect("a folder");
        Scratch(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn newest<F: Files + Clone>(files: &F) -> Option<Vec<u8>> {
    Ring::open(files.clone(), "value", ROOM).expect("it opens").1
}

fn contract<F: Files + Clone>(files: F) {
    assert_eq!(newest(&files), None, "an empty disk has no record");
    let (mut ring, _) = Ring::open(files.clone(), "value", ROOM).expect("it opens");
    for number in 0..20u8 {
        ring.append(&vec![number; 10 + number as usize]).expect("it is kept");
        assert_eq!(newest(&files), Some(vec![number; 10 + number as usize]));
    }
    ring.append(&[]).expect("an empty record is one too");
    assert_eq!(newest(&files), Some(Vec::new()));
    let long = vec![7; 3 * ROOM];
    ring.append(&long).expect("a record may outgrow its room");
    assert_eq!(newest(&files), Some(long));
    let (mut again, _) = Ring::open(files.clone(), "value", ROOM).expect("it opens");
    again.append(b"after a restart").expect("it is kept");
    assert_eq!(newest(&files).as_deref(), Some(b"after a restart".as_slice()));
    let (mut other, none) = Ring::open(files.clone(), "promise", ROOM).expect("it opens");
    assert_eq!(none, None, "rings of other names are apart");
    other.append(b"promise").expect("it is kept");
    assert_eq!(newest(&files).as_deref(), Some(b"after a restart".as_slice()));
}

#[test]
fn memory_keeps_the_contract() {
    contract(Memory::default());
}

#[test]
fn a_folder_keeps_the_contract() {
    let scratch = Scratch::new("contract");
    contract(Folder(scratch.0.clone()));
}

#[test]
fn a_write_torn_anywhere_costs_only_itself() {
    for torn in 0..60 {
        let files = Memory::default();
        let (mut ring, _) = Ring::open(files.clone(), "value", 64).expect("it opens");
        for number in 0..5u8 {
            ring.append(&[number; 30]).expect("it is kept");
        }
        files.tear_next(torn);
        let kept = ring.append(&[9; 30]).is_ok();
        assert!(!kept, "the power is lost");
        let found = newest(&files).expect("a record");
        assert!(found == [4; 30] || (torn >= 54 && found == [9; 30]), "torn after {torn}: {found:?}");
        // The same process goes on, and the one before the torn one is never overwritten first.
        ring.append(&[10; 30]).expect("it is kept");
        assert_eq!(newest(&files), Some(vec![10; 30]));
    }
}

#[test]
fn a_full_disk_refuses_writes_and_never_reading() {
    let files = Memory::default();
    let (mut ring, _) = Ring::open(files.clone(), "value", ROOM).expect("it opens");
    ring.append(b"before").expect("it is kept");
    files.set_full(true);
    assert!(ring.append(b"while full").is_err());
    assert_eq!(newest(&files).as_deref(), Some(b"before".as_slice()));
    files.set_full(false);
    ring.append(b"after").expect("it is kept");
    assert_eq!(newest(&files).as_deref(), Some(b"after".as_slice()));
}

#[test]
fn any_spoilt_byte_of_the_newest_record_is_noticed() {
    let scratch = Scratch::new("spoilt");
    let folder = Folder(scratch.0.clone());
    let (mut ring, _) = Ring::open(folder.clone(), "value", 64).expect("it opens");
    ring.append(b"the first").expect("it is kept");
    ring.append(b"the second").expect("it is kept");
    let path = scratch.0.join("value-2.ring");
    let good = std::fs::read(&path).expect("the second record's file");
    for at in 0..24 + 10 {
        let mut bad = good.clone();
        bad[at] ^= 0x20;
        std::fs::write(&path, bad).expect("it can be spoilt");
        assert_eq!(newest(&folder).as_deref(), Some(b"the first".as_slice()), "byte {at}");
    }
}
