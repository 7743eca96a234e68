//! Measures the effect of a lost member on operators: three or five controllers in virtual time, with link and disk latency,
//! and an operator that continuously sends changes to the members in turn.
#![allow(dead_code, reason = "the test and the bench use some of it each")]

use crate::virtual_time::World;
use crate::virtual_time::operator::Change;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const SETTLE_S: f64 = 4.0;
/// One-way link latency.
const LATENCY: Duration = Duration::from_millis(1);
/// Default duration of a write with its sync.
const WRITE: Duration = Duration::from_millis(2);
/// Factor by which writes to a slow disk take longer.
const SLOWNESS: u32 = 100;
/// Duration of changes before the loss, in addition to its offset.
const BEFORE: Duration = Duration::from_millis(500);
/// Duration of changes after the member is back.
const AFTER: Duration = Duration::from_millis(3000);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Copies that are not complete within this time are reported as missing.
const COPY_TIMEOUT: Duration = Duration::from_secs(10);

/// A fault of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its process is killed.
    Killed,
    /// Its machine loses power without closing connections.
    Power,
    /// Its process is frozen for less than the idle timeout of links.
    FrozenShortly,
    /// Its process is frozen.
    Frozen,
    /// It is partitioned from all others.
    Cut,
    /// It is partitioned from one other member.
    CutFromOne,
    /// Its messages to all others are dropped.
    Muted,
    /// Its messages to one other member are dropped.
    MutedToOne,
    /// It restarts at once with an empty disk.
    Wiped,
    /// It is lost, and a new machine starts at once.
    Replaced,
    /// Its disk completes no write.
    Stalled,
    /// Its disk is slow.
    Slow,
    /// Its disk is full.
    Full,
}

/// All faults.
pub const LOSSES: [Loss; 13] = [
    Loss::Killed,
    Loss::Power,
    Loss::FrozenShortly,
    Loss::Frozen,
    Loss::Cut,
    Loss::CutFromOne,
    Loss::Muted,
    Loss::MutedToOne,
    Loss::Wiped,
    Loss::Replaced,
    Loss::Stalled,
    Loss::Slow,
    Loss::Full,
];

impl Loss {
    /// Duration of the fault.
    fn lasts(self) -> Duration {
        match self {
            Loss::FrozenShortly => Duration::from_millis(700),
            Loss::Wiped | Loss::Replaced => Duration::ZERO,
            _ => Duration::from_millis(3000),
        }
    }

    async fn begin(self, world: &mut World, lost: usize, others: &[usize], write: Duration) {
        match self {
            Loss::Killed | Loss::Wiped | Loss::Replaced => world.kill(lost).await,
            Loss::Power => world.lose_power(lost).await,
            Loss::FrozenShortly | Loss::Frozen => world.freeze(lost, true),
            Loss::Cut => others.iter().for_each(|other| world.cut(lost, *other, true)),
            Loss::CutFromOne => world.cut(lost, others[0], true),
            Loss::Muted => others.iter().for_each(|other| world.cut_one_way(lost, *other)),
            Loss::MutedToOne => world.cut_one_way(lost, others[0]),
            Loss::Stalled => world.stall_disk(lost, true),
            Loss::Slow => world.slow_disk(lost, write * SLOWNESS),
            Loss::Full => world.disk(lost).set_full(true),
        }
    }

    fn end(self, world: &mut World, lost: usize, others: &[usize], write: Duration) {
        match self {
            Loss::Killed | Loss::Power => world.start(lost, false),
            Loss::FrozenShortly | Loss::Frozen => world.freeze(lost, false),
            Loss::Cut | Loss::Muted => others.iter().for_each(|other| world.cut(lost, *other, false)),
            Loss::CutFromOne | Loss::MutedToOne => world.cut(lost, others[0], false),
            Loss::Wiped => {
                world.disk(lost).wipe();
                world.start(lost, false);
            }
            Loss::Replaced => world.start(others.len() + 1, false),
            Loss::Stalled => world.stall_disk(lost, false),
            Loss::Slow => world.slow_disk(lost, write),
            Loss::Full => world.disk(lost).set_full(false),
        }
    }

    /// Members that must hold the value after the fault.
    fn members_after(self, members: usize, lost: usize) -> Vec<usize> {
        let stays = |member: &usize| self != Loss::Replaced || *member != lost;
        let new = (self == Loss::Replaced).then_some(members);
        (0..members).filter(stays).chain(new).collect()
    }
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// Number of members.
    pub members: usize,
    /// Size of the configuration in bytes.
    pub bytes: usize,
    /// Duration of a write with its sync.
    pub write: Duration,
    /// Some writes take up to 32 times as long.
    pub uneven: bool,
    /// The fault.
    pub loss: Loss,
    /// Start of the fault, after changes have begun.
    pub moment: Duration,
    /// Whether changes continue once the member is back. Otherwise its copy must be repaired without them.
    pub goes_on: bool,
}

impl Trial {
    /// A run with this fault, this number of members and fast disks.
    pub fn of(members: usize, loss: Loss) -> Self {
        let moment = Duration::ZERO;
        Trial { members, bytes: 0, write: WRITE, uneven: false, loss, moment, goes_on: true }
    }
}

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// The longest time without an acknowledged change.
    pub unanswered: Duration,
    /// The longest time from the first attempt of a change at a member without a fault until its acknowledgement.
    pub change: Duration,
    /// Time from the end of the fault until all members hold the newest value.
    pub complete: Duration,
}

/// Sends changes to the members in turn and records the acknowledged ones.
struct Writer {
    changes: RefCell<Vec<Change>>,
    stop: Cell<bool>,
    stopped: Cell<bool>,
}

impl Writer {
    fn start(world: &World, trial: Trial) -> Rc<Self> {
        let writer = Rc::new(Writer {
            changes: RefCell::default(),
            stop: Cell::new(false),
            stopped: Cell::new(false),
        });
        let (this, operator) = (writer.clone(), world.operator());
        let members: Vec<usize> = (0..trial.members).collect();
        spawn_local(async move {
            for version in 2.. {
                if this.stop.get() {
                    break;
                }
                let change = operator.change(&members, version as usize, version, trial.bytes).await;
                this.changes.borrow_mut().push(change);
                operator.pause().await;
            }
            this.stopped.set(true);
        });
        writer
    }

    fn newest(&self) -> u64 {
        self.changes.borrow().last().map_or(1, |change| change.version)
    }

    async fn stop(&self) {
        self.stop.set(true);
        while !self.stopped.get() {
            sleep(POLL_INTERVAL).await;
        }
    }

    fn figures(&self, lost: usize) -> Figures {
        let changes = self.changes.borrow();
        let gap = |two: &[Change]| two[1].acknowledged - two[0].acknowledged;
        let took = |change: &Change| {
            let sent = change.calls.iter().find(|(_, member)| *member != lost);
            sent.map(|(at, _)| change.acknowledged - *at)
        };
        Figures {
            unanswered: changes.windows(2).map(gap).max().unwrap_or_default(),
            change: changes.iter().filter_map(took).max().unwrap_or_default(),
            complete: Duration::ZERO,
        }
    }
}

/// Time until the disks of these members hold this version or a newer one.
async fn until_complete(world: &World, members: &[usize], version: u64) -> Duration {
    let began = Instant::now();
    let holds = |member: &usize| world.version_on_disk(*member).is_some_and(|found| found >= version);
    while began.elapsed() < COPY_TIMEOUT && !members.iter().all(holds) {
        sleep(POLL_INTERVAL).await;
    }
    began.elapsed()
}

/// Executes one run.
pub async fn run_trial(trial: Trial) -> Figures {
    let Trial { members, write, uneven, loss, moment, goes_on, .. } = trial;
    fastrand::seed(moment.as_micros() as u64);
    let mut world = World::new(members + 1, SETTLE_S);
    if uneven {
        world.make_disks_uneven();
    }
    let mut world = world.with_members(members, LATENCY, write).await;
    let lost = moment.as_millis() as usize % members;
    let others: Vec<usize> = (0..members).filter(|member| *member != lost).collect();
    let writer = Writer::start(&world, trial);
    sleep(BEFORE + moment).await;
    loss.begin(&mut world, lost, &others, write).await;
    sleep(loss.lasts()).await;
    if !goes_on {
        writer.stop().await;
    }
    loss.end(&mut world, lost, &others, write);
    let complete = until_complete(&world, &loss.members_after(members, lost), writer.newest()).await;
    sleep(AFTER).await;
    writer.stop().await;
    Figures { complete, ..writer.figures(lost) }
}

/// Median and maximum of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// Median.
    pub median: Duration,
    /// Maximum.
    pub maximum: Duration,
}

impl Spread {
    fn of(mut times: Vec<Duration>) -> Self {
        times.sort_unstable();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        Spread { median, maximum: times.last().copied().unwrap_or_default() }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:5} {:6}", self.median.as_millis(), self.maximum.as_millis())
    }
}

/// Results of many runs.
pub struct Row {
    /// The fault.
    pub loss: Loss,
    /// Time without an acknowledged change.
    pub unanswered: Spread,
    /// Duration of a change at members without a fault.
    pub change: Spread,
    /// Time until copies were complete while changes continued.
    pub complete: Spread,
    /// The same without changes.
    pub complete_at_rest: Spread,
}

impl Row {
    /// Runs a fault at each of these moments, with and without changes that continue after it.
    pub fn measure(like: Trial, moments: &[Duration], run: impl Fn(Trial) -> Figures) -> Row {
        let all = |goes_on: bool| -> Vec<Figures> {
            let trial = |moment: &Duration| Trial { moment: *moment, goes_on, ..like };
            moments.iter().map(trial).map(&run).collect()
        };
        let (busy, quiet) = (all(true), all(false));
        let spread =
            |all: &[Figures], time: fn(&Figures) -> Duration| Spread::of(all.iter().map(time).collect());
        Row {
            loss: like.loss,
            unanswered: spread(&busy, |figures| figures.unanswered),
            change: spread(&busy, |figures| figures.change),
            complete: spread(&busy, |figures| figures.complete),
            complete_at_rest: spread(&quiet, |figures| figures.complete),
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Row { loss, unanswered, change, complete, complete_at_rest } = self;
        write!(f, "{:14} {unanswered}   {change}   {complete}   {complete_at_rest}", format!("{loss:?}"))
    }
}
