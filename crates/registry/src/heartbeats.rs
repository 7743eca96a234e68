//! Time of the last heartbeat of each endpoint. Only time without a gap in the feed of heartbeats counts as missed.

use std::collections::BTreeMap;
use std::time::Duration;

/// The feed counts as interrupted after this many heartbeat intervals without a heartbeat of any endpoint.
const FEED_GAP: u32 = 2;

/// Time of the last heartbeat of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatTable {
    last: BTreeMap<u64, Duration>,
    feed: Option<Feed>,
}

/// A period in which heartbeats arrived without a gap.
#[derive(Clone, Copy, Debug)]
struct Feed {
    since: Duration,
    last: Duration,
}

impl HeartbeatTable {
    /// Heartbeats of these endpoints have arrived; `heartbeat` is the interval between two of one endpoint.
    pub fn note(&mut self, now: Duration, heartbeat: Duration, keys: impl IntoIterator<Item = u64>) {
        let unbroken = self.feed.filter(|feed| now.saturating_sub(feed.last) <= heartbeat * FEED_GAP);
        self.feed = Some(Feed { since: unbroken.map_or(now, |feed| feed.since), last: now });
        for key in keys {
            self.last.insert(key, now);
        }
    }

    /// Heartbeats may have been missed: no endpoint is suspect until they have arrived without a gap again.
    pub fn interrupt(&mut self) {
        self.feed = None;
    }

    /// Whether no heartbeat of an endpoint has arrived for `missed` intervals while others' arrived without a gap.
    pub fn is_suspect(&self, now: Duration, heartbeat: Duration, missed: u32, key: u64) -> bool {
        let Some(feed) = self.feed else { return false };
        if now.saturating_sub(feed.last) > heartbeat * FEED_GAP {
            return false;
        }
        let from = self.last.get(&key).copied().unwrap_or_default().max(feed.since);
        now.saturating_sub(from) > heartbeat * missed
    }

    /// Removes an endpoint that is gone.
    pub fn forget(&mut self, key: u64) {
        self.last.remove(&key);
    }
}
