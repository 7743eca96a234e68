//! A control member: the operator's API and the endpoints' on one side, links to agents and other members on the
//! other, the register and its disk within.

pub mod api;
mod backlog;
mod confirmations;
mod contact;
mod copies;
mod dials;
pub mod disk;
mod disk_guard;
mod endpoints;
mod member;
mod membership;
pub mod pending;
mod proposer;
pub mod request_queue;
pub mod tally;

use crate::api::Api;
use crate::backlog::Backlogs;
use crate::contact::MajorityContact;
use crate::disk::{Disk, DiskThread, MemberDisk, Record};
use crate::disk_guard::DiskGuard;
use crate::endpoints::Endpoints;
use crate::member::MemberTask;
use crate::membership::{Membership, MembershipSettings};
use crate::proposer::Proposer;
use runtrack_fleetconfig::Node;
use runtrack_link::{
    Environment, Gossip, MessageHandler, ProcessEvent, ProcessEvents, Session, Signals, listen,
};
use runtrack_message::{Ballot, Hello, Member, Message, RegisterRequest, Role, WIRE_VERSION};
use runtrack_net::mutant;
use runtrack_register::{Acceptor, MembershipTimes, PromiseRecord};
use slog::info;
use std::cell::OnceCell;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Calls that are under way at SIGTERM get so long.
const LAST_CALLS: Duration = Duration::from_millis(300);
/// Wait before a disk that refused is tried again.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);

/// What messages of the register and of the membership go to.
#[derive(Default)]
struct Parts {
    member: OnceCell<Rc<MemberTask>>,
    proposer: OnceCell<Rc<Proposer>>,
    membership: OnceCell<Rc<Membership>>,
    endpoints: OnceCell<Rc<Endpoints>>,
    backlogs: OnceCell<Rc<Backlogs>>,
    contact: OnceCell<Rc<MajorityContact>>,
    guard: OnceCell<Rc<DiskGuard>>,
}

struct Routing(Rc<Parts>);

/// A planted error: what this member is asked to accept is told to agents, whether it is committed or not.
fn tell_accepted(gossip: &Gossip, request: &RegisterRequest) {
    if let RegisterRequest::Accept { value, .. } = request {
        gossip.take_config(value.version, value.config.as_slice().to_vec());
    }
}

impl MessageHandler for Routing {
    fn on_message(&self, gossip: &Rc<Gossip>, session: &Rc<Session>, message: Message) {
        let parts = &self.0;
        if let Some(guard) = parts.guard.get() {
            note_disk(guard, session, &message);
        }
        let (Some(member), Some(proposer), Some(membership), Some(endpoints), Some(contact)) = (
            parts.member.get(),
            parts.proposer.get(),
            parts.membership.get(),
            parts.endpoints.get(),
            parts.contact.get(),
        ) else {
            return;
        };
        match message {
            Message::Request(number, request) => {
                if mutant("told-before-committed") {
                    tell_accepted(gossip, &request);
                }
                let session = session.clone();
                member.ask(request, move |reply| session.send(&Message::Reply(number, reply)));
            }
            Message::Reply(number, reply) => proposer.replied(session.key, number, reply),
            Message::Commit(ballot) => proposer.on_committed(ballot),
            Message::Join(joining) => membership.on_join_request(session, joining),
            Message::Leave(leaving) => membership.on_leave_request(leaving),
            Message::Confirm(number, records) => {
                if !mutant("confirmed-without-merge") {
                    gossip.merge(records.into_vec(), Some(session.key));
                }
                session.send(&Message::Confirmed(number));
            }
            Message::Confirmed(number) => endpoints.confirmed(number, session),
            Message::Probe(number) => contact.on_probe(session, number),
            Message::ProbeReply(reply) => contact.on_reply(session, reply),
            Message::HeartbeatRelay(keys) => endpoints.relayed(keys.items()),
            Message::OwnBacklog(part) => {
                if let Some(backlogs) = parts.backlogs.get() {
                    backlogs.told(session, part);
                }
            }
            _ => {}
        }
    }

    fn on_connect(&self, _: &Rc<Gossip>, session: &Rc<Session>) {
        let role = session.peer.borrow().as_ref().map(|peer| peer.role);
        let (Some(endpoints), Some(contact)) = (self.0.endpoints.get(), self.0.contact.get()) else {
            return;
        };
        match role {
            Some(Role::Agent) => {
                contact.on_agent_connect(session);
                endpoints.greet(session);
            }
            Some(Role::Controller) => contact.probe(session),
            Some(Role::Proxy) | None => {}
        }
    }

    fn on_disconnect(&self, _: &Rc<Gossip>, session: &Rc<Session>) {
        if let Some(backlogs) = self.0.backlogs.get() {
            backlogs.forget(session);
        }
    }
}

/// What a message says of the speaker's disk, or of this process's.
fn note_disk(guard: &DiskGuard, session: &Session, message: &Message) {
    match message {
        Message::Reply(_, reply) => guard.on_register_reply(session, reply),
        Message::ProbeReply(reply) => guard.on_accepted(session, reply.accepted),
        Message::Watermark(member) => guard.on_question(session, *member),
        Message::WatermarkReply(answer) => guard.on_answer(session, answer),
        _ => {}
    }
}

/// Where a machine's own links come in.
fn peer_address(control: SocketAddrV4, first_port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(*control.ip(), first_port)
}

/// Runs a control member until SIGTERM.
pub async fn run(node: Node, signals: Signals) -> Result<(), String> {
    let environment = Environment::system("controller", &node);
    let (disk, acceptor) = DiskThread::open(&node, &environment.logger)?;
    run_in(environment, Rc::new(disk), acceptor, node, signals.events()).await
}

fn seeds_of(node: &Node) -> BTreeSet<SocketAddrV4> {
    node.seeds.iter().map(|seed| peer_address(*seed, node.first_port)).collect()
}

/// The incarnation of a member whose disk holds none: the first one where the whole system starts for the first time and
/// this is one of its first members, a new one otherwise.
pub fn new_incarnation(node: &Node) -> u64 {
    let address = SocketAddrV4::new(node.ip, node.first_port);
    let first_boot = node.first_boot || mutant("wiped-member-votes");
    if first_boot && seeds_of(node).contains(&address) { 0 } else { fastrand::u64(1..) }
}

/// Leaves a new incarnation on a disk that was found to be an older copy, and says why the process ends: it comes back
/// as another member.
async fn take_new_incarnation(disk: &dyn MemberDisk) -> String {
    let record = PromiseRecord { incarnation: fastrand::u64(1..), promised: Ballot::default() };
    while disk.persist(Record::Promise(record.clone())).await.is_err() {
        sleep(REFUSED_PAUSE).await;
    }
    "the disk was an older copy; its next start is as another member".to_owned()
}

/// Runs the control member that was recovered from its disk, in an environment, until it is told to end.
pub async fn run_in(
    environment: Environment,
    disk: Rc<dyn MemberDisk>,
    acceptor: Acceptor,
    node: Node,
    mut events: ProcessEvents,
) -> Result<(), String> {
    let logger = environment.logger.clone();
    let control = node.control.ok_or("listen.control: is missing")?;
    let address = SocketAddrV4::new(node.ip, node.first_port);
    let seeds = seeds_of(&node);
    let me = Member::new(address, acceptor.incarnation());
    info!(logger, "controller.start"; "member" => %address, "incarnation" => me.incarnation,
        "first_boot" => node.first_boot, "recovered" => acceptor.accepted().is_some());
    let parts = Rc::new(Parts::default());
    let hello =
        Hello { wire: WIRE_VERSION, role: Role::Controller, node: node.name.as_str().into(), member: me };
    let gossip = Gossip::new_in(environment, hello, node.heartbeat, Box::new(Routing(parts.clone())));
    let first: BTreeSet<Member> = seeds.iter().map(|seed| Member::new(*seed, 0)).collect();
    let own = acceptor.watermark();
    let member = MemberTask::start(acceptor, Disk(disk.clone()), logger.clone());
    let times = MembershipTimes::new(node.bounds.settle, node.bounds.grace);
    let proposer = Proposer::new(gossip.clone(), member.clone(), me, first.clone());
    let contact =
        MajorityContact::new(gossip.clone(), proposer.clone(), member.clone(), first, times.suspicion);
    let membership = Membership::new(
        gossip.clone(),
        proposer.clone(),
        member.clone(),
        contact.clone(),
        MembershipSettings { seeds, wanted: 2 * node.tolerance.machines as usize + 1, times },
    );
    let endpoints = Endpoints::new(gossip.clone(), contact.clone());
    let guard = DiskGuard::new(gossip.clone(), proposer.clone(), member.clone(), me, own);
    let _ = parts.guard.set(guard.clone());
    let _ = parts.member.set(member);
    let _ = parts.proposer.set(proposer.clone());
    let _ = parts.membership.set(membership.clone());
    let _ = parts.endpoints.set(endpoints.clone());
    let backlogs = Backlogs::new(gossip.clone());
    let _ = parts.backlogs.set(backlogs.clone());
    let _ = parts.contact.set(contact.clone());
    spawn_local(backlogs.run());
    listen(gossip.clone(), node.peer)
        .await
        .map_err(|error| format!("listen.peer: {}: {error}", node.peer))?;
    let api = Api::new(gossip.clone(), proposer.clone(), endpoints.clone(), contact.clone());
    let calls = api.listen(control).map_err(|error| format!("listen: {control}: {error}"))?;
    spawn_local(gossip.clone().run());
    spawn_local(proposer.clone().run());
    spawn_local(membership.clone().run());
    spawn_local(contact.run());
    spawn_local(endpoints.run(node.heartbeat));
    let mut older_disk = pin!(guard.run());
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            () = &mut older_disk => return Err(take_new_incarnation(disk.as_ref()).await),
        };
        match event {
            Some(ProcessEvent::Settings(Ok(node))) => membership.set_seeds(seeds_of(&node)),
            Some(ProcessEvent::Settings(Err(problem))) => {
                info!(logger, "settings.refused"; "problem" => problem);
            }
            Some(ProcessEvent::Terminate) | None => break,
        }
    }
    info!(logger, "controller.terminate");
    calls.abort();
    membership.leave().await;
    sleep(LAST_CALLS).await;
    info!(logger, "controller.end");
    Ok(())
}
