//! Transfer of configurations: as a delta if the base is known, by chunk digests if it is not, complete as a fallback; only once
//! over a slow link, and always complete to processes of an older version.

mod support;

use runtrack_message::{ChunkDigests, Config, ConfigDelta, DELTA_WIRE_VERSION, Message, encode};
use runtrack_registry::Replica;
use std::time::Duration;
use support::{Agent, Link, frame, in_virtual_time};

fn body(version: u64, routes: u64) -> Vec<u8> {
    let routes: Vec<String> =
        (0..routes).map(|name| format!(r#"{{"name":"route-{name}","of":{}}}"#, name / 7)).collect();
    format!(r#"{{"version":{version},"routes":[{}]}}"#, routes.join(",")).into_bytes()
}

/// The replica of a peer that had these versions.
fn peer(versions: &[u64]) -> Replica {
    let mut replica = Replica::default();
    versions.iter().for_each(|version| {
        replica.take_config(*version, body(*version, 100 + version));
    });
    replica
}

/// The next message of a kind that the agent sends.
async fn next<T>(link: &mut Link, wanted: impl Fn(Message) -> Option<T>) -> T {
    loop {
        let message = link.heard.recv().await.expect("the link is up");
        if let Some(found) = wanted(message) {
            return found;
        }
    }
}

async fn fetched(link: &mut Link) -> u64 {
    next(link, |message| match message {
        Message::Fetch(version) => Some(version),
        _ => None,
    })
    .await
}

async fn answer(link: &mut Link, peer: &Replica, than: u64) -> Message {
    let answer = peer.answer_fetch(than, DELTA_WIRE_VERSION).expect("it has a newer one");
    link.say(answer.clone()).await;
    answer
}

/// An agent that got version 1 from a linked peer.
async fn agent_with_first() -> (Agent, Link) {
    let agent = Agent::start();
    let mut link = agent.controller(1).linked().await;
    link.introduce(true, 1).await;
    assert_eq!(fetched(&mut link).await, 0);
    answer(&mut link, &peer(&[1]), 0).await;
    agent.settle().await;
    assert_eq!(agent.gossip.replica().version(), 1);
    (agent, link)
}

fn assert_has(agent: &Agent, version: u64) {
    let config = agent.gossip.config().expect("a configuration");
    assert_eq!((config.version, config.body()), (version, body(version, 100 + version).as_slice()));
}

#[test]
fn a_change_is_sent_as_a_delta() {
    in_virtual_time(async {
        let (agent, mut link) = agent_with_first().await;
        link.introduce(true, 2).await;
        assert_eq!(fetched(&mut link).await, 1);
        let sent = answer(&mut link, &peer(&[1, 2]), 1).await;
        assert!(matches!(&sent, Message::ConfigDelta(delta) if delta.base_version == 1));
        assert!(encode(&sent).expect("it can be written").len() < 300);
        agent.settle().await;
        assert_has(&agent, 2);
    });
}

#[test]
fn a_base_unknown_to_the_peer_is_compared_by_digests() {
    in_virtual_time(async {
        let (agent, mut link) = agent_with_first().await;
        link.introduce(true, 9).await;
        assert_eq!(fetched(&mut link).await, 1);
        let peer = peer(&[9]); // it never had version 1
        assert_eq!(answer(&mut link, &peer, 1).await, Message::FetchChunkDigests(1));
        let digests: ChunkDigests = next(&mut link, |message| match message {
            Message::ChunkDigests(digests) => Some(digests),
            _ => None,
        })
        .await;
        let sent = peer.answer_digests(digests).expect("a delta");
        assert!(encode(&sent).expect("it can be written").len() < 400);
        link.say(sent).await;
        agent.settle().await;
        assert_has(&agent, 9);
    });
}

#[test]
fn a_delta_for_an_outdated_base_is_requested_again() {
    in_virtual_time(async {
        let (agent, mut link) = agent_with_first().await;
        link.introduce(true, 3).await;
        assert_eq!(fetched(&mut link).await, 1);
        let peer = peer(&[1, 2, 3]);
        agent.gossip.take_config(2, body(2, 102)); // from its proxy, meanwhile
        answer(&mut link, &peer, 1).await;
        assert_eq!(fetched(&mut link).await, 2, "by difference to what is here now");
        answer(&mut link, &peer, 2).await;
        agent.settle().await;
        assert_has(&agent, 3);
    });
}

#[test]
fn an_inapplicable_delta_is_followed_by_the_complete_body() {
    in_virtual_time(async {
        let (agent, mut link) = agent_with_first().await;
        link.introduce(true, 2).await;
        assert_eq!(fetched(&mut link).await, 1);
        let peer = peer(&[1, 2]);
        let Some(Message::ConfigDelta(sound)) = peer.answer_fetch(1, DELTA_WIRE_VERSION) else {
            panic!("it answers by difference")
        };
        link.say(Message::ConfigDelta(ConfigDelta { digest: [0; 16], ..sound })).await;
        assert_eq!(fetched(&mut link).await, 0, "the complete body");
        assert_eq!(agent.gossip.replica().version(), 1, "the previous version stays in force");
        answer(&mut link, &peer, 0).await;
        agent.settle().await;
        assert_has(&agent, 2);
    });
}

#[test]
fn a_slow_transfer_is_requested_once() {
    in_virtual_time(async {
        let agent = Agent::start();
        let (mut first, mut second) = (agent.controller(1), agent.controller(2));
        let (mut one, mut other) = (first.linked().await, second.linked().await);
        one.introduce(true, 1).await;
        assert_eq!(fetched(&mut one).await, 0);
        other.introduce(true, 1).await;
        let frame = frame(&Message::Config(Config { version: 1, body: body(1, 101).into() }));
        for part in frame.chunks(frame.len() / 20) {
            one.write(part).await; // a tenth of a second each, two seconds in all
            let again = other.asked_within(Duration::from_millis(100)).await;
            assert_eq!(again, None, "it is on its way already");
        }
        agent.settle().await;
        assert_has(&agent, 1);
    });
}
