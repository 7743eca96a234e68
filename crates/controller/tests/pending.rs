//! Replies are matched with the requests that they answer.

use runtrack_controller::pending::PendingRequests;

#[test]
fn a_reply_counts_once_and_only_over_the_session_that_was_asked() {
    let mut requests = PendingRequests::starting_at(7);
    let number = requests.sent(1, "prepare");
    assert_eq!(requests.replied(2, number), None, "over a session that came up later");
    assert_eq!(requests.replied(1, number + 1), None, "another number");
    assert_eq!(requests.replied(1, number), Some("prepare"));
    assert_eq!(requests.replied(1, number), None, "a second time");
}

#[test]
fn a_reply_to_a_round_that_is_over_counts_for_nothing() {
    let mut requests = PendingRequests::starting_at(7);
    let number = requests.sent(1, "prepare");
    requests.clear();
    assert_eq!(requests.replied(1, number), None);
    assert_ne!(requests.sent(1, "another"), number, "numbers are not used twice");
}

#[test]
fn only_requests_that_nobody_waits_for_are_forgotten() {
    let mut requests = PendingRequests::starting_at(7);
    let (over, waiting) = (requests.sent(1, "over"), requests.sent(1, "waiting"));
    requests.retain(|waits| *waits == "waiting");
    assert_eq!(requests.replied(1, over), None);
    assert_eq!(requests.replied(1, waiting), Some("waiting"));
}

#[test]
fn numbers_of_a_process_and_of_the_one_before_its_restart_differ() {
    let before = PendingRequests::starting_at(u64::MAX).sent(1, "prepare");
    let mut after = PendingRequests::starting_at(1 << 40);
    after.sent(1, "prepare");
    assert_eq!(after.replied(1, before), None);
    assert_eq!(before, 0, "they wrap");
}
