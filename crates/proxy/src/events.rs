//! Tracks the events of a stream (`text/event-stream`), so that it can be resumed behind the last complete one.

/// Maximum size in bytes of an event that is buffered; a stream with a larger one is forwarded but can't be resumed.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Number of last bytes that show whether a blank line has just ended.
const TAIL_BYTES: usize = 3;

/// Holds an event back until it is complete, and tracks the id of the last complete one.
#[derive(Debug, Default)]
pub struct EventTracker {
    partial: Vec<u8>,
    /// The last bytes of a stream that is forwarded as it is received.
    tail: Vec<u8>,
    last_id: Option<String>,
    /// Part of an event was forwarded: only the same endpoint can continue it.
    forwarded_in_parts: bool,
    /// The id behind which another endpoint is to resume, until its first event is received.
    resumed_after: Option<u64>,
    starts_over: bool,
}

impl EventTracker {
    /// Adds received bytes; returns those of the events that are complete now, if any.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        let from = self.partial.len().saturating_sub(TAIL_BYTES);
        self.partial.extend_from_slice(bytes);
        let end = last_blank_line(&self.partial, from);
        if end.is_none() && self.partial.len() > MAX_EVENT_BYTES {
            self.forwarded_in_parts = true;
            return Some(std::mem::take(&mut self.partial));
        }
        let end = end?;
        let rest = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, rest);
        self.note(&complete);
        Some(complete)
    }

    /// Tracks bytes that are forwarded as they are received.
    pub fn observe(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(TAIL_BYTES)..]);
        self.tail.drain(..self.tail.len().saturating_sub(TAIL_BYTES));
    }

    /// The part of an event that was received and buffered.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Whether the received bytes end within an event.
    pub fn is_within_event(&self) -> bool {
        !self.partial.is_empty() || (!self.tail.is_empty() && !ends_blank(&self.tail))
    }

    /// Another endpoint resumes behind the last complete event: the part of the next one is discarded and sent again.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.resumed_after = self.last_id.as_ref().and_then(|id| id.parse().ok());
    }

    /// Whether an endpoint that was to resume behind an event started with that event or an earlier one.
    pub fn starts_over(&self) -> bool {
        self.starts_over
    }

    /// The id of the last complete event, if the stream can be resumed behind it.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref().filter(|_| !self.forwarded_in_parts && !self.starts_over)
    }

    fn note(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id.strip_prefix(b" ").unwrap_or(id)).into_owned();
                let after = self.resumed_after.take();
                self.starts_over |= after.is_some_and(|after| id.parse().is_ok_and(|id: u64| id <= after));
                self.last_id = Some(id);
            }
        }
    }
}

/// The end of the last blank line that ends at or behind the offset `from`.
fn last_blank_line(bytes: &[u8], from: usize) -> Option<usize> {
    (from.max(1)..=bytes.len()).rev().find(|at| ends_blank(&bytes[..*at]))
}

fn ends_blank(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n") || bytes.ends_with(b"\r\r")
}
