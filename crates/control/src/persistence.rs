//! Persistent state of a single instance: the epoch, and the last list of each pool.
//!
//! The list file is a journal of lines, each a checksum and a list in discovery's format, full or changes.
//! A commit is one append and one sync. Replay stops at a truncated or corrupted line, so that a crash leaves the
//! state before or after a commit. When the journal has grown well beyond its content, it is rewritten to a new file,
//! which is synced and renamed over the old one, and the folder is synced.

use runtrack_discovery::{List, State, Target};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

const EPOCH_FILE: &str = "epoch";
const JOURNAL_FILE: &str = "lists.log";
/// A journal below this size is never rewritten.
const MIN_REWRITE_BYTES: u64 = 1 << 20;

#[derive(Serialize, Deserialize)]
struct JournalEntry {
    pool: String,
    list: List,
}

/// The journal of lists in the state folder.
pub struct ListJournal {
    folder: PathBuf,
    file: File,
    /// Size of the journal in bytes, now and after the last rewrite.
    size: u64,
    compacted_size: u64,
    /// A commit has failed: its lists are missing until the next rewrite.
    incomplete: bool,
}

/// Returns a new epoch, higher than all before, and persists it.
///
/// The file is replaced durably before the epoch is used, so that no two starts share one, whenever they crash.
pub fn next_epoch(folder: &Path) -> io::Result<u64> {
    let path = folder.join(EPOCH_FILE);
    let last = match std::fs::read_to_string(&path) {
        Ok(text) => {
            let problem = || format!("{}: `{}` is not a number", path.display(), text.trim());
            text.trim().parse::<u64>().map_err(|_| io::Error::new(io::ErrorKind::InvalidData, problem()))?
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => 0,
        Err(e) => return Err(e),
    };
    // At least the clock: after the loss of the folder no old epoch may be used again.
    let epoch = (last + 1).max(clock_epoch());
    replace_file(folder, EPOCH_FILE, format!("{epoch}\n").as_bytes())?;
    Ok(epoch)
}

/// An epoch without a state folder: Unix time in microseconds. Unique per start unless the clock is set back.
pub fn clock_epoch() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Replaces the file of this name durably and atomically.
pub fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let new = folder.join(format!("{name}.new"));
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&new, folder.join(name))?;
    File::open(folder)?.sync_all()
}

impl ListJournal {
    /// Opens the folder, creating it if missing, and reads each pool's list.
    pub fn open(folder: &Path) -> io::Result<(ListJournal, BTreeMap<String, List>)> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join(JOURNAL_FILE);
        let mut bytes = Vec::new();
        match File::open(&path) {
            Ok(mut file) => drop(file.read_to_end(&mut bytes)?),
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
        let (lists, valid_bytes) = replay(&bytes);
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        // Removes a partial line left by a crash before the next one is appended.
        file.set_len(valid_bytes)?;
        file.sync_all()?;
        File::open(folder)?.sync_all()?;
        Ok((
            ListJournal {
                folder: folder.to_owned(),
                file,
                size: valid_bytes,
                compacted_size: valid_bytes,
                incomplete: false,
            },
            lists,
        ))
    }

    /// Appends lists, full or changes, with one write and one sync.
    pub fn commit(&mut self, lists: Vec<(String, List)>) -> io::Result<()> {
        let mut bytes = Vec::new();
        for (pool, list) in lists {
            bytes.extend(encode_entry(&JournalEntry { pool, list })?);
        }
        if let Err(problem) = self.file.write_all(&bytes).and_then(|()| self.file.sync_data()) {
            // Removes a partially written line.
            let _ = self.file.set_len(self.size);
            self.incomplete = true;
            return Err(problem);
        }
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Whether the journal needs a rewrite: it is large for its content, or lacks a failed commit.
    pub fn needs_rewrite(&self) -> bool {
        self.incomplete || self.size > MIN_REWRITE_BYTES && self.size > 4 * self.compacted_size
    }

    /// Rewrites the journal with just these lists.
    pub fn rewrite(&mut self, lists: impl IntoIterator<Item = (String, List)>) -> io::Result<()> {
        let mut bytes = Vec::new();
        for (pool, list) in lists {
            bytes.extend(encode_entry(&JournalEntry { pool, list })?);
        }
        replace_file(&self.folder, JOURNAL_FILE, &bytes)?;
        self.file = OpenOptions::new().append(true).open(self.folder.join(JOURNAL_FILE))?;
        (self.size, self.compacted_size, self.incomplete) = (bytes.len() as u64, bytes.len() as u64, false);
        Ok(())
    }
}

fn encode_entry(entry: &JournalEntry) -> io::Result<Vec<u8>> {
    let text = serde_json::to_string(entry)?;
    Ok(format!("{:016x} {text}\n", checksum(text.as_bytes())).into_bytes())
}

/// FNV-1a: detects truncation and bit flips, not tampering.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Replays a journal; returns its lists and the number of valid bytes.
fn replay(bytes: &[u8]) -> (BTreeMap<String, List>, u64) {
    let mut pools: BTreeMap<String, (u64, BTreeMap<String, Target>)> = BTreeMap::new();
    let mut valid_bytes = 0;
    for text in bytes.split_inclusive(|&b| b == b'\n') {
        let Some(JournalEntry { pool, list }) = parse_entry(text) else { break };
        let (rev, targets) = pools.entry(pool).or_default();
        *rev = list.rev;
        if list.all {
            targets.clear();
        }
        for target in list.targets {
            match target.state {
                State::Removed => drop(targets.remove(&target.uid)),
                _ => drop(targets.insert(target.uid.clone(), target)),
            }
        }
        valid_bytes += text.len() as u64;
    }
    let list = |(rev, targets): (u64, BTreeMap<String, Target>)| List {
        rev,
        all: true,
        targets: targets.into_values().collect(),
    };
    (pools.into_iter().map(|(pool, state)| (pool, list(state))).collect(), valid_bytes)
}

fn parse_entry(text: &[u8]) -> Option<JournalEntry> {
    let text = std::str::from_utf8(text).ok()?.strip_suffix('\n')?;
    let (sum, json) = text.split_once(' ')?;
    let valid = sum.len() == 16 && u64::from_str_radix(sum, 16).ok()? == checksum(json.as_bytes());
    if valid { serde_json::from_str(json).ok() } else { None }
}

#[cfg(test)]
mod tests {
    use super::*;
    use runtrack_testkit::{TempDir, target};

    fn at(port: u16) -> std::net::SocketAddr {
        ([127, 0, 0, 1], port).into()
    }

    fn commits() -> Vec<(String, List)> {
        let drains = Target { state: State::Draining, ..target("b", at(2), "z") };
        let gone = Target { state: State::Removed, ..target("a", at(1), "z") };
        let changes = |rev, targets| List { rev, all: false, targets };
        vec![
            ("p".to_owned(), changes(1, vec![target("a", at(1), "z"), target("b", at(2), "z")])),
            ("q".to_owned(), changes(5, vec![target("x", at(3), "")])),
            ("p".to_owned(), changes(2, vec![drains])),
            ("p".to_owned(), changes(3, vec![gone, target("c", at(4), "ü")])),
        ]
    }

    fn write_commits(folder: &TempDir) -> Vec<u8> {
        let (mut journal, lists) = ListJournal::open(folder.path()).expect("a new folder");
        assert!(lists.is_empty());
        for commit in commits() {
            journal.commit(vec![commit]).expect("written");
        }
        std::fs::read(folder.path().join(JOURNAL_FILE)).expect("there")
    }

    #[test]
    fn committed_lists_are_read_back() {
        let folder = TempDir::new();
        write_commits(&folder);
        let (_, lists) = ListJournal::open(folder.path()).expect("sound");
        let uids: Vec<&str> = lists["p"].targets.iter().map(|t| t.uid.as_str()).collect();
        assert_eq!((uids, lists["p"].rev, lists["p"].all), (vec!["b", "c"], 3, true));
        assert_eq!(lists["p"].targets[0].state, State::Draining);
        assert_eq!(lists["q"].targets.len(), 1);
    }

    /// The replayed state after each commit.
    fn states(bytes: &[u8]) -> Vec<String> {
        let ends = bytes.iter().enumerate().filter(|&(_, &b)| b == b'\n').map(|(i, _)| i + 1);
        [0].into_iter().chain(ends).map(|end| format!("{:?}", replay(&bytes[..end]).0)).collect()
    }

    #[test]
    fn a_journal_truncated_anywhere_reads_as_whole_commits_and_accepts_more() {
        let folder = TempDir::new();
        let bytes = write_commits(&folder);
        let full = states(&bytes);
        for cut in 0..bytes.len() {
            std::fs::write(folder.path().join(JOURNAL_FILE), &bytes[..cut]).expect("written");
            let (mut journal, lists) = ListJournal::open(folder.path()).expect("readable");
            let complete = bytes[..cut].iter().filter(|&&b| b == b'\n').count();
            assert_eq!(format!("{lists:?}"), full[complete], "cut at {cut}");
            let more = List { rev: 9, all: false, targets: vec![target("n", at(9), "")] };
            journal.commit(vec![("n".to_owned(), more)]).expect("written");
            let (_, lists) = ListJournal::open(folder.path()).expect("readable");
            assert_eq!(lists["n"].rev, 9, "cut at {cut}: a commit after the cut is kept");
        }
    }

    #[test]
    fn a_corrupted_byte_ends_the_replay_before_it() {
        let folder = TempDir::new();
        let bytes = write_commits(&folder);
        let full = states(&bytes);
        for place in 0..bytes.len() {
            let mut corrupted = bytes.clone();
            corrupted[place] ^= 0x08;
            let (lists, _) = replay(&corrupted);
            let before = bytes[..place].iter().filter(|&&b| b == b'\n').count();
            assert_eq!(format!("{lists:?}"), full[before], "byte {place}");
        }
    }

    #[test]
    fn a_rewritten_journal_has_the_same_content_in_less_space() {
        let folder = TempDir::new();
        let (mut journal, _) = ListJournal::open(folder.path()).expect("a new folder");
        let list = List {
            rev: 1,
            all: false,
            targets: (0..100).map(|n| target(&format!("e{n}"), at(n), "")).collect(),
        };
        let mut rewrites = 0;
        for rev in 0..1000 {
            journal.commit(vec![("p".to_owned(), List { rev, ..list.clone() })]).expect("written");
            if journal.needs_rewrite() {
                journal
                    .rewrite([("p".to_owned(), List { rev, all: true, ..list.clone() })])
                    .expect("written");
                rewrites += 1;
            }
        }
        assert!(rewrites > 2, "{rewrites}");
        let size = std::fs::metadata(folder.path().join(JOURNAL_FILE)).expect("there").len();
        assert!(size < 2 * MIN_REWRITE_BYTES, "{size} bytes");
        let (_, lists) = ListJournal::open(folder.path()).expect("sound");
        assert_eq!((lists["p"].rev, lists["p"].targets.len()), (999, 100));
    }

    #[test]
    fn a_rewrite_recovers_a_failed_commit() {
        let folder = TempDir::new();
        let (mut journal, _) = ListJournal::open(folder.path()).expect("a new folder");
        let list = |uid: &str| List { rev: 1, all: false, targets: vec![target(uid, at(1), "")] };
        journal.commit(vec![("p".to_owned(), list("a"))]).expect("written");
        journal.file = File::open(folder.path().join(JOURNAL_FILE)).expect("there"); // read-only, so that writes fail
        assert!(journal.commit(vec![("p".to_owned(), list("b"))]).is_err());
        assert!(journal.needs_rewrite());
        let full =
            List { all: true, targets: vec![target("a", at(1), ""), target("b", at(1), "")], ..list("a") };
        journal.rewrite([("p".to_owned(), full)]).expect("written");
        assert!(!journal.needs_rewrite());
        journal.commit(vec![("p".to_owned(), list("c"))]).expect("written");
        let (_, lists) = ListJournal::open(folder.path()).expect("sound");
        assert_eq!(lists["p"].targets.len(), 3);
    }

    #[test]
    fn epochs_increase_if_the_clock_is_set_back() {
        let folder = TempDir::new();
        let first = next_epoch(folder.path()).expect("written");
        assert!(first >= 1_600_000_000_000_000, "not below the clock");
        let far = first + 1_000_000_000_000;
        std::fs::write(folder.path().join(EPOCH_FILE), format!("{far}\n")).expect("written");
        assert_eq!(next_epoch(folder.path()).expect("written"), far + 1);
        assert_eq!(next_epoch(folder.path()).expect("written"), far + 2);
        std::fs::write(folder.path().join(EPOCH_FILE), "12x").expect("written");
        let problem = next_epoch(folder.path()).expect_err("no number").to_string();
        assert!(problem.contains("epoch: `12x` is not a number"), "{problem}");
    }
}
