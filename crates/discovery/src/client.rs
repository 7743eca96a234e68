//! Asks discovery for the list and follows its changes.

use crate::framing;
use crate::list::List;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_net::{Network, mutant};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// A connection to discovery that is not up after this long has failed ...
const CONNECT: Duration = Duration::from_secs(1);
/// ... and one to the agent on this machine after this long.
const AGENT_CONNECT: Duration = Duration::from_millis(500);
/// A call not answered after this long has failed: discovery itself gives up well before ...
const ANSWER: Duration = Duration::from_secs(3);
/// ... and the agent, which answers at once, with what it has.
const AGENT_ANSWER: Duration = Duration::from_secs(1);
/// A watch brings at least an empty line every 2 s: one silent for this long is dead, as that of a
/// machine cut off is, which nothing else would ever tell. What a silent watch misses counts as told 6 s after it fell
/// silent: this, the longest wait before the next try, its connection and its answer come to 4.9 s with an agent.
const SILENCE: Duration = Duration::from_secs(3);
/// No list, and no line of a watch, is longer than this.
const LIST_MOST: usize = 4 << 20;
/// First wait before a watch that the node keeps up itself is tried again; doubles with each failure.
const BACKOFF: Duration = Duration::from_millis(250);
/// Doublings of that wait.
const BACKOFF_DOUBLES: u32 = 4;

/// What may be asked of the client.
pub enum ClientCommand {
    /// Follow changes, or stop.
    Watch(bool),
    /// Ask for the whole list once.
    Fetch,
    /// Discovery is at another address from now on.
    SetAddress(SocketAddr),
}

/// What the client has to tell.
#[derive(Clone, Debug)]
pub enum Update {
    /// A list came, whole or changes.
    List(List),
    /// A call was answered, and nothing is new.
    Unchanged,
    /// A call failed or the watch ended, for this reason; the list stands.
    Failed(String),
}

/// Who keeps the watch up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// The client, from the start and for good: it tries again by itself, with growing waits.
    Persistent,
    /// The same, of an agent on this machine, which answers at once and at no cost, and is silent while discovery is
    /// down: what it gets at the return counts as told at once, so that the waits do not grow.
    LocalAgent,
    /// The caller, by [`ClientCommand::Watch`]: a failure is told, and the caller decides when to ask again.
    OnRequest,
}

/// A client of discovery, for a single-threaded runtime with a `LocalSet`.
pub struct Client {
    network: Rc<dyn Network>,
    address: Cell<SocketAddr>,
    mode: WatchMode,
    rev: Cell<u64>,
    /// The server is new: its versions don't compare with those of the list held, so that a whole list
    /// must come first, whatever its number.
    moved: Cell<bool>,
    draws: RefCell<Pcg32>,
    tell: Box<dyn Fn(Update)>,
}

impl Client {
    /// A client of discovery at this address. `seed` jitters its waits; `tell` takes all it has to tell.
    pub fn new(
        network: Rc<dyn Network>,
        address: SocketAddr,
        mode: WatchMode,
        seed: u64,
        tell: impl Fn(Update) + 'static,
    ) -> Rc<Self> {
        let draws = RefCell::new(Pcg32::seed_from_u64(seed));
        let (rev, moved) = Default::default();
        let address = Cell::new(address);
        Rc::new(Client { network, address, mode, rev, moved, draws, tell: Box::new(tell) })
    }

    /// Asks for the whole list before it follows changes, whatever version is held.
    pub fn request_full_list(&self) {
        self.moved.set(true);
    }

    /// Goes on from a list of this version instead of asking for all.
    pub fn resume_from(&self, rev: u64) {
        self.rev.set(rev);
    }

    /// Carries out the caller's calls. Each is answered by exactly one event; a watch then goes on.
    pub async fn run(self: Rc<Self>, mut calls: UnboundedReceiver<ClientCommand>) {
        let mut watch = (self.mode != WatchMode::OnRequest).then(|| self.watch());
        let mut fetches = JoinSet::new();
        loop {
            let call = tokio::select! {
                biased;
                call = calls.recv() => call,
                Some(_) = fetches.join_next() => continue,
            };
            match call {
                None => return,
                Some(ClientCommand::Watch(true)) if self.mode != WatchMode::OnRequest => {
                    (self.tell)(Update::Unchanged)
                } // it is up already
                Some(ClientCommand::Watch(true)) => drop(watch.replace(self.watch())),
                Some(ClientCommand::Watch(false)) => {
                    drop(watch.take());
                    (self.tell)(Update::Unchanged);
                }
                Some(ClientCommand::Fetch) => drop(fetches.spawn_local(self.clone().fetch_once())),
                Some(ClientCommand::SetAddress(_)) if mutant("move-unheard") => {}
                Some(ClientCommand::SetAddress(address)) => {
                    self.address.set(address);
                    self.moved.set(true);
                    // Nothing of the old server may come in any more; what was asked of it is asked anew.
                    let open = fetches.len();
                    fetches = JoinSet::new();
                    for _ in 0..open {
                        fetches.spawn_local(self.clone().fetch_once());
                    }
                    // The old list goes on until the new server's whole list is there. Where the
                    // module has to ask, a failure here is told, and it asks again.
                    drop(watch.replace(self.watch()));
                }
            }
        }
    }

    fn watch(self: &Rc<Self>) -> JoinSet<()> {
        let this = self.clone();
        let mut task = JoinSet::new(); // ends with its holder
        task.spawn_local(async move {
            match this.mode {
                WatchMode::Persistent | WatchMode::LocalAgent => this.keep_watch().await,
                WatchMode::OnRequest => {
                    let reason = this.follow().await;
                    this.failed(&reason);
                }
            }
        });
        task
    }

    async fn fetch_once(self: Rc<Self>) {
        match self.fetch().await {
            // It may be older than what the watch has brought since.
            Ok(list) if list.rev < self.rev.get() && !self.moved.get() => (self.tell)(Update::Unchanged),
            Ok(list) => self.take(list),
            Err(reason) => self.failed(&reason),
        }
    }

    /// Where lists are pushed, a watch must always be up: the module never asks for one.
    async fn keep_watch(&self) {
        let mut failures = 0;
        loop {
            let before = self.rev.get();
            let reason = self.follow().await;
            self.failed(&reason);
            let grows = self.mode != WatchMode::LocalAgent && self.rev.get() == before;
            failures = if grows { failures + 1 } else { 0 };
            let jitter = 0.5 + f64::from(self.draws.borrow_mut().next_u32()) / f64::from(u32::MAX);
            let doubled = BACKOFF * (1 << failures.min(BACKOFF_DOUBLES));
            tokio::time::sleep(doubled.mul_f64(jitter)).await;
        }
    }

    /// Follows changes until the watch ends; gives the reason.
    async fn follow(&self) -> String {
        if self.moved.get() {
            match self.fetch().await {
                Ok(list) if list.all => self.take(list),
                Ok(_) => return "the list is not whole".to_owned(),
                Err(reason) => return reason,
            }
        }
        let path =
            format!("/api/targets?watch=1&after={}", self.rev.get() + u64::from(mutant("watch-skips")));
        let (response, _connection) = match self.call(&path).await {
            Ok(answered) => answered,
            Err(reason) => return reason,
        };
        let mut body = response.into_body();
        let mut text = Vec::new();
        loop {
            let silence = if mutant("silence-unheard") { SILENCE * 1000 } else { SILENCE };
            match timeout(silence, body.frame()).await {
                Err(_) => return "the watch fell silent".to_owned(),
                Ok(None) => return "the watch ended".to_owned(),
                Ok(Some(Err(e))) => return format!("the watch broke: {e}"),
                Ok(Some(Ok(frame))) => text.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d)),
            }
            // A list ends with its line, but may be laid out over several.
            let read =
                if text.contains(&b'\n') { framing::whole(&text) } else { Ok((Vec::new(), text.len())) };
            let (lists, rest) = match read {
                Ok(read) => read,
                // To skip a change would leave the list wrong for good: the watch begins again instead.
                Err(e) => return format!("the watch brought what is no list: {e}"),
            };
            text.drain(..text.len() - rest);
            for list in lists {
                if list.rev < self.rev.get() && !list.all {
                    // Not the server that the list held is from, whatever its address.
                    self.moved.set(true);
                    return format!("the watch brought version {} after {}", list.rev, self.rev.get());
                }
                self.take(list);
            }
            if text.len() > LIST_MOST {
                return "the watch brought too long a line".to_owned();
            }
        }
    }

    async fn fetch(&self) -> Result<List, String> {
        let whole = async {
            let (response, _connection) = self.call("/api/targets").await?;
            Limited::new(response.into_body(), LIST_MOST).collect().await.map_err(|e| e.to_string())
        };
        // As long as for an answer's beginning: one that falls silent in the middle is asked for anew as soon.
        let (connect, answer) = self.limits();
        let body =
            timeout(connect + answer, whole).await.map_err(|_| "the list never came".to_owned())??;
        serde_json::from_slice(&body.to_bytes()).map_err(|e| format!("no list: {e}"))
    }

    /// How long a connection to discovery and its answer may take.
    fn limits(&self) -> (Duration, Duration) {
        match self.mode {
            WatchMode::LocalAgent => (AGENT_CONNECT, AGENT_ANSWER),
            WatchMode::Persistent | WatchMode::OnRequest => (CONNECT, ANSWER),
        }
    }

    async fn call(&self, path: &str) -> Result<(Response<Incoming>, JoinSet<hyper::Result<()>>), String> {
        let (connect, answer) = self.limits();
        let connect = timeout(connect, self.network.connect(self.address.get())).await;
        let stream = connect.map_err(|_| "no connection in time".to_owned())?.map_err(|e| e.to_string())?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|e| e.to_string())?;
        let mut guard = JoinSet::new(); // the connection ends with its holder
        guard.spawn_local(connection);
        let request = Request::get(path)
            .header(header::HOST, self.address.get().to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|e| e.to_string())?;
        let answer = timeout(answer, sender.send_request(request)).await;
        let response = answer.map_err(|_| "no answer in time".to_owned())?.map_err(|e| e.to_string())?;
        match response.status() {
            StatusCode::OK => Ok((response, guard)),
            status => Err(format!("answered {status}")),
        }
    }

    fn take(&self, list: List) {
        self.rev.set(list.rev);
        if list.all {
            self.moved.set(false);
        }
        if !list.targets.is_empty() {
            let sort = if list.all { "whole list" } else { "changes" };
            log::info!("list: {sort}, rev {}, {} entries", list.rev, list.targets.len());
        }
        (self.tell)(Update::List(list));
    }

    fn failed(&self, reason: &str) {
        log::info!("discovery: {reason}");
        (self.tell)(Update::Failed(reason.to_owned()));
    }
}
