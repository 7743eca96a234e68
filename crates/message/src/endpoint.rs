//! What the fleet knows of one incarnation of an endpoint.

use crate::{Text, list};
use deku::prelude::*;

/// Whether requests may go there. Only rises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum EndpointState {
    /// They may.
    #[deku(id = "0")]
    Ready,
    /// It finishes what it has, and takes nothing new.
    #[deku(id = "1")]
    Draining,
    /// It has ended.
    #[deku(id = "2")]
    Gone,
}

/// Weights that an endpoint holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Model {
    /// Name.
    pub name: Text,
    /// Version.
    pub version: u64,
}

list! {
    /// Weights that an endpoint holds.
    Models of Model
}

/// One incarnation of an endpoint, as its heartbeat of the highest `call_seq` reported.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Endpoint {
    /// Its id: new at each start.
    pub id: Text,
    /// Service that it belongs to.
    pub service: Text,
    /// IPv4 address.
    pub ip: u32,
    /// Port.
    pub port: u16,
    /// Zone.
    pub zone: Text,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// Its state.
    pub state: EndpointState,
    /// Milliseconds for which it stays slow after its start, as of that heartbeat.
    pub warmup_left_ms: u32,
    /// Rises with each call of the endpoint.
    pub call_seq: u64,
    /// Weights that it holds.
    pub models: Models,
}
