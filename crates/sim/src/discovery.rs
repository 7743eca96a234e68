//! Discovery: it knows which endpoints are there, and tells it late, in part, or not at all, as the script says.

use crate::facts::Told;
use crate::http::Reader;
use crate::net::Stream;
use crate::script::Fault;
use crate::world::{PORT, UNIX, World, discovery_at, endpoint_ip, ms, number_of};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep_until, timeout};

/// An empty line comes this often.
const QUIET: Duration = Duration::from_secs(2);
/// Versions of the server that discovery moves to don't compare with those of the first.
const OTHER_REVS: u64 = 100_000;
/// After a move the old server ends this much later.
const OLD_ENDS: u32 = 1500;

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
    /// The version in which it changed last.
    rev: u64,
}

/// Discovery.
pub struct Discovery {
    world: Rc<World>,
    entries: RefCell<Vec<Entry>>,
    /// Rises with each change, and with each break: the version, and how many breaks there were.
    changes: Cell<(u64, u64)>,
    /// How often all watches have fallen silent.
    silences: Cell<u64>,
    /// Wakes in the order of waiting; a `watch` channel's order is random.
    changed: Notify,
}

impl Discovery {
    /// It knows of the endpoints that are there from the start.
    pub fn new(world: Rc<World>) -> Rc<Discovery> {
        let entry = |endpoint| Entry { endpoint, state: State::Up, boot: None, rev: 1 };
        let entries = RefCell::new((0..world.script.endpoints).map(entry).collect());
        let (changes, silences) = (Cell::new((1, 0)), Cell::new(0));
        Rc::new(Discovery { world, entries, changes, silences, changed: Notify::new() })
    }

    /// The whole list, as a sidecar is given it at its start.
    pub fn list(&self) -> Value {
        self.text(0, 0, true).0
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
        self.world.facts.borrow_mut().known.push((endpoint, now, state == State::Up));
        self.changes.set((rev, self.changes.get().1));
        self.changed.notify_waiters();
    }

    /// What changed after a version, or all; and who is in it.
    fn text(&self, server: u32, after: u64, all: bool) -> (Value, Vec<(u32, bool)>) {
        let rev = self.changes.get().0 + u64::from(server) * OTHER_REVS;
        let after = after.saturating_sub(u64::from(server) * OTHER_REVS);
        let entries = self.entries.borrow();
        let wanted = entries.iter().filter(|e| if all { e.state != State::Removed } else { e.rev > after });
        let (mut targets, mut named) = (Vec::new(), Vec::new());
        for entry in wanted {
            let state = match entry.state {
                State::Up => "up",
                State::Draining => "draining",
                State::Removed => "removed",
            };
            let at = SocketAddr::new(endpoint_ip(entry.endpoint), PORT);
            let zone = if entry.endpoint.is_multiple_of(2) { "a" } else { "b" };
            let boot = entry.boot.map_or(0, |boot| (UNIX + boot).as_millis() as u64);
            targets.push(
                json!({"uid": format!("e{}", entry.endpoint), "endpoint": at.to_string(), "az": zone,
                "model": "m", "pod_group": 1, "state": state, "capacity_hint": 1.0, "boot_ms": boot}),
            );
            named.push((entry.endpoint, entry.state == State::Up));
        }
        if all {
            // Who is missing from a whole list is gone.
            let gone = entries.iter().filter(|entry| entry.state == State::Removed);
            named.extend(gone.map(|entry| (entry.endpoint, false)));
        }
        (json!({"rev": rev, "all": all, "targets": targets}), named)
    }

    /// Plays what the script says.
    pub fn play(self: Rc<Self>) {
        let world = self.world.clone();
        let mut turns: Vec<(u32, Turn)> = Vec::new();
        let mut next = world.script.endpoints;
        for fault in &world.script.faults {
            match fault {
                Fault::Drains { endpoint, at, lasts } => {
                    turns.push((*at, Turn::State(*endpoint, State::Draining, false)));
                    turns.push((at + lasts, Turn::State(*endpoint, State::Removed, false)));
                }
                Fault::Wavers { endpoint, at, lasts } => {
                    turns.push((*at, Turn::State(*endpoint, State::Draining, false)));
                    turns.push((at + lasts, Turn::State(*endpoint, State::Up, false)));
                }
                Fault::Dies { endpoint, at, lasts } => {
                    turns.push((at + 300, Turn::State(*endpoint, State::Removed, false)));
                    turns.push((at + (*lasts).max(400) + 100, Turn::State(*endpoint, State::Up, true)));
                }
                Fault::Joins { at, count } => {
                    turns.extend((next..next + count).map(|n| (at + 100, Turn::State(n, State::Up, true))));
                    next += count;
                }
                Fault::WatchesBreak { at } | Fault::DiscoveryDown { at, .. } => {
                    turns.push((*at, Turn::Break))
                }
                Fault::WatchesSilent { at } => turns.push((*at, Turn::Silence)),
                _ => {}
            }
        }
        turns.sort_by_key(|(at, _)| *at);
        let this = self.clone();
        spawn_local(async move {
            for (at, turn) in turns {
                sleep_until(this.world.at(at)).await;
                match turn {
                    Turn::Silence => {
                        this.silences.set(this.silences.get() + 1);
                        this.changed.notify_waiters();
                    }
                    Turn::Break => {
                        let (rev, breaks) = this.changes.get();
                        this.changes.set((rev, breaks + 1));
                        this.changed.notify_waiters();
                    }
                    Turn::State(endpoint, state, booted) => {
                        let boot = {
                            let facts = this.world.facts.borrow();
                            let started =
                                facts.started.iter().rev().find(|(e, _)| booted && *e == endpoint);
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
                    Some(at) => drop(tokio::time::timeout_at(this.world.at(at + OLD_ENDS), serve).await),
                    None => serve.await,
                }
            });
        }
        for fault in &world.script.faults {
            if let Fault::DiscoveryDown { at, lasts } | Fault::DiscoveryLags { at, lasts } = fault {
                world.facts.borrow_mut().dark.push((ms(*at), ms(at + lasts)));
            }
        }
    }

    async fn serve(self: Rc<Self>, server: u32) {
        let Ok(listener) = self.world.wires.listen(discovery_at(server)) else { return };
        let mut connections = JoinSet::new();
        while let Ok(stream) = listener.next().await {
            connections.spawn_local(self.clone().connection(server, stream));
        }
    }

    /// Until when it is down or tells nothing new, if it is.
    fn until(&self, down: bool) -> Option<tokio::time::Instant> {
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

    async fn connection(self: Rc<Self>, server: u32, mut stream: Stream) {
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
        if self.until(true).is_some() {
            return; // down: the call ends with nothing
        }
        let Some((_, query)) = message.first.split_once("watch=1&after=") else {
            let (list, named) = self.text(server, 0, true);
            let text = list.to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            if stream.write_all(answer.as_bytes()).await.is_ok() {
                self.told(&stream, &named);
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
                // Open, until the other side ends it.
                let mut bytes = [0; 16];
                while stream.read(&mut bytes).await? > 0 {}
                return Ok(());
            }
            if let Some(until) = self.until(false) {
                let broken = async {
                    while self.changes.get().1 == breaks {
                        self.changed.notified().await;
                    }
                };
                let _ = tokio::time::timeout_at(until, broken).await;
            }
            if self.changes.get().1 != breaks || self.until(true).is_some() {
                stream.abort();
                return Ok(());
            }
            // A version of another server is none of ours: it gets all.
            let all = after < u64::from(server) * OTHER_REVS || after >= u64::from(server + 1) * OTHER_REVS;
            let (list, named) = self.text(server, after, all);
            if first || !named.is_empty() {
                after = list["rev"].as_u64().unwrap_or(after);
                let line = format!("{list}\n");
                stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
                self.told(stream, &named);
                first = false;
            }
            // What has changed while this was written is told at once.
            let seen = self.changes.get();
            let told = seen.0 + u64::from(server) * OTHER_REVS <= after;
            if told && timeout(QUIET, self.changed.notified()).await.is_err() {
                stream.write_all(b"1\r\n\n\r\n").await?;
            }
        }
    }

    /// Notes what has just been written to a sidecar.
    fn told(&self, stream: &Stream, named: &[(u32, bool)]) {
        let Some((0, sidecar)) = stream.peer().map(number_of) else { return };
        let Some((_, at)) = self.world.wires.write_times(stream.link(), 1, stream.written()) else {
            return;
        };
        let at = self.world.since(at);
        let told =
            named.iter().map(|(endpoint, ready)| Told { sidecar, endpoint: *endpoint, at, ready: *ready });
        self.world.facts.borrow_mut().told.extend(told);
    }
}

enum Turn {
    State(u32, State, bool),
    Break,
    Silence,
}
