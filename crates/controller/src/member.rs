//! This process as a member of the register: requests one after another, each on disk before its reply goes out.

use crate::disk::Disk;
use runtrack_message::{RegisterReply, RegisterRequest};
use runtrack_register::{Accepted, Acceptor};
use slog::{Logger, info};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;

type Asked = (RegisterRequest, Box<dyn FnOnce(RegisterReply)>);

/// The member and its queue.
pub struct MemberTask {
    acceptor: RefCell<Acceptor>,
    queue: UnboundedSender<Asked>,
}

impl MemberTask {
    /// Starts to take requests.
    pub fn start(acceptor: Acceptor, disk: Disk, logger: Logger) -> Rc<Self> {
        let (queue, asked) = unbounded_channel();
        let task = Rc::new(MemberTask { acceptor: RefCell::new(acceptor), queue });
        spawn_local(task.clone().run(disk, asked, logger));
        task
    }

    /// Asks this member; a reply comes once it may, or never.
    pub fn ask(&self, request: RegisterRequest, reply: impl FnOnce(RegisterReply) + 'static) {
        let _ = self.queue.send((request, Box::new(reply))); // fails only while the process ends
    }

    /// What it has accepted last.
    pub fn accepted(&self) -> Option<Accepted> {
        self.acceptor.borrow().accepted().cloned()
    }

    async fn run(self: Rc<Self>, disk: Disk, mut asked: UnboundedReceiver<Asked>, logger: Logger) {
        while let Some((request, reply)) = asked.recv().await {
            let before = self.acceptor.borrow().clone();
            let (answer, durable) = self.acceptor.borrow_mut().handle(&request);
            let Some(durable) = durable else {
                reply(answer);
                continue;
            };
            if disk.keep(before.incarnation(), durable).await {
                reply(answer);
            } else {
                // What is not on disk was never promised: the others are a majority without this member.
                info!(logger, "member.silent"; "promised" => before.promised().round);
                *self.acceptor.borrow_mut() = before;
            }
        }
    }
}
