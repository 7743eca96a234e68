//! The components of a control member and which messages go to which of them.

use crate::backlog::Backlogs;
use crate::contact::MajorityContact;
use crate::disk::Disk;
use crate::disk_guard::DiskGuard;
use crate::endpoint_store::EndpointStore;
use crate::endpoints::Endpoints;
use crate::leave_sync::LeaveSync;
use crate::leaves::Leaves;
use crate::member::MemberTask;
use crate::membership::{Membership, MembershipSettings};
use crate::placements::PlacementHub;
use crate::proposer::Proposer;
use runtrack_fleetconfig::Node;
use runtrack_link::{Gossip, MessageHandler, Session};
use runtrack_message::{Endpoint, Member, Message, RegisterRequest, Role};
use runtrack_net::mutant;
use runtrack_register::{Acceptor, MembershipTimes};
use std::cell::OnceCell;
use std::collections::BTreeSet;
use std::rc::{Rc, Weak};
use tokio::task::spawn_local;

/// The components of a control member, each with its own state.
pub(crate) struct Components {
    /// Rounds and reads of the register.
    pub(crate) proposer: Rc<Proposer>,
    /// Management of the members.
    pub(crate) membership: Rc<Membership>,
    /// Endpoints' calls.
    pub(crate) endpoints: Rc<Endpoints>,
    /// Contact with a majority.
    pub(crate) contact: Rc<MajorityContact>,
    /// The check of this member's disk.
    pub(crate) disk_guard: Rc<DiskGuard>,
    member: Rc<MemberTask>,
    leaves: Rc<Leaves>,
    leave_sync: Rc<LeaveSync>,
    endpoint_store: Rc<EndpointStore>,
    backlogs: Rc<Backlogs>,
    placements: Rc<PlacementHub>,
}

impl Components {
    /// The components of a member that was recovered from this disk.
    pub(crate) fn new(gossip: &Rc<Gossip>, disk: Disk, acceptor: Acceptor, node: &Node) -> Rc<Self> {
        let me = gossip.me().member;
        let seeds = node.seed_members();
        let first: BTreeSet<Member> = seeds.iter().map(|seed| Member::new(*seed, 0)).collect();
        let times = MembershipTimes::new(node.bounds.settle, node.bounds.grace);
        let own = acceptor.watermark();
        let placements = PlacementHub::new(gossip.clone(), disk.clone(), node.first_boot);
        let (leaves, recovered) = Leaves::start(disk.clone(), gossip.logger());
        gossip.merge(recovered, None);
        let member = MemberTask::start(acceptor, disk.clone(), gossip.logger().clone());
        let proposer = Proposer::new(gossip.clone(), member.clone(), me, first.clone());
        let contact = MajorityContact::new(
            gossip.clone(),
            proposer.clone(),
            member.clone(),
            first.clone(),
            times.suspicion,
        );
        let leave_sync = LeaveSync::new(gossip.clone(), contact.clone(), leaves.clone());
        let membership = Membership::new(
            gossip.clone(),
            proposer.clone(),
            member.clone(),
            contact.clone(),
            leave_sync.clone(),
            MembershipSettings::new(node, seeds, first, times),
        );
        let disk_guard = DiskGuard::new(gossip.clone(), proposer.clone(), member.clone(), me, own);
        Rc::new(Components {
            endpoint_store: EndpointStore::new(
                gossip.clone(),
                disk,
                disk_guard.clone(),
                leave_sync.clone(),
                node.heartbeat,
            ),
            endpoints: Endpoints::new(gossip.clone(), contact.clone(), leaves.clone()),
            disk_guard,
            backlogs: Backlogs::new(gossip.clone(), node.link_mbps),
            placements,
            proposer,
            membership,
            contact,
            member,
            leaves,
            leave_sync,
        })
    }

    /// Starts the components' background tasks.
    pub(crate) fn spawn(&self, node: &Node) {
        spawn_local(self.backlogs.clone().run());
        spawn_local(self.placements.clone().run());
        spawn_local(self.proposer.clone().run());
        spawn_local(self.membership.clone().run());
        spawn_local(self.contact.clone().run());
        spawn_local(self.endpoints.clone().run(node.heartbeat));
        spawn_local(self.endpoint_store.clone().run());
    }

    fn on_message(&self, gossip: &Rc<Gossip>, session: &Rc<Session>, message: Message) {
        match message {
            Message::Request(number, request) => {
                if mutant("announced-before-committed") {
                    announce_accepted(gossip, &request);
                }
                let session = session.clone();
                self.member.ask(request, move |reply| session.send(&Message::Reply(number, reply)));
            }
            Message::Reply(number, reply) => self.proposer.replied(session.key, number, reply),
            Message::Inspect(number, request) => {
                if let Some(reply) = self.member.inspect(&request) {
                    session.send(&Message::InspectReply(number, reply));
                }
            }
            Message::InspectReply(number, reply) => self.proposer.inspected(session.key, number, reply),
            Message::Commit(ballot) => self.proposer.on_committed(ballot),
            Message::Join(joining) => self.membership.on_join_request(session, joining),
            Message::Leave(leaving) => self.membership.on_leave_request(leaving),
            Message::Confirm(number, records) => {
                let records = records.into_vec();
                if !mutant("confirmed-before-merged") {
                    gossip.merge(records.clone(), Some(session.key));
                }
                self.confirm(number, records, session);
            }
            Message::Confirmed(number) => {
                self.leave_sync.on_confirmed(number, session);
                self.endpoints.on_confirmed(number, session);
            }
            Message::Probe(number) => self.contact.on_probe(session, number),
            Message::ProbeReply(reply) => self.contact.on_reply(session, reply),
            Message::HeartbeatRelay(keys) => self.endpoints.on_heartbeat_relay(keys.items()),
            Message::OwnBacklog(report) => self.backlogs.on_report(session, report),
            Message::Placements(placements) => self.placements.on_placements(session, placements),
            Message::FetchPlacements => self.placements.send_all(session),
            _ => {}
        }
    }

    /// Confirms records once they are on disk, unless that takes longer than the requester waits.
    fn confirm(&self, number: u64, records: Vec<Endpoint>, session: &Rc<Session>) {
        let (leaves, session) = (self.leaves.clone(), session.clone());
        spawn_local(async move {
            if leaves.persist(&records).await {
                session.send(&Message::Confirmed(number));
            }
        });
    }

    /// Passes messages about the state of disks to the disk check.
    fn note_watermarks(&self, session: &Session, message: &Message) {
        match message {
            Message::Reply(_, reply) => self.disk_guard.on_register_reply(session, reply),
            Message::InspectReply(_, reply) => self.disk_guard.on_inspect_reply(session, reply),
            Message::ProbeReply(reply) => self.disk_guard.on_accepted(session, reply.accepted),
            Message::Watermark(member) => self.disk_guard.on_watermark_request(session, *member),
            Message::WatermarkReply(answer) => self.disk_guard.on_watermark_reply(session, answer),
            _ => {}
        }
    }
}

/// Hands messages to the components, once these are made. It does not own them: they own the gossip, which owns the router, and
/// neither would ever be freed.
#[derive(Clone, Default)]
pub(crate) struct MessageRouter(Rc<OnceCell<Weak<Components>>>);

impl MessageRouter {
    /// From now on messages go to these.
    pub(crate) fn set(&self, components: &Rc<Components>) {
        let _ = self.0.set(Rc::downgrade(components)); // called once, right after the components are made
    }

    /// The components, for as long as the process runs.
    fn components(&self) -> Option<Rc<Components>> {
        self.0.get().and_then(Weak::upgrade)
    }
}

impl MessageHandler for MessageRouter {
    fn on_message(&self, gossip: &Rc<Gossip>, session: &Rc<Session>, message: Message) {
        if let Some(components) = self.components() {
            components.note_watermarks(session, &message);
            components.on_message(gossip, session, message);
        }
    }

    fn on_connect(&self, _: &Rc<Gossip>, session: &Rc<Session>) {
        let role = session.peer.borrow().as_ref().map(|peer| peer.role);
        let Some(components) = self.components() else { return };
        match role {
            Some(Role::Agent) => {
                components.contact.on_agent_connect(session);
                components.endpoints.on_agent_connect(session);
            }
            Some(Role::Controller) => {
                components.contact.probe(session);
                components.disk_guard.on_connect();
                components.placements.fetch_from(session);
            }
            Some(Role::Proxy) | None => {}
        }
    }

    fn on_merged(&self, records: &[Endpoint]) {
        if let Some(components) = self.components() {
            components.leaves.note(records);
            components.placements.forget_gone(records);
        }
    }

    fn on_disconnect(&self, _: &Rc<Gossip>, session: &Rc<Session>) {
        if let Some(components) = self.components() {
            components.backlogs.forget(session);
        }
    }
}

/// Mutant: announces values that this member is asked to accept to agents, whether they are committed or not.
fn announce_accepted(gossip: &Gossip, request: &RegisterRequest) {
    if let RegisterRequest::Accept { value, .. } = request {
        gossip.take_config(value.version, value.config.as_slice().to_vec());
    }
}
