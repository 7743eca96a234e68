//! Messages on the wire: encoding round trips, and malformed input is rejected without harm.

use proptest::prelude::*;
use runtrack_message::*;
use std::net::{Ipv4Addr, SocketAddrV4};

fn member(last: u8) -> Member {
    Member::new(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7660), 42)
}

fn endpoint() -> Endpoint {
    Endpoint {
        id: "i-7f3a91c2".into(),
        service: "huvo11a".into(),
        ip: u32::from(Ipv4Addr::new(10, 128, 0, 9)),
        port: 8080,
        zone: "tan-binh".into(),
        capacity: 64,
        state: EndpointState::Draining,
        warmup_left_ms: 0,
        call_seq: 4,
        models: vec![Model { name: "m".into(), version: 1 }].into(),
    }
}

fn value() -> Value {
    let set = |members: &[u8]| MemberSet::from(members.iter().map(|at| member(*at)).collect::<Vec<_>>());
    Value {
        sequence: 7,
        version: 12,
        sets: vec![set(&[1, 2, 3]), set(&[1, 2, 4])].into(),
        floor: 5,
        applied: vec![AppliedRequest { version: 12, digest: RequestDigest([9; DIGEST_BYTES]) }].into(),
        config: b"{}".to_vec().into(),
    }
}

fn samples() -> Vec<Message> {
    let ballot = Ballot { round: 3, boot: 9 };
    let hello =
        Hello { wire: WIRE_VERSION, role: Role::Agent, node: "edge-1".into(), member: Member::none() };
    let notice = StateSummary { version: 3, sequence: 4, members: vec![member(1)].into(), proxies: 8 };
    vec![
        Message::Hello(hello),
        Message::Digest(Digest { version: 3, digest: 9 }),
        Message::RangeDigests(vec![1, 2, 3].into()),
        Message::OwnBacklog(vec![PendingPrefill { endpoint: 7, tokens: 13_000 }].into()),
        Message::FleetBacklog(Vec::new().into()),
        Message::StateSummary(notice),
        Message::Fetch(3),
        Message::Config(Config { version: 3, body: b"{}".to_vec().into() }),
        Message::Entries(vec![endpoint()].into()),
        Message::Confirm(1, vec![endpoint(), endpoint()].into()),
        Message::Confirmed(1),
        Message::Suspects(vec![7, 8].into()),
        Message::Request(5, RegisterRequest::Prepare { to: 1, ballot, have: Ballot::default() }),
        Message::Request(6, RegisterRequest::Accept { to: 1, ballot, value: value() }),
        Message::Reply(5, RegisterReply::Promised { ballot, accepted: ballot }),
        Message::Reply(5, RegisterReply::PromisedWith { ballot, accepted: ballot, value: value() }),
        Message::Reply(6, RegisterReply::Accepted { ballot }),
        Message::Reply(6, RegisterReply::Rejected { ballot, promised: ballot }),
        Message::Reply(6, RegisterReply::WrongIncarnation),
        Message::Commit(ballot),
        Message::Join(member(4)),
        Message::Leave(member(4)),
        Message::Ping,
        Message::Placements(vec![PrefixPlacement { prefix: 5, endpoint: 7, part_tokens: 13_000 }].into()),
        Message::FetchPlacements,
        Message::PlacementsComplete(true),
        Message::ConfigDelta(ConfigDelta {
            base_version: 3,
            base_digest: [1; 16],
            version: 4,
            digest: [2; 16],
            length: 900,
            steps: vec![DeltaStep::Insert { length: 2 }, DeltaStep::Copy { first: 1, count: 3 }].into(),
            inserted: vec![7, 8].into(),
        }),
        Message::FetchChunkDigests(3),
        Message::ChunkDigests(ChunkDigests { version: 3, digest: [1; 16], chunks: vec![5, 6].into() }),
        Message::HeartbeatRelay(vec![7].into()),
        Message::Probe(9),
        Message::ProbeReply(ProbeReply {
            number: 9,
            accepted: ballot,
            unreachable: vec![member(3)].into(),
        }),
        Message::Watermark(member(4)),
        Message::WatermarkReply(WatermarkReply {
            member: member(4),
            remembered: Watermark { promised: ballot, accepted: ballot },
        }),
        Message::MajorityContact(true),
        Message::Inspect(7, InspectRequest { to: 42, have: ballot }),
        Message::InspectReply(7, InspectReply::Accepted(Ballot::default())),
        Message::InspectReply(7, InspectReply::AcceptedWith { ballot, value: value() }),
        Message::InspectReply(7, InspectReply::WrongIncarnation),
    ]
}

#[test]
fn what_is_written_is_read() {
    for message in samples() {
        let bytes = encode(&message).expect("it can be written");
        assert_eq!(decode(&bytes).expect("it can be read"), message);
    }
}

#[test]
fn a_truncated_message_or_one_with_trailing_bytes_is_refused() {
    for message in samples() {
        let bytes = encode(&message).expect("it can be written");
        for end in 0..bytes.len() {
            assert!(decode(&bytes[..end]).is_err(), "{message:?} up to {end}");
        }
        let longer = [bytes, vec![0]].concat();
        assert!(matches!(decode(&longer), Err(MessageError::Trailing(1))), "{message:?}");
    }
}

#[test]
fn a_length_beyond_its_bound_is_refused_before_anything_is_allocated() {
    // Records (6) that are said to be four billion.
    assert!(decode(&[6, 0xff, 0xff, 0xff, 0xff]).is_err());
    // A configuration (5) of four gigabytes.
    assert!(decode(&[[5; 1].as_slice(), &[0; 8], &[0xff; 4]].concat()).is_err());
}

#[test]
fn a_text_is_truncated_at_the_edge_of_a_character() {
    let long = "é".repeat(5000);
    let kept = Text::from(long.as_str()).as_string();
    assert!(kept.len() <= MAX_TEXT as usize);
    assert!(kept.chars().all(|letter| letter == 'é'));
}

proptest! {
    #[test]
    fn no_bytes_do_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn a_corrupted_message_does_no_harm(which in 0..samples().len(), at in any::<prop::sample::Index>(), with in any::<u8>()) {
        let mut bytes = encode(&samples()[which]).expect("it can be written");
        let at = at.index(bytes.len());
        bytes[at] = with;
        let _ = decode(&bytes);
    }
}
