//! What a history of operators and readers must be like, whatever serves them.

use runtrack_register::ReplaceConfig;
use std::collections::{BTreeMap, BTreeSet};

/// Something that an operator, a reader or a process saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An order was sent.
    Ordered { id: usize, version: u64 },
    /// It was acknowledged.
    Acknowledged { id: usize, version: u64 },
    /// It was refused for good.
    Refused { id: usize, version: u64 },
    /// A read began.
    ReadBegan { id: usize },
    /// It was answered.
    Read { id: usize, version: u64 },
    /// A process takes this for chosen.
    Chosen { sequence: u64, version: u64 },
    /// All is healed and read.
    Ended,
}

/// All that was seen, in the order of time, and the orders that were sent.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub events: Vec<Event>,
    pub orders: Vec<ReplaceConfig>,
}

/// What is wrong with a history; nothing where it is right.
pub fn check(history: &History) -> Option<String> {
    let base: BTreeMap<u64, u64> = history.orders.iter().map(|order| (order.version, order.base)).collect();
    let mut acknowledged = BTreeSet::new();
    let mut refused = BTreeSet::new();
    let mut chosen: BTreeMap<u64, u64> = BTreeMap::new();
    let mut began = BTreeMap::new();
    let (mut newest_seen, mut ended, mut read_at_end) = (0, false, None);
    for event in &history.events {
        match *event {
            Event::Ordered { id, version } => {
                began.insert(id, (newest_seen, refused.contains(&version)));
            }
            Event::Acknowledged { version, .. } => {
                let rival =
                    acknowledged.iter().find(|other| **other != version && base[*other] == base[&version]);
                if let Some(rival) = rival {
                    return Some(format!(
                        "{version} and {rival} on the same version are both acknowledged"
                    ));
                }
                if refused.contains(&version) {
                    return Some(format!("{version} was refused and is acknowledged"));
                }
                acknowledged.insert(version);
                newest_seen = newest_seen.max(version);
            }
            Event::Refused { version, .. } => {
                if acknowledged.contains(&version) {
                    return Some(format!("{version} was acknowledged and is refused"));
                }
                refused.insert(version);
            }
            Event::ReadBegan { id } => {
                began.insert(id, (newest_seen, false));
            }
            Event::Read { id, version } => {
                if version < began[&id].0 {
                    return Some(format!("{version} is read after {} was seen", began[&id].0));
                }
                if refused.contains(&version) {
                    return Some(format!("{version} was refused and is read"));
                }
                newest_seen = newest_seen.max(version);
                read_at_end = Some(version);
            }
            Event::Chosen { sequence, version } => {
                if let Some(other) = chosen.insert(sequence, version).filter(|other| *other != version) {
                    return Some(format!("at {sequence} both {other} and {version} are chosen"));
                }
                if refused.contains(&version) {
                    return Some(format!("{version} was refused and comes into force"));
                }
            }
            Event::Ended => ended = true,
        }
    }
    let lost =
        acknowledged.iter().next_back().filter(|newest| read_at_end.is_some_and(|read| read < **newest));
    match lost {
        Some(newest) => Some(format!("{newest} was acknowledged, and the end reads {read_at_end:?}")),
        None if !ended => Some("the history has no end".into()),
        None if read_at_end.is_none() => Some("nothing can be read at the end".into()),
        None => None,
    }
}
