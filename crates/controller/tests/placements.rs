//! Prefix placements, in virtual time: one agent's reports reach the others, are sent completely on request, and are recovered
//! after a power loss.

mod virtual_time;

use runtrack_link::slog::{Discard, Logger, o};
use runtrack_link::{Dials, Environment, Gossip, MessageHandler, Session};
use runtrack_message::{
    Hello, Member, Message, PLACEMENT_WIRE_VERSION, PrefixPlacement, Role, WIRE_VERSION,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;
use virtual_time::{World, run};

const SETTLE_S: f64 = 4.0;
/// Time within which links are up and messages delivered.
const DELIVERY_WAIT: Duration = Duration::from_millis(500);
/// Time within which the placements are on disk.
const PERSIST_WAIT: Duration = Duration::from_secs(4);
/// Longer than the time after which a controller considers its placements complete.
const SETTLE_WAIT: Duration = Duration::from_secs(60);

#[derive(Clone, Default)]
struct ReceivedPlacements {
    placements: Rc<RefCell<Vec<PrefixPlacement>>>,
    complete: Rc<Cell<Option<bool>>>,
}

impl ReceivedPlacements {
    fn prefixes(&self) -> Vec<u64> {
        let mut prefixes: Vec<u64> =
            self.placements.borrow().iter().map(|placement| placement.prefix).collect();
        prefixes.sort_unstable();
        prefixes.dedup();
        prefixes
    }
}

impl MessageHandler for ReceivedPlacements {
    fn on_message(&self, _: &Rc<Gossip>, _: &Rc<Session>, message: Message) {
        match message {
            Message::Placements(placements) => self.placements.borrow_mut().extend(placements.into_vec()),
            Message::PlacementsComplete(complete) => self.complete.set(Some(complete)),
            _ => {}
        }
    }
}

/// An agent that keeps links to these machines and reads this version of the wire format.
async fn agent(world: &World, machines: &[usize], wire: u16) -> (Rc<Gossip>, ReceivedPlacements) {
    let received = ReceivedPlacements::default();
    let environment = Environment { network: world.edge_network(), logger: Logger::root(Discard, o!()) };
    let hello = Hello { wire, role: Role::Agent, node: "edge".into(), member: Member::none() };
    let heartbeat = Duration::from_millis(1200);
    let gossip = Gossip::new_in(environment, hello, heartbeat, Box::new(received.clone()));
    spawn_local(gossip.clone().run());
    let dials = Dials::new(gossip.clone());
    let addresses = machines.iter().map(|machine| world.link_address(*machine)).collect();
    spawn_local(async move {
        loop {
            dials.keep(&addresses);
            sleep(DELIVERY_WAIT).await;
        }
    });
    sleep(2 * DELIVERY_WAIT).await;
    (gossip, received)
}

fn report(gossip: &Gossip, prefixes: impl IntoIterator<Item = u64>) {
    let placed = |prefix| PrefixPlacement { prefix, endpoint: 7, part_tokens: 13_000 };
    let placements: Vec<PrefixPlacement> = prefixes.into_iter().map(placed).collect();
    let session = gossip.peers(Role::Controller).into_iter().next().expect("a link");
    session.send(&Message::Placements(placements.into()));
}

fn fetch(gossip: &Gossip) {
    let session = gossip.peers(Role::Controller).into_iter().next().expect("a link");
    session.send(&Message::FetchPlacements);
}

/// Placements that a new agent fetches after all members have lost power and restarted.
async fn received_after_loss_of_power(world: &mut World) -> ReceivedPlacements {
    for machine in 0..3 {
        world.lose_power(machine).await;
    }
    (0..3).for_each(|machine| world.start(machine, false));
    let (late, received) = agent(world, &[1], WIRE_VERSION).await;
    fetch(&late);
    sleep(DELIVERY_WAIT).await;
    received
}

#[test]
fn reported_placements_reach_all_agents_and_any_member_returns_them_completely() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        let (reporter, _) = agent(&world, &[0], WIRE_VERSION).await;
        let (_listener, received) = agent(&world, &[0], WIRE_VERSION).await;
        report(&reporter, [1, 2]);
        report(&reporter, [3]);
        sleep(DELIVERY_WAIT).await;
        assert_eq!(received.prefixes(), [1, 2, 3]);
        let (late, received) = agent(&world, &[1], WIRE_VERSION).await;
        assert!(received.prefixes().is_empty(), "placements are sent only on request");
        fetch(&late);
        sleep(DELIVERY_WAIT).await;
        assert_eq!(received.prefixes(), [1, 2, 3], "another member has them too");
        assert_eq!(received.complete.get(), Some(true), "since the first boot");
    });
}

#[test]
fn placements_are_recovered_after_a_power_loss_of_all_members() {
    run(async {
        let mut world = World::with_three_members(3, SETTLE_S).await;
        let (reporter, _) = agent(&world, &[0], WIRE_VERSION).await;
        report(&reporter, 1..=500);
        sleep(PERSIST_WAIT).await;
        let received = received_after_loss_of_power(&mut world).await;
        assert_eq!(received.prefixes().len(), 500);
        assert_eq!(received.complete.get(), Some(true));
    });
}

#[test]
fn a_member_without_placements_reports_incomplete_until_they_are_reported_again() {
    run(async {
        let mut world = World::with_three_members(3, SETTLE_S).await;
        let received = received_after_loss_of_power(&mut world).await;
        assert_eq!(received.complete.get(), Some(false));
        sleep(SETTLE_WAIT).await;
        assert_eq!(received.complete.get(), Some(true), "all placements in use were reported meanwhile");
    });
}

#[test]
fn placements_are_not_sent_to_agents_of_an_older_wire_version() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        let (reporter, _) = agent(&world, &[0], WIRE_VERSION).await;
        let (_old, received) = agent(&world, &[0], PLACEMENT_WIRE_VERSION - 1).await;
        report(&reporter, [1]);
        sleep(DELIVERY_WAIT).await;
        assert!(received.prefixes().is_empty());
    });
}

#[test]
fn placement_messages_are_rate_limited() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        let (reporter, _) = agent(&world, &[0], WIRE_VERSION).await;
        let (_listener, received) = agent(&world, &[0], WIRE_VERSION).await;
        for round in 0..10 {
            report(&reporter, round * 2000..(round + 1) * 2000);
        }
        sleep(DELIVERY_WAIT).await;
        let sent = received.placements.borrow().len();
        assert!((5000..7000).contains(&sent), "{sent}: 128,000 bytes at once");
        sleep(SETTLE_WAIT).await;
        let later = received.placements.borrow().len() - sent;
        assert!((5500..6500).contains(&later), "{later}: 2,000 bytes a second for 60 s");
    });
}
