//! The simulator's line protocol: parsing of input lines and formatting of actions.

mod fields;
mod names;
mod parse;
mod print;
mod settings;
mod settings_json;

use crate::types::{EndpointInfo, Event, Settings};
use std::time::Duration;
use thiserror::Error;

pub use names::EndpointNames;
pub use parse::parse_line;
pub use print::{format_action, format_panic};
pub use settings::parse_settings;

/// An error in a line of input.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("line {line}: field `{field}`: {problem}")]
pub struct WireError {
    /// Line number, from 1.
    pub line: u64,
    /// The invalid field.
    pub field: String,
    /// Description of the error.
    pub problem: String,
}

/// A line of input.
#[derive(Debug)]
pub enum Line {
    /// A batch begins at this time.
    BatchStart(Duration),
    /// The batch is complete.
    BatchEnd,
    /// A numbered endpoint list begins.
    EndpointList {
        /// The list's number.
        list_id: u8,
        /// Number of entries that follow.
        entries: usize,
    },
    /// An entry of the current endpoint list.
    ListEntry(EndpointInfo),
    /// A balancer instance starts.
    StartInstance {
        /// The instance.
        instance: u32,
        /// Its seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// A balancer instance was stopped.
    StopInstance(u32),
    /// An update from discovery for an instance.
    Discovery {
        /// The instance.
        instance: u32,
        /// The kind of update.
        update: DiscoveryUpdate,
        /// The list with its entries.
        list_id: u8,
    },
    /// Any other event.
    Event {
        /// The instance.
        instance: u32,
        /// The request's name on the wire, if it concerns one.
        name: Option<String>,
        /// The event; the host fills in the request's id.
        event: Event,
    },
}

/// The kinds of discovery updates, with their letter on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryUpdate {
    /// `D`
    Delta,
    /// `F`
    Full,
    /// `C`
    Cached,
    /// `X`
    Failed,
}
