//! Prompt tokens that endpoints were sent and have not prefilled, summed up over all proxies and reported to their agents.

use runtrack_link::{Gossip, Session};
use runtrack_message::{Backlog, Message, PendingPrefill, Role};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// Shortest interval between two reports to the agents.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Share of this machine's link that reports to all agents together may take. With many agents or endpoints reports are
/// less frequent, and in the end too rare to count; a proxy's own requests still do.
const LINK_SHARE: f64 = 0.01;
/// Bytes a second that one agent may be sent: older reports cost value below this, and more bring none
/// (`docs/deciding.md`).
const MAX_BYTES_PER_SECOND: f64 = 16_000.0;
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Bytes of an endpoint's entry.
const ENTRY_BYTES: f64 = 12.0;
/// A report that was not repeated by then is dropped: its agent reports to another member, or its proxy has ended.
const REPORT_LIFETIME: Duration = Duration::from_millis(1000);
/// While the sum is not empty it is reported again after this: receivers drop old ones.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The last report of one proxy's agent.
struct Report {
    pending: Vec<PendingPrefill>,
    received_at: Instant,
}

/// The reports of all proxies.
pub struct Backlogs {
    gossip: Rc<Gossip>,
    /// Bytes a second that all agents together may be sent.
    bytes_per_second: f64,
    reports: RefCell<BTreeMap<usize, Report>>,
    changed: Notify,
}

impl Backlogs {
    /// No reports.
    pub fn new(gossip: Rc<Gossip>, link_mbps: f64) -> Rc<Self> {
        let bytes_per_second = link_mbps * BYTES_PER_MEGABIT * LINK_SHARE;
        Rc::new(Backlogs { gossip, bytes_per_second, reports: RefCell::default(), changed: Notify::new() })
    }

    /// A proxy's agent reports.
    pub fn on_report(&self, session: &Session, report: Backlog) {
        let report = Report { pending: report.into_vec(), received_at: Instant::now() };
        self.reports.borrow_mut().insert(session.key, report);
        self.changed.notify_one();
    }

    /// A proxy's agent is gone.
    pub fn forget(&self, session: &Session) {
        if self.reports.borrow_mut().remove(&session.key).is_some() {
            self.changed.notify_one();
        }
    }

    fn sum(&self) -> Vec<PendingPrefill> {
        let mut sums: BTreeMap<u64, u32> = BTreeMap::new();
        let mut reports = self.reports.borrow_mut();
        reports.retain(|_, report| {
            !report.pending.is_empty() && report.received_at.elapsed() < REPORT_LIFETIME
        });
        for pending in reports.values().flat_map(|report| &report.pending) {
            let sum = sums.entry(pending.endpoint).or_default();
            *sum = sum.saturating_add(pending.tokens);
        }
        sums.into_iter().map(|(endpoint, tokens)| PendingPrefill { endpoint, tokens }).collect()
    }

    /// Bytes a second that one agent may be sent.
    fn bytes_per_agent(&self) -> f64 {
        let agents = self.gossip.peers(Role::Agent).len().max(1);
        (self.bytes_per_second / agents as f64).min(MAX_BYTES_PER_SECOND)
    }

    /// Reports changes to agents, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut empty = true;
        loop {
            if empty {
                self.changed.notified().await;
            } else {
                let _ = timeout(REPEAT_INTERVAL, self.changed.notified()).await;
            }
            let sum = self.sum();
            let bytes = sum.len() as f64 * ENTRY_BYTES;
            empty = sum.is_empty();
            self.gossip.broadcast_to(Role::Agent, &Message::FleetBacklog(sum.into()));
            sleep(MIN_REPORT_INTERVAL.max(Duration::from_secs_f64(bytes / self.bytes_per_agent()))).await;
        }
    }
}
