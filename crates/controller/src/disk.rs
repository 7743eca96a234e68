//! The member's disk: records in rings, one of promises, one of values, one for each generation of leaves and one of
//! placements, behind a trait, so that a slow or stalled disk holds up nothing else.
//!
//! This file holds what is kept and the trait; `rings` is the format, `thread` writes it to a folder.

mod error;
mod rings;
mod thread;

pub use error::{DiskError, WriteError};
pub use rings::Rings;
pub use thread::DiskThread;

use runtrack_message::{Endpoint, PrefixPlacements};
use runtrack_net::mutant;
use runtrack_register::{Durable, PromiseRecord, ValueRecord};
use runtrack_registry::LeaveRecord;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// A record that a member must keep across restarts.
#[derive(Clone, Debug)]
pub enum Record {
    /// A promise.
    Promise(PromiseRecord),
    /// An accepted value.
    Value(Box<ValueRecord>),
    /// Endpoints that leave.
    Leaves(LeaveRecord),
    /// Placements of prompt prefixes. Only a hint: losing it costs time alone.
    Placements(PrefixPlacements),
    /// The ready endpoints known to this process. Also a hint: heartbeats repeat it.
    Endpoints(Vec<Endpoint>),
}

/// A write in progress; resolves once the record is durable, or to the error.
pub type Persisting = Pin<Box<dyn Future<Output = Result<(), WriteError>>>>;

/// Where a member keeps its records.
pub trait MemberDisk {
    /// Writes a record; it is durable once this has ended well.
    fn persist(&self, record: Record) -> Persisting;
    /// The leaves that were on it when it was opened.
    fn leaves(&self) -> Vec<LeaveRecord>;
    /// The placements of prefixes that were on it when it was opened.
    fn placements(&self) -> PrefixPlacements {
        PrefixPlacements::default()
    }
    /// The endpoints that were ready when the last process on it wrote them.
    fn endpoints(&self) -> Vec<Endpoint> {
        Vec::new()
    }
}

/// The member's disk, whatever it is.
#[derive(Clone)]
pub(crate) struct Disk(pub(crate) Rc<dyn MemberDisk>);

impl Disk {
    /// Writes an acceptor's durable state for this incarnation; returns whether that succeeded.
    pub async fn persist(&self, incarnation: u64, durable: Durable) -> bool {
        let record = match durable {
            Durable::Promise(promised) => Record::Promise(PromiseRecord { incarnation, promised }),
            Durable::Value(accepted) => Record::Value(Box::new(ValueRecord {
                incarnation,
                ballot: accepted.ballot,
                value: (*accepted.value).clone(),
            })),
        };
        let promise = matches!(record, Record::Promise(_));
        if promise && mutant("promise-not-kept") || !promise && mutant("value-not-kept") {
            return true;
        }
        self.0.persist(record).await.is_ok() || mutant("refused-write-counts")
    }
}
