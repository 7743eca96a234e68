//! Forwarding of response bodies: the unit in which bytes are forwarded, and detection of truncated bodies.

use crate::events::EventTracker;
use crate::in_flight::ActiveResponse;
use crate::routed::RoutedRequest;
use bytes::Bytes;

/// Unit in which a body is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unit {
    /// Bytes of any content, as they are received.
    Bytes,
    /// Bytes of an event stream, as they are received.
    Events,
    /// Complete events, so that another endpoint can resume the stream after each.
    CompleteEvents,
}

/// State of forwarding a body.
pub(crate) struct ResponseRelay {
    unit: Unit,
    pub(crate) events: EventTracker,
}

impl ResponseRelay {
    /// Creates the state for a body of any content.
    pub(crate) fn for_bytes() -> Self {
        ResponseRelay { unit: Unit::Bytes, events: EventTracker::default() }
    }

    /// Creates the state for an event stream.
    pub(crate) fn for_events(request: &RoutedRequest) -> Self {
        let unit = if request.resumable { Unit::CompleteEvents } else { Unit::Events };
        ResponseRelay { unit, events: EventTracker::default() }
    }

    /// Adds received bytes; returns what may be forwarded now.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        match self.unit {
            Unit::Bytes => {}
            Unit::Events => self.events.observe(&bytes),
            Unit::CompleteEvents => return self.events.push(&bytes).map(Bytes::from),
        }
        Some(bytes)
    }

    /// The buffered bytes, which have not been forwarded.
    pub(crate) fn remainder(&self) -> Bytes {
        Bytes::copy_from_slice(self.events.partial())
    }

    /// Id of the event after which another endpoint could resume the stream; `None` if the stream can't be resumed.
    pub(crate) fn resumable_after(&self) -> Option<&str> {
        self.events.last_id().filter(|_| self.unit == Unit::CompleteEvents)
    }

    /// Whether a response that has ended was truncated: a body that ends with its connection must not end within an
    /// event.
    pub(crate) fn is_truncated(&self, active: &ActiveResponse) -> bool {
        active.started.ends_with_connection && self.events.is_within_event()
    }
}
