//! What happens: events, and how attempts end.

use super::{AttemptNo, ClassId, EndpointId, Membership, RequestId, TenantId, TimerToken};
use std::time::Duration;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News from discovery.
    Membership(Membership),
    /// A request arrived and is owed one final answer.
    Request(Request),
    /// A streamed answer has begun; the client owns the attempt now.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The client left, or its answer is overdue; nothing is owed any more.
    RequestGone(RequestId),
    /// The host ends: its final answer is due now.
    GiveUp(RequestId),
    /// A timer came due.
    Timer(TimerToken),
    /// A probe ended.
    ProbeEnded {
        /// The endpoint asked.
        endpoint: EndpointId,
        /// How it went.
        outcome: Outcome,
        /// Time since sending.
        elapsed: Duration,
        /// The values of [`LoadReports::fields`](crate::LoadReports::fields), if any came.
        report: Option<Vec<f64>>,
    },
    /// A message from another balancer of this tier.
    PeerMessage {
        /// The sender's number.
        from: u32,
        /// What it said.
        payload: Vec<u8>,
    },
}

impl Event {
    /// A plain request of class 0 and tenant 0.
    pub fn request(id: RequestId, time_left: Duration) -> Self {
        Event::Request(Request {
            id,
            class: ClassId(0),
            tenant: TenantId(0),
            time_left,
            work_hint: None,
            key: None,
            client_retry: false,
            write: false,
        })
    }
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Time until the client gives this try up.
    pub time_left: Duration,
    /// Expected work on a standard core, where known.
    pub work_hint: Option<Duration>,
    /// What it is about; requests with one key belong together.
    pub key: Option<u64>,
    /// The client says this is a repeat.
    pub client_retry: bool,
    /// It writes.
    pub write: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since sending.
    pub elapsed: Duration,
    /// The request is finished, by this outcome or before it.
    pub finished: bool,
    /// The values of [`LoadReports::fields`](crate::LoadReports::fields), if any came.
    pub report: Option<Vec<f64>>,
}

/// The ways an attempt or probe can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection came up.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
