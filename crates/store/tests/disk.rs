//! A disk that can be cut off at any operation, and what the store makes of what is left.

mod support;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use runtrack_store::{Files, Store, StoreError};
use support::*;

#[test]
fn a_commit_cut_off_anywhere_leaves_the_old_state_or_the_new() {
    let (mut old, mut new) = (0, 0);
    for versions in [0, 1, 3] {
        // `cargo bench -p runtrack-store --bench cuts` does 100,000.
        let (kept, made) = cuts(versions, 0..200);
        (old, new) = (old + kept, new + made);
    }
    assert!(old > 0 && new > 0, "{old} old, {new} new");
}

#[test]
fn making_a_store_cut_off_anywhere_leaves_none_or_an_empty_one() {
    for cut in 0..=4 {
        for seed in 0..100 {
            let disk = Disk::default();
            disk.fail(Some((cut, true)));
            let _ = Store::open_or_create(disk.clone(), "lineage-1");
            let left = disk.after_cut(&mut Pcg32::seed_from_u64(seed));
            let store = Store::open_or_create(left, "lineage-1").expect("made or there");
            assert_eq!((store.serial(), store.lineage()), (0, "lineage-1"));
        }
    }
}

#[test]
fn a_full_disk_refuses_a_commit_and_the_next_one_works() {
    for at in 0..6 {
        let disk = made(2);
        let mut store = Store::open(disk.clone()).unwrap().unwrap();
        disk.fail(Some((disk.done() + at, false)));
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
    let files: Vec<String> = disk.names();
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
    disk.write("head", head.replacen("runtrack-state 2 ", "runtrack-state 3 ", 1).as_bytes()).unwrap();
    let refused = Store::open(disk).err().expect("refused");
    assert_eq!(refused.to_string(), "head: format 3, this version reads up to 2");
}

#[test]
fn history_is_kept_to_its_bound_and_what_is_over_is_removed() {
    let versions = runtrack_store::MAX_VERSIONS as u64 + 5;
    let disk = made(versions);
    let store = Store::open(disk.clone()).unwrap().unwrap();
    assert_eq!(store.history().len(), runtrack_store::MAX_VERSIONS);
    assert_eq!(store.history()[0].serial, 6);
    assert!(matches!(store.text(5), Err(StoreError::VersionNotFound(5))));
    assert_eq!(disk.names().len(), runtrack_store::MAX_VERSIONS + 1);
    assert_eq!(whole(&disk), versions);
}

/// As the first format had it: the same head, which knew of no plans and no stages.
fn in_format_1(disk: &Disk) -> Vec<u8> {
    let head = String::from_utf8(disk.read("head").unwrap()).unwrap();
    let (_, text) = head.split_once('\n').unwrap();
    let old = runtrack_store::seal::seal("runtrack-state", 1, text);
    disk.write("head", &old).unwrap();
    disk.sync("head").unwrap();
    old
}

#[test]
fn a_head_of_the_first_format_is_read_and_the_first_commit_migrates_and_keeps_it() {
    let disk = made(2);
    let old = in_format_1(&disk);
    assert_eq!(whole(&disk), 2);
    assert_eq!(disk.read("head").unwrap(), old, "reading migrates nothing");
    let mut store = Store::open(disk.clone()).unwrap().unwrap();
    let staged = runtrack_store::CommitInfo { stages: &[1000, 10_000], ..entry("maker") };
    store.commit(2, &text(3), staged).unwrap();
    assert_eq!((whole(&disk), disk.read("head.1").unwrap()), (3, old.clone()));
    assert!(disk.read("head").unwrap().starts_with(b"runtrack-state 2 "));
    store.commit(3, &text(4), entry("maker")).unwrap();
    assert_eq!(disk.read("head.1").unwrap(), old, "it is written once");
    disk.write("head", &old).unwrap();
    assert_eq!(whole(&disk), 2, "the old head is a head");
}

#[test]
fn a_migration_cut_off_anywhere_leaves_the_old_format_or_the_new_with_the_old_kept() {
    let steps = {
        let disk = made(2);
        in_format_1(&disk);
        let from = disk.done();
        Store::open(disk.clone()).unwrap().unwrap().commit(2, &text(3), entry("maker")).unwrap();
        disk.done() - from
    };
    let (mut before, mut after) = (0, 0);
    for cut in 0..=steps {
        for seed in 0..100 {
            let disk = made(2);
            let old = in_format_1(&disk);
            disk.fail(Some((disk.done() + cut, true)));
            let _ = Store::open(disk.clone()).unwrap().unwrap().commit(2, &text(3), entry("maker"));
            let left = disk.after_cut(&mut Pcg32::seed_from_u64(seed));
            if whole(&left) == 2 {
                assert_eq!(left.read("head").unwrap(), old);
                before += 1;
            } else {
                assert_eq!(left.read("head.1").unwrap(), old);
                after += 1;
            }
        }
    }
    assert!(before > 0 && after > 0, "{before} before, {after} after");
}
