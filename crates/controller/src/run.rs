//! A control member from its start to its end.

use crate::api::Api;
use crate::components::{Components, MessageRouter};
use crate::disk::{Disk, DiskThread, MemberDisk, Record};
use crate::error::ControllerError;
use runtrack_fleetconfig::Node;
use runtrack_link::{Environment, Gossip, Logger, ProcessEvent, ProcessEvents, Signals, listen};
use runtrack_message::{Ballot, Hello, Member, Role, WIRE_VERSION};
use runtrack_register::{Acceptor, PromiseRecord};
use slog::info;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// Calls in flight at the end of a graceful shutdown get this long.
const SHUTDOWN_DRAIN: Duration = Duration::from_millis(300);
/// Backoff after a write that the disk refused.
const REFUSED_BACKOFF: Duration = Duration::from_millis(300);

/// Runs a control member until SIGTERM. Fails where its settings or its disk can't be used, an address can't be listened on,
/// or its disk turns out to be an older copy.
pub async fn run(node: Node, signals: Signals) -> Result<(), ControllerError> {
    let environment = Environment::system("controller", &node);
    let (disk, acceptor) = DiskThread::open(&node, &environment.logger)?;
    run_in(environment, Rc::new(disk), acceptor, node, signals.events()).await
}

/// Runs the control member that was recovered from its disk, in an environment, until [`ProcessEvent::Terminate`]. Fails as
/// [`run`] does, but for the opening of the disk.
pub async fn run_in(
    environment: Environment,
    disk: Rc<dyn MemberDisk>,
    acceptor: Acceptor,
    node: Node,
    mut events: ProcessEvents,
) -> Result<(), ControllerError> {
    let logger = environment.logger.clone();
    let (components, api_task) = start(environment, Disk(disk.clone()), acceptor, &node).await?;
    if until_terminated(&components, &mut events, &logger).await == End::OlderDisk {
        take_new_incarnation(disk.as_ref()).await;
        return Err(ControllerError::OlderDisk);
    }
    info!(logger, "controller.terminate");
    api_task.abort();
    components.membership.leave().await;
    sleep(SHUTDOWN_DRAIN).await;
    info!(logger, "controller.end");
    Ok(())
}

/// Starts the components of a member, and the task that accepts HTTP connections for them.
async fn start(
    environment: Environment,
    disk: Disk,
    acceptor: Acceptor,
    node: &Node,
) -> Result<(Rc<Components>, JoinHandle<()>), ControllerError> {
    let control = node.control.ok_or(ControllerError::NoControlAddress)?;
    let me = Member::new(node.member_address(), acceptor.incarnation());
    info!(environment.logger, "controller.start"; "member" => %me.address(), "incarnation" => me.incarnation,
        "first_boot" => node.first_boot, "recovered" => acceptor.accepted().is_some());
    let hello =
        Hello { wire: WIRE_VERSION, role: Role::Controller, node: node.name.as_str().into(), member: me };
    let router = MessageRouter::default();
    let gossip = Gossip::new_in(environment, hello, node.heartbeat, Box::new(router.clone()));
    let components = Components::new(&gossip, disk, acceptor, node);
    router.set(&components);
    let listening = listen(gossip.clone(), node.peer).await;
    listening.map_err(|error| ControllerError::ListenPeer(node.peer, error))?;
    let (proposer, endpoints) = (components.proposer.clone(), components.endpoints.clone());
    let api = Api::new(gossip.clone(), proposer, endpoints, components.contact.clone());
    let api_task = api.listen(control).map_err(|error| ControllerError::ListenControl(control, error))?;
    spawn_local(gossip.run());
    components.spawn(node);
    Ok((components, api_task))
}

/// Leaves a new incarnation on a disk that was found to be an older copy: the process ends, and comes back as another
/// member.
async fn take_new_incarnation(disk: &dyn MemberDisk) {
    let record = PromiseRecord { incarnation: fastrand::u64(1..), promised: Ballot::default() };
    while disk.persist(Record::Promise(record.clone())).await.is_err() {
        sleep(REFUSED_BACKOFF).await;
    }
}

/// Why a control member ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It was asked to: SIGTERM.
    Terminated,
    /// Its disk is an older copy.
    OlderDisk,
}

/// Handles the events of the process until it is to end.
async fn until_terminated(components: &Components, events: &mut ProcessEvents, logger: &Logger) -> End {
    let mut older_disk = pin!(components.disk_guard.run());
    loop {
        let event = tokio::select! {
            biased;
            event = events.recv() => event,
            () = &mut older_disk => return End::OlderDisk,
        };
        match event {
            Some(ProcessEvent::Settings(Ok(node))) => components.membership.set_seeds(node.seed_members()),
            Some(ProcessEvent::Settings(Err(problem))) => {
                info!(logger, "settings.refused"; "problem" => problem);
            }
            Some(ProcessEvent::Terminate) | None => return End::Terminated,
        }
    }
}
