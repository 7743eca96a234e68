//! What happened, on one monotonic clock, a JSON line each.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Something that happened. Times are microseconds from the start of the round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event<D = EventKind> {
    /// When it began.
    pub began: u64,
    /// When it was known to have ended; none: whether it took place is not known.
    pub ended: Option<u64>,
    /// Who did it.
    pub who: String,
    /// What.
    pub what: D,
}

/// What somebody did or saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "did")]
pub enum EventKind {
    /// The rig did something to the world.
    Fault {
        /// In words.
        what: String,
    },
    /// Somebody had an endpoint held back, or released.
    Hold {
        /// The endpoint.
        key: String,
        /// Held or released.
        held: bool,
        /// The write's id.
        id: String,
        /// It was refused for certain.
        refused: bool,
    },
    /// Somebody read, as a majority has it, whether an endpoint is held back.
    Held {
        /// The endpoint.
        key: String,
        /// What was read.
        held: bool,
    },
    /// Somebody had a version committed.
    Commit {
        /// The write's id.
        id: String,
        /// As which serial; none: it was refused, or is not known.
        serial: Option<u64>,
        /// It was refused for certain.
        refused: bool,
    },
    /// The versions at an instance in the end.
    Versions {
        /// Serial and id of the write of each.
        versions: Vec<(u64, String)>,
    },
    /// How an instance stood.
    Stood {
        /// Its run.
        run: u64,
        /// The term.
        term: u64,
        /// Whether it led.
        leads: bool,
        /// Up to where it had applied the log.
        index: u64,
        /// Endpoints that it showed as draining.
        draining: u64,
    },
    /// A proxy was told something.
    Told {
        /// The type.
        kind: String,
        /// The version, in the service's words.
        version: String,
        /// The highest serial among what it holds.
        serial: u64,
    },
    /// An endpoint began to drain, as discovery has it.
    Drained {
        /// Which.
        endpoint: String,
        /// How many drain now.
        count: u64,
    },
    /// A request reached an endpoint that drained.
    Reached {
        /// Which.
        endpoint: String,
        /// From this proxy.
        proxy: String,
    },
    /// Something came back after all was healed.
    Back {
        /// What.
        what: String,
        /// Whether it did within its time.
        well: bool,
    },
}

/// The history of a round.
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
    /// Now.
    pub fn now_micros(&self) -> u64 {
        self.micros_at(Instant::now())
    }

    /// A moment.
    pub fn micros_at(&self, moment: Instant) -> u64 {
        u64::try_from(moment.saturating_duration_since(self.started).as_micros()).unwrap_or(u64::MAX)
    }

    /// Notes something that took a time.
    pub fn record(&self, who: &str, began: u64, ended: Option<u64>, what: D) {
        let event = Event { began, ended, who: who.to_owned(), what };
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push(event);
    }

    /// Notes something that happened now.
    pub fn record_now(&self, who: &str, what: D) {
        let now = self.now_micros();
        self.record(who, now, Some(now), what);
    }

    /// All that happened, by when it began.
    pub fn events(&self) -> Vec<Event<D>> {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner).clone();
        events.sort_by_key(|event| event.began);
        events
    }
}

/// Writes a history, a line an event.
pub fn write<D: Serialize>(path: &Path, events: &[Event<D>]) -> io::Result<()> {
    let mut text = Vec::new();
    for event in events {
        serde_json::to_writer(&mut text, event)?;
        text.push(b'\n');
    }
    std::fs::File::create(path)?.write_all(&text)
}

/// Reads a history.
pub fn read<D: DeserializeOwned>(path: &Path) -> io::Result<Vec<Event<D>>> {
    let text = std::fs::read_to_string(path)?;
    text.lines().map(|line| serde_json::from_str(line).map_err(io::Error::from)).collect()
}
