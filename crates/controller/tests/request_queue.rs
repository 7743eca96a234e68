//! The queue of requests that wait for a stalled disk.

use runtrack_controller::request_queue::{MAX_QUEUED_REQUESTS, REQUEST_LIFETIME, RequestQueue};
use std::time::Duration;

const START: Duration = Duration::from_secs(100);

#[test]
fn requests_are_popped_in_order() {
    let mut queue = RequestQueue::default();
    (0..3).for_each(|request| queue.push(START, request));
    let out: Vec<i32> = std::iter::from_fn(|| queue.pop(START)).collect();
    assert_eq!(out, [0, 1, 2]);
}

#[test]
fn a_full_queue_keeps_the_newest_requests() {
    let mut queue = RequestQueue::default();
    (0..10 * MAX_QUEUED_REQUESTS).for_each(|request| queue.push(START, request));
    assert_eq!(queue.len(), MAX_QUEUED_REQUESTS);
    assert_eq!(queue.pop(START), Some(9 * MAX_QUEUED_REQUESTS));
}

#[test]
fn expired_requests_are_dropped() {
    let mut queue = RequestQueue::default();
    queue.push(START, "expired");
    queue.push(START + Duration::from_millis(1), "pending");
    assert_eq!(queue.pop(START + REQUEST_LIFETIME + Duration::from_millis(1)), Some("pending"));
    queue.push(START, "expired");
    assert_eq!(queue.pop(START + 2 * REQUEST_LIFETIME), None);
    assert!(queue.is_empty());
}

#[test]
fn obsolete_requests_are_dropped_and_the_others_keep_their_order() {
    let mut queue = RequestQueue::default();
    (0..6).for_each(|request| queue.push(START, request));
    queue.discard(|request| request % 2 == 0);
    let out: Vec<i32> = std::iter::from_fn(|| queue.pop(START)).collect();
    assert_eq!(out, [1, 3, 5]);
}
