//! Deltas between two configurations, so that the size of an update depends on the change and not on the configuration.
//!
//! A body is divided into [`Chunk`]s, one for each named item of its lists. A peer with an older body receives the steps
//! that turn it into the newer one: runs of chunks that it already has, and the compressed bytes of the others. The
//! result is identical to the operator's body, which its digest verifies before the result is used. If the digest does
//! not match, or the peer has a different base, the whole body is sent instead. The crate performs no I/O and reads no
//! clock.

mod chunk;
mod chunked;
mod compression;
mod history;

pub use chunk::{Chunk, ConfigDigest};
pub use chunked::{ChunkedBody, DeltaError};
pub use history::{BaseDigests, ConfigHistory};
