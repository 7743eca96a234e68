//! Endpoints and their membership as reported by discovery.

use super::{CellId, EndpointId, MachineTypeId, ZoneId};
use std::time::Duration;

/// An endpoint as reported by discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Its id.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Its deduplication cell.
    pub cell: CellId,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// Its weight, see [`WeightKind`](crate::WeightKind).
    pub weight: f64,
    /// When its process last started; `None`: long ago.
    pub started_at: Option<Duration>,
}

impl EndpointInfo {
    /// A warm, ready endpoint in zone 0 with weight 1, for tests and examples.
    pub fn ready(id: u64) -> Self {
        EndpointInfo {
            id: EndpointId(id),
            zone: ZoneId(0),
            machine_type: MachineTypeId(0),
            cell: CellId(0),
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: None,
        }
    }
}

/// Lifecycle state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new requests.
    Ready,
    /// Finishes its work; takes no new requests.
    Draining,
    /// No longer exists.
    Removed,
}

/// An endpoint's state as a balancer sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus<'a> {
    /// Its entry from discovery.
    pub info: &'a EndpointInfo,
    /// Fraction of its capacity that it has at least: below one while it is cold.
    pub capacity_fraction: f64,
    /// Recent failures, in units of calls in flight; zero for a healthy endpoint.
    pub failure_penalty: f64,
    /// This balancer's calls in flight there.
    pub in_flight: u32,
}

/// An update from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum Membership {
    /// The complete list; endpoints missing from it are removed.
    Full(Vec<EndpointInfo>),
    /// The last known complete list, possibly stale; given at the start.
    Cached(Vec<EndpointInfo>),
    /// Changed entries only.
    Delta(Vec<EndpointInfo>),
    /// A call to discovery failed or the subscription broke; the list is kept.
    Failed,
}
