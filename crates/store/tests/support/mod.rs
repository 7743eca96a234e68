//! Stores on a simulated disk, and simulated power cuts during a commit.
#![allow(dead_code)]

use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use runtrack_store::{CommitInfo, Store};
pub use runtrack_testkit::Disk;

pub fn entry(author: &str) -> CommitInfo<'_> {
    CommitInfo { author, reason: "a test", at_ms: 1_796_000_000_000, ..CommitInfo::default() }
}

pub fn text(serial: u64) -> String {
    format!("{{\"serial\":{serial},\"pad\":\"{}\"}}", "x".repeat(serial as usize * 37 % 300))
}

/// A disk that holds a store with this many versions.
pub fn disk_with_versions(versions: u64) -> Disk {
    let disk = Disk::default();
    let mut store = Store::open_or_create(disk.clone(), "lineage-1").unwrap();
    for serial in 1..=versions {
        store.commit(serial - 1, &text(serial), entry("maker")).unwrap();
    }
    disk
}

/// Reads all versions back and checks their texts; returns the current serial.
pub fn check_all_versions(disk: &Disk) -> u64 {
    let store = Store::open(disk.clone()).expect("readable").expect("there");
    assert_eq!(store.lineage(), "lineage-1");
    for version in store.history() {
        assert_eq!(store.text(version.serial).expect("readable"), text(version.serial), "mixed states");
    }
    store.serial()
}

/// Cuts the power at each file operation of a commit, on a store with `versions` versions, once per seed: the seed
/// decides which unsynced data is lost. Returns how often the old state and how often the new state was found; any other
/// state panics.
pub fn cut_commits(versions: u64, seeds: std::ops::Range<u64>) -> (usize, usize) {
    let (mut old, mut new) = (0, 0);
    let steps = {
        let disk = disk_with_versions(versions);
        let before = disk.operations();
        let mut store = Store::open(disk.clone()).unwrap().unwrap();
        store.commit(versions, &text(versions + 1), entry("maker")).unwrap();
        disk.operations() - before
    };
    for cut in 0..=steps {
        for seed in seeds.clone() {
            let disk = disk_with_versions(versions);
            let mut store = Store::open(disk.clone()).unwrap().unwrap();
            disk.fail_at(Some((disk.operations() + cut, true)));
            let done = store.commit(versions, &text(versions + 1), entry("maker")).is_ok();
            let left = disk.after_power_loss(&mut Pcg32::seed_from_u64(seed));
            let serial = check_all_versions(&left);
            assert!(serial == versions || serial == versions + 1, "{serial} of {versions}");
            assert!(!done || serial == versions + 1, "acknowledged commit lost: cut {cut}, seed {seed}");
            (old, new) = (old + usize::from(serial == versions), new + usize::from(serial > versions));
            // Leftover files must not prevent the next commit.
            let mut store = Store::open(left.clone()).unwrap().unwrap();
            store.commit(serial, &text(serial + 1), entry("next")).unwrap();
            assert_eq!(check_all_versions(&left), serial + 1);
        }
    }
    (old, new)
}
