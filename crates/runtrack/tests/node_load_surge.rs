//! Test of a load surge beyond the capacity that the sidecar has measured for its endpoints.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use support::*;

#[test]
fn a_load_surge_on_few_endpoints_is_admitted_as_soon_as_answers_arrive_in_time() {
    let (received, answered) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let (counter, released) = (received.clone(), answered.clone());
    // Holds requests until the test releases them.
    let peer = Peer::new(move |_| {
        let number = counter.fetch_add(1, Ordering::SeqCst);
        wait_for("the release", || released.load(Ordering::SeqCst) > number);
        Reply::Serve("ok")
    });
    let mut config = config(&[&peer]);
    // Within a tier no answer counts as late, so that a slow machine does not affect the test.
    config["settings"]["tiers"] = json!(["t", "u"]);
    config["settings"]["stage"] = json!(1);
    let sidecar = Sidecar::start(&config);
    let mut total = 0;
    // Only the first, timely answers of each round let the next, larger round through at once.
    for at_once in [3, 4, 6, 8] {
        let mut clients: Vec<Client> = (0..at_once).map(|_| sidecar.client()).collect();
        for client in &mut clients {
            total += 1;
            client.send(&request("quote", &format!("r{total}"), "20000m"));
        }
        wait_for(&format!("{at_once} calls at once"), || received.load(Ordering::SeqCst) == total);
        answered.store(total, Ordering::SeqCst);
        for client in &mut clients {
            assert_eq!(client.receive().expect("an answer").status(), 200);
        }
    }
}
