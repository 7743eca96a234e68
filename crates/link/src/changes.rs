//! Notification of changes to tasks of one thread, in a fixed order.
//!
//! A `tokio::sync::watch` channel spreads its receivers over several queues by a random number of the runtime, so that
//! two receivers of one change run in either order, and so do their writes to the network. A process whose run must
//! depend on its inputs alone uses this type instead.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Counts changes and wakes the tasks that wait for the next one, first the one that has waited longest.
#[derive(Default)]
pub struct Changes {
    count: Cell<u64>,
    changed: Notify,
}

impl Changes {
    /// Counts a change and wakes all who wait for one.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        self.changed.notify_waiters();
    }

    /// A receiver for the changes from now on.
    pub fn subscribe(self: &Rc<Self>) -> ChangeReceiver {
        ChangeReceiver { changes: self.clone(), seen: self.count.get() }
    }
}

/// Receives the changes of one [`Changes`].
pub struct ChangeReceiver {
    changes: Rc<Changes>,
    /// The count when a change was received last.
    seen: u64,
}

impl ChangeReceiver {
    /// Waits until there are changes that this receiver has not seen; all of them count as seen then.
    pub async fn changed(&mut self) {
        while self.seen == self.changes.count.get() {
            self.changes.changed.notified().await;
        }
        self.seen = self.changes.count.get();
    }
}
