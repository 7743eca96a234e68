//! What operators notice of the loss of a member: three or five real controllers in virtual time, with links and disks that
//! take their time, and an operator who sends changes to each member in turn, all the time.
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
/// One way between two machines.
const LATENCY: Duration = Duration::from_millis(1);
/// One write with its sync, where nothing else is said.
const WRITE: Duration = Duration::from_millis(2);
/// A write to a disk that is slow takes so many times as long.
const SLOWNESS: u32 = 100;
/// Changes go on for so long before the loss, and up to the moment that is drawn.
const BEFORE: Duration = Duration::from_millis(500);
/// And for so long after the member is back.
const AFTER: Duration = Duration::from_millis(3000);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Copies that are not complete by then are said not to be.
const GIVE_UP: Duration = Duration::from_secs(10);

/// What befalls a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its process is killed.
    Killed,
    /// Its machine loses power: nobody hears of it.
    Power,
    /// Its process stands still for less time than links bear without a byte.
    FrozenShortly,
    /// Its process stands still.
    Frozen,
    /// Nothing goes between it and all others.
    Cut,
    /// Nothing goes between it and one other.
    CutFromOne,
    /// What it says does not arrive at the others.
    Muted,
    /// What it says does not arrive at one other.
    MutedToOne,
    /// Its disk is empty when it starts again, at once.
    Wiped,
    /// It is gone, and a new machine starts at once.
    Replaced,
    /// Its disk ends no write.
    Stalled,
    /// Its disk is slow.
    Slow,
    /// Its disk takes nothing.
    Full,
}

/// All of them.
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
    /// How long it lasts.
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

    /// Who must hold the value once it is over.
    fn members_after(self, members: usize, lost: usize) -> Vec<usize> {
        let stays = |member: &usize| self != Loss::Replaced || *member != lost;
        let new = (self == Loss::Replaced).then_some(members);
        (0..members).filter(stays).chain(new).collect()
    }
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// Members.
    pub members: usize,
    /// Bytes of the configuration.
    pub bytes: usize,
    /// One write with its sync.
    pub write: Duration,
    /// Some writes take up to 32 times as long.
    pub uneven: bool,
    /// What is lost.
    pub loss: Loss,
    /// When, after changes have begun.
    pub moment: Duration,
    /// Changes go on once the member is back. Otherwise its copy must be brought up to date by itself.
    pub goes_on: bool,
}

impl Trial {
    /// A loss among so many members, with disks that are quick.
    pub fn of(members: usize, loss: Loss) -> Self {
        let moment = Duration::ZERO;
        Trial { members, bytes: 0, write: WRITE, uneven: false, loss, moment, goes_on: true }
    }
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// The longest time without an acknowledged change.
    pub unanswered: Duration,
    /// The longest time from when a change was first sent to a member that nothing befalls until it was acknowledged.
    pub change: Duration,
    /// From the end of the loss until all members hold the newest value.
    pub complete: Duration,
}

/// Who sends changes to each member in turn, and what was acknowledged.
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

/// Time until all these disks hold this version or a newer one.
async fn until_complete(world: &World, members: &[usize], version: u64) -> Duration {
    let began = Instant::now();
    let holds = |member: &usize| world.version_on_disk(*member).is_some_and(|found| found >= version);
    while began.elapsed() < GIVE_UP && !members.iter().all(holds) {
        sleep(POLL_INTERVAL).await;
    }
    began.elapsed()
}

/// The figures of one run.
pub async fn play(trial: Trial) -> Figures {
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

/// Median and maximum.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// Half of the runs took no longer.
    pub median: Duration,
    /// None took longer.
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

/// The figures of many runs.
pub struct Row {
    /// What was lost.
    pub loss: Loss,
    /// Time without an acknowledged change.
    pub unanswered: Spread,
    /// Time that a change took at members that nothing befell.
    pub change: Spread,
    /// Time until copies were complete, while changes went on.
    pub complete: Spread,
    /// The same without changes.
    pub complete_at_rest: Spread,
}

impl Row {
    /// Plays a loss at each of these moments, with changes that go on and with changes that end.
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
