//! Parameters of a simulation, drawn from its seed so that each kind of fault is frequent in some simulations.

use fastrand::Rng;
use runtrack_register::MAX_APPLIED_REQUESTS;

/// Frequency of each kind of step per thousand steps. Each step delivers one or two packets as well.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    pub request: u32,
    pub read: u32,
    pub drop_packet: u32,
    pub kill_or_start: u32,
    pub restart_member: u32,
    pub restart_process: u32,
    pub wipe: u32,
    pub restore: u32,
    pub change_members: u32,
    pub retry_change: u32,
    pub adopt: u32,
    pub gossip: u32,
}

/// Parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Members of the first set.
    pub members: u8,
    pub steps: usize,
    /// Maximum number of concurrent requests and reads.
    pub max_operations: usize,
    /// Bound on the table of applied requests.
    pub max_applied: usize,
    /// Number of requests applied during setup.
    pub applied_before: u64,
    /// Percentage of requests that are retries.
    pub retries: u32,
    /// Percentage of new requests with the version of another request and a different body.
    pub same_version: u32,
    /// Percentage of new requests with an immediate successor, on a version that may never be committed.
    pub successors: u32,
    /// Percentage of new requests with a concurrent rival on the same base.
    pub rivals: u32,
    /// Whether members may change before the first value is written.
    pub changes_before_first_value: bool,
    /// Percentage of membership changes that replace two members at once.
    pub double_changes: u32,
    /// Percentage of processes that learn of a committed value immediately.
    pub heard: u32,
    /// Maximum number of ballots that a process skips between its rounds.
    pub ballot_gap: u64,
    /// Maximum backoff after a rejection by a higher ballot, in steps.
    pub max_backoff: u32,
    /// Maximum delay of ordinary packets, in steps.
    pub usual_delay: usize,
    /// Whether half of all accepts to the first member are very late.
    pub has_lagging_member: bool,
    /// Percentage of packets that are very late.
    pub late: u32,
    /// Maximum delay of very late packets, in steps.
    pub latest: usize,
    pub rates: Rates,
}

/// More than the table of applied requests holds.
const LONG_HISTORY: u64 = MAX_APPLIED_REQUESTS as u64 + 40;

impl Profile {
    /// Draws a profile: a base rate of everything, and a high rate of one kind.
    pub fn draw(rng: &mut Rng) -> Self {
        let mut profile = Profile {
            members: if rng.u32(..4) == 0 { 5 } else { 3 },
            steps: rng.usize(700..1600),
            max_operations: rng.usize(2..5),
            max_applied: if rng.bool() { rng.usize(1..4) } else { MAX_APPLIED_REQUESTS },
            applied_before: 0,
            retries: rng.u32(20..60),
            same_version: rng.u32(..30),
            successors: rng.u32(..60),
            rivals: rng.u32(..100),
            changes_before_first_value: true,
            double_changes: 15,
            heard: 50,
            max_backoff: rng.u32(1..30),
            usual_delay: 12,
            ballot_gap: 0,
            has_lagging_member: false,
            late: rng.u32(..30),
            latest: rng.usize(50..250),
            rates: base_rates(rng),
        };
        match rng.u32(..20) {
            0..2 => profile.restarting_members(rng),
            2..4 => profile.restarting_processes(rng),
            4..11 => profile.changing_members(rng),
            11..15 => profile.late_copies(rng),
            15..18 => profile.lost_disks(rng),
            18 => profile.applied_before = LONG_HISTORY,
            19 => profile.joins_before_first_value(rng),
            _ => {}
        }
        profile
    }

    fn restarting_members(&mut self, rng: &mut Rng) {
        self.rates.restart_member = rng.u32(100..250);
        self.rates.request = rng.u32(40..100);
        self.late = rng.u32(20..60);
    }

    fn restarting_processes(&mut self, rng: &mut Rng) {
        self.usual_delay = rng.usize(20..50);
        self.rates.restart_process = rng.u32(10..60);
        self.late = rng.u32(10..50);
        self.rates.request = rng.u32(40..100);
        self.rates.drop_packet = rng.u32(..20);
        self.rates.kill_or_start = 0;
        self.rates.change_members = 0;
        self.rates.wipe = 0;
    }

    /// Members join and are replaced before the first configuration.
    fn joins_before_first_value(&mut self, rng: &mut Rng) {
        self.rates.request = rng.u32(5..20);
        self.rates.change_members = rng.u32(50..150);
        self.rates.retry_change = rng.u32(40..120);
    }

    /// Values in flight during membership changes; members change only after the first value.
    fn changing_members(&mut self, rng: &mut Rng) {
        self.changes_before_first_value = false;
        self.max_operations = 5;
        self.max_backoff = rng.u32(1..20);
        self.late = rng.u32(20..60);
        self.heard = rng.u32(..40);
        self.rates.restart_process = rng.u32(..30);
        self.double_changes = rng.u32(40..100);
        self.rates.gossip = rng.u32(..10);
        self.rates.request = rng.u32(40..100);
        self.rates.change_members = rng.u32(20..60);
        self.rates.retry_change = rng.u32(40..120);
        self.rates.drop_packet = rng.u32(..120);
    }

    /// One member gets values late or never in their rounds, and adopts them later.
    fn late_copies(&mut self, rng: &mut Rng) {
        self.members = 3;
        self.has_lagging_member = true;
        self.ballot_gap = rng.u64(2..8);
        self.late = rng.u32(10..40);
        self.rivals = 100;
        self.successors = 0;
        self.max_operations = 5;
        self.max_backoff = rng.u32(1..10);
        self.rates = Rates {
            request: rng.u32(50..150),
            read: rng.u32(10..40),
            adopt: rng.u32(100..250),
            drop_packet: rng.u32(20..100),
            gossip: 10,
            ..Rates::default()
        };
    }

    /// Disks are lost or restored one at a time, with all members up, while values are at minimal majorities.
    fn lost_disks(&mut self, rng: &mut Rng) {
        self.rates.restore = rng.u32(10..60);
        self.rates.wipe = rng.u32(..20);
        self.rates.drop_packet = rng.u32(30..150);
        self.rates.retry_change = rng.u32(40..120);
        self.rates.kill_or_start = 0;
        self.rates.change_members = 0;
        self.rates.adopt = 0;
    }
}

fn base_rates(rng: &mut Rng) -> Rates {
    Rates {
        request: rng.u32(20..60),
        read: rng.u32(10..40),
        drop_packet: rng.u32(..60),
        kill_or_start: rng.u32(..15),
        restart_member: rng.u32(..30),
        restart_process: rng.u32(..15),
        wipe: rng.u32(..4),
        restore: rng.u32(..5),
        change_members: rng.u32(..5),
        retry_change: 10,
        adopt: rng.u32(..20),
        gossip: 10,
    }
}
