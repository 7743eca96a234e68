//! Clients that leave while their request waits: nothing of it is sent on afterwards, and nothing is left behind.

#[path = "support/inside.rs"]
mod inside;
#[path = "support/node.rs"]
mod support;

use inside::Inside;
use serde_json::{Value, json};
use socket2::SockRef;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::*;

/// Of a request whose client has left, nothing is sent on later than this.
const GONE: Duration = Duration::from_millis(300);

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    Close,
    HalfClose,
    Reset,
}

/// Leaves; what a half-closed connection keeps open is handed back.
fn leave(client: Client, how: Leaving) -> Option<Client> {
    let stream = client.stream();
    match how {
        Leaving::Close => return None,
        Leaving::HalfClose => stream.shutdown(Shutdown::Write).unwrap(),
        Leaving::Reset => {
            SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
            return None;
        }
    }
    Some(client)
}

/// A configuration for these endpoints, where sent requests may be cancelled, or may not.
fn cancelling(peers: &[&Peer], may: bool) -> Value {
    let mut config = config(peers);
    config["settings"]["limits"]["cancelling"] = json!(may);
    config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
    config
}

/// Requests of clients that leave while their attempts wait for connections; what the endpoint has seen of them once the
/// connections come up and another client has been served.
fn seen_of_those_who_left(
    class: &str,
    may: bool,
    how: Leaving,
    count: usize,
    planted: &'static str,
) -> usize {
    let peer = Peer::serving("ok");
    let sidecar = Inside::start(&cancelling(&[&peer], may), planted);
    sidecar.gate.hold(peer.address);
    let mut clients: Vec<Client> = (0..count).map(|_| sidecar.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request(class, &format!("left-{n}"), "10000m"));
    }
    // Some wait for a connection, others are held by the module.
    sidecar.wait_open(count);
    wait_for("a connection being made", || sidecar.gate.waiting(peer.address) > 0);
    let at = Instant::now();
    let kept: Vec<_> = clients.into_iter().filter_map(|client| leave(client, how)).collect();
    if planted.is_empty() {
        sidecar.at_rest();
        assert_eq!(sidecar.gate.waiting(peer.address), 0, "no connection is made for nobody");
    } else {
        std::thread::sleep(GONE.saturating_sub(at.elapsed())); // it goes on waiting, whatever the time
    }
    sidecar.gate.open(peer.address);
    let mut marker = sidecar.client();
    assert_eq!(marker.ask("quote", "marker").status(), 200);
    if !planted.is_empty() {
        wait_for("what was sent for nobody", || peer.count() > 1);
    }
    drop(kept);
    peer.seen.lock().unwrap().iter().filter(|m| m.header("x-request-id") != "marker").count()
}

#[test]
fn gone_while_a_connection_comes_up_late_nothing_is_sent() {
    for how in [Leaving::Close, Leaving::HalfClose, Leaving::Reset] {
        for may in [true, false] {
            for class in ["quote", "pay", "book"] {
                assert_eq!(seen_of_those_who_left(class, may, how, 1, ""), 0, "{class} {how:?} {may}");
            }
        }
    }
    assert_ne!(
        seen_of_those_who_left("book", false, Leaving::Close, 1, "sent-for-nobody"),
        0,
        "the check can fail"
    );
}

#[test]
fn fifty_that_leave_at_once_leave_nothing_behind() {
    for may in [true, false] {
        assert_eq!(seen_of_those_who_left("book", may, Leaving::Close, 50, ""), 0);
    }
}

#[test]
fn gone_while_held_by_the_module_nothing_is_sent() {
    let peer = Peer::serving("ok");
    let discovery = Discovery::new(list(8, false, &[]));
    let mut config = config(&[]);
    config["discovery"] = json!(discovery.address.to_string());
    let sidecar = Inside::start(&config, "");
    let mut client = sidecar.client();
    client.send(&request("book", "left", "10000m"));
    sidecar.wait_open(1);
    drop(client);
    sidecar.at_rest();
    discovery.say(&list(9, false, &[target("s-0", peer.address, "up")]).to_string());
    assert_eq!(sidecar.client().ask("book", "marker").status(), 200);
    assert_eq!(peer.count(), 1);
}

/// Whether a request was sent on whose client left while the attempt waited for a socket of the budget.
fn sent_once_a_socket_is_free(planted: &'static str) -> bool {
    let free = Arc::new(AtomicBool::new(false));
    let peers: Vec<Peer> = (0..6).map(|_| Peer::held(&free, "ok")).collect();
    let mut config = cancelling(&peers.iter().collect::<Vec<_>>(), false);
    // Sixteen sockets: ten for clients, six are left for their requests.
    config["limits"]["sockets"] = json!(64);
    let sidecar = Inside::start(&config, planted);
    let mut clients: Vec<Client> = (0..10).map(|_| sidecar.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        // Who is told to go on has been taken in, and is no silent client that may be closed to make room.
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
    if planted.is_empty() {
        sidecar.wait_open(6);
    } else {
        std::thread::sleep(GONE); // it goes on waiting, whatever the time
    }
    free.store(true, Ordering::SeqCst);
    for client in clients.iter_mut().take(6) {
        assert_eq!(client.receive().map(|answer| answer.status()), Some(200));
    }
    if planted.is_empty() {
        sidecar.at_rest();
    } else {
        wait_for("what was sent for nobody", || seen() == 7);
    }
    seen() == 7
}

#[test]
fn gone_while_it_waits_for_a_socket_of_the_budget_nothing_is_sent() {
    assert!(!sent_once_a_socket_is_free(""));
    assert!(sent_once_a_socket_is_free("sent-for-nobody"), "the check can fail");
}

#[test]
fn gone_after_it_was_written_it_is_cancelled_where_that_is_allowed_and_never_copied() {
    for class in ["quote", "pay", "book"] {
        for may in [true, false] {
            let peer = Peer::new(|_| Do::Silence);
            let sidecar = Inside::start(&cancelling(&[&peer, &Peer::serving("other")], may), "");
            let mut client = sidecar.client();
            // The first choice is a draw: until the silent one has it.
            let mut n = 0;
            while peer.count() == 0 {
                n += 1;
                client.send(&request(class, &format!("r{n}"), "3000m"));
                wait_for("a choice", || peer.count() == 1 || client.has_answer());
                if peer.count() == 0 {
                    assert_eq!(client.receive().map(|answer| answer.status()), Some(200));
                }
            }
            drop(client);
            if may {
                wait_for("the attempt's end", || peer.closed() == 1);
                sidecar.at_rest();
            } else {
                wait_for("the request's end", || sidecar.gauges().attempts == 1);
                assert_eq!(peer.closed(), 0, "what may run to its end is not broken off");
                wait_for("the deadline", || peer.closed() == 1);
                sidecar.at_rest();
            }
            assert_eq!(peer.count(), 1, "{class} {may}");
        }
    }
}

/// What a client gets that comes again by the same id while the end of its first connection lies unread.
fn again_by_the_same_id(prefix: &str) -> u16 {
    let peer = Peer::new(|m| if m.header("x-first").is_empty() { Do::Serve("ok") } else { Do::Silence });
    let first = |id: &str| request("quote", id, "20000m").replace("X-Timeout", "X-First: 1\r\nX-Timeout");
    let sidecar = Sidecar::start_with(&config(&[&peer]), prefix);
    let mut client = sidecar.client();
    client.send(&first("same"));
    wait_for("the attempt", || peer.count() == 1);
    let mut again = sidecar.client();
    assert_eq!(again.ask("quote", "other").status(), 200);
    // While the process stands still, what it has to read first comes first.
    sidecar.signal("-STOP");
    wait_for("the stop", || sidecar.stopped());
    again.send(&request("quote", "same", "20000m"));
    drop(client);
    sidecar.signal("-CONT");
    let status = again.receive().expect("an answer").status();
    // While the first one's connection stands, a second by its id is refused.
    let (mut one, mut two) = (sidecar.client(), sidecar.client());
    let before = peer.count();
    one.send(&first("twin"));
    wait_for("the attempt", || peer.count() > before);
    assert_eq!(two.ask("quote", "twin").status(), 409);
    status
}

#[test]
fn a_client_that_comes_again_by_the_same_id_before_its_end_was_seen_is_served() {
    assert_eq!(again_by_the_same_id(""), 200);
    assert_eq!(again_by_the_same_id("RUNTRACK_MUTANT=end-unlooked-for"), 409, "the check can fail");
}

/// Whether a request was sent on whose client left while the only connection rested: a new one can't be made. None where
/// the machine stood still for longer than a rest lasts, and the request was sent before its client could leave.
fn sent_after_a_rest(planted: &'static str) -> Option<bool> {
    let peer = Peer::new(|m| match m.header("x-request-id").starts_with("spoilt") {
        true => Do::ServeAndWrite("ok", Duration::ZERO, "more than was asked".to_owned()),
        false => Do::Serve("ok"),
    });
    let sidecar = Inside::start(&cancelling(&[&peer], false), planted);
    // What comes behind answers makes the rest as long as it gets: 0.2 s.
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
    if planted.is_empty() {
        sidecar.at_rest();
    }
    // Long enough for any rest to end.
    std::thread::sleep(GONE);
    sidecar.gate.open(peer.address);
    assert_eq!(sidecar.client().ask("quote", "marker").status(), 200);
    let sent = peer.seen.lock().unwrap().iter().any(|m| m.header("x-request-id") == "left");
    in_time.then_some(sent)
}

#[test]
fn gone_while_the_connection_rests_nothing_is_sent() {
    let once = |planted| (0..10).find_map(|_| sent_after_a_rest(planted)).expect("a machine that goes on");
    assert!(!once(""));
    assert!(once("sent-for-nobody"), "the check can fail");
}
