//! The list of endpoints in discovery's JSON format.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A list from discovery: the full list, or the entries that changed.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct List {
    /// Version of the list at this server; versions of different servers don't compare.
    pub rev: u64,
    /// Whether this is the full list, so that endpoints missing from it are gone.
    pub all: bool,
    /// The entries. If an endpoint occurs twice, the last entry counts.
    pub targets: Vec<Target>,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Target {
    /// Its unique name, the same for every client.
    pub uid: String,
    /// Its address, as seen by this client.
    pub endpoint: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its machine type.
    #[serde(default)]
    pub model: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u64,
    /// Its state.
    pub state: State,
    /// Its registered capacity, relative to a usual endpoint (1).
    #[serde(default = "default_capacity_hint")]
    pub capacity_hint: f64,
    /// When its process last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

fn default_capacity_hint() -> f64 {
    1.0
}

/// An endpoint's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts requests.
    Up,
    /// Completes requests in flight, and must get no new ones.
    Draining,
    /// Removed; occurs in changes only.
    Removed,
}
