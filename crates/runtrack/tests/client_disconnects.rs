//! Clients that disconnect while their request waits: nothing is sent to an endpoint afterwards, and no state is
//! kept.

#[path = "support/in_process.rs"]
mod in_process;
#[path = "support/node.rs"]
mod support;

use in_process::InProcess;
use serde_json::{Value, json};
use socket2::SockRef;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::*;

/// Time after a client's disconnect beyond which nothing of its request is sent to an endpoint.
const MAX_SEND_DELAY: Duration = Duration::from_millis(300);

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    Close,
    HalfClose,
    Reset,
}

/// Disconnects; returns the client whose connection is only half closed.
fn leave(client: Client, leaving: Leaving) -> Option<Client> {
    let stream = client.stream();
    match leaving {
        Leaving::Close => return None,
        Leaving::HalfClose => stream.shutdown(Shutdown::Write).unwrap(),
        Leaving::Reset => {
            SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
            return None;
        }
    }
    Some(client)
}

/// A configuration for these endpoints that allows or forbids cancelling sent requests.
fn config_with_cancelling(peers: &[&Peer], allowed: bool) -> Value {
    let mut config = config(peers);
    config["settings"]["limits"]["cancelling"] = json!(allowed);
    config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
    config
}

/// Clients disconnect while their attempts wait for connections. Returns how many of their requests the endpoint has
/// seen once connections are established and another client has been served.
fn requests_seen_after_leaving(
    class: &str,
    allowed: bool,
    leaving: Leaving,
    count: usize,
    mutant: &'static str,
) -> usize {
    let peer = Peer::serving("ok");
    let sidecar = InProcess::start(&config_with_cancelling(&[&peer], allowed), mutant);
    sidecar.gate.hold(peer.address);
    let mut clients: Vec<Client> = (0..count).map(|_| sidecar.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request(class, &format!("left-{n}"), "10000m"));
    }
    // Some attempts wait for a connection; other requests are queued by the decision module.
    sidecar.wait_open(count);
    wait_for("a connection attempt", || sidecar.gate.waiting(peer.address) > 0);
    let at = Instant::now();
    let kept: Vec<_> = clients.into_iter().filter_map(|client| leave(client, leaving)).collect();
    if mutant.is_empty() {
        sidecar.wait_at_rest();
        assert_eq!(
            sidecar.gate.waiting(peer.address),
            0,
            "no connection is opened for a disconnected client"
        );
    } else {
        std::thread::sleep(MAX_SEND_DELAY.saturating_sub(at.elapsed())); // with the mutant the attempt keeps waiting
    }
    sidecar.gate.open(peer.address);
    let mut marker = sidecar.client();
    assert_eq!(marker.ask("quote", "marker").status(), 200);
    if !mutant.is_empty() {
        wait_for("the request sent for the disconnected client", || peer.count() > 1);
    }
    drop(kept);
    peer.seen.lock().unwrap().iter().filter(|m| m.header("x-request-id") != "marker").count()
}

#[test]
fn nothing_is_sent_for_a_client_that_left_while_its_attempt_was_connecting() {
    for leaving in [Leaving::Close, Leaving::HalfClose, Leaving::Reset] {
        for allowed in [true, false] {
            for class in ["quote", "pay", "book"] {
                assert_eq!(
                    requests_seen_after_leaving(class, allowed, leaving, 1, ""),
                    0,
                    "{class} {leaving:?} {allowed}"
                );
            }
        }
    }
    assert_ne!(
        requests_seen_after_leaving("book", false, Leaving::Close, 1, "sent-for-nobody"),
        0,
        "the test detects the mutant"
    );
}

#[test]
fn no_state_is_kept_of_fifty_clients_that_leave_at_once() {
    for allowed in [true, false] {
        assert_eq!(requests_seen_after_leaving("book", allowed, Leaving::Close, 50, ""), 0);
    }
}

#[test]
fn nothing_is_sent_for_a_client_that_left_while_its_request_was_queued() {
    let peer = Peer::serving("ok");
    let discovery = Discovery::new(list(8, false, &[]));
    let mut config = config(&[]);
    config["discovery"] = json!(discovery.address.to_string());
    let sidecar = InProcess::start(&config, "");
    let mut client = sidecar.client();
    client.send(&request("book", "left", "10000m"));
    sidecar.wait_open(1);
    drop(client);
    sidecar.wait_at_rest();
    discovery.send_line(&list(9, false, &[target("s-0", peer.address, "up")]).to_string());
    assert_eq!(sidecar.client().ask("book", "marker").status(), 200);
    assert_eq!(peer.count(), 1);
}

/// Whether a request was sent whose client disconnected while the attempt waited for a socket of the budget.
fn sent_after_socket_freed(mutant: &'static str) -> bool {
    let free = Arc::new(AtomicBool::new(false));
    let peers: Vec<Peer> = (0..6).map(|_| Peer::gated(&free, "ok")).collect();
    let mut config = config_with_cancelling(&peers.iter().collect::<Vec<_>>(), false);
    // 16 sockets: ten for clients, which leaves six for their requests.
    config["limits"]["sockets"] = json!(64);
    let sidecar = InProcess::start(&config, mutant);
    let mut clients: Vec<Client> = (0..10).map(|_| sidecar.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        // A client that got 100 Continue has an open request, so that it is not evicted as silent.
        let text = request("book", &format!("r{n}"), "20000m");
        let (head, _) = text.split_once("\r\n\r\n").unwrap();
        client.send(&format!("{head}\r\nExpect: 100-continue\r\n\r\n"));
        assert_eq!(client.receive().map(|told| told.status()), Some(100));
    }
    let mut whole = |n: usize| {
        clients[n].send("body");
        sidecar.wait_open(n + 1);
    };
    (0..6).for_each(&mut whole);
    let seen = || peers.iter().map(Peer::count).sum::<usize>();
    wait_for("six attempts", || {
        peers.iter().map(|p| p.connections.load(Ordering::SeqCst)).sum::<usize>() == 6
    });
    whole(6);
    wait_for("the seventh attempt", || sidecar.gauges().attempts == 7);
    drop(clients.remove(6));
    if mutant.is_empty() {
        sidecar.wait_open(6);
    } else {
        std::thread::sleep(MAX_SEND_DELAY); // with the mutant the attempt keeps waiting
    }
    free.store(true, Ordering::SeqCst);
    for client in clients.iter_mut().take(6) {
        assert_eq!(client.receive().map(|answer| answer.status()), Some(200));
    }
    if mutant.is_empty() {
        sidecar.wait_at_rest();
    } else {
        wait_for("the request sent for the disconnected client", || seen() == 7);
    }
    seen() == 7
}

#[test]
fn nothing_is_sent_for_a_client_that_left_while_its_attempt_waited_for_a_socket() {
    assert!(!sent_after_socket_freed(""));
    assert!(sent_after_socket_freed("sent-for-nobody"), "the test detects the mutant");
}

#[test]
fn a_sent_request_whose_client_left_is_cancelled_where_allowed_and_never_repeated() {
    for class in ["quote", "pay", "book"] {
        for allowed in [true, false] {
            let peer = Peer::new(|_| Reply::Silence);
            let sidecar =
                InProcess::start(&config_with_cancelling(&[&peer, &Peer::serving("other")], allowed), "");
            let mut client = sidecar.client();
            // The first endpoint is chosen at random: repeat until the silent one is chosen.
            let mut n = 0;
            while peer.count() == 0 {
                n += 1;
                client.send(&request(class, &format!("r{n}"), "3000m"));
                wait_for("an endpoint to be chosen", || peer.count() == 1 || client.has_input());
                if peer.count() == 0 {
                    assert_eq!(client.receive().map(|answer| answer.status()), Some(200));
                }
            }
            drop(client);
            if allowed {
                wait_for("the attempt to end", || peer.closed() == 1);
                sidecar.wait_at_rest();
            } else {
                wait_for("the request to end", || sidecar.gauges().attempts == 1);
                assert_eq!(peer.closed(), 0, "an attempt that must not be cancelled stays open");
                wait_for("the deadline", || peer.closed() == 1);
                sidecar.wait_at_rest();
            }
            assert_eq!(peer.count(), 1, "{class} {allowed}");
        }
    }
}

/// The status for a client that reconnects with the same id while the close of its first connection is unread.
fn status_on_reconnect(prefix: &str) -> u16 {
    let peer =
        Peer::new(|m| if m.header("x-first").is_empty() { Reply::Serve("ok") } else { Reply::Silence });
    let first = |id: &str| request("quote", id, "20000m").replace("X-Timeout", "X-First: 1\r\nX-Timeout");
    let sidecar = Sidecar::start_with(&config(&[&peer]), prefix);
    let mut client = sidecar.client();
    client.send(&first("same"));
    wait_for("the attempt to start", || peer.count() == 1);
    let mut again = sidecar.client();
    assert_eq!(again.ask("quote", "other").status(), 200);
    // Stopping the process makes both events pending, so that the new request is read before the close.
    sidecar.signal("-STOP");
    wait_for("the process to stop", || sidecar.stopped());
    again.send(&request("quote", "same", "20000m"));
    drop(client);
    sidecar.signal("-CONT");
    let status = again.receive().expect("an answer").status();
    // While the first connection is open, a second request with its id is refused.
    let (mut one, mut two) = (sidecar.client(), sidecar.client());
    let before = peer.count();
    one.send(&first("twin"));
    wait_for("the attempt to start", || peer.count() > before);
    assert_eq!(two.ask("quote", "twin").status(), 409);
    status
}

#[test]
fn a_client_that_reconnects_with_the_same_id_before_its_close_was_read_is_served() {
    assert_eq!(status_on_reconnect(""), 200);
    assert_eq!(
        status_on_reconnect("RUNTRACK_MUTANT=old-connection-not-checked"),
        409,
        "the test detects the mutant"
    );
}

/// Whether a request was sent whose client disconnected during the reuse delay of the only connection, with no new
/// connection possible. `None` if the machine stalled for longer than the delay and the request was sent before.
fn sent_after_reuse_delay(mutant: &'static str) -> Option<bool> {
    let peer = Peer::new(|m| match m.header("x-request-id").starts_with("spoilt") {
        true => Reply::ServeAndWrite("ok", Duration::ZERO, "more than was asked".to_owned()),
        false => Reply::Serve("ok"),
    });
    let sidecar = InProcess::start(&config_with_cancelling(&[&peer], false), mutant);
    // Unsolicited bytes after answers raise the reuse delay to its maximum of 0.2 s.
    for n in 0..6 {
        sidecar.client().ask("quote", &format!("spoilt-{n}"));
    }
    assert_eq!(sidecar.client().ask("quote", "good").status(), 200);
    let rested = Instant::now();
    sidecar.gate.hold(peer.address);
    let (before, mut client) = (peer.count(), sidecar.client());
    client.send(&request("quote", "left", "10000m"));
    wait_for("the request to wait, or to be sent", || sidecar.gauges().open == 1 || peer.count() > before);
    let in_time = peer.count() == before && rested.elapsed() < Duration::from_millis(100);
    drop(client);
    if mutant.is_empty() {
        sidecar.wait_at_rest();
    }
    // Longer than the maximum reuse delay.
    std::thread::sleep(MAX_SEND_DELAY);
    sidecar.gate.open(peer.address);
    assert_eq!(sidecar.client().ask("quote", "marker").status(), 200);
    let sent = peer.seen.lock().unwrap().iter().any(|m| m.header("x-request-id") == "left");
    in_time.then_some(sent)
}

#[test]
fn nothing_is_sent_for_a_client_that_left_during_the_reuse_delay() {
    let once =
        |mutant| (0..10).find_map(|_| sent_after_reuse_delay(mutant)).expect("a run without a stall");
    assert!(!once(""));
    assert!(once("sent-for-nobody"), "the test detects the mutant");
}
