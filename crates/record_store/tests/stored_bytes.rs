//! Compatibility of stored bytes: a folder that an earlier version wrote is decoded, and the same records produce the same
//! bytes, so that versions read each other's disks in both directions. `fixtures/folder` was written by the version
//! before the crate got its present name.

use runtrack_record_store::{Files, Folder, Memory, RecordStore};
use std::path::{Path, PathBuf};

const NAME: &str = "value";
/// Preallocated length of a file in the fixture, in bytes.
const PREALLOCATED: usize = 64;

/// The records in the fixture, oldest first. The folder holds the last three; the one before the last has made its file
/// grow.
fn records() -> Vec<Vec<u8>> {
    vec![b"first".to_vec(), Vec::new(), vec![0xa5; 30], (0..=99).collect(), b"the newest".to_vec()]
}

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/folder")
}

fn newest<F: Files>(files: F) -> Option<Vec<u8>> {
    RecordStore::open(files, NAME, PREALLOCATED).expect("the folder opens").1
}

#[test]
fn a_folder_of_an_earlier_version_is_read() {
    assert_eq!(newest(Folder(fixture())), records().pop());
}

#[test]
fn each_file_of_an_earlier_version_has_its_own_record() {
    let records = records();
    for (index, expected) in [(0, &records[2]), (1, &records[3]), (2, &records[4])] {
        let file = format!("{NAME}-{index}.ring");
        let alone = Memory::default();
        let content = std::fs::read(fixture().join(&file)).expect("a file of the fixture");
        alone.restore(&[(file, content)].into());
        assert_eq!(newest(alone).as_ref(), Some(expected), "file {index}");
    }
}

#[test]
fn the_same_records_make_the_same_bytes() {
    let files = Memory::default();
    let (mut store, _) = RecordStore::open(files.clone(), NAME, PREALLOCATED).expect("the folder opens");
    for record in records() {
        store.append(&record).expect("the record is written");
    }
    let written = files.snapshot();
    assert_eq!(written.len(), 3);
    for (file, content) in written {
        let expected = std::fs::read(fixture().join(&file)).expect("a file of the fixture");
        assert_eq!(content, expected, "{file}");
    }
}
