//! Endpoint list updates in unfavourable orders: an agent with a newer list than the known one, drains while a
//! connection is being established, and late updates from a previous discovery server.

#[path = "support/in_process.rs"]
mod in_process;
#[path = "support/node.rs"]
mod support;

use in_process::InProcess;
use serde_json::{Value, json};
use socket2::SockRef;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use support::*;

/// A discovery server whose calls are answered by the test.
struct ManualDiscovery {
    address: SocketAddr,
    calls: mpsc::Receiver<(String, TcpStream)>,
}

impl ManualDiscovery {
    fn new() -> ManualDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (to, calls) = mpsc::channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let message = Message::read(&mut BufReader::new(stream.try_clone().unwrap()));
                let Some(message) = message else { continue };
                if to.send((message.target().to_owned(), stream)).is_err() {
                    return;
                }
            }
        });
        ManualDiscovery { address, calls }
    }

    fn next(&self) -> (String, TcpStream) {
        self.calls.recv_timeout(WAIT_TIMEOUT).expect("a call to discovery")
    }
}

const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn write_list(stream: &mut TcpStream, list: &Value) {
    let line = format!("{list}\n");
    let _ = stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes());
}

fn following(known: &[&Peer], discovery: SocketAddr, mode: &str) -> Value {
    let mut config = config(known);
    config["discovery"] = json!(discovery.to_string());
    config["settings"]["discovery"] = json!(mode);
    config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
    config
}

/// The endpoint that serves the first request of a process whose agent knows that the listed endpoint is draining.
fn first_served_after_a_restart(mutant: &'static str) -> Vec<u8> {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let agent = ManualDiscovery::new();
    let sidecar = InProcess::spawn(&following(&[&old], agent.address, "automatic"), mutant);
    let (call, mut watch) = agent.next();
    assert_eq!(call, "/api/targets?watch=1&after=7");
    if mutant.is_empty() {
        assert!(!sidecar.is_listening(), "nothing is accepted before the agent's list");
    } else {
        wait_for("the listener to open", || sidecar.is_listening());
        return sidecar.client().ask("quote", "r1").body;
    }
    let list =
        list(9, false, &[target("s-0", old.address, "draining"), target("s-new", new.address, "up")]);
    watch.write_all(WATCH_HEAD.as_bytes()).unwrap();
    write_list(&mut watch, &list);
    wait_for("the listener to open", || sidecar.is_listening());
    let body = sidecar.client().ask("quote", "r1").body;
    assert_eq!(old.count(), 0);
    body
}

#[test]
fn a_drain_known_to_the_agent_holds_from_the_first_request_after_a_restart() {
    assert_eq!(first_served_after_a_restart(""), b"new");
    assert_eq!(
        first_served_after_a_restart("serves-known-list-first"),
        b"old",
        "the test detects the mutant"
    );
}

#[test]
fn a_silent_or_missing_agent_does_not_prevent_serving_from_the_known_list() {
    let peer = Peer::serving("ok");
    let agent = ManualDiscovery::new(); // accepts calls without answering
    for discovery in [agent.address, free_address()] {
        let start = Instant::now();
        let sidecar = InProcess::start(&following(&[&peer], discovery, "automatic"), "");
        assert!(start.elapsed() < Duration::from_secs(5), "ready in time");
        assert_eq!(sidecar.client().ask("book", "r1").status(), 200);
    }
}

/// An endpoint is drained, removed or moved while a connection to it is being established. Returns the body of the
/// answer and the number of requests that the old endpoint has seen once its connection is established.
fn update_while_connecting(update: &str, class: &str, mutant: &'static str) -> (Vec<u8>, usize) {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = InProcess::start(&following(&[&old], discovery.address, "subscribe"), mutant);
    wait_for("the watch", || discovery.calls().len() == 1);
    sidecar.gate.hold(old.address);
    let mut client = sidecar.client();
    client.send(&request(class, "r1", "15000m"));
    wait_for("the connection attempt", || sidecar.gate.waiting(old.address) == 1);
    let change = match update {
        "moved" => vec![target("s-0", new.address, "up")],
        state => vec![target("s-new", new.address, "up"), target("s-0", old.address, state)],
    };
    discovery.send_line(&list(9, false, &change).to_string());
    if !mutant.is_empty() {
        // The update has been applied: new calls go to the other endpoint.
        wait_for("the list to be applied", || sidecar.client().ask("quote", "marker").body == b"new");
        sidecar.gate.open(old.address);
    }
    let body = client.receive().expect("an answer").body;
    sidecar.gate.open(old.address);
    sidecar.wait_at_rest();
    (body, old.count())
}

#[test]
fn a_drain_during_connecting_sends_the_request_to_another_endpoint() {
    for update in ["draining", "removed", "moved"] {
        for class in ["quote", "pay", "book"] {
            let expected = (b"new".to_vec(), 0);
            assert_eq!(update_while_connecting(update, class, ""), expected, "{update} {class}");
        }
    }
    let late = update_while_connecting("draining", "book", "drain-keeps-pending-attempts");
    assert_eq!(late, (b"old".to_vec(), 1), "the test detects the mutant");
}

#[test]
fn a_full_list_without_an_endpoint_cancels_attempts_connecting_to_it() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = InProcess::start(&following(&[&old], discovery.address, "subscribe"), "");
    wait_for("the watch", || discovery.calls().len() == 1);
    sidecar.gate.hold(old.address);
    let mut client = sidecar.client();
    client.send(&request("book", "r1", "15000m"));
    wait_for("the connection attempt", || sidecar.gate.waiting(old.address) == 1);
    discovery.send_line(&list(9, true, &[target("s-new", new.address, "up")]).to_string());
    assert_eq!(client.receive().expect("an answer").body, b"new");
    assert_eq!((sidecar.gate.waiting(old.address), old.count()), (0, 0));
}

#[test]
fn late_updates_of_a_previous_discovery_server_are_ignored_after_a_move_and_back() {
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        let (first, second) = (ManualDiscovery::new(), ManualDiscovery::new());
        let mut config = following(&[&old], first.address, mode);
        let sidecar = InProcess::spawn(&config, "");
        // The first watch is being opened; its answer is still to come.
        let (_, mut opening) = first.next();
        wait_for("the listener to open", || sidecar.is_listening());
        config["discovery"] = json!(second.address.to_string());
        sidecar.reload(&config);
        let (call, mut fetch) = second.next();
        assert_eq!(call, "/api/targets", "versions of another server do not apply");
        // Move back to the first server while the fetch from the second is open.
        config["discovery"] = json!(first.address.to_string());
        sidecar.reload(&config);
        let mut back = loop {
            let (call, stream) = first.next();
            if call == "/api/targets" {
                break stream;
            }
        };
        let whole = |stream: &mut TcpStream, list: &Value| {
            let _ = stream.write_all(answer("200 OK", "", &list.to_string()).as_bytes());
        };
        let gone = list(99, true, &[]);
        whole(&mut fetch, &gone); // late answer of the second server
        let _ = opening.write_all(WATCH_HEAD.as_bytes());
        write_list(&mut opening, &gone); // late answer of the first server, to the watch opened before the move
        whole(&mut back, &list(3, true, &[target("s-new", new.address, "up")]));
        wait_for("the list of the first server after moving back", || {
            let mut client = sidecar.client();
            client.send(&request("quote", "r1", "1000m"));
            client.receive().is_some_and(|answer| answer.body == b"new")
        });
        let (call, _watch) = first.next();
        assert_eq!(call, "/api/targets?watch=1&after=3", "{mode}");
        assert_eq!(sidecar.client().ask("book", "r2").body, b"new");
        // The sidecar has closed the old connection.
        let mut line = String::new();
        let read = BufReader::new(fetch).read_line(&mut line);
        assert!(matches!(read, Ok(0) | Err(_)), "the old connection is closed");
    }
}

#[test]
fn drains_in_the_first_answer_after_a_discovery_outage_take_effect() {
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        let address = free_address();
        let sidecar = InProcess::start(&following(&[&old], address, mode), "");
        assert_eq!(sidecar.client().ask("book", "r1").body, b"old", "served while discovery is down");
        let change = [target("s-0", old.address, "draining"), target("s-new", new.address, "up")];
        let _discovery = Discovery::at(address, list(9, false, &change));
        let back = Instant::now();
        wait_for("the drain to take effect", || sidecar.client().ask("quote", "r2").body == b"new");
        // The retry delay is at most 0.375 s with an agent and 1.2 s with discovery; the rest of 6 s allows for a
        // slow machine.
        assert!(back.elapsed() < Duration::from_secs(6), "{mode}: {:?}", back.elapsed());
    }
}

#[test]
fn after_a_long_outage_discovery_is_asked_again_within_the_required_time() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = ManualDiscovery::new();
    let mut config = following(&[&old], discovery.address, "subscribe");
    config["settings"]["rules"]["askWithinMs"] = json!(10_000.0);
    let sidecar = InProcess::start(&config, "");
    for _ in 0..6 {
        let (_, mut call) = discovery.next();
        let _ = call.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    // From here on discovery is reachable and has a drain to report.
    let back = Instant::now();
    let (_, mut watch) = discovery.next();
    assert!(back.elapsed() < Duration::from_millis(6500), "asked again after {:?}", back.elapsed());
    watch.write_all(WATCH_HEAD.as_bytes()).unwrap();
    write_list(
        &mut watch,
        &list(9, false, &[target("s-0", old.address, "draining"), target("s-new", new.address, "up")]),
    );
    wait_for("the drain to take effect", || sidecar.client().ask("quote", "r1").body == b"new");
}

#[test]
fn a_drain_after_a_reset_watch_is_received_on_the_next_one() {
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        let discovery = ManualDiscovery::new();
        let sidecar = InProcess::spawn(&following(&[&old], discovery.address, mode), "");
        let (_, mut watch) = discovery.next();
        watch.write_all(WATCH_HEAD.as_bytes()).unwrap();
        write_list(&mut watch, &list(8, false, &[target("s-new", new.address, "up")]));
        wait_for("the listener to open", || sidecar.is_listening());
        wait_for("the first list", || sidecar.client().ask("quote", "r1").body == b"new");
        SockRef::from(&watch).set_linger(Some(Duration::ZERO)).unwrap();
        drop(watch);
        let (call, mut again) = discovery.next();
        assert_eq!(call, "/api/targets?watch=1&after=8", "{mode}");
        again.write_all(WATCH_HEAD.as_bytes()).unwrap();
        write_list(&mut again, &list(9, false, &[target("s-0", old.address, "draining")]));
        wait_for("the drain to take effect", || {
            (0..20).all(|n| sidecar.client().ask("quote", &format!("r{n}")).body == b"new")
        });
        let before = old.count();
        for n in 0..20 {
            assert_eq!(sidecar.client().ask("book", &format!("s{n}")).body, b"new", "{mode}");
        }
        assert_eq!(old.count(), before, "no new request was sent there");
    }
}
