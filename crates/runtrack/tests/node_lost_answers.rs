//! Test of the built sidecar where single answers are lost.

#[path = "support/node.rs"]
mod support;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::*;

#[test]
fn a_safe_request_whose_answer_is_lost_is_sent_again_before_its_deadline() {
    let swallowed = Arc::<Mutex<HashSet<String>>>::default();
    let peer = || {
        let swallowed = swallowed.clone();
        Peer::new(move |message| {
            let id = message.header("x-request-id");
            let first = id.starts_with("lost") && swallowed.lock().unwrap().insert(id.to_owned());
            if first { Reply::Silence } else { Reply::Late(Duration::from_millis(20)) }
        })
    };
    let (a, b) = (peer(), peer());
    let sidecar = Sidecar::start(&config(&[&a, &b]));
    let mut client = sidecar.client();
    let mut number = 0;
    // Many timely answers for each lost one, so that the endpoint never counts as silent. On a machine so slow that
    // answers are late, no copies are sent; then the attempt is repeated.
    wait_for("an answer from a second copy", || {
        for _ in 0..25 {
            number += 1;
            assert_eq!(client.ask("quote", &format!("r{number}")).status(), 200);
        }
        let mut other = sidecar.client();
        other.send(&request("quote", &format!("lost{number}"), "3000m"));
        let answer = other.receive().expect("an answer");
        answer.status() == 200
    });
    assert!(!swallowed.lock().unwrap().is_empty());
}
