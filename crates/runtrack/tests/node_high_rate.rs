//! Tests of the built sidecar at high call rates: the failures that reuse delays and limits prevent must not occur.

#[path = "support/load.rs"]
mod load;
#[path = "support/node.rs"]
mod support;

use load::{Behavior, Caller, Endpoints};
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::*;
use tokio::runtime::Runtime;

/// An answer with the id of its request.
fn answer_with_id(message: &Message) -> String {
    answer("200 OK", "", message.header("x-request-id"))
}

/// Clients make this number of calls in total, each client one at a time; every answer must belong to its request.
fn check_own_answers(sidecar: &Sidecar, clients: usize, calls: usize, prefix: &str) {
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..clients {
            scope.spawn(|| {
                let mut client = sidecar.client();
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= calls {
                        return;
                    }
                    let id = format!("{prefix}{number}");
                    let answer = client.ask("quote", &id);
                    assert_eq!(answer.status(), 200, "{id}");
                    assert_eq!(String::from_utf8_lossy(&answer.body), id, "the answer of another request");
                }
            });
        }
    });
}

#[test]
fn delayed_and_split_duplicate_answers_never_answer_another_request() {
    for late in [0, 1, 4, 20].map(Duration::from_millis) {
        let count = Arc::new(AtomicUsize::new(0));
        let peer = {
            let count = count.clone();
            Peer::new(move |message| {
                let text = answer_with_id(message);
                // Sends the answer and a duplicate, split at each byte after the answer in turn; every fourth answer
                // has no duplicate.
                let number = count.fetch_add(1, Ordering::SeqCst);
                if number % 4 == 3 {
                    return Reply::Pieces(vec![(Duration::ZERO, text)]);
                }
                let cut = text.len() + number % text.len();
                let both = text.clone() + &text;
                let (first, rest) = both.split_at(cut);
                Reply::Pieces(vec![(Duration::ZERO, first.to_owned()), (late, rest.to_owned())])
            })
        };
        let sidecar = Sidecar::start(&config(&[&peer]));
        // A class that may be repeated: a duplicate taken for an answer would be returned to a client.
        check_own_answers(&sidecar, 8, 320, "r");
        let unsolicited = count.load(Ordering::SeqCst) * 3 / 4;
        wait_for("the affected connections to close", || peer.closed() >= unsolicited);
    }
}

#[test]
fn a_request_is_not_delayed_by_a_duplicate_of_an_earlier_answer() {
    let peer = Peer::new(|message| {
        let text = answer_with_id(message);
        Reply::Pieces(vec![(Duration::ZERO, text.clone()), (Duration::from_millis(1), text)])
    });
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    for n in 0..40 {
        assert_eq!(client.ask("book", &format!("r{n}")).status(), 200);
    }
    // No connection was used twice, so no request waited for a reuse delay.
    assert_eq!(peer.connections.load(Ordering::SeqCst), 40);
}

#[test]
fn an_endpoint_that_starts_duplicating_answers_gets_the_longest_reuse_delay_within_64_answers() {
    type Arrivals = HashMap<SocketAddr, Vec<Instant>>;
    let (duplicating, arrivals) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Arrivals::new())));
    let since = Arc::new(AtomicUsize::new(0));
    let peer = {
        let (duplicating, arrivals, since) = (duplicating.clone(), arrivals.clone(), since.clone());
        Peer::with_client_address(move |message, from| {
            let text = answer_with_id(message);
            if !duplicating.load(Ordering::SeqCst) {
                return Reply::Pieces(vec![(Duration::ZERO, text)]);
            }
            let number = since.fetch_add(1, Ordering::SeqCst);
            if number >= 64 + 64 {
                arrivals.lock().unwrap().entry(from).or_default().push(Instant::now());
            }
            // One in eight, so that most connections see no duplicate themselves.
            let copy = if number % 8 == 0 { text.clone() } else { String::new() };
            Reply::Pieces(vec![(Duration::ZERO, text + &copy)])
        })
    };
    let sidecar = Sidecar::start(&config(&[&peer]));
    check_own_answers(&sidecar, 64, 3000, "clean");
    duplicating.store(true, Ordering::SeqCst);
    check_own_answers(&sidecar, 64, 1000, "spoilt");
    let arrivals = arrivals.lock().unwrap();
    for connection in arrivals.values() {
        for pair in connection.windows(2) {
            assert!(pair[1] - pair[0] >= Duration::from_millis(45), "{:?}", pair[1] - pair[0]);
        }
    }
    assert!(arrivals.values().any(|connection| connection.len() > 1), "connections were reused");
}

#[test]
fn connections_stay_within_the_socket_budget_and_are_reused() {
    let runtime = Runtime::new().unwrap();
    let endpoints = Endpoints::start(&runtime, &[Behavior::serving(Duration::ZERO); 400]);
    let mut config = config_at(&endpoints.addresses);
    config["limits"]["sockets"] = json!(1024);
    // The kernel enforces the same limit: exceeding it would cause errors.
    let sidecar = Sidecar::start_with(&config, "ulimit -n 1024;");
    let mut most = 0;
    runtime.block_on(async {
        let mut clients = tokio::task::JoinSet::new();
        for _ in 0..64 {
            let mut caller = Caller::connect(sidecar.address).await;
            clients.spawn(async move {
                for _ in 0..100 {
                    assert_eq!(caller.call("quote").await, 200);
                }
            });
        }
        while let Some(ended) = clients.join_next().await {
            ended.unwrap();
            most = most.max(sidecar.open_descriptors());
        }
    });
    assert!(most <= 1024, "{most} descriptors");
    let accepted = endpoints.accepted.load(Ordering::SeqCst);
    assert!(accepted < 6400 / 2, "{accepted} connections for 6,400 calls: too few were reused");
}

#[test]
fn requests_wait_for_a_socket_when_the_budget_is_used_up_and_none_fails() {
    let peer = Peer::new(|_| Reply::Late(Duration::from_millis(30)));
    let mut config = config(&[&peer, &peer]);
    // 112 sockets are available: 60 clients leave 52 for their attempts.
    config["limits"]["sockets"] = json!(160);
    let sidecar = Sidecar::start_with(&config, "ulimit -n 160;");
    for round in 0..8 {
        let mut clients: Vec<Client> = (0..60).map(|_| sidecar.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&request("quote", &format!("r{round}-{n}"), "10000m"));
        }
        for client in &mut clients {
            assert_eq!(client.receive().expect("an answer").status(), 200);
        }
        assert!(sidecar.open_descriptors() <= 160);
        drop(clients);
        wait_for("the clients' sockets to be released", || sidecar.open_descriptors() < 80);
    }
}

#[test]
fn slow_failing_and_cold_endpoints_get_fewer_calls_at_a_high_rate() {
    let runtime = Runtime::new().unwrap();
    let good = Behavior::serving(Duration::from_millis(2));
    let slow = Behavior::serving(Duration::from_millis(20));
    let failing = Behavior { status: 500, ..Behavior::serving(Duration::ZERO) };
    let endpoints = Endpoints::start(&runtime, &[good, good, good, slow, failing, good]);
    let mut config = config_at(&endpoints.addresses);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    config["known"]["targets"][5]["boot_ms"] = json!(now as u64);
    let sidecar = Sidecar::start(&config);
    runtime.block_on(async {
        let mut clients = tokio::task::JoinSet::new();
        for _ in 0..16 {
            let mut caller = Caller::connect(sidecar.address).await;
            clients.spawn(async move {
                for _ in 0..150 {
                    caller.call("quote").await;
                }
            });
        }
        clients.join_all().await;
    });
    let calls: Vec<f64> = endpoints.calls.iter().map(|calls| calls.load(Ordering::SeqCst) as f64).collect();
    let normal = (calls[0] + calls[1] + calls[2]) / 3.0;
    let share = |i: usize| calls[i] / normal;
    eprintln!("slow {:.3}, failing {:.3}, cold {:.3} of {normal}", share(3), share(4), share(5));
    assert!(share(3) < 0.4, "the slow one: {calls:?}");
    assert!(share(4) < 0.4, "the failing one: {calls:?}");
    assert!(share(5) < 0.9, "the cold one: {calls:?}");
}
