//! A member in service: the clock, the disk, the links to the others, round a [`Node`](crate::Node).
//!
//! The member runs on a thread of its own, so that a slow disk delays nothing but itself. Everybody else holds a
//! [`Handle`]: a view of what is agreed, and orders.

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

/// Orders that wait for the member at most: beyond them messages of peers are dropped, which they send again, and writes
/// are refused.
const ORDERS: usize = 4_096;

/// How a member runs.
#[derive(Clone)]
pub struct Settings {
    /// One tick of the agreement.
    pub tick: Duration,
    /// Its patience, in ticks.
    pub tuning: Tuning,
    /// How it shows itself to the others, and knows them; none: plain text.
    pub tls: Option<ClientTlsConfig>,
    /// For random numbers.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { tick: Duration::from_millis(50), tuning: Tuning::default(), tls: None, seed: 0 }
    }
}

impl Settings {
    /// After so long without a leader, or without a majority, a member says that there is none.
    pub fn election_timeout(&self) -> Duration {
        self.tick * self.tuning.election_ticks as u32
    }
}

/// What is known of the cluster here and now.
#[derive(Clone, Debug)]
pub struct View {
    /// What is agreed, as far as it is applied here; none: nothing was heard yet.
    pub state: Option<Arc<State>>,
    /// How this member stands; none while its folder can't be used.
    pub status: Option<MemberStatus>,
    /// When this member was last in touch with a majority: as its leader, or through the leader.
    pub last_quorum_contact: Option<Instant>,
    /// Why its folder can't be used.
    pub storage_error: Option<String>,
    /// Why it is no member any more.
    pub removed: Option<String>,
    /// How the links to the others stand.
    pub links: BTreeMap<MemberId, LinkStatus>,
    /// Times that the leader changed since this process began.
    pub elections: u64,
}

impl View {
    /// Whether a majority was heard of within this time.
    pub fn has_majority(&self, within: Duration) -> bool {
        self.removed.is_none() && self.last_quorum_contact.is_some_and(|at| at.elapsed() <= within)
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.leader == status.member)
    }
}

/// Why a write, a read or a change was not done, or may not have been.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// Nothing was heard of it in time: it may come to pass yet. The same id may be asked again.
    #[error(
        "no majority has answered in time: whether it took place is not known. Repeat it with the same id"
    )]
    Unknown,
    /// It was not done.
    #[error("{0}")]
    Refused(String),
}

pub(crate) type Reply<T> = oneshot::Sender<Result<T, RequestError>>;

/// What the member is asked.
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

/// A member's handle.
#[derive(Clone)]
pub struct Handle {
    identity: Arc<Identity>,
    election_timeout: Duration,
    orders: mpsc::Sender<Order>,
    view: watch::Receiver<Arc<View>>,
    notes: Arc<server::Notes>,
    links: Arc<link::Links>,
}

/// Starts the member of a folder. The service for its peers comes with it.
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
    /// Who this member is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// What is known now.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// To wait for what is known to change.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Whether this member is in touch with a majority.
    pub fn has_majority(&self) -> bool {
        // A follower hears of the leader each heartbeat, and of its loss within its patience.
        self.view().has_majority(self.election_timeout * 2)
    }

    /// How long this member waits before it says that there is no majority.
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

    /// Has a command agreed. With an id, a repeat with that id is answered and not run again, at any member.
    pub async fn write(
        &self,
        id: &str,
        command: Command,
        within: Duration,
    ) -> Result<(u64, Outcome), RequestError> {
        let id = id.to_owned();
        self.ask(within, |until, reply| Order::Write { id, command, until, reply }).await
    }

    /// Has a command agreed some time; nobody waits for it, and it may be lost.
    pub fn propose(&self, command: Command) {
        let until = Instant::now() + self.election_timeout * 4;
        let (reply, _) = oneshot::channel();
        let _ = self.orders.try_send(Order::Write { id: String::new(), command, until, reply });
    }

    /// The state as a majority has it now: it holds all that was written before this was asked.
    pub async fn read(&self, within: Duration) -> Result<Arc<State>, RequestError> {
        self.ask(within, |until, reply| Order::Read { until, reply }).await
    }

    /// Has the members changed, through whoever leads.
    pub async fn change(
        &self,
        id: &str,
        change: MemberChange,
        within: Duration,
    ) -> Result<(), RequestError> {
        let asked = server::Asked::Change { id: id.to_owned(), change };
        self.at_leader(asked, within).await
    }

    /// Hands leadership to another member, through whoever leads.
    pub async fn transfer(&self, to: MemberId, within: Duration) -> Result<(), RequestError> {
        self.at_leader(server::Asked::Transfer { to }, within).await
    }

    /// Carries out at this member what only a leader may.
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
            // The leader may have changed in between.
            if done != Err(RequestError::OutcomeUnknown) || Instant::now() + self.election_timeout >= end {
                return done;
            }
            tokio::time::sleep(self.election_timeout / 4).await;
        }
    }

    /// Tells the leader something that is no matter of the log: only the newest of each kind counts. It may be lost.
    pub fn note(&self, kind: &str, text: String) {
        let leader = self.view().status.as_ref().map_or(0, |status| status.leader);
        match leader {
            0 => {}
            leader if leader == self.identity.member => self.notes.take(leader, kind.to_owned(), text),
            leader => self.links.note(leader, kind.to_owned(), text),
        }
    }

    /// The newest notes of a kind, by member, that are no older than this.
    pub fn notes(&self, kind: &str, no_older: Duration) -> BTreeMap<MemberId, String> {
        self.notes.of(kind, no_older)
    }

    /// Ends the member; what is agreed stays on its disk.
    pub fn stop(&self) {
        let _ = self.orders.try_send(Order::Stop);
    }
}
