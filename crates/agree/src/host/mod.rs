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
const MAX_QUEUED_EVENTS: usize = 4_096;

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
    OutcomeUnknown,
    /// The request was refused and has no effect.
    #[error("{0}")]
    Refused(String),
}

pub(crate) type Reply<T> = oneshot::Sender<Result<T, RequestError>>;

/// Input of the member's worker thread.
pub(crate) enum Event {
    Message(crate::PeerMessage),
    Write { id: String, command: Command, deadline: Instant, reply: Reply<(u64, Outcome)> },
    Read { deadline: Instant, reply: Reply<Arc<State>> },
    Change { id: String, change: MemberChange, deadline: Instant, reply: Reply<()> },
    Transfer { to: MemberId, deadline: Instant, reply: Reply<()> },
    SnapshotText { hash: String, reply: oneshot::Sender<Option<Arc<str>>> },
    SnapshotFetched(Result<String, String>),
    LinkLost(MemberId),
    SnapshotProgress(MemberId),
    Removed(String),
    Stop,
}

/// Handle of a running member.
#[derive(Clone)]
pub struct Handle {
    identity: Arc<Identity>,
    election_timeout: Duration,
    events: mpsc::Sender<Event>,
    view: watch::Receiver<Arc<View>>,
    notes: Arc<server::Notes>,
    links: Arc<link::Links>,
}

/// Starts the member in a folder. Returns its handle and the gRPC service that its peers call.
pub fn start(folder: Folder, settings: Settings) -> Result<(Handle, PeerService), crate::NodeError> {
    let node = crate::Node::open(folder.clone(), settings.tuning, settings.seed)?;
    let identity = Arc::new(node.identity().clone());
    let (events, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
    let links = Arc::new(link::Links::new(identity.clone(), settings.tls.clone(), events.clone()));
    let notes: Arc<server::Notes> = Arc::default();
    let (view_sender, view) = watch::channel(Arc::new(work::initial_view(&node)));
    let handle = Handle {
        identity: identity.clone(),
        election_timeout: settings.election_timeout(),
        events: events.clone(),
        view,
        notes: notes.clone(),
        links: links.clone(),
    };
    let peers = PeerService::new(handle.clone());
    let worker = work::Worker::new(node, folder, settings, links, view_sender, events);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    let spawned = runtime.and_then(|runtime| {
        let run = move || runtime.block_on(worker.run(receiver));
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

    async fn request<T>(
        &self,
        within: Duration,
        event: impl FnOnce(Instant, Reply<T>) -> Event,
    ) -> Result<T, RequestError> {
        let (reply, answer) = oneshot::channel();
        let deadline = Instant::now() + within;
        if self.events.try_send(event(deadline, reply)).is_err() {
            return Err(RequestError::Refused(
                "the member is overrun with orders, or ends: ask again later".to_owned(),
            ));
        }
        match tokio::time::timeout_at(deadline + self.election_timeout, answer).await {
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
        self.request(within, |deadline, reply| Event::Write { id, command, deadline, reply }).await
    }

    /// Proposes a command without waiting for its outcome; it may be lost.
    pub fn propose(&self, command: Command) {
        let deadline = Instant::now() + self.election_timeout * 4;
        let (reply, _) = oneshot::channel();
        let _ = self.events.try_send(Event::Write { id: String::new(), command, deadline, reply });
    }

    /// Linearizable read: returns a state that includes all writes acknowledged before the call.
    pub async fn read(&self, within: Duration) -> Result<Arc<State>, RequestError> {
        self.request(within, |deadline, reply| Event::Read { deadline, reply }).await
    }

    /// Changes the membership, through the current leader.
    pub async fn change(
        &self,
        id: &str,
        change: MemberChange,
        within: Duration,
    ) -> Result<(), RequestError> {
        let request = server::LeaderRequest::Change { id: id.to_owned(), change };
        self.run_at_leader(request, within).await
    }

    /// Transfers leadership to another member, through the current leader.
    pub async fn transfer(&self, to: MemberId, within: Duration) -> Result<(), RequestError> {
        self.run_at_leader(server::LeaderRequest::Transfer { to }, within).await
    }

    /// Runs a leader-only request on this member.
    pub(crate) async fn run_as_leader(
        &self,
        request: server::LeaderRequest,
        within: Duration,
    ) -> Result<(), RequestError> {
        match request {
            server::LeaderRequest::Change { id, change } => {
                self.request(within, |deadline, reply| Event::Change { id, change, deadline, reply }).await
            }
            server::LeaderRequest::Transfer { to } => {
                self.request(within, |deadline, reply| Event::Transfer { to, deadline, reply }).await
            }
        }
    }

    async fn run_at_leader(
        &self,
        request: server::LeaderRequest,
        within: Duration,
    ) -> Result<(), RequestError> {
        let deadline = Instant::now() + within;
        loop {
            let leader = self.view().status.as_ref().map_or(0, |status| status.leader);
            let remaining = deadline.saturating_duration_since(Instant::now());
            let result = match leader {
                0 => Err(RequestError::OutcomeUnknown),
                leader if leader == self.identity.member => {
                    self.run_as_leader(request.clone(), remaining).await
                }
                leader => self.links.ask(leader, &request, remaining).await,
            };
            // The leader may have changed in the meantime.
            if result != Err(RequestError::OutcomeUnknown)
                || Instant::now() + self.election_timeout >= deadline
            {
                return result;
            }
            tokio::time::sleep(self.election_timeout / 4).await;
        }
    }

    /// Sends a note to the leader outside the log. Only the newest note of each kind is kept, and it may be lost.
    pub fn note(&self, kind: &str, text: String) {
        let leader = self.view().status.as_ref().map_or(0, |status| status.leader);
        match leader {
            0 => {}
            leader if leader == self.identity.member => self.notes.insert(leader, kind.to_owned(), text),
            leader => self.links.note(leader, kind.to_owned(), text),
        }
    }

    /// The newest note of a kind from each member, if it is not older than `max_age`.
    pub fn notes(&self, kind: &str, max_age: Duration) -> BTreeMap<MemberId, String> {
        self.notes.newest(kind, max_age)
    }

    /// Stops the member; its state stays on disk.
    pub fn stop(&self) {
        let _ = self.events.try_send(Event::Stop);
    }
}
