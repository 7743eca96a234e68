//! Records on a member's disk in the current and the first format, and recovery from damaged ones.

mod support;

use deku::DekuContainerWrite;
use runtrack_message::{Ballot, RequestDigest};
use runtrack_register::{
    Acceptor, ConfigAnswer, ConfigRequest, Decision, PromiseRecord, Recovery, ValueRecord,
    legacy_request_digest, members_of, recover, request_digest,
};
use std::rc::Rc;
use support::{Cluster, member, request};

const BODY: &[u8] = b"{\"version\":12}";

/// A value's record in the first format: incarnation 5, ballot 3 of boot 9, sequence 7, version 12, one set with
/// one member, one applied request, the body.
const FIRST_FORMAT: [u8; 100] = [
    0x05, 0, 0, 0, 0, 0, 0, 0, 0x03, 0, 0, 0, 0, 0, 0, 0, 0x09, 0, 0, 0, 0, 0, 0, 0, 0x07, 0, 0, 0, 0, 0,
    0, 0, 0x0c, 0, 0, 0, 0, 0, 0, 0, 0x01, 0, 0, 0, 0x01, 0, 0, 0, 0x01, 0, 0, 0x0a, 0x58, 0x1b, 0x05, 0,
    0, 0, 0, 0, 0, 0, 0x01, 0, 0, 0, 0x0c, 0, 0, 0, 0, 0, 0, 0, 0x6b, 0xf7, 0xd8, 0xf3, 0x02, 0xf3, 0x96,
    0x61, 0x0e, 0, 0, 0, 0x7b, 0x22, 0x76, 0x65, 0x72, 0x73, 0x69, 0x6f, 0x6e, 0x22, 0x3a, 0x31, 0x32,
    0x7d,
];
/// A promise record: incarnation 5, ballot 4 of boot 8.
const PROMISE: [u8; 24] = [0x05, 0, 0, 0, 0, 0, 0, 0, 0x04, 0, 0, 0, 0, 0, 0, 0, 0x08, 0, 0, 0, 0, 0, 0, 0];

fn old_disk() -> Acceptor {
    match recover(Some(&PROMISE), Some(&FIRST_FORMAT)) {
        Recovery::Member(acceptor) => acceptor,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_disk_of_the_first_format_is_decoded() {
    let acceptor = old_disk();
    let accepted = acceptor.accepted().expect("a value");
    assert_eq!(acceptor.incarnation(), 5);
    assert_eq!(acceptor.promised(), Ballot { round: 4, boot: 8 });
    assert_eq!(accepted.ballot, Ballot { round: 3, boot: 9 });
    assert_eq!((accepted.value.sequence, accepted.value.version, accepted.value.floor), (7, 12, 0));
    assert_eq!(accepted.value.config.as_slice(), BODY);
    assert_eq!(members_of(&accepted.value), [member(0, 5)].into_iter().collect());
}

#[test]
fn a_request_applied_in_the_first_format_is_acknowledged_again() {
    let mut value = (*old_disk().accepted().expect("a value").value).clone();
    let repeated = ConfigRequest::replace(11, 12, BODY.to_vec());
    assert_eq!(repeated.decide(Some(&value), &[]), (Decision::Read, ConfigAnswer::Applied));
    let rival = ConfigRequest::replace(11, 12, b"another".to_vec());
    assert_eq!(rival.decide(Some(&value), &[]).1, ConfigAnswer::VersionMismatch(12));
    let (Decision::Propose(next), _) = request(12, 13).decide(Some(&value), &[]) else {
        panic!("it is applied")
    };
    value = next;
    assert_eq!(repeated.decide(Some(&value), &[]).1, ConfigAnswer::Applied);
}

#[test]
fn a_full_table_of_the_first_format_sets_the_floor_at_its_oldest_version() {
    const COUNT: u8 = 0x3e;
    let mut bytes = FIRST_FORMAT[..usize::from(COUNT)].to_vec();
    bytes.extend(512u32.to_le_bytes());
    for version in 101..=612u64 {
        bytes.extend(version.to_le_bytes());
        bytes.extend(version.to_le_bytes());
    }
    bytes.extend(0u32.to_le_bytes());
    let record = ValueRecord::read(&bytes).expect("a record");
    assert_eq!(record.value.floor, 100);
    assert_eq!(record.value.applied.items()[0].digest, RequestDigest::from_legacy(101));
    assert_eq!(request(90, 100).decide(Some(&record.value), &[]).1, ConfigAnswer::Indeterminate);
}

#[test]
fn records_round_trip() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    let value = cluster.read(0);
    let record = ValueRecord { incarnation: 5, ballot: Ballot { round: 3, boot: 9 }, value };
    let bytes = record.to_bytes().expect("it can be written");
    assert_eq!(&bytes[..8], b"RTVALUE2");
    assert_eq!(ValueRecord::read(&bytes).expect("it can be read"), record);
    for end in 0..bytes.len() {
        assert!(ValueRecord::read(&bytes[..end]).is_err(), "cut short at {end}");
    }
}

#[test]
fn a_damaged_disk_recovers_no_member() {
    assert_eq!(recover(None, None), Recovery::Empty);
    assert_eq!(recover(None, Some(&FIRST_FORMAT)), Recovery::Damaged, "its promise is gone");
    assert_eq!(recover(Some(&PROMISE), Some(b"RTVALUE3")), Recovery::Damaged, "of a format yet to come");
    assert_eq!(recover(Some(&PROMISE), Some(&FIRST_FORMAT[..60])), Recovery::Damaged);
    assert_eq!(recover(Some(&PROMISE[..20]), None), Recovery::Damaged);
}

#[test]
fn a_value_of_another_incarnation_is_ignored() {
    let promise = PromiseRecord { incarnation: 6, promised: Ballot::default() };
    let Recovery::Member(acceptor) =
        recover(Some(&promise.to_bytes().expect("it can be written")), Some(&FIRST_FORMAT))
    else {
        panic!("a member")
    };
    assert_eq!((acceptor.incarnation(), acceptor.accepted()), (6, None));
    let mut acceptor = acceptor;
    let old = old_disk().accepted().expect("a value").clone();
    assert!(acceptor.adopt_committed(old.ballot, Rc::clone(&old.value)).is_some());
}

#[test]
fn the_digest_is_truncated_sha_256_of_base_and_body() {
    let expected =
        [0x41, 0x26, 0x7c, 0xfe, 0x2b, 0xaf, 0x93, 0xb6, 0x12, 0xa1, 0x29, 0x24, 0xda, 0x07, 0xd5, 0x85];
    assert_eq!(request_digest(11, BODY), RequestDigest(expected));
    assert_ne!(request_digest(1, b"x"), request_digest(2, b"x"), "the base is part of it");
    assert_ne!(request_digest(1, b"x"), request_digest(1, b"y"));
    assert_ne!(legacy_request_digest(1, b"x"), legacy_request_digest(2, b"x"));
    assert_ne!(legacy_request_digest(1, b"x"), legacy_request_digest(1, b"y"));
    assert_eq!(legacy_request_digest(1, b"x"), legacy_request_digest(1, b"x"));
    assert_eq!(legacy_request_digest(11, BODY), RequestDigest::from_legacy(0x6196_f302_f3d8_f76b));
}
