//! Matching of replies with pending requests.

use runtrack_controller::pending::PendingRequests;

#[test]
fn a_reply_is_accepted_once_and_only_from_the_session_of_its_request() {
    let mut requests = PendingRequests::starting_at(7);
    let number = requests.sent(1, "prepare");
    assert_eq!(requests.replied(2, number), None, "from a later session");
    assert_eq!(requests.replied(1, number + 1), None, "another number");
    assert_eq!(requests.replied(1, number), Some("prepare"));
    assert_eq!(requests.replied(1, number), None, "a duplicate");
}

#[test]
fn replies_to_a_cleared_round_are_ignored() {
    let mut requests = PendingRequests::starting_at(7);
    let number = requests.sent(1, "prepare");
    requests.clear();
    assert_eq!(requests.replied(1, number), None);
    assert_ne!(requests.sent(1, "another"), number, "numbers are not reused");
}

#[test]
fn retain_removes_only_requests_without_a_waiter() {
    let mut requests = PendingRequests::starting_at(7);
    let (over, waiting) = (requests.sent(1, "over"), requests.sent(1, "waiting"));
    requests.retain(|waits| *waits == "waiting");
    assert_eq!(requests.replied(1, over), None);
    assert_eq!(requests.replied(1, waiting), Some("waiting"));
}

#[test]
fn request_numbers_differ_across_restarts() {
    let before = PendingRequests::starting_at(u64::MAX).sent(1, "prepare");
    let mut after = PendingRequests::starting_at(1 << 40);
    after.sent(1, "prepare");
    assert_eq!(after.replied(1, before), None);
    assert_eq!(before, 0, "numbers wrap around");
}
