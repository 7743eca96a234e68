//! The contract of every implementation of `Files`, on a disk and in memory.

use runtrack_record_store::{Files, Folder, Memory, RecordStore};
use std::path::PathBuf;

const PREALLOCATED: usize = 4096;

/// A temporary folder that is removed on drop.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("record-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path); // left by a killed run
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
    RecordStore::open(files.clone(), "value", PREALLOCATED).expect("it opens").1
}

fn contract<F: Files + Clone>(files: F) {
    assert_eq!(newest(&files), None, "an empty disk has no record");
    let (mut store, _) = RecordStore::open(files.clone(), "value", PREALLOCATED).expect("it opens");
    for number in 0..20u8 {
        store.append(&vec![number; 10 + number as usize]).expect("the record is written");
        assert_eq!(newest(&files), Some(vec![number; 10 + number as usize]));
    }
    store.append(&[]).expect("an empty record is one too");
    assert_eq!(newest(&files), Some(Vec::new()));
    let long = vec![7; 3 * PREALLOCATED];
    store.append(&long).expect("a record may exceed the preallocated length");
    assert_eq!(newest(&files), Some(long));
    let (mut again, _) = RecordStore::open(files.clone(), "value", PREALLOCATED).expect("it opens");
    again.append(b"after a restart").expect("the record is written");
    assert_eq!(newest(&files).as_deref(), Some(b"after a restart".as_slice()));
    let (mut other, none) = RecordStore::open(files.clone(), "promise", PREALLOCATED).expect("it opens");
    assert_eq!(none, None, "stores of other names are apart");
    other.append(b"promise").expect("the record is written");
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
        let (mut store, _) = RecordStore::open(files.clone(), "value", 64).expect("it opens");
        for number in 0..5u8 {
            store.append(&[number; 30]).expect("the record is written");
        }
        files.tear_next(torn);
        let kept = store.append(&[9; 30]).is_ok();
        assert!(!kept, "the write is torn");
        let found = newest(&files).expect("a record");
        assert!(found == [4; 30] || (torn >= 54 && found == [9; 30]), "torn after {torn}: {found:?}");
        // The same process continues, and the record before the torn one is not overwritten first.
        store.append(&[10; 30]).expect("the record is written");
        assert_eq!(newest(&files), Some(vec![10; 30]));
    }
}

#[test]
fn a_full_disk_refuses_writes_and_never_reading() {
    let files = Memory::default();
    let (mut store, _) = RecordStore::open(files.clone(), "value", PREALLOCATED).expect("it opens");
    store.append(b"before").expect("the record is written");
    files.set_full(true);
    assert!(store.append(b"while full").is_err());
    assert_eq!(newest(&files).as_deref(), Some(b"before".as_slice()));
    files.set_full(false);
    store.append(b"after").expect("the record is written");
    assert_eq!(newest(&files).as_deref(), Some(b"after".as_slice()));
}

#[test]
fn any_corrupted_byte_of_the_newest_record_is_detected() {
    let scratch = Scratch::new("corrupted");
    let folder = Folder(scratch.0.clone());
    let (mut store, _) = RecordStore::open(folder.clone(), "value", 64).expect("it opens");
    store.append(b"the first").expect("the record is written");
    store.append(b"the second").expect("the record is written");
    let path = scratch.0.join("value-2.ring");
    let good = std::fs::read(&path).expect("the second record's file");
    for at in 0..24 + 10 {
        let mut bad = good.clone();
        bad[at] ^= 0x20;
        std::fs::write(&path, bad).expect("it can be corrupted");
        assert_eq!(newest(&folder).as_deref(), Some(b"the first".as_slice()), "byte {at}");
    }
}

#[test]
fn the_name_of_a_file_that_a_killed_process_made_is_synced_before_a_record_in_it_counts() {
    let files = Memory::default();
    let (mut store, _) = RecordStore::open(files.clone(), "value", PREALLOCATED).expect("it opens");
    // The process is killed once it has written the file, and before the folder is synced.
    files.fail_next_sync_of_names();
    assert!(store.append(b"not acknowledged").is_err());
    let (mut store, _) = RecordStore::open(files.clone(), "value", PREALLOCATED).expect("it opens");
    for record in [b"the first", b"a second ", b"the third"] {
        store.append(record).expect("the record is written");
        files.lose_power();
        assert_eq!(newest(&files).as_deref(), Some(record.as_slice()));
    }
}

#[test]
fn a_name_whose_sync_failed_is_synced_by_the_next_write() {
    let files = Memory::default();
    let (mut store, _) = RecordStore::open(files.clone(), "value", PREALLOCATED).expect("it opens");
    files.fail_next_sync_of_names();
    assert!(store.append(b"refused").is_err());
    store.append(b"kept").expect("the record is written");
    files.lose_power();
    assert_eq!(newest(&files).as_deref(), Some(b"kept".as_slice()));
}

#[test]
fn a_record_that_outgrows_its_file_on_a_full_disk_costs_only_itself() {
    let files = Memory::default();
    let (mut store, _) = RecordStore::open(files.clone(), "value", PREALLOCATED).expect("it opens");
    for number in 0..3u8 {
        store.append(&[number; 100]).expect("the record is written");
    }
    // Space for one more byte than the files have: a larger record must make its file grow, and that stops half-way.
    files.set_capacity(Some(3 * PREALLOCATED + 1));
    let large = vec![7; 2 * PREALLOCATED];
    for _ in 0..5 {
        assert!(store.append(&large).is_err());
        assert_eq!(newest(&files), Some(vec![2; 100]), "the newest record stays");
    }
    store
        .append(b"fits")
        .expect("what fits into the preallocated length is written on a full disk's preallocated files");
    assert_eq!(newest(&files).as_deref(), Some(b"fits".as_slice()));
    files.set_capacity(None);
    store.append(&large).expect("the record is written");
    assert_eq!(newest(&files), Some(large));
}

#[test]
fn a_file_grows_by_multiples_of_its_preallocated_length() {
    let files = Memory::default();
    let (mut store, _) = RecordStore::open(files.clone(), "value", PREALLOCATED).expect("it opens");
    for extra in [1, 2, 500] {
        store.append(&vec![1; PREALLOCATED + extra]).expect("the record is written");
    }
    assert_eq!(
        files.bytes(),
        3 * 2 * PREALLOCATED,
        "a record that is a little longer each time needs no growth each time"
    );
}

#[test]
fn the_longest_configuration_is_kept_and_found() {
    let scratch = Scratch::new("longest");
    let folder = Folder(scratch.0.clone());
    let (mut store, _) = RecordStore::open(folder.clone(), "value", 384 << 10).expect("it opens");
    for number in 0..4u8 {
        let long = vec![number; (8 << 20) + 20_000];
        store.append(&long).expect("the record is written");
        assert!(newest(&folder) == Some(long), "record {number}");
    }
}

#[test]
fn a_record_that_was_synced_and_is_damaged_gives_way_to_the_one_before() {
    // The disk can't distinguish this from a torn write; the member must learn from the others what it has lost.
    let files = Memory::default();
    let (mut store, _) = RecordStore::open(files.clone(), "value", 64).expect("it opens");
    for number in 0..5u8 {
        store.append(&[number; 30]).expect("the record is written");
    }
    files.corrupt("value-2.ring", 40);
    assert_eq!(newest(&files), Some(vec![3; 30]));
    files.truncate("value-1.ring", 50);
    assert_eq!(newest(&files), Some(vec![2; 30]));
    files.truncate("value-0.ring", 0);
    assert_eq!(newest(&files), None);
}

#[test]
fn an_older_copy_of_the_disk_is_recovered_as_it_was() {
    let files = Memory::default();
    let (mut store, _) = RecordStore::open(files.clone(), "value", 64).expect("it opens");
    store.append(b"old").expect("the record is written");
    let snapshot = files.snapshot();
    for _ in 0..4 {
        store.append(b"new").expect("the record is written");
    }
    files.restore(&snapshot);
    let (mut store, found) = RecordStore::open(files.clone(), "value", 64).expect("it opens");
    assert_eq!(found.as_deref(), Some(b"old".as_slice()));
    store.append(b"later").expect("the record is written");
    assert_eq!(newest(&files).as_deref(), Some(b"later".as_slice()));
}

/// The bytes of a record reach the disk, and its sync fails.
fn append_whose_sync_fails(files: &Memory, store: &mut RecordStore<Memory>, record: &[u8]) {
    files.tear_next(usize::MAX);
    assert!(store.append(record).is_err(), "its sync fails");
}

#[test]
fn a_record_whose_sync_failed_is_discarded_before_a_restart_finds_it() {
    let files = Memory::default();
    let (mut store, _) = RecordStore::open(files.clone(), "value", PREALLOCATED).expect("it opens");
    store.append(b"before").expect("the record is written");
    append_whose_sync_fails(&files, &mut store, b"refused");
    assert_eq!(
        newest(&files).as_deref(),
        Some(b"refused".as_slice()),
        "the failed record would be recovered"
    );
    store.discard_failed_write().expect("the disk takes it");
    assert_eq!(newest(&files).as_deref(), Some(b"before".as_slice()));
    store.append(b"after").expect("the record is written");
    store.discard_failed_write().expect("there is nothing to do");
    assert_eq!(newest(&files).as_deref(), Some(b"after".as_slice()));
}

#[test]
fn a_failed_record_that_a_full_disk_keeps_is_discarded_once_there_is_space() {
    let files = Memory::default();
    let (mut store, _) = RecordStore::open(files.clone(), "value", PREALLOCATED).expect("it opens");
    append_whose_sync_fails(&files, &mut store, b"refused");
    files.set_full(true);
    assert!(store.discard_failed_write().is_err(), "the failed record can't be discarded");
    files.set_full(false);
    store.discard_failed_write().expect("the disk takes it");
    assert_eq!(newest(&files), None, "there was none before it");
}
