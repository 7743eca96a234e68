//! Follows a stream of events (`text/event-stream`), so that it can be cut at the end of one and resumed.

/// Bytes of an event that has not come whole; a stream with longer ones is passed on but can't be resumed.
const MAX_EVENT: usize = 256 << 10;
/// Bytes that tell whether a blank line has just ended.
const TAIL: usize = 3;

/// Holds back what has come of an event until it is whole, and knows the id of the last whole one.
#[derive(Debug, Default)]
pub struct EventTracker {
    partial: Vec<u8>,
    /// The last bytes of a stream that is passed on as it comes.
    tail: Vec<u8>,
    last_id: Option<String>,
    /// Part of an event was passed on: what follows it can come from the same endpoint only.
    passed_in_parts: bool,
    /// The id behind which another endpoint is to go on, until its first event has come.
    resumed_after: Option<u64>,
    starts_over: bool,
}

impl EventTracker {
    /// The bytes of the events that are whole now, if any are.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        let from = self.partial.len().saturating_sub(TAIL);
        self.partial.extend_from_slice(bytes);
        let end = last_blank_line(&self.partial, from);
        if end.is_none() && self.partial.len() > MAX_EVENT {
            self.passed_in_parts = true;
            return Some(std::mem::take(&mut self.partial));
        }
        let end = end?;
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        self.note(&whole);
        Some(whole)
    }

    /// Notes bytes that go on as they come.
    pub fn pass(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(TAIL)..]);
        self.tail.drain(..self.tail.len().saturating_sub(TAIL));
    }

    /// What has come of an event that is not whole, and was held back.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Whether what has come ends within an event.
    pub fn is_within_event(&self) -> bool {
        !self.partial.is_empty() || (!self.tail.is_empty() && !ends_blank(&self.tail))
    }

    /// Another endpoint is to go on behind the last whole event: what has come of the next one will come again.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.resumed_after = self.last_id.as_ref().and_then(|id| id.parse().ok());
    }

    /// Whether an endpoint that was to go on behind an event began with that event or an earlier one.
    pub fn starts_over(&self) -> bool {
        self.starts_over
    }

    /// The id of the last whole event, where a stream can be resumed behind it.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref().filter(|_| !self.passed_in_parts && !self.starts_over)
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

/// The end of the last blank line that ends at or behind a place.
fn last_blank_line(bytes: &[u8], from: usize) -> Option<usize> {
    (from.max(1)..=bytes.len()).rev().find(|at| ends_blank(&bytes[..*at]))
}

fn ends_blank(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n") || bytes.ends_with(b"\r\r")
}
