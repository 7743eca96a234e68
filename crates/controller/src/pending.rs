//! Requests that were sent and have no reply yet. No I/O and no clock.
//!
//! A reply counts only over the session over which its request went out. Numbers begin at a random place at each start,
//! so a reply to this process before its restart matches none of its requests either.

use std::collections::BTreeMap;

/// Requests without a reply, by number, each with the receiver of its reply.
#[derive(Debug)]
pub struct PendingRequests<T> {
    next: u64,
    pending: BTreeMap<u64, (usize, T)>,
}

impl<T> PendingRequests<T> {
    /// No requests; their numbers begin behind this one.
    pub fn starting_at(number: u64) -> Self {
        PendingRequests { next: number, pending: BTreeMap::new() }
    }

    /// A request goes out over this session; its number.
    pub fn sent(&mut self, session: usize, waiting: T) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.pending.insert(self.next, (session, waiting));
        self.next
    }

    /// Takes the receiver of a reply with this number that arrived over this session.
    pub fn replied(&mut self, session: usize, number: u64) -> Option<T> {
        if self.pending.get(&number)?.0 != session {
            return None;
        }
        self.pending.remove(&number).map(|(_, waiting)| waiting)
    }

    /// Removes requests without a waiter.
    pub fn retain(&mut self, is_waited_for: impl Fn(&T) -> bool) {
        self.pending.retain(|_, (_, waiting)| is_waited_for(waiting));
    }

    /// Removes all requests.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
