//! HTTP client of discovery: fetches the endpoint list and watches it for changes.

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

/// Connect timeout to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connect timeout to the agent on the same machine.
const AGENT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Response timeout of discovery, well above discovery's own limit for a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Response timeout of the agent, which answers at once from what it holds.
const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A watch that delivers nothing for this long is dead. A live one sends at least an empty line every 2 s; on a
/// partitioned machine no other event would reveal the failure. Changes must arrive within 6 s of a watch going silent:
/// with an agent, this timeout, the longest backoff, the connection and the response add up to 4.9 s.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound for a list, and for a line of a watch.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Wait before the first retry of a watch that the client maintains itself; doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Number of times that the backoff doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// A command to the client.
pub enum ClientCommand {
    /// Start watching for changes, or stop.
    Watch(bool),
    /// Fetch the full list once.
    Fetch,
    /// Use discovery at another address from now on.
    SetAddress(SocketAddr),
}

/// What the client reports.
#[derive(Clone, Debug)]
pub enum Update {
    /// A list arrived: the full list, or changes.
    List(List),
    /// A command succeeded, and nothing has changed.
    Unchanged,
    /// A request failed or the watch ended, for this reason; the last list stays valid.
    Failed(String),
}

/// Who maintains the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// The client, from the start: it retries by itself with exponential backoff.
    Persistent,
    /// The client, towards an agent on the same machine. The agent answers cheaply, and is silent while discovery is
    /// down; the backoff stays constant so that the client gets new lists soon after discovery is back.
    LocalAgent,
    /// The caller, by [`ClientCommand::Watch`]: a failure is reported, and the caller decides when to retry.
    OnRequest,
}

/// A client of discovery, for a single-threaded runtime with a `LocalSet`.
pub struct Client {
    network: Rc<dyn Network>,
    address: Cell<SocketAddr>,
    mode: WatchMode,
    rev: Cell<u64>,
    /// A full list must be fetched before watching: the server may be another one, and versions of different servers
    /// don't compare.
    full_list_required: Cell<bool>,
    rng: RefCell<Pcg32>,
    on_update: Box<dyn Fn(Update)>,
}

impl Client {
    /// Creates a client of discovery at `address`. `seed` jitters the backoff; `on_update` receives each update.
    pub fn new(
        network: Rc<dyn Network>,
        address: SocketAddr,
        mode: WatchMode,
        seed: u64,
        on_update: impl Fn(Update) + 'static,
    ) -> Rc<Self> {
        let rng = RefCell::new(Pcg32::seed_from_u64(seed));
        let (rev, full_list_required) = Default::default();
        let address = Cell::new(address);
        Rc::new(Client {
            network,
            address,
            mode,
            rev,
            full_list_required,
            rng,
            on_update: Box::new(on_update),
        })
    }

    /// Fetches the full list before watching, whatever version is held.
    pub fn request_full_list(&self) {
        self.full_list_required.set(true);
    }

    /// Resumes from a list of version `rev` instead of fetching the full list.
    pub fn resume_from(&self, rev: u64) {
        self.rev.set(rev);
    }

    /// Executes commands until their channel is closed. Each command yields exactly one update; a watch then goes on
    /// to deliver more.
    pub async fn run(self: Rc<Self>, mut commands: UnboundedReceiver<ClientCommand>) {
        let mut watch = (self.mode != WatchMode::OnRequest).then(|| self.spawn_watch());
        let mut fetches = JoinSet::new();
        loop {
            let command = tokio::select! {
                biased;
                command = commands.recv() => command,
                Some(_) = fetches.join_next() => continue,
            };
            match command {
                None => return,
                Some(ClientCommand::Watch(true)) if self.mode != WatchMode::OnRequest => {
                    (self.on_update)(Update::Unchanged)
                } // the watch is always up
                Some(ClientCommand::Watch(true)) => drop(watch.replace(self.spawn_watch())),
                Some(ClientCommand::Watch(false)) => {
                    drop(watch.take());
                    (self.on_update)(Update::Unchanged);
                }
                Some(ClientCommand::Fetch) => drop(fetches.spawn_local(self.clone().fetch_once())),
                Some(ClientCommand::SetAddress(_)) if mutant("move-unheard") => {}
                Some(ClientCommand::SetAddress(address)) => {
                    self.address.set(address);
                    self.full_list_required.set(true);
                    // Drops responses of the old server, and sends open requests to the new one.
                    let open = fetches.len();
                    fetches = JoinSet::new();
                    for _ in 0..open {
                        fetches.spawn_local(self.clone().fetch_once());
                    }
                    // The old list stays in use until the new server's full list arrives. With
                    // `WatchMode::OnRequest` a failure is reported, and the caller retries.
                    drop(watch.replace(self.spawn_watch()));
                }
            }
        }
    }

    fn spawn_watch(self: &Rc<Self>) -> JoinSet<()> {
        let this = self.clone();
        let mut task = JoinSet::new(); // aborted on drop
        task.spawn_local(async move {
            match this.mode {
                WatchMode::Persistent | WatchMode::LocalAgent => this.watch_with_retries().await,
                WatchMode::OnRequest => {
                    let reason = this.watch_until_end().await;
                    this.report_failure(&reason);
                }
            }
        });
        task
    }

    async fn fetch_once(self: Rc<Self>) {
        match self.fetch().await {
            // The watch may have delivered a newer version in the meantime.
            Ok(list) if list.rev < self.rev.get() && !self.full_list_required.get() => {
                (self.on_update)(Update::Unchanged)
            }
            Ok(list) => self.accept_list(list),
            Err(reason) => self.report_failure(&reason),
        }
    }

    /// Keeps a watch open without commands from the caller, retrying with backoff.
    async fn watch_with_retries(&self) {
        let mut failures = 0;
        loop {
            let before = self.rev.get();
            let reason = self.watch_until_end().await;
            self.report_failure(&reason);
            let backoff_grows = self.mode != WatchMode::LocalAgent && self.rev.get() == before;
            failures = if backoff_grows { failures + 1 } else { 0 };
            let jitter = 0.5 + f64::from(self.rng.borrow_mut().next_u32()) / f64::from(u32::MAX);
            let doubled = INITIAL_BACKOFF * (1 << failures.min(MAX_BACKOFF_DOUBLINGS));
            tokio::time::sleep(doubled.mul_f64(jitter)).await;
        }
    }

    /// Watches for changes until the watch ends; returns the reason.
    async fn watch_until_end(&self) -> String {
        if self.full_list_required.get() {
            match self.fetch().await {
                Ok(list) if list.all => self.accept_list(list),
                Ok(_) => return "expected a full list, got changes".to_owned(),
                Err(reason) => return reason,
            }
        }
        let path =
            format!("/api/targets?watch=1&after={}", self.rev.get() + u64::from(mutant("watch-skips")));
        let (response, _connection) = match self.send_request(&path).await {
            Ok(answered) => answered,
            Err(reason) => return reason,
        };
        let mut body = response.into_body();
        let mut text = Vec::new();
        loop {
            let idle_timeout =
                if mutant("silence-unheard") { WATCH_IDLE_TIMEOUT * 1000 } else { WATCH_IDLE_TIMEOUT };
            match timeout(idle_timeout, body.frame()).await {
                Err(_) => return "the watch delivered nothing within the idle timeout".to_owned(),
                Ok(None) => return "the watch ended".to_owned(),
                Ok(Some(Err(e))) => return format!("the watch failed: {e}"),
                Ok(Some(Ok(frame))) => text.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d)),
            }
            // A list ends at the end of a line, but may span several lines.
            let read = if text.contains(&b'\n') {
                framing::parse_lists(&text)
            } else {
                Ok((Vec::new(), text.len()))
            };
            let (lists, rest) = match read {
                Ok(read) => read,
                // Skipping a change would leave the list wrong permanently; the watch is reopened instead.
                Err(e) => return format!("the watch delivered an invalid list: {e}"),
            };
            text.drain(..text.len() - rest);
            for list in lists {
                if list.rev < self.rev.get() && !list.all {
                    // A decreasing version means another server, even at the same address.
                    self.full_list_required.set(true);
                    return format!("the watch delivered version {} after {}", list.rev, self.rev.get());
                }
                self.accept_list(list);
            }
            if text.len() > MAX_LIST_BYTES {
                return "a line of the watch exceeds the size limit".to_owned();
            }
        }
    }

    async fn fetch(&self) -> Result<List, String> {
        let body = async {
            let (response, _connection) = self.send_request("/api/targets").await?;
            Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await.map_err(|e| e.to_string())
        };
        // The body gets no extra time: a response that stalls midway is retried as soon as one that never starts.
        let (connect, answer) = self.timeouts();
        let body = timeout(connect + answer, body)
            .await
            .map_err(|_| "the list did not arrive in time".to_owned())??;
        serde_json::from_slice(&body.to_bytes()).map_err(|e| format!("invalid list: {e}"))
    }

    /// The connect timeout and the response timeout.
    fn timeouts(&self) -> (Duration, Duration) {
        match self.mode {
            WatchMode::LocalAgent => (AGENT_CONNECT_TIMEOUT, AGENT_RESPONSE_TIMEOUT),
            WatchMode::Persistent | WatchMode::OnRequest => (CONNECT_TIMEOUT, RESPONSE_TIMEOUT),
        }
    }

    async fn send_request(
        &self,
        path: &str,
    ) -> Result<(Response<Incoming>, JoinSet<hyper::Result<()>>), String> {
        let (connect, answer) = self.timeouts();
        let connect = timeout(connect, self.network.connect(self.address.get())).await;
        let stream = connect.map_err(|_| "connecting timed out".to_owned())?.map_err(|e| e.to_string())?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|e| e.to_string())?;
        let mut guard = JoinSet::new(); // the connection is closed on drop
        guard.spawn_local(connection);
        let request = Request::get(path)
            .header(header::HOST, self.address.get().to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|e| e.to_string())?;
        let answer = timeout(answer, sender.send_request(request)).await;
        let response =
            answer.map_err(|_| "the response timed out".to_owned())?.map_err(|e| e.to_string())?;
        match response.status() {
            StatusCode::OK => Ok((response, guard)),
            status => Err(format!("discovery returned status {status}")),
        }
    }

    fn accept_list(&self, list: List) {
        self.rev.set(list.rev);
        if list.all {
            self.full_list_required.set(false);
        }
        if !list.targets.is_empty() {
            let sort = if list.all { "full list" } else { "changes" };
            log::info!("list: {sort}, rev {}, {} entries", list.rev, list.targets.len());
        }
        (self.on_update)(Update::List(list));
    }

    fn report_failure(&self, reason: &str) {
        log::info!("discovery: {reason}");
        (self.on_update)(Update::Failed(reason.to_owned()));
    }
}
