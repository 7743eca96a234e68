//! When each endpoint was last heard of, counting only time in which it could have been.

use std::collections::BTreeMap;
use std::time::Duration;

/// The feed counts as interrupted after so many heartbeats without news of any endpoint.
const FEED_GAP: u32 = 2;

/// When each endpoint was last heard of.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatTable {
    last: BTreeMap<u64, Duration>,
    feed: Option<Feed>,
}

/// A time through which news of endpoints came without a gap.
#[derive(Clone, Copy, Debug)]
struct Feed {
    since: Duration,
    last: Duration,
}

impl HeartbeatTable {
    /// These endpoints were heard of.
    pub fn note(&mut self, now: Duration, heartbeat: Duration, keys: impl IntoIterator<Item = u64>) {
        let unbroken = self.feed.filter(|feed| now.saturating_sub(feed.last) <= heartbeat * FEED_GAP);
        self.feed = Some(Feed { since: unbroken.map_or(now, |feed| feed.since), last: now });
        for key in keys {
            self.last.insert(key, now);
        }
    }

    /// News may have been missed: nobody is suspect until it has come without a gap again.
    pub fn interrupt(&mut self) {
        self.feed = None;
    }

    /// Whether an endpoint has not been heard of for so many heartbeats while news of others came all the time.
    pub fn is_suspect(&self, now: Duration, heartbeat: Duration, beats: u32, key: u64) -> bool {
        let Some(feed) = self.feed else { return false };
        if now.saturating_sub(feed.last) > heartbeat * FEED_GAP {
            return false;
        }
        let from = self.last.get(&key).copied().unwrap_or_default().max(feed.since);
        now.saturating_sub(from) > heartbeat * beats
    }

    /// Forgets an endpoint that has ended.
    pub fn forget(&mut self, key: u64) {
        self.last.remove(&key);
    }
}
