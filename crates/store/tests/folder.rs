//! The store on a real folder: commits, the lock, racing writers, a folder that cannot be written.

use runtrack_store::{CommitInfo, Folder, Lock, Store, StoreError};
use std::path::PathBuf;

/// A temporary folder, removed when dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("runtrack-store-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn committed_versions_are_read_after_reopening() {
    let folder = TempFolder::new("there");
    let mut store = Store::open_or_create(Folder::new(&folder.0).unwrap(), "l").unwrap();
    let entry = CommitInfo { author: "somchai", reason: "songkran", at_ms: 7, ..CommitInfo::default() };
    let version = store.commit(0, "one", entry).unwrap().clone();
    assert_eq!((version.serial, &version.parent[..]), (1, ""));
    let next = store.commit(1, "two", entry).unwrap().clone();
    assert_eq!(next.parent, version.hash);
    let store = Store::open(Folder::new(&folder.0).unwrap()).unwrap().unwrap();
    assert_eq!(store.history(), [version, next]);
    assert_eq!((store.text(1).unwrap(), store.text(2).unwrap()), ("one".to_owned(), "two".to_owned()));
}

#[test]
fn a_second_writer_is_told_the_lock_owner_and_can_lock_later() {
    let folder = TempFolder::new("lock");
    let held = Lock::acquire(&folder.0, "somchai on kiosk-1, pid 7").unwrap();
    let refused = Lock::acquire(&folder.0, "malee").err().expect("refused");
    assert_eq!(refused.to_string(), "locked by somchai on kiosk-1, pid 7");
    drop(held);
    Lock::acquire(&folder.0, "malee").unwrap();
}

#[test]
fn concurrent_writers_commit_distinct_serials() {
    const WRITERS: usize = 8;
    const COMMITS_PER_WRITER: usize = 10;
    let folder = TempFolder::new("race");
    Store::open_or_create(Folder::new(&folder.0).unwrap(), "l").unwrap();
    std::thread::scope(|scope| {
        for writer in 0..WRITERS {
            let path = &folder.0;
            scope.spawn(move || {
                let mut done = 0;
                while done < COMMITS_PER_WRITER {
                    let _lock = match Lock::acquire(path, &format!("writer {writer}")) {
                        Ok(lock) => lock,
                        Err(StoreError::Locked(_)) => {
                            std::thread::yield_now();
                            continue;
                        }
                        Err(e) => panic!("{e}"),
                    };
                    let mut store = Store::open(Folder::new(path).unwrap()).unwrap().unwrap();
                    let (base_serial, author) = (store.serial(), format!("writer {writer}"));
                    let entry =
                        CommitInfo { author: &author, reason: "race", at_ms: 0, ..CommitInfo::default() };
                    store.commit(base_serial, &format!("{writer} {done}"), entry).unwrap();
                    done += 1;
                }
            });
        }
    });
    let store = Store::open(Folder::new(&folder.0).unwrap()).unwrap().unwrap();
    assert_eq!(store.serial(), (WRITERS * COMMITS_PER_WRITER) as u64);
    for version in store.history() {
        let text = store.text(version.serial).unwrap();
        assert!(version.author.ends_with(text.split(' ').next().unwrap()), "{version:?}: {text}");
    }
}

#[test]
fn a_store_whose_head_cannot_be_read_is_refused() {
    let folder = TempFolder::new("refused");
    // A folder in place of the head file can be neither read nor replaced, also when the test runs as root.
    std::fs::create_dir(folder.0.join("head")).unwrap();
    let refused = Store::open_or_create(Folder::new(&folder.0).unwrap(), "l").err().expect("refused");
    assert!(matches!(refused, StoreError::File { ref file, .. } if file == "head"), "{refused}");
}
