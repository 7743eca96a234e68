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

pub use names::Names;
pub use parse::parse;
pub use print::{print, print_fault};
pub use settings::settings;

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
    Turn(Duration),
    /// The batch is complete.
    Flush,
    /// A numbered list begins; so many entries follow.
    Table {
        /// Its number.
        bank: u8,
        /// Entries that follow.
        entries: usize,
    },
    /// An entry of a list.
    Entry(EndpointInfo),
    /// An instance starts.
    Spawn {
        /// The instance.
        instance: u32,
        /// Its seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance was killed.
    Detach(u32),
    /// Discovery's news for an instance.
    Targets {
        /// The instance.
        instance: u32,
        /// What sort of news.
        mode: ListMode,
        /// The list that holds the entries.
        bank: u8,
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
pub enum ListMode {
    /// `D`
    Changes,
    /// `F`
    Full,
    /// `C`
    Cached,
    /// `X`
    Failed,
}
