//! Simulated discovery service: lists the endpoints and streams changes, late, partially or not at all, as scripted.

use crate::facts::EndpointNotice;
use crate::http::Reader;
use crate::net::Stream;
use crate::script::Fault;
use crate::world::{PORT, START_UNIX_TIME, World, discovery_at, endpoint_ip, host_kind_and_number, ms};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep_until, timeout};

/// Interval of empty lines on an idle watch.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Separates the revisions of the two servers, which are not comparable with each other.
const REV_OFFSET_PER_SERVER: u64 = 100_000;
/// Time from the move to the second server until the first one stops.
const OLD_SERVER_SHUTDOWN_MS: u32 = 1500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    Draining,
    Removed,
}

struct Entry {
    endpoint: u32,
    state: State,
    boot: Option<Duration>,
    /// Revision of its last change.
    rev: u64,
}

/// The simulated discovery service.
pub struct Discovery {
    world: Rc<World>,
    entries: RefCell<Vec<Entry>>,
    /// The current revision, and how often all watches were broken.
    changes: Cell<(u64, u64)>,
    /// How often all open watches stopped sending.
    silences: Cell<u64>,
    /// Wakes waiters in order; a `watch` channel would wake them in random order.
    changed: Notify,
}

impl Discovery {
    /// Creates the service with the endpoints that exist from the start.
    pub fn new(world: Rc<World>) -> Rc<Discovery> {
        let entry = |endpoint| Entry { endpoint, state: State::Up, boot: None, rev: 1 };
        let entries = RefCell::new((0..world.script.endpoints).map(entry).collect());
        let (changes, silences) = (Cell::new((1, 0)), Cell::new(0));
        Rc::new(Discovery { world, entries, changes, silences, changed: Notify::new() })
    }

    /// The full endpoint list, for a sidecar's initial configuration.
    pub fn list(&self) -> Value {
        self.render_list(0, 0, true).0
    }

    fn change(&self, endpoint: u32, state: State, boot: Option<Duration>) {
        let now = self.world.now();
        let rev = self.changes.get().0 + 1;
        let mut entries = self.entries.borrow_mut();
        match entries.iter_mut().find(|entry| entry.endpoint == endpoint) {
            Some(entry) => (entry.state, entry.boot, entry.rev) = (state, boot.or(entry.boot), rev),
            None => entries.push(Entry { endpoint, state, boot, rev }),
        }
        drop(entries);
        self.world.facts.borrow_mut().discovery_states.push((endpoint, now, state == State::Up));
        self.changes.set((rev, self.changes.get().1));
        self.changed.notify_waiters();
    }

    /// The changes after a revision, or the full list, and the endpoints (number, ready) that it mentions.
    fn render_list(&self, server: u32, after: u64, all: bool) -> (Value, Vec<(u32, bool)>) {
        let rev = self.changes.get().0 + u64::from(server) * REV_OFFSET_PER_SERVER;
        let after = after.saturating_sub(u64::from(server) * REV_OFFSET_PER_SERVER);
        let entries = self.entries.borrow();
        let wanted = entries.iter().filter(|e| if all { e.state != State::Removed } else { e.rev > after });
        let (mut targets, mut listed) = (Vec::new(), Vec::new());
        for entry in wanted {
            let state = match entry.state {
                State::Up => "up",
                State::Draining => "draining",
                State::Removed => "removed",
            };
            let at = SocketAddr::new(endpoint_ip(entry.endpoint), PORT);
            let zone = if entry.endpoint.is_multiple_of(2) { "a" } else { "b" };
            let boot = entry.boot.map_or(0, |boot| (START_UNIX_TIME + boot).as_millis() as u64);
            targets.push(
                json!({"uid": format!("e{}", entry.endpoint), "endpoint": at.to_string(), "az": zone,
                "model": "m", "pod_group": 1, "state": state, "capacity_hint": 1.0, "boot_ms": boot}),
            );
            listed.push((entry.endpoint, entry.state == State::Up));
        }
        if all {
            // An endpoint that a full list omits is removed.
            let gone = entries.iter().filter(|entry| entry.state == State::Removed);
            listed.extend(gone.map(|entry| (entry.endpoint, false)));
        }
        (json!({"rev": rev, "all": all, "targets": targets}), listed)
    }

    /// Starts the servers and schedules the script's discovery events.
    pub fn start(self: Rc<Self>) {
        let world = self.world.clone();
        let mut steps: Vec<(u32, Step)> = Vec::new();
        let mut next = world.script.endpoints;
        for fault in &world.script.faults {
            match fault {
                Fault::Drains { endpoint, at, lasts } => {
                    steps.push((*at, Step::State(*endpoint, State::Draining, false)));
                    steps.push((at + lasts, Step::State(*endpoint, State::Removed, false)));
                }
                Fault::Wavers { endpoint, at, lasts } => {
                    steps.push((*at, Step::State(*endpoint, State::Draining, false)));
                    steps.push((at + lasts, Step::State(*endpoint, State::Up, false)));
                }
                Fault::Dies { endpoint, at, lasts } => {
                    steps.push((at + 300, Step::State(*endpoint, State::Removed, false)));
                    steps.push((at + (*lasts).max(400) + 100, Step::State(*endpoint, State::Up, true)));
                }
                Fault::Joins { at, count } => {
                    steps.extend((next..next + count).map(|n| (at + 100, Step::State(n, State::Up, true))));
                    next += count;
                }
                Fault::WatchesBreak { at } | Fault::DiscoveryDown { at, .. } => {
                    steps.push((*at, Step::Break))
                }
                Fault::WatchesSilent { at } => steps.push((*at, Step::Silence)),
                _ => {}
            }
        }
        steps.sort_by_key(|(at, _)| *at);
        let this = self.clone();
        spawn_local(async move {
            for (at, step) in steps {
                sleep_until(this.world.at(at)).await;
                match step {
                    Step::Silence => {
                        this.silences.set(this.silences.get() + 1);
                        this.changed.notify_waiters();
                    }
                    Step::Break => {
                        let (rev, breaks) = this.changes.get();
                        this.changes.set((rev, breaks + 1));
                        this.changed.notify_waiters();
                    }
                    Step::State(endpoint, state, booted) => {
                        let boot = {
                            let facts = this.world.facts.borrow();
                            let started =
                                facts.endpoint_starts.iter().rev().find(|(e, _)| booted && *e == endpoint);
                            started.map(|(_, at)| *at)
                        };
                        this.change(endpoint, state, boot);
                    }
                }
            }
        });
        let moves = world
            .script
            .faults
            .iter()
            .find_map(|f| if let Fault::Moves { at } = f { Some(*at) } else { None });
        for server in 0..2 {
            let this = self.clone();
            spawn_local(async move {
                let serve = this.clone().serve(server);
                match moves.filter(|_| server == 0) {
                    Some(at) => drop(
                        tokio::time::timeout_at(this.world.at(at + OLD_SERVER_SHUTDOWN_MS), serve).await,
                    ),
                    None => serve.await,
                }
            });
        }
        for fault in &world.script.faults {
            if let Fault::DiscoveryDown { at, lasts } | Fault::DiscoveryLags { at, lasts } = fault {
                world.facts.borrow_mut().discovery_outages.push((ms(*at), ms(at + lasts)));
            }
        }
    }

    async fn serve(self: Rc<Self>, server: u32) {
        let Ok(listener) = self.world.network.listen(discovery_at(server)) else { return };
        let mut connections = JoinSet::new();
        while let Ok(stream) = listener.next().await {
            connections.spawn_local(self.clone().handle_connection(server, stream));
        }
    }

    /// The end of the current outage (`down`) or lag, if there is one.
    fn outage_end(&self, down: bool) -> Option<tokio::time::Instant> {
        let now = self.world.now().as_millis() as u32;
        let windows = self.world.script.faults.iter().filter_map(|fault| match fault {
            Fault::DiscoveryDown { at, lasts } if down => Some((*at, at + lasts)),
            Fault::DiscoveryLags { at, lasts } if !down => Some((*at, at + lasts)),
            _ => None,
        });
        windows
            .filter(|(from, until)| (*from..*until).contains(&now))
            .map(|(_, until)| self.world.at(until))
            .max()
    }

    async fn handle_connection(self: Rc<Self>, server: u32, mut stream: Stream) {
        let (mut reader, mut bytes) = (Reader::default(), [0; 2048]);
        let message = loop {
            match reader.next_message() {
                Ok(Some(message)) => break message,
                Ok(None) => match stream.read(&mut bytes).await {
                    Ok(count) if count > 0 => reader.feed(&bytes[..count]),
                    _ => return,
                },
                Err(_) => return,
            }
        };
        if self.outage_end(true).is_some() {
            return; // down: closes without a response
        }
        let Some((_, query)) = message.first.split_once("watch=1&after=") else {
            let (list, listed) = self.render_list(server, 0, true);
            let text = list.to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            if stream.write_all(answer.as_bytes()).await.is_ok() {
                self.record_notices(&stream, &listed);
            }
            return;
        };
        let after = query.split(' ').next().and_then(|rev| rev.parse().ok()).unwrap_or(0);
        let _ = self.watch(server, &mut stream, after).await;
    }

    async fn watch(&self, server: u32, stream: &mut Stream, mut after: u64) -> std::io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let (breaks, silences) = (self.changes.get().1, self.silences.get());
        let mut first = true;
        loop {
            if self.silences.get() != silences {
                // Keeps the watch open until the peer closes it.
                let mut bytes = [0; 16];
                while stream.read(&mut bytes).await? > 0 {}
                return Ok(());
            }
            if let Some(until) = self.outage_end(false) {
                let broken = async {
                    while self.changes.get().1 == breaks {
                        self.changed.notified().await;
                    }
                };
                let _ = tokio::time::timeout_at(until, broken).await;
            }
            if self.changes.get().1 != breaks || self.outage_end(true).is_some() {
                stream.abort();
                return Ok(());
            }
            // A revision of the other server is unknown here, so the full list is sent.
            let all = after < u64::from(server) * REV_OFFSET_PER_SERVER
                || after >= u64::from(server + 1) * REV_OFFSET_PER_SERVER;
            let (list, listed) = self.render_list(server, after, all);
            if first || !listed.is_empty() {
                after = list["rev"].as_u64().unwrap_or(after);
                let line = format!("{list}\n");
                stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
                self.record_notices(stream, &listed);
                first = false;
            }
            // Changes that occurred during the write are sent at once.
            let seen = self.changes.get();
            let up_to_date = seen.0 + u64::from(server) * REV_OFFSET_PER_SERVER <= after;
            if up_to_date && timeout(KEEPALIVE_INTERVAL, self.changed.notified()).await.is_err() {
                stream.write_all(b"1\r\n\n\r\n").await?;
            }
        }
    }

    /// Records the endpoint states that were just written to a sidecar.
    fn record_notices(&self, stream: &Stream, listed: &[(u32, bool)]) {
        let Some((0, sidecar)) = stream.peer().map(host_kind_and_number) else { return };
        let Some((_, at)) = self.world.network.write_times(stream.link(), 1, stream.written()) else {
            return;
        };
        let at = self.world.time_of(at);
        let notices = listed.iter().map(|(endpoint, ready)| EndpointNotice {
            sidecar,
            endpoint: *endpoint,
            at,
            ready: *ready,
        });
        self.world.facts.borrow_mut().notices.extend(notices);
    }
}

enum Step {
    State(u32, State, bool),
    Break,
    Silence,
}
