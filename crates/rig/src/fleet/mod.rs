//! Rounds of the fleet's processes: controllers and agents on loopback addresses of their own, with simulated
//! operators, endpoints and clients of the agents' feeds.

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
