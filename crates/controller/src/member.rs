//! This process as a member of the register: requests one after another, each on disk before its reply goes out, and
//! its copy of the committed value, which is brought up to date where it missed one.

use crate::disk::Disk;
use crate::request_queue::RequestQueue;
use runtrack_message::{Ballot, InspectReply, InspectRequest, RegisterReply, RegisterRequest, Value};
use runtrack_net::mutant;
use runtrack_register::{Accepted, Acceptor, Durable, inspect, is_superseded};
use slog::{Logger, info};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout_at};

/// Backoff after a write that the disk refused.
const REFUSED_BACKOFF: Duration = Duration::from_millis(300);

type Reply = Box<dyn FnOnce(RegisterReply)>;

/// A request and the receiver of its reply.
struct QueuedRequest {
    request: RegisterRequest,
    reply: Reply,
}

/// The member, its queue, and the committed value that it still has to store.
pub struct MemberTask {
    started_at: Instant,
    acceptor: RefCell<Acceptor>,
    /// The accepted value that is on disk; the acceptor's may still be being written.
    durable_accepted: RefCell<Option<Accepted>>,
    /// Its incarnation is on disk.
    durable: Cell<bool>,
    /// Whether the disk check is over; before that the member takes no part.
    released: Cell<bool>,
    queue: RefCell<RequestQueue<QueuedRequest>>,
    /// The newest value that is known to be committed, where it may not be on disk yet.
    committed: RefCell<Option<Accepted>>,
    wake: Notify,
    /// How long the last two writes took.
    write_times: Cell<[Duration; 2]>,
}

impl MemberTask {
    /// Starts to take requests.
    pub fn start(acceptor: Acceptor, disk: Disk, logger: Logger) -> Rc<Self> {
        let on_disk = acceptor.accepted().cloned();
        let task = Rc::new(MemberTask {
            started_at: Instant::now(),
            acceptor: RefCell::new(acceptor),
            durable_accepted: RefCell::new(on_disk),
            durable: Cell::new(false),
            released: Cell::new(false),
            queue: RefCell::default(),
            committed: RefCell::default(),
            wake: Notify::new(),
            write_times: Cell::default(),
        });
        spawn_local(task.clone().run(disk, logger));
        task
    }

    /// Asks this member; a reply comes once it may, or never.
    pub fn ask(&self, request: RegisterRequest, reply: impl FnOnce(RegisterReply) + 'static) {
        let mut queue = self.queue.borrow_mut();
        // Each of them would cost a write before the one that is waited for.
        queue.discard(|earlier| is_superseded(&earlier.request, &request));
        let queued = QueuedRequest { request, reply: Box::new(reply) };
        queue.push(self.started_at.elapsed(), queued);
        drop(queue);
        self.wake.notify_one();
    }

    /// Its reply to a quorum read, at once and whatever its disk does; nothing before the check of its disk, which may be
    /// an older one.
    pub fn inspect(&self, request: &InspectRequest) -> Option<InspectReply> {
        if !self.released.get() && !mutant("inspected-before-disk-check") {
            return None;
        }
        let acceptor = self.acceptor.borrow();
        let durable = self.durable_accepted.borrow();
        let reported = if mutant("unsynced-reported") { acceptor.accepted() } else { durable.as_ref() };
        Some(inspect(acceptor.incarnation(), reported, request))
    }

    /// Takes a value that is known to be committed: it goes to disk where that has an older one.
    pub fn adopt_committed(&self, ballot: Ballot, value: Rc<Value>) {
        let newer = self.committed.borrow().as_ref().is_none_or(|known| known.ballot < ballot);
        if newer && self.durable_accepted() < ballot && !mutant("copies-never-repaired") {
            *self.committed.borrow_mut() = Some(Accepted { ballot, value });
            self.wake.notify_one();
        }
    }

    /// Lets it take part from now on.
    pub fn release(&self) {
        self.released.set(true);
        self.wake.notify_one();
    }

    /// Whether its incarnation is on disk: before that it must not become a member, since it would be another one after
    /// a restart.
    pub fn is_durable(&self) -> bool {
        self.durable.get()
    }

    /// The value that it has accepted last.
    pub fn accepted(&self) -> Option<Accepted> {
        self.acceptor.borrow().accepted().cloned()
    }

    /// Ballot of the value that it has on disk; zero for none.
    pub fn durable_accepted(&self) -> Ballot {
        self.durable_accepted.borrow().as_ref().map(|accepted| accepted.ballot).unwrap_or_default()
    }

    /// The ballot on disk as reported to others. It is zero before the disk check: others would otherwise note the state of an
    /// older disk as this member's watermark.
    pub fn shown_accepted(&self) -> Ballot {
        if self.released.get() { self.durable_accepted() } else { Ballot::default() }
    }

    /// How long a write to its disk takes: the shorter one of the last two. A single long one is no slow disk: the process
    /// may have stood still meanwhile.
    pub fn write_time(&self) -> Duration {
        let [one, other] = self.write_times.get();
        one.min(other)
    }

    async fn run(self: Rc<Self>, disk: Disk, logger: Logger) {
        let (incarnation, promised) =
            (self.acceptor.borrow().incarnation(), self.acceptor.borrow().promised());
        while !disk.persist(incarnation, Durable::Promise(promised)).await {
            sleep(REFUSED_BACKOFF).await;
        }
        self.durable.set(true);
        while !self.released.get() {
            self.wake.notified().await;
        }
        let mut retry = Instant::now();
        loop {
            if Instant::now() >= retry && !self.copy_committed(&disk, &logger).await {
                retry = Instant::now() + REFUSED_BACKOFF;
            }
            let queued = self.queue.borrow_mut().pop(self.started_at.elapsed());
            match queued {
                Some(queued) => self.answer(queued, &disk, &logger).await,
                None => self.idle(retry).await,
            }
        }
    }

    /// Waits for something to do; while a copy is due, until its next try.
    async fn idle(&self, retry: Instant) {
        if self.committed.borrow().is_none() {
            self.wake.notified().await;
        } else {
            let _ = timeout_at(retry, self.wake.notified()).await; // either is a reason to go on
        }
    }

    /// Brings the disk up to the committed value; whether there is nothing left to do.
    async fn copy_committed(&self, disk: &Disk, logger: &Logger) -> bool {
        let Some(committed) = self.committed.borrow().clone() else { return true };
        let before = self.acceptor.borrow().clone();
        let durable = self.acceptor.borrow_mut().adopt_committed(committed.ballot, committed.value.clone());
        let persisted = match durable {
            Some(durable) => {
                let persisted = self.persist(before, durable, disk, logger).await;
                if persisted {
                    info!(logger, "value.copied"; "sequence" => committed.value.sequence);
                }
                persisted
            }
            None => true,
        };
        let mut due = self.committed.borrow_mut();
        if persisted && due.as_ref().is_some_and(|newest| newest.ballot == committed.ballot) {
            *due = None;
        }
        persisted
    }

    async fn answer(&self, queued: QueuedRequest, disk: &Disk, logger: &Logger) {
        let before = self.acceptor.borrow().clone();
        let (answer, durable) = self.acceptor.borrow_mut().handle(&queued.request);
        let persisted = match durable {
            Some(durable) => self.persist(before, durable, disk, logger).await,
            None => true,
        };
        if persisted {
            (queued.reply)(answer);
        }
    }

    /// Writes a record; if that fails, restores the acceptor's previous state. Returns whether the record is durable.
    async fn persist(&self, before: Acceptor, durable: Durable, disk: &Disk, logger: &Logger) -> bool {
        let accepted = match &durable {
            Durable::Value(accepted) => Some(accepted.clone()),
            Durable::Promise(_) => None,
        };
        let began = Instant::now();
        let persisted = disk.persist(before.incarnation(), durable).await;
        let [_, last] = self.write_times.get();
        self.write_times.set([last, began.elapsed()]);
        if !persisted {
            // A promise that is not on disk was not given: the others are a majority without this member.
            info!(logger, "member.stalled"; "promised" => before.promised().round);
            *self.acceptor.borrow_mut() = before;
            return false;
        }
        if accepted.is_some() {
            *self.durable_accepted.borrow_mut() = accepted;
        }
        true
    }
}
