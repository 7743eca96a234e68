//! This process as a member of the register: requests one after another, each on disk before its reply goes out.

use crate::disk::Disk;
use runtrack_message::{Ballot, RegisterReply, RegisterRequest};
use runtrack_register::{Accepted, Acceptor, Durable};
use slog::{Logger, info};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Wait before a disk that refused is tried again.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);

type Asked = (RegisterRequest, Box<dyn FnOnce(RegisterReply)>);

/// The member and its queue.
pub struct MemberTask {
    acceptor: RefCell<Acceptor>,
    queue: UnboundedSender<Asked>,
    durable: Cell<bool>,
    /// Ballot of the value that is on disk; zero for none.
    durable_accepted: Cell<Ballot>,
}

impl MemberTask {
    /// Starts to take requests.
    pub fn start(acceptor: Acceptor, disk: Disk, logger: Logger) -> Rc<Self> {
        let (queue, asked) = unbounded_channel();
        let recovered = acceptor.accepted().map(|accepted| accepted.ballot).unwrap_or_default();
        let task = Rc::new(MemberTask {
            acceptor: RefCell::new(acceptor),
            queue,
            durable: Cell::new(false),
            durable_accepted: Cell::new(recovered),
        });
        spawn_local(task.clone().run(disk, asked, logger));
        task
    }

    /// Asks this member; a reply comes once it may, or never.
    pub fn ask(&self, request: RegisterRequest, reply: impl FnOnce(RegisterReply) + 'static) {
        let _ = self.queue.send((request, Box::new(reply))); // fails only while the process ends
    }

    /// Whether its incarnation is on disk: before that it must not become a member, since it would be another one after
    /// a restart.
    pub fn is_durable(&self) -> bool {
        self.durable.get()
    }

    /// What it has accepted last.
    pub fn accepted(&self) -> Option<Accepted> {
        self.acceptor.borrow().accepted().cloned()
    }

    /// Ballot of the value that it has on disk; zero for none.
    pub fn durable_accepted(&self) -> Ballot {
        self.durable_accepted.get()
    }

    async fn run(self: Rc<Self>, disk: Disk, mut asked: UnboundedReceiver<Asked>, logger: Logger) {
        let (incarnation, promised) =
            (self.acceptor.borrow().incarnation(), self.acceptor.borrow().promised());
        while !disk.keep(incarnation, Durable::Promise(promised)).await {
            sleep(REFUSED_PAUSE).await;
        }
        self.durable.set(true);
        while let Some((request, reply)) = asked.recv().await {
            let before = self.acceptor.borrow().clone();
            let (answer, durable) = self.acceptor.borrow_mut().handle(&request);
            let Some(durable) = durable else {
                reply(answer);
                continue;
            };
            let accepted = match &durable {
                Durable::Value(accepted) => accepted.ballot,
                Durable::Promise(_) => self.durable_accepted.get(),
            };
            if disk.keep(before.incarnation(), durable).await {
                self.durable_accepted.set(accepted);
                reply(answer);
            } else {
                // What is not on disk was never promised: the others are a majority without this member.
                info!(logger, "member.silent"; "promised" => before.promised().round);
                *self.acceptor.borrow_mut() = before;
            }
        }
    }
}
