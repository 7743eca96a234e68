//! Receivers of changes are woken in the order of waiting and miss no change.

use runtrack_link::Changes;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use tokio::task::{LocalSet, spawn_local, yield_now};

/// So many that a random wake order equals the order of waiting with a probability of only 10^-35.
const WAITERS: usize = 32;

fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn receivers_wake_first_come_first_served() {
    on_one_thread(async {
        let changes: Rc<Changes> = Rc::default();
        let woken: Rc<RefCell<Vec<usize>>> = Rc::default();
        for waiter in 0..WAITERS {
            let (mut receiver, woken) = (changes.subscribe(), woken.clone());
            spawn_local(async move {
                loop {
                    receiver.changed().await;
                    woken.borrow_mut().push(waiter);
                }
            });
        }
        yield_now().await; // all wait
        for _ in 0..3 {
            changes.notify();
            while woken.borrow().len() < WAITERS {
                yield_now().await;
            }
            assert_eq!(woken.take(), (0..WAITERS).collect::<Vec<_>>());
        }
    });
}

#[test]
fn a_change_that_came_before_the_wait_is_received_once() {
    on_one_thread(async {
        let changes: Rc<Changes> = Rc::default();
        let mut receiver = changes.subscribe();
        changes.notify();
        changes.notify();
        receiver.changed().await;
        let again = Rc::new(RefCell::new(false));
        let seen = again.clone();
        spawn_local(async move {
            receiver.changed().await;
            *seen.borrow_mut() = true;
        });
        yield_now().await;
        assert!(!*again.borrow(), "both changes were received at once");
        changes.notify();
        while !*again.borrow() {
            yield_now().await;
        }
    });
}
