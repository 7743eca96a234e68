//! A body on its way to the client: in what units it goes on, and whether it ends where it may.

use crate::events::EventTracker;
use crate::in_flight::ActiveResponse;
use crate::routed::RoutedRequest;
use bytes::Bytes;

/// How a body is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unit {
    /// As it comes, whatever it is.
    Bytes,
    /// As it comes, in events.
    Events,
    /// In whole events, so that another endpoint can go on behind each.
    WholeEvents,
}

/// A body on its way to the client.
pub(crate) struct Passage {
    unit: Unit,
    pub(crate) events: EventTracker,
}

impl Passage {
    /// Of a body of any kind.
    pub(crate) fn of_bytes() -> Self {
        Passage { unit: Unit::Bytes, events: EventTracker::default() }
    }

    /// Of a stream of events.
    pub(crate) fn of_events(request: &RoutedRequest) -> Self {
        let unit = if request.resumable { Unit::WholeEvents } else { Unit::Events };
        Passage { unit, events: EventTracker::default() }
    }

    /// What may go on to the client now.
    pub(crate) fn ready(&mut self, bytes: Bytes) -> Option<Bytes> {
        match self.unit {
            Unit::Bytes => {}
            Unit::Events => self.events.pass(&bytes),
            Unit::WholeEvents => return self.events.take(&bytes).map(Bytes::from),
        }
        Some(bytes)
    }

    /// What was held back.
    pub(crate) fn rest(&self) -> Bytes {
        Bytes::copy_from_slice(self.events.partial())
    }

    /// The event behind which another endpoint could go on.
    pub(crate) fn resumes_after(&self) -> Option<&str> {
        self.events.last_id().filter(|_| self.unit == Unit::WholeEvents)
    }

    /// Whether an answer that has ended was cut: without a length its connection's end tells nothing, and no stream ends
    /// within an event.
    pub(crate) fn is_cut(&self, active: &ActiveResponse) -> bool {
        active.started.ends_with_connection && self.events.is_within_event()
    }
}
