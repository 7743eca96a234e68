//! The events of a round on one monotonic clock, stored as one JSON object per line.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Something that happened in a round. Times are in microseconds from the start of the round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event<D = EventKind> {
    /// Start of the event.
    pub began: u64,
    /// End of the event; `None`: its outcome is unknown.
    pub ended: Option<u64>,
    /// The process or client that the event belongs to.
    pub who: String,
    /// What happened.
    pub what: D,
}

/// An operation of a client, or an observation of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "did")]
pub enum EventKind {
    /// The rig injected or ended a fault.
    Fault {
        /// Description of the fault.
        what: String,
    },
    /// A client held back an endpoint, or released it.
    Hold {
        /// The endpoint.
        key: String,
        /// Whether it was held back or released.
        held: bool,
        /// Id of the write.
        id: String,
        /// Whether the write is known to have been refused.
        refused: bool,
    },
    /// A client read with majority consistency whether an endpoint is held back.
    Held {
        /// The endpoint.
        key: String,
        /// The value that was read.
        held: bool,
    },
    /// A client committed a version.
    Commit {
        /// Id of the write.
        id: String,
        /// Serial of the version; `None`: refused or unknown.
        serial: Option<u64>,
        /// Whether the commit is known to have been refused.
        refused: bool,
    },
    /// The versions that an instance retains at the end of the round.
    Versions {
        /// Serial and id of the write of each version.
        versions: Vec<(u64, String)>,
    },
    /// Status of an instance.
    Stood {
        /// Number of process starts in the round so far.
        run: u64,
        /// The instance's term.
        term: u64,
        /// Whether it was the leader.
        leads: bool,
        /// Index of the last applied log entry.
        index: u64,
        /// Number of endpoints that it reported as draining.
        draining: u64,
    },
    /// A proxy received a response.
    Told {
        /// Resource type.
        kind: String,
        /// Version string of the response.
        version: String,
        /// Highest serial among the clusters that the proxy holds.
        serial: u64,
    },
    /// Discovery marked an endpoint as draining.
    Drained {
        /// The endpoint.
        endpoint: String,
        /// Number of draining endpoints after this event.
        count: u64,
    },
    /// A proxy sent a request to a draining endpoint.
    Reached {
        /// The endpoint.
        endpoint: String,
        /// The proxy.
        proxy: String,
    },
    /// Outcome of waiting for recovery after all faults have ended.
    Back {
        /// The condition that was waited for.
        what: String,
        /// Whether it held within the time limit.
        well: bool,
    },
}

/// Collects the events of a round.
#[derive(Clone)]
pub struct History<D = EventKind> {
    started: Instant,
    events: Arc<Mutex<Vec<Event<D>>>>,
}

impl<D> Default for History<D> {
    fn default() -> Self {
        History { started: Instant::now(), events: Arc::default() }
    }
}

impl<D: Clone> History<D> {
    /// Current time in microseconds from the start of the round.
    pub fn now_micros(&self) -> u64 {
        self.micros_at(Instant::now())
    }

    /// Converts a moment to microseconds from the start of the round.
    pub fn micros_at(&self, moment: Instant) -> u64 {
        u64::try_from(moment.saturating_duration_since(self.started).as_micros()).unwrap_or(u64::MAX)
    }

    /// Records an event with a duration.
    pub fn record(&self, who: &str, began: u64, ended: Option<u64>, what: D) {
        let event = Event { began, ended, who: who.to_owned(), what };
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push(event);
    }

    /// Records an event that happens now.
    pub fn record_now(&self, who: &str, what: D) {
        let now = self.now_micros();
        self.record(who, now, Some(now), what);
    }

    /// All events, ordered by start.
    pub fn events(&self) -> Vec<Event<D>> {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner).clone();
        events.sort_by_key(|event| event.began);
        events
    }
}

/// Writes a history as JSON lines.
pub fn write<D: Serialize>(path: &Path, events: &[Event<D>]) -> io::Result<()> {
    let mut text = Vec::new();
    for event in events {
        serde_json::to_writer(&mut text, event)?;
        text.push(b'\n');
    }
    std::fs::File::create(path)?.write_all(&text)
}

/// Reads a history from JSON lines.
pub fn read<D: DeserializeOwned>(path: &Path) -> io::Result<Vec<Event<D>>> {
    let text = std::fs::read_to_string(path)?;
    text.lines().map(|line| serde_json::from_str(line).map_err(io::Error::from)).collect()
}
