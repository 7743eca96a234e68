//! Forwarding a response body: in which units, and whether it ended at a valid point.

use crate::events::EventTracker;
use crate::in_flight::ActiveResponse;
use crate::routed::RoutedRequest;
use bytes::Bytes;

/// Unit in which a body is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unit {
    /// Bytes as they are received, of any content.
    Bytes,
    /// Bytes as they are received, of a stream of events.
    Events,
    /// Complete events, so that another endpoint can resume the stream behind each.
    CompleteEvents,
}

/// State of forwarding a body.
pub(crate) struct ResponseRelay {
    unit: Unit,
    pub(crate) events: EventTracker,
}

impl ResponseRelay {
    /// For a body of any content.
    pub(crate) fn for_bytes() -> Self {
        ResponseRelay { unit: Unit::Bytes, events: EventTracker::default() }
    }

    /// For a stream of events.
    pub(crate) fn for_events(request: &RoutedRequest) -> Self {
        let unit = if request.resumable { Unit::CompleteEvents } else { Unit::Events };
        ResponseRelay { unit, events: EventTracker::default() }
    }

    /// Adds received bytes; returns what may be forwarded now.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        match self.unit {
            Unit::Bytes => {}
            Unit::Events => self.events.observe(&bytes),
            Unit::CompleteEvents => return self.events.take(&bytes).map(Bytes::from),
        }
        Some(bytes)
    }

    /// The bytes that were buffered.
    pub(crate) fn remainder(&self) -> Bytes {
        Bytes::copy_from_slice(self.events.partial())
    }

    /// Id of the event behind which another endpoint could resume the stream.
    pub(crate) fn resumes_after(&self) -> Option<&str> {
        self.events.last_id().filter(|_| self.unit == Unit::CompleteEvents)
    }

    /// Whether a response that has ended was truncated: a body that ends with its connection may not end within an event.
    pub(crate) fn is_truncated(&self, active: &ActiveResponse) -> bool {
        active.started.ends_with_connection && self.events.is_within_event()
    }
}
