//! The simulator's wire, parsed and printed. Nothing here decides anything.

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

/// What is wrong with a line of input.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("line {line}: field `{field}`: {problem}")]
pub struct WireError {
    /// Number of the line, from 1.
    pub line: u64,
    /// The field at fault.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

/// One line of input.
#[derive(Debug)]
pub enum Line {
    /// A batch begins, at this time.
    BatchStart(Duration),
    /// The batch is complete.
    BatchEnd,
    /// A numbered list begins; so many entries follow.
    EndpointList {
        /// Its number.
        list_id: u8,
        /// Entries that follow.
        entries: usize,
    },
    /// An entry of a list.
    ListEntry(EndpointInfo),
    /// An instance starts.
    StartInstance {
        /// The instance.
        instance: u32,
        /// Its seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance was killed.
    StopInstance(u32),
    /// Discovery's news for an instance.
    Discovery {
        /// The instance.
        instance: u32,
        /// What sort of news.
        update: DiscoveryUpdate,
        /// The list that holds the entries.
        list_id: u8,
    },
    /// Any other event, with the request's name where it has one.
    Event {
        /// The instance.
        instance: u32,
        /// The request's name on the wire.
        name: Option<String>,
        /// What happened; a request's id is filled in by the host.
        event: Event,
    },
}

/// The sorts of discovery news.
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
