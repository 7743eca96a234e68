//! Differences between two configurations, so that the bytes of a change follow the change and not the configuration.
//!
//! A body is divided into [`Chunk`]s, one for each named item of its lists. Whoever has an older body is sent the steps
//! that lead from there to the newer one: runs of chunks that it has already, and the bytes of the others, compressed.
//! The result is the operator's body to the byte, which its digest proves before anybody sees it; where it does not, or
//! where the base is another one, the whole body is sent instead. No I/O and no clock.

mod chunk;
mod chunked;
mod compression;
mod history;

pub use chunk::{Chunk, ConfigDigest};
pub use chunked::{ChunkedBody, DeltaError};
pub use history::{BaseDigests, ConfigHistory};
