//! Passing a response body on: in which units, and whether it ended at a valid point.

use crate::events::EventTracker;
use crate::in_flight::ActiveResponse;
use crate::routed::RoutedRequest;
use bytes::Bytes;

/// Unit in which a body is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unit {
    /// Bytes as they are received, of any content.
    Bytes,
    /// Bytes as they are received, of a stream of events.
    Events,
    /// Whole events, so that another endpoint can resume the stream behind each.
    WholeEvents,
}

/// State of passing a body on.
pub(crate) struct Passage {
    unit: Unit,
    pub(crate) events: EventTracker,
}

impl Passage {
    /// For a body of any content.
    pub(crate) fn of_bytes() -> Self {
        Passage { unit: Unit::Bytes, events: EventTracker::default() }
    }

    /// For a stream of events.
    pub(crate) fn of_events(request: &RoutedRequest) -> Self {
        let unit = if request.resumable { Unit::WholeEvents } else { Unit::Events };
        Passage { unit, events: EventTracker::default() }
    }

    /// Adds received bytes; returns what may be passed on now.
    pub(crate) fn ready(&mut self, bytes: Bytes) -> Option<Bytes> {
        match self.unit {
            Unit::Bytes => {}
            Unit::Events => self.events.pass(&bytes),
            Unit::WholeEvents => return self.events.take(&bytes).map(Bytes::from),
        }
        Some(bytes)
    }

    /// The bytes that were held back.
    pub(crate) fn rest(&self) -> Bytes {
        Bytes::copy_from_slice(self.events.partial())
    }

    /// Id of the event behind which another endpoint could resume the stream.
    pub(crate) fn resumes_after(&self) -> Option<&str> {
        self.events.last_id().filter(|_| self.unit == Unit::WholeEvents)
    }

    /// Whether a response that has ended was truncated: a body that ends with its connection may not end within an event.
    pub(crate) fn is_cut(&self, active: &ActiveResponse) -> bool {
        active.started.ends_with_connection && self.events.is_within_event()
    }
}
