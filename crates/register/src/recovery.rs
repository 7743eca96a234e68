//! Recovery of a member from the records on its disk (`record.rs`) when its process starts. Whether the disk is the newest
//! one is another question, which `watermark.rs` answers with the help of the other members.

use crate::acceptor::Acceptor;
use crate::record::{PromiseRecord, ValueRecord};

/// What was recovered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Recovery {
    /// The disk is empty: a member that has never run, or one that lost its disk.
    Empty,
    /// Records that can't be read, or a value without a promise. What the member has promised is not known, so it must
    /// not go on under its incarnation.
    Damaged,
    /// The acceptor as of its last durable record.
    Member(Acceptor),
}

/// Recovers the member whose newest promise and value these are; `None` where there is no such record on the disk.
pub fn recover(promise: Option<&[u8]>, value: Option<&[u8]>) -> Recovery {
    if promise.is_none() && value.is_none() {
        return Recovery::Empty;
    }
    let (Ok(promise), Ok(value)) =
        (promise.map(PromiseRecord::read).transpose(), value.map(ValueRecord::read).transpose())
    else {
        return Recovery::Damaged;
    };
    Acceptor::recover(promise, value).map_or(Recovery::Damaged, Recovery::Member)
}
