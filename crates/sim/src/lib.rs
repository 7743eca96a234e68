//! A virtual world for the sidecar's real network code. One thread, one clock that moves only when nothing is left to
//! do, one seed: the same script gives the same run. What the code under test does is judged by [`oracle`], from the
//! world's facts alone.

pub mod agreement;
pub mod campaign;
mod client;
mod discovery;
pub mod draw;
mod endpoint;
pub mod facts;
pub mod fleet;
mod gate;
pub mod http;
pub mod mutants;
pub mod net;
pub mod oracle;
pub mod run;
pub mod script;
pub mod shrink;
pub mod timeline;
mod world;
