//! Which endpoints hold which prefixes of prompts.

use crate::list;
use deku::prelude::*;
use runtrack_balancer::EndpointId;
use runtrack_balancer::fleet::Placement;

/// A prefix of prompts that was sent to an endpoint, which keeps it for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct PrefixPlacement {
    /// The prefix, by its hash.
    pub prefix: u64,
    /// The endpoint, by the hash of its id.
    pub endpoint: u64,
    /// Tokens of the prefix's last part.
    pub part_tokens: u32,
}

impl From<Placement> for PrefixPlacement {
    fn from(placement: Placement) -> Self {
        PrefixPlacement {
            prefix: placement.prefix,
            endpoint: placement.endpoint.0,
            part_tokens: placement.part_tokens,
        }
    }
}

impl From<PrefixPlacement> for Placement {
    fn from(wire: PrefixPlacement) -> Self {
        Placement {
            prefix: wire.prefix,
            part_tokens: wire.part_tokens,
            endpoint: EndpointId(wire.endpoint),
        }
    }
}

/// Bytes of a [`PrefixPlacement`] on the wire.
pub const PLACEMENT_BYTES: usize = 20;

list! {
    /// Placements of prefixes.
    PrefixPlacements of PrefixPlacement
}
