//! Tracks the events of a stream (`text/event-stream`), so that it can be resumed after the last complete one.

/// Maximum size in bytes of a buffered event; a stream with a larger one is forwarded but can't be resumed.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Number of trailing bytes needed to detect that a blank line has just ended.
const TAIL_BYTES: usize = 3;

/// Buffers an event until it is complete, and tracks the id of the last complete one.
#[derive(Debug, Default)]
pub struct EventTracker {
    partial: Vec<u8>,
    /// The last [`TAIL_BYTES`] of a stream that is forwarded as it is received.
    tail: Vec<u8>,
    last_id: Option<String>,
    /// Part of an event was forwarded, so that only the same endpoint can continue the stream.
    forwarded_in_parts: bool,
    /// The id after which another endpoint should resume, until its first event is received.
    resumed_after: Option<u64>,
    repeats_events: bool,
}

impl EventTracker {
    /// Adds received bytes; returns those of the events that are complete now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        let search_start = self.partial.len().saturating_sub(TAIL_BYTES);
        self.partial.extend_from_slice(bytes);
        let end = last_blank_line_end(&self.partial, search_start);
        if end.is_none() && self.partial.len() > MAX_EVENT_BYTES {
            self.forwarded_in_parts = true;
            return Some(std::mem::take(&mut self.partial));
        }
        let end = end?;
        let rest = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, rest);
        self.record_ids(&complete);
        Some(complete)
    }

    /// Tracks bytes that are forwarded as they are received, without buffering.
    pub fn observe(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(TAIL_BYTES)..]);
        self.tail.drain(..self.tail.len().saturating_sub(TAIL_BYTES));
    }

    /// The buffered part of an incomplete event.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Whether the received bytes end within an event.
    pub fn is_within_event(&self) -> bool {
        !self.partial.is_empty() || (!self.tail.is_empty() && !ends_with_blank_line(&self.tail))
    }

    /// Prepares for another endpoint to resume after the last complete event: the buffered part of the next event is
    /// discarded, since that endpoint sends it again.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.resumed_after = self.last_id.as_ref().and_then(|id| id.parse().ok());
    }

    /// Whether an endpoint that should have resumed after an event started with that event or an earlier one.
    pub fn repeats_events(&self) -> bool {
        self.repeats_events
    }

    /// The id of the last complete event, if the stream can be resumed after it.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref().filter(|_| !self.forwarded_in_parts && !self.repeats_events)
    }

    fn record_ids(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id.strip_prefix(b" ").unwrap_or(id)).into_owned();
                let after = self.resumed_after.take();
                self.repeats_events |=
                    after.is_some_and(|after| id.parse().is_ok_and(|id: u64| id <= after));
                self.last_id = Some(id);
            }
        }
    }
}

/// The end of the last blank line that ends at or after the offset `start`.
fn last_blank_line_end(bytes: &[u8], start: usize) -> Option<usize> {
    (start.max(1)..=bytes.len()).rev().find(|end| ends_with_blank_line(&bytes[..*end]))
}

fn ends_with_blank_line(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n") || bytes.ends_with(b"\r\r")
}
