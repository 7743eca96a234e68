//! The store on a simulated disk that loses power, fills up or is damaged at any operation.

mod support;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use runtrack_store::{Files, Store, StoreError};
use support::*;

#[test]
fn a_power_cut_during_a_commit_leaves_the_old_or_the_new_state() {
    let (mut old, mut new) = (0, 0);
    for versions in [0, 1, 3] {
        // `cargo bench -p runtrack-store --bench cuts` runs 100,000 cuts.
        let (kept_old, committed) = cut_commits(versions, 0..200);
        (old, new) = (old + kept_old, new + committed);
    }
    assert!(old > 0 && new > 0, "{old} old, {new} new");
}

#[test]
fn a_power_cut_during_creation_leaves_no_store_or_an_empty_one() {
    for cut in 0..=4 {
        for seed in 0..100 {
            let disk = Disk::default();
            disk.fail_at(Some((cut, true)));
            let _ = Store::open_or_create(disk.clone(), "lineage-1");
            let left = disk.after_power_loss(&mut Pcg32::seed_from_u64(seed));
            let store = Store::open_or_create(left, "lineage-1").expect("made or there");
            assert_eq!((store.serial(), store.lineage()), (0, "lineage-1"));
        }
    }
}

#[test]
fn a_commit_fails_on_a_full_disk_and_the_next_one_succeeds() {
    for at in 0..6 {
        let disk = disk_with_versions(2);
        let mut store = Store::open(disk.clone()).unwrap().unwrap();
        disk.fail_at(Some((disk.operations() + at, false)));
        let refused = store.commit(2, &text(3), entry("maker"));
        assert!(matches!(refused, Err(StoreError::File { .. })), "step {at}: {refused:?}");
        let serial = check_all_versions(&disk);
        let mut store = Store::open(disk.clone()).unwrap().unwrap();
        store.commit(serial, &text(serial + 1), entry("maker")).unwrap();
        assert_eq!(check_all_versions(&disk), serial + 1);
    }
}

#[test]
fn a_flipped_byte_anywhere_is_refused_or_harmless_and_never_served() {
    let disk = disk_with_versions(3);
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
                    assert_eq!(name, "head", "opening reads only the head");
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
fn a_commit_on_an_outdated_version_is_refused_and_names_the_author() {
    let disk = disk_with_versions(7);
    let mut late = Store::open(disk.clone()).unwrap().unwrap();
    let mut first = Store::open(disk.clone()).unwrap().unwrap();
    first.commit(7, &text(8), entry("somchai")).unwrap();
    let refused = late.commit(7, "something else", entry("malee")).unwrap_err();
    let line = "the state has moved: expected serial 7, found 8 by somchai (a test)";
    assert_eq!(refused.to_string(), line);
    assert_eq!(check_all_versions(&disk), 8);
}

#[test]
fn a_file_of_a_newer_format_is_refused_with_its_number() {
    let disk = disk_with_versions(1);
    let head = String::from_utf8(disk.read("head").unwrap()).unwrap();
    disk.write("head", head.replacen("runtrack-state 2 ", "runtrack-state 3 ", 1).as_bytes()).unwrap();
    let refused = Store::open(disk).err().expect("refused");
    assert_eq!(refused.to_string(), "head: format 3, this version reads up to 2");
}

#[test]
fn history_is_bounded_and_old_versions_are_removed() {
    let versions = runtrack_store::MAX_VERSIONS as u64 + 5;
    let disk = disk_with_versions(versions);
    let store = Store::open(disk.clone()).unwrap().unwrap();
    assert_eq!(store.history().len(), runtrack_store::MAX_VERSIONS);
    assert_eq!(store.history()[0].serial, 6);
    assert!(matches!(store.text(5), Err(StoreError::VersionNotFound(5))));
    assert_eq!(disk.names().len(), runtrack_store::MAX_VERSIONS + 1);
    assert_eq!(check_all_versions(&disk), versions);
}

/// Rewrites the head in format 1, which has neither plans nor stages, and returns its bytes.
fn rewrite_head_in_format_1(disk: &Disk) -> Vec<u8> {
    let head = String::from_utf8(disk.read("head").unwrap()).unwrap();
    let (_, text) = head.split_once('\n').unwrap();
    let old = runtrack_store::seal::seal("runtrack-state", 1, text);
    disk.write("head", &old).unwrap();
    disk.sync("head").unwrap();
    old
}

#[test]
fn a_format_1_head_is_read_and_kept_by_the_first_commit() {
    let disk = disk_with_versions(2);
    let old = rewrite_head_in_format_1(&disk);
    assert_eq!(check_all_versions(&disk), 2);
    assert_eq!(disk.read("head").unwrap(), old, "reading migrates nothing");
    let mut store = Store::open(disk.clone()).unwrap().unwrap();
    let staged = runtrack_store::CommitInfo { stages: &[1000, 10_000], ..entry("maker") };
    store.commit(2, &text(3), staged).unwrap();
    assert_eq!((check_all_versions(&disk), disk.read("head.1").unwrap()), (3, old.clone()));
    assert!(disk.read("head").unwrap().starts_with(b"runtrack-state 2 "));
    store.commit(3, &text(4), entry("maker")).unwrap();
    assert_eq!(disk.read("head.1").unwrap(), old, "it is written once");
    disk.write("head", &old).unwrap();
    assert_eq!(check_all_versions(&disk), 2, "the kept head can be restored");
}

#[test]
fn a_power_cut_during_a_migration_leaves_the_old_or_the_new_format() {
    let steps = {
        let disk = disk_with_versions(2);
        rewrite_head_in_format_1(&disk);
        let from = disk.operations();
        Store::open(disk.clone()).unwrap().unwrap().commit(2, &text(3), entry("maker")).unwrap();
        disk.operations() - from
    };
    let (mut before, mut after) = (0, 0);
    for cut in 0..=steps {
        for seed in 0..100 {
            let disk = disk_with_versions(2);
            let old = rewrite_head_in_format_1(&disk);
            disk.fail_at(Some((disk.operations() + cut, true)));
            let _ = Store::open(disk.clone()).unwrap().unwrap().commit(2, &text(3), entry("maker"));
            let left = disk.after_power_loss(&mut Pcg32::seed_from_u64(seed));
            if check_all_versions(&left) == 2 {
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
