//! Placements of prefixes, in virtual time: what one agent reports reaches the others, is sent completely to who asks, and is
//! there again after a loss of power.

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
/// Links are up and messages are there by then.
const SOON: Duration = Duration::from_millis(500);
/// The index is on disk by then.
const KEPT: Duration = Duration::from_secs(4);
/// Longer than the time after which a controller takes it that it has heard of all placements.
const LONG: Duration = Duration::from_secs(60);

#[derive(Clone, Default)]
struct Heard {
    placements: Rc<RefCell<Vec<PrefixPlacement>>>,
    complete: Rc<Cell<Option<bool>>>,
}

impl Heard {
    fn prefixes(&self) -> Vec<u64> {
        let mut prefixes: Vec<u64> =
            self.placements.borrow().iter().map(|placement| placement.prefix).collect();
        prefixes.sort_unstable();
        prefixes.dedup();
        prefixes
    }
}

impl MessageHandler for Heard {
    fn on_message(&self, _: &Rc<Gossip>, _: &Rc<Session>, message: Message) {
        match message {
            Message::Placements(placements) => self.placements.borrow_mut().extend(placements.into_vec()),
            Message::PlacementsComplete(complete) => self.complete.set(Some(complete)),
            _ => {}
        }
    }
}

/// An agent that is linked to these machines wherever it can be, and reads this version of the wire format.
async fn agent(world: &World, machines: &[usize], wire: u16) -> (Rc<Gossip>, Heard) {
    let heard = Heard::default();
    let environment = Environment { network: world.edge_network(), logger: Logger::root(Discard, o!()) };
    let hello = Hello { wire, role: Role::Agent, node: "edge".into(), member: Member::none() };
    let heartbeat = Duration::from_millis(1200);
    let gossip = Gossip::new_in(environment, hello, heartbeat, Box::new(heard.clone()));
    spawn_local(gossip.clone().run());
    let dials = Dials::new(gossip.clone());
    let addresses = machines.iter().map(|machine| world.link_address(*machine)).collect();
    spawn_local(async move {
        loop {
            dials.keep(&addresses);
            sleep(SOON).await;
        }
    });
    sleep(2 * SOON).await;
    (gossip, heard)
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

/// What an agent receives that asks after all members have lost power and started again.
async fn received_after_loss_of_power(world: &mut World) -> Heard {
    for machine in 0..3 {
        world.lose_power(machine).await;
    }
    (0..3).for_each(|machine| world.start(machine, false));
    let (late, received) = agent(world, &[1], WIRE_VERSION).await;
    fetch(&late);
    sleep(SOON).await;
    received
}

#[test]
fn what_one_agent_reports_reaches_all_and_is_told_whole_by_any_member() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        let (reporter, _) = agent(&world, &[0], WIRE_VERSION).await;
        let (_listener, heard) = agent(&world, &[0], WIRE_VERSION).await;
        report(&reporter, [1, 2]);
        report(&reporter, [3]);
        sleep(SOON).await;
        assert_eq!(heard.prefixes(), [1, 2, 3]);
        let (late, received) = agent(&world, &[1], WIRE_VERSION).await;
        assert!(received.prefixes().is_empty(), "nobody sends it unasked");
        fetch(&late);
        sleep(SOON).await;
        assert_eq!(received.prefixes(), [1, 2, 3], "another member has heard of them too");
        assert_eq!(received.complete.get(), Some(true), "since the first boot");
    });
}

#[test]
fn placements_are_known_again_after_all_members_have_lost_power() {
    run(async {
        let mut world = World::with_three_members(3, SETTLE_S).await;
        let (reporter, _) = agent(&world, &[0], WIRE_VERSION).await;
        report(&reporter, 1..=500);
        sleep(KEPT).await;
        let received = received_after_loss_of_power(&mut world).await;
        assert_eq!(received.prefixes().len(), 500);
        assert_eq!(received.complete.get(), Some(true));
    });
}

#[test]
fn a_member_that_has_forgotten_them_says_so_until_they_were_reported_again() {
    run(async {
        let mut world = World::with_three_members(3, SETTLE_S).await;
        let received = received_after_loss_of_power(&mut world).await;
        assert_eq!(received.complete.get(), Some(false));
        sleep(LONG).await;
        assert_eq!(received.complete.get(), Some(true), "all that are in use were reported meanwhile");
    });
}

#[test]
fn an_agent_of_the_version_before_is_not_sent_what_it_cannot_read() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        let (reporter, _) = agent(&world, &[0], WIRE_VERSION).await;
        let (_old, heard) = agent(&world, &[0], PLACEMENT_WIRE_VERSION - 1).await;
        report(&reporter, [1]);
        sleep(SOON).await;
        assert!(heard.prefixes().is_empty());
    });
}

#[test]
fn a_flood_of_placements_is_sent_within_bounds() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        let (reporter, _) = agent(&world, &[0], WIRE_VERSION).await;
        let (_listener, heard) = agent(&world, &[0], WIRE_VERSION).await;
        for round in 0..10 {
            report(&reporter, round * 2000..(round + 1) * 2000);
        }
        sleep(SOON).await;
        let sent = heard.placements.borrow().len();
        assert!((5000..7000).contains(&sent), "{sent}: 128,000 bytes at once");
        sleep(LONG).await;
        let later = heard.placements.borrow().len() - sent;
        assert!((5500..6500).contains(&later), "{later}: 2,000 bytes a second for 60 s");
    });
}
