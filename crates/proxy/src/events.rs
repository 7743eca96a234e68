//! Follows a stream of events (`text/event-stream`), so that it can be cut at the end of one and gone on with.

/// Bytes of an event that has not come whole; a stream with longer ones is passed on but can't be gone on with.
const MAX_EVENT: usize = 256 << 10;

/// Holds back what has come of an event until it is whole, and knows the id of the last whole one.
#[derive(Debug, Default)]
pub struct EventTracker {
    partial: Vec<u8>,
    last_id: Option<String>,
    whole: u64,
}

impl EventTracker {
    /// The bytes of the events that are whole now, if any are.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        let from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let end = last_blank_line(&self.partial, from);
        if end.is_none() && self.partial.len() > MAX_EVENT {
            return Some(std::mem::take(&mut self.partial));
        }
        let end = end?;
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        self.note(&whole);
        Some(whole)
    }

    /// What has come of an event that is not whole.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Drops what has come of an event that is not whole: it will come again from elsewhere.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whole events so far.
    pub fn events(&self) -> u64 {
        self.whole
    }

    fn note(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id.strip_prefix(b" ").unwrap_or(id)).into_owned();
                self.last_id = Some(id);
                self.whole += 1;
            }
        }
    }
}

/// The end of the last blank line that ends at or behind a place.
fn last_blank_line(bytes: &[u8], from: usize) -> Option<usize> {
    let ends = |at: usize| {
        bytes[..at].ends_with(b"\n\n") || bytes[..at].ends_with(b"\n\r\n") || bytes[..at].ends_with(b"\r\r")
    };
    (from.max(1)..=bytes.len()).rev().find(|at| ends(*at))
}
