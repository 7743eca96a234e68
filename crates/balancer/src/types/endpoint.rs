//! Endpoints as discovery tells of them.

use super::{CellId, EndpointId, MachineTypeId, ZoneId};
use std::time::Duration;

/// What discovery says of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Which endpoint.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub machine_type: MachineTypeId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it may be sent to.
    pub state: EndpointState,
    /// Its weight, see [`WeightKind`](crate::WeightKind).
    pub weight: f64,
    /// When its process last started; `None` means long ago.
    pub started_at: Option<Duration>,
}

impl EndpointInfo {
    /// A warm, ready endpoint of zone 0, for tests and first steps.
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

/// An endpoint's standing in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// May be sent to.
    Ready,
    /// Finishing its work; nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// How an endpoint stands with a balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus<'a> {
    /// What discovery says of it.
    pub info: &'a EndpointInfo,
    /// The part of its capacity that it surely has: below one while it is cold.
    pub capacity_fraction: f64,
    /// Recent failures there as calls in flight; zero for an endpoint that is well.
    pub failure_penalty: f64,
    /// Own calls in flight there.
    pub in_flight: u32,
}

/// What discovery brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Membership {
    /// The complete list: what is missing from it is gone.
    Full(Vec<EndpointInfo>),
    /// The complete list as last held, possibly stale; brought at the start.
    Cached(Vec<EndpointInfo>),
    /// Changed entries only.
    Delta(Vec<EndpointInfo>),
    /// A call to discovery failed or the subscription broke; the list stays.
    Failed,
}
