//! What endpoints have been sent and have not read, summed up over all proxies and told to their agents.

use runtrack_link::{Gossip, Session};
use runtrack_message::{Backlog, Message, Role, Unread};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// Least time between two words to the agents.
const PAUSE: Duration = Duration::from_millis(60);
/// Part of this machine's link that reports to all agents together may take. With many agents or endpoints they are told
/// less often, and in the end too seldom to count; own requests still do.
const LINK_SHARE: f64 = 0.01;
/// Bytes a second that one agent may be told: older reports cost worth below this, and more bring none
/// (`docs/deciding.md`).
const MAX_BYTES_PER_SECOND: f64 = 16_000.0;
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Bytes of an endpoint's entry.
const ENTRY: f64 = 12.0;
/// A part that was not told again by then is forgotten: its agent tells another member, or its proxy has ended.
const FORGET: Duration = Duration::from_millis(1000);
/// While anything is unread it is told again after this: what is old does not count.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// What one proxy's agent told.
struct Part {
    unread: Vec<Unread>,
    told: Instant,
}

/// The parts of all proxies.
pub struct Backlogs {
    gossip: Rc<Gossip>,
    /// Bytes a second that all agents together may be told.
    bytes_per_second: f64,
    parts: RefCell<BTreeMap<usize, Part>>,
    changed: Notify,
}

impl Backlogs {
    /// Nothing is unread.
    pub fn new(gossip: Rc<Gossip>, link_mbps: f64) -> Rc<Self> {
        let bytes_per_second = link_mbps * BYTES_PER_MEGABIT * LINK_SHARE;
        Rc::new(Backlogs { gossip, bytes_per_second, parts: RefCell::default(), changed: Notify::new() })
    }

    /// A proxy's agent tells its part.
    pub fn told(&self, session: &Session, part: Backlog) {
        self.parts.borrow_mut().insert(session.key, Part { unread: part.into_vec(), told: Instant::now() });
        self.changed.notify_one();
    }

    /// A proxy's agent is gone.
    pub fn forget(&self, session: &Session) {
        if self.parts.borrow_mut().remove(&session.key).is_some() {
            self.changed.notify_one();
        }
    }

    fn sum(&self) -> Vec<Unread> {
        let mut sums: BTreeMap<u64, u32> = BTreeMap::new();
        let mut parts = self.parts.borrow_mut();
        parts.retain(|_, part| !part.unread.is_empty() && part.told.elapsed() < FORGET);
        for unread in parts.values().flat_map(|part| &part.unread) {
            let sum = sums.entry(unread.endpoint).or_default();
            *sum = sum.saturating_add(unread.tokens);
        }
        sums.into_iter().map(|(endpoint, tokens)| Unread { endpoint, tokens }).collect()
    }

    /// Bytes a second that one agent may be told.
    fn bytes_per_agent(&self) -> f64 {
        let agents = self.gossip.peers(Role::Agent).len().max(1);
        (self.bytes_per_second / agents as f64).min(MAX_BYTES_PER_SECOND)
    }

    /// Tells agents of changes, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut empty = true;
        loop {
            if empty {
                self.changed.notified().await;
            } else {
                let _ = timeout(REPEAT_INTERVAL, self.changed.notified()).await;
            }
            let sum = self.sum();
            let bytes = sum.len() as f64 * ENTRY;
            empty = sum.is_empty();
            self.gossip.broadcast_to(Role::Agent, &Message::FleetBacklog(sum.into()));
            sleep(PAUSE.max(Duration::from_secs_f64(bytes / self.bytes_per_agent()))).await;
        }
    }
}
