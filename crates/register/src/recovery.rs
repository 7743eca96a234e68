//! What can be made of a member's disk after a start.

use crate::acceptor::Acceptor;
use crate::record::{PromiseRecord, ValueRecord};

/// What a disk holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Recovery {
    /// Nothing: it is empty.
    Empty,
    /// Records that can't be read, or a value without a promise. What the member has promised is not known, so it must
    /// not go on under its incarnation.
    Damaged,
    /// A member.
    Member(Acceptor),
}

/// Makes out which member the newest records of a disk are of.
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
