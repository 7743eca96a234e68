//! Rounds of the fleet's own processes: controllers and agents on loopback addresses of their own, with operators,
//! endpoints and listeners at the agents' feeds that belong to the rig.

pub mod check;
mod cluster;
mod cuts;
pub mod draw;
mod endpoint;
mod faults;
mod feed;
pub mod history;
mod http;
mod operator;
pub mod register;
mod round;
pub mod script;

pub use round::play;
