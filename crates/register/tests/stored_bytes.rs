//! Compatibility of stored bytes: a member's disk that an earlier version wrote is decoded, and the same requests produce the
//! same bytes, so that versions read each other's disks in both directions. `fixtures/member_disk` was written by
//! the version before the names of this crate's items were changed.

mod support;

use deku::DekuContainerWrite;
use runtrack_message::{Ballot, Member, Value};
use runtrack_record_store::{Files, Folder, Memory, RecordStore};
use runtrack_register::{
    ConfigAnswer, ConfigRequest, Decision, PromiseRecord, Recovery, ValueRecord, initial_value, members_of,
    recover, replace_members, sets_of,
};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use support::member;

const INCARNATION: u64 = 0x0123_4567_89ab_cdef;
/// Preallocated length of a file in the fixture, in bytes.
const PREALLOCATED: usize = 64;
const CONFIG: &[u8] = br#"{"version":12,"routes":[]}"#;
const NEXT_CONFIG: &[u8] = br#"{"version":15,"routes":[{"name":"a"}]}"#;

fn ballot(round: u64) -> Ballot {
    Ballot { round, boot: 0xfedc_ba98_7654_3210 }
}

fn set(members: &[(u8, u64)]) -> BTreeSet<Member> {
    members.iter().map(|(index, incarnation)| member(*index, *incarnation)).collect()
}

fn proposed(decision: Decision) -> Value {
    match decision {
        Decision::Propose(value) => value,
        Decision::Read => panic!("the request proposes a value"),
    }
}

fn requests() -> [ConfigRequest; 2] {
    [ConfigRequest::replace(0, 12, CONFIG.to_vec()), ConfigRequest::replace(12, 15, NEXT_CONFIG.to_vec())]
}

/// The initial value, a configuration, the first half of a membership change, and another configuration on top of it.
fn values() -> Vec<Value> {
    let first = initial_value(&set(&[(0, 5), (1, 0), (2, 9)]));
    let [one, other] = requests();
    let configured = proposed(one.decide(Some(&first), &[]).0);
    let joint = proposed(replace_members(&configured, &set(&[(0, 5), (1, 0), (3, INCARNATION)])));
    let reconfigured = proposed(other.decide(Some(&joint), &[]).0);
    vec![first, configured, joint, reconfigured]
}

fn value_records() -> Vec<ValueRecord> {
    let record = |(round, value)| ValueRecord { incarnation: INCARNATION, ballot: ballot(round), value };
    (1..).zip(values()).map(record).collect()
}

fn promise_records() -> Vec<PromiseRecord> {
    (1..=5).map(|round| PromiseRecord { incarnation: INCARNATION, promised: ballot(round) }).collect()
}

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/member_disk")
}

fn newest<F: Files>(files: F, name: &'static str) -> Vec<u8> {
    RecordStore::open(files, name, PREALLOCATED).expect("the folder opens").1.expect("a record")
}

#[test]
fn records_of_an_earlier_version_are_decoded() {
    let promise = newest(Folder(fixture()), "promise");
    assert_eq!(PromiseRecord::read(&promise).ok(), promise_records().pop());
    let value = newest(Folder(fixture()), "value");
    assert_eq!(ValueRecord::read(&value).ok(), value_records().pop());
}

#[test]
fn a_member_of_an_earlier_version_is_recovered() {
    let (promise, value) = (newest(Folder(fixture()), "promise"), newest(Folder(fixture()), "value"));
    let Recovery::Member(acceptor) = recover(Some(&promise), Some(&value)) else { panic!("a member") };
    assert_eq!((acceptor.incarnation(), acceptor.promised()), (INCARNATION, ballot(5)));
    let accepted = acceptor.accepted().expect("a value");
    assert_eq!(accepted.ballot, ballot(4));
    assert_eq!((accepted.value.version, accepted.value.sequence), (15, 3));
    assert_eq!(accepted.value.config.as_slice(), NEXT_CONFIG);
    assert_eq!(sets_of(&accepted.value).len(), 2, "the change of members is half done");
    assert_eq!(members_of(&accepted.value), set(&[(0, 5), (1, 0), (3, INCARNATION)]));
    for request in requests() {
        assert_eq!(request.decide(Some(&accepted.value), &[]), (Decision::Read, ConfigAnswer::Applied));
    }
}

#[test]
fn records_encode_to_the_same_bytes() {
    let files = Memory::default();
    let (mut promises, _) =
        RecordStore::open(files.clone(), "promise", PREALLOCATED).expect("the folder opens");
    for record in promise_records() {
        promises.append(&record.to_bytes().expect("a record")).expect("the record is written");
    }
    let (mut values, _) =
        RecordStore::open(files.clone(), "value", PREALLOCATED).expect("the folder opens");
    for record in value_records() {
        values.append(&record.to_bytes().expect("a record")).expect("the record is written");
    }
    let written = files.snapshot();
    assert_eq!(written.len(), 6);
    for (file, content) in written {
        let expected = std::fs::read(fixture().join(&file)).expect("a file of the fixture");
        assert_eq!(content, expected, "{file}");
    }
}
