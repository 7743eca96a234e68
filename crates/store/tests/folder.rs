//! The store on a real folder: locks, kills, read-only.

use runtrack_store::{CommitInfo, Folder, Lock, Store, StoreError};
use std::path::PathBuf;

/// A folder of its own, removed at the end.
struct Place(PathBuf);

impl Place {
    fn new(name: &str) -> Place {
        let path = std::env::temp_dir().join(format!("runtrack-store-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Place(path)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn what_is_committed_is_there_for_the_next_who_opens() {
    let place = Place::new("there");
    let mut store = Store::open_or_create(Folder::new(&place.0).unwrap(), "l").unwrap();
    let entry = CommitInfo { author: "somchai", reason: "songkran", at_ms: 7, ..CommitInfo::default() };
    let version = store.commit(0, "one", entry).unwrap().clone();
    assert_eq!((version.serial, &version.parent[..]), (1, ""));
    let next = store.commit(1, "two", entry).unwrap().clone();
    assert_eq!(next.parent, version.hash);
    let store = Store::open(Folder::new(&place.0).unwrap()).unwrap().unwrap();
    assert_eq!(store.history(), [version, next]);
    assert_eq!((store.text(1).unwrap(), store.text(2).unwrap()), ("one".to_owned(), "two".to_owned()));
}

#[test]
fn a_second_writer_is_told_who_has_the_lock_and_gets_it_afterwards() {
    let place = Place::new("lock");
    let held = Lock::acquire(&place.0, "somchai on kiosk-1, pid 7").unwrap();
    let refused = Lock::acquire(&place.0, "malee").err().expect("refused");
    assert_eq!(refused.to_string(), "locked by somchai on kiosk-1, pid 7");
    drop(held);
    Lock::acquire(&place.0, "malee").unwrap();
}

#[test]
fn of_writers_that_race_each_serial_goes_to_one() {
    const WRITERS: usize = 8;
    const EACH: usize = 10;
    let place = Place::new("race");
    Store::open_or_create(Folder::new(&place.0).unwrap(), "l").unwrap();
    std::thread::scope(|scope| {
        for writer in 0..WRITERS {
            let path = &place.0;
            scope.spawn(move || {
                let mut done = 0;
                while done < EACH {
                    let _lock = match Lock::acquire(path, &format!("writer {writer}")) {
                        Ok(lock) => lock,
                        Err(StoreError::Locked(_)) => {
                            std::thread::yield_now();
                            continue;
                        }
                        Err(e) => panic!("{e}"),
                    };
                    let mut store = Store::open(Folder::new(path).unwrap()).unwrap().unwrap();
                    let (on, author) = (store.serial(), format!("writer {writer}"));
                    let entry =
                        CommitInfo { author: &author, reason: "race", at_ms: 0, ..CommitInfo::default() };
                    store.commit(on, &format!("{writer} {done}"), entry).unwrap();
                    done += 1;
                }
            });
        }
    });
    let store = Store::open(Folder::new(&place.0).unwrap()).unwrap().unwrap();
    assert_eq!(store.serial(), (WRITERS * EACH) as u64);
    for version in store.history() {
        let text = store.text(version.serial).unwrap();
        assert!(version.author.ends_with(text.split(' ').next().unwrap()), "{version:?}: {text}");
    }
}

#[test]
fn a_folder_in_which_nothing_can_be_written_is_refused() {
    let place = Place::new("refused");
    // A folder stands where the head would go: it can be neither read nor replaced, whoever runs this.
    std::fs::create_dir(place.0.join("head")).unwrap();
    let refused = Store::open_or_create(Folder::new(&place.0).unwrap(), "l").err().expect("refused");
    assert!(matches!(refused, StoreError::File { ref file, .. } if file == "head"), "{refused}");
}
