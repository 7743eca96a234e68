//! Runs a [`Node`](crate::Node) in a process, with a clock, a folder on disk and links to the other members.
//!
//! The node runs on its own thread, so that a slow disk delays nothing else. The rest of the process uses a [`Handle`],
//! which provides a view of the replicated state and submits requests.

mod link;
mod server;
mod work;

pub use link::LinkStatus;
pub use server::PeerService;

use crate::command::{Command, MemberChange, MemberId, Outcome};
use crate::disk::Identity;
use crate::node::{MemberStatus, Tuning};
use crate::state::State;
use runtrack_store::Folder;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tonic::transport::ClientTlsConfig;

/// Capacity of the worker's queue. When it is full, messages from peers are dropped, which Raft retransmits, and
/// requests are refused.
const ORDERS: usize = 4_096;

/// Settings of a running member.
#[derive(Clone)]
pub struct Settings {
    /// Length of a Raft tick.
    pub tick: Duration,
    /// Raft timing, in ticks, and log size.
    pub tuning: Tuning,
    /// TLS configuration of the links to other members; `None` for plain text.
    pub tls: Option<ClientTlsConfig>,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { tick: Duration::from_millis(50), tuning: Tuning::default(), tls: None, seed: 0 }
    }
}

impl Settings {
    /// Minimum election timeout.
    pub fn election_timeout(&self) -> Duration {
        self.tick * self.tuning.election_ticks as u32
    }
}

/// This member's current view of the cluster.
#[derive(Clone, Debug)]
pub struct View {
    /// The replicated state as applied here; `None` before any state was received.
    pub state: Option<Arc<State>>,
    /// Status of this member; `None` while its folder cannot be used.
    pub status: Option<MemberStatus>,
    /// Last contact with a majority, directly as the leader or through the leader.
    pub last_quorum_contact: Option<Instant>,
    /// Why the folder cannot be used.
    pub storage_error: Option<String>,
    /// Why this member no longer belongs to the cluster.
    pub removed: Option<String>,
    /// Status of the links to the other members.
    pub links: BTreeMap<MemberId, LinkStatus>,
    /// Number of leader changes since the process started.
    pub elections: u64,
}

impl View {
    /// Whether this member was in contact with a majority within this time.
    pub fn has_majority(&self, within: Duration) -> bool {
        self.removed.is_none() && self.last_quorum_contact.is_some_and(|at| at.elapsed() <= within)
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.leader == status.member)
    }
}

/// Why a request failed, or why its outcome is not known.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// No outcome is known in time; the request may still take effect. It may be repeated with the same id.
    #[error(
        "no majority has answered in time: whether it took place is not known. Repeat it with the same id"
    )]
    Unknown,
    /// The request was refused and has no effect.
    #[error("{0}")]
    Refused(String),
}

pub(crate) type Reply<T> = oneshot::Sender<Result<T, RequestError>>;

/// Input of the member's worker thread.
pub(crate) enum Order {
    Message(crate::PeerMessage),
    Write { id: String, command: Command, until: Instant, reply: Reply<(u64, Outcome)> },
    Read { until: Instant, reply: Reply<Arc<State>> },
    Change { id: String, change: MemberChange, until: Instant, reply: Reply<()> },
    Transfer { to: MemberId, until: Instant, reply: Reply<()> },
    Text { hash: String, reply: oneshot::Sender<Option<Arc<str>>> },
    Fetched(Result<String, String>),
    Lost(MemberId),
    Fetching(MemberId),
    Removed(String),
    Stop,
}

/// Handle of a running member.
#[derive(Clone)]
pub struct Handle {
    identity: Arc<Identity>,
    election_timeout: Duration,
    orders: mpsc::Sender<Order>,
    view: watch::Receiver<Arc<View>>,
    notes: Arc<server::Notes>,
    links: Arc<link::Links>,
}

/// Starts the member in a folder. Returns its handle and the gRPC service that its peers call.
pub fn start(folder: Folder, settings: Settings) -> Result<(Handle, PeerService), crate::NodeError> {
    let node = crate::Node::open(folder.clone(), settings.tuning, settings.seed)?;
    let identity = Arc::new(node.identity().clone());
    let (orders, asked) = mpsc::channel(ORDERS);
    let links = Arc::new(link::Links::new(identity.clone(), settings.tls.clone(), orders.clone()));
    let notes: Arc<server::Notes> = Arc::default();
    let (show, view) = watch::channel(Arc::new(work::view_of(&node)));
    let handle = Handle {
        identity: identity.clone(),
        election_timeout: settings.election_timeout(),
        orders: orders.clone(),
        view,
        notes: notes.clone(),
        links: links.clone(),
    };
    let peers = PeerService::new(handle.clone());
    let worker = work::Worker::new(node, folder, settings, links, show, orders);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    let spawned = runtime.and_then(|runtime| {
        let run = move || runtime.block_on(worker.run(asked));
        std::thread::Builder::new().name("agreement".to_owned()).spawn(run)
    });
    spawned.map_err(|error: io::Error| crate::DiskError::File { file: "a thread".to_owned(), error })?;
    Ok((handle, peers))
}

impl Handle {
    /// Identity of this member.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The current view.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// A receiver that is notified when the view changes.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Whether this member is in contact with a majority.
    pub fn has_majority(&self) -> bool {
        // A follower hears from the leader with each heartbeat, and notices its loss within an election timeout.
        self.view().has_majority(self.election_timeout * 2)
    }

    /// Time without contact after which this member reports that it has no majority.
    pub fn quorum_timeout(&self) -> Duration {
        self.election_timeout * 2
    }

    async fn ask<T>(
        &self,
        within: Duration,
        order: impl FnOnce(Instant, Reply<T>) -> Order,
    ) -> Result<T, RequestError> {
        let (reply, answer) = oneshot::channel();
        let until = Instant::now() + within;
        if self.orders.try_send(order(until, reply)).is_err() {
            return Err(RequestError::Refused(
                "the member is overrun with orders, or ends: ask again later".to_owned(),
            ));
        }
        match tokio::time::timeout_at(until + self.election_timeout, answer).await {
            Ok(Ok(answer)) => answer,
            _ => Err(RequestError::OutcomeUnknown),
        }
    }

    /// Replicates a command, and returns its log index and outcome. A repeat with the same non-empty id, at any member,
    /// gets the first one's outcome and is not applied again.
    pub async fn write(
        &self,
        id: &str,
        command: Command,
        within: Duration,
    ) -> Result<(u64, Outcome), RequestError> {
        let id = id.to_owned();
        self.ask(within, |until, reply| Order::Write { id, command, until, reply }).await
    }

    /// Proposes a command without waiting for its outcome; it may be lost.
    pub fn propose(&self, command: Command) {
        let until = Instant::now() + self.election_timeout * 4;
        let (reply, _) = oneshot::channel();
        let _ = self.orders.try_send(Order::Write { id: String::new(), command, until, reply });
    }

    /// Linearizable read: returns a state that includes all writes acknowledged before the call.
    pub async fn read(&self, within: Duration) -> Result<Arc<State>, RequestError> {
        self.ask(within, |until, reply| Order::Read { until, reply }).await
    }

    /// Changes the membership, through the current leader.
    pub async fn change(
        &self,
        id: &str,
        change: MemberChange,
        within: Duration,
    ) -> Result<(), RequestError> {
        let asked = server::Asked::Change { id: id.to_owned(), change };
        self.at_leader(asked, within).await
    }

    /// Transfers leadership to another member, through the current leader.
    pub async fn transfer(&self, to: MemberId, within: Duration) -> Result<(), RequestError> {
        self.at_leader(server::Asked::Transfer { to }, within).await
    }

    /// Runs a leader-only request on this member.
    pub(crate) async fn lead(&self, asked: server::Asked, within: Duration) -> Result<(), RequestError> {
        match asked {
            server::Asked::Change { id, change } => {
                self.ask(within, |until, reply| Order::Change { id, change, until, reply }).await
            }
            server::Asked::Transfer { to } => {
                self.ask(within, |until, reply| Order::Transfer { to, until, reply }).await
            }
        }
    }

    async fn at_leader(&self, asked: server::Asked, within: Duration) -> Result<(), RequestError> {
        let end = Instant::now() + within;
        loop {
            let leader = self.view().status.as_ref().map_or(0, |status| status.leader);
            let left = end.saturating_duration_since(Instant::now());
            let done = match leader {
                0 => Err(RequestError::OutcomeUnknown),
                leader if leader == self.identity.member => self.lead(asked.clone(), left).await,
                leader => self.links.ask(leader, &asked, left).await,
            };
            // The leader may have changed in the meantime.
            if done != Err(RequestError::OutcomeUnknown) || Instant::now() + self.election_timeout >= end {
                return done;
            }
            tokio::time::sleep(self.election_timeout / 4).await;
        }
    }

    /// Sends a note to the leader outside the log. Only the newest note of each kind is kept, and it may be lost.
    pub fn note(&self, kind: &str, text: String) {
        let leader = self.view().status.as_ref().map_or(0, |status| status.leader);
        match leader {
            0 => {}
            leader if leader == self.identity.member => self.notes.take(leader, kind.to_owned(), text),
            leader => self.links.note(leader, kind.to_owned(), text),
        }
    }

    /// The newest note of a kind from each member, if it is not older than `no_older`.
    pub fn notes(&self, kind: &str, no_older: Duration) -> BTreeMap<MemberId, String> {
        self.notes.of(kind, no_older)
    }

    /// Stops the member; its state stays on disk.
    pub fn stop(&self) {
        let _ = self.orders.try_send(Order::Stop);
    }
}
