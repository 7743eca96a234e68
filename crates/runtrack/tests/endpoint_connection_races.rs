//! Connections to endpoints: established late, reset at once or long after the request, and answers without an end.

#[path = "support/in_process.rs"]
mod in_process;
#[path = "support/node.rs"]
mod support;

use in_process::{Gate, InProcess};
use runtrack::net::budget::Budget;
use runtrack::net::config::Config;
use runtrack::net::outbound::{Attempt, Forward, Outbound, Progress};
use runtrack::net::socket::Socket as Transport;
use runtrack::net::window::RepeatWindow;
use runtrack_balancer::{EndpointId, Outcome};
use runtrack_net::{Connection, PeekStatus};
use serde_json::json;
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use support::*;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::task::LocalSet;

const CLASSES: [&str; 3] = ["quote", "pay", "book"];

#[test]
fn a_late_connection_times_out_and_the_request_goes_to_another_endpoint() {
    for class in CLASSES {
        let (late, other) = (Peer::serving("late"), Peer::serving("other"));
        let mut config = config(&[&late, &other]);
        config["settings"]["limits"]["connectTimeoutMs"] = json!(100.0);
        let sidecar = InProcess::start(&config, "");
        sidecar.gate.hold(late.address);
        for n in 0..10 {
            let answer = sidecar.client().ask(class, &format!("r{n}"));
            assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"other"[..]), "{class} {n}");
        }
        sidecar.wait_at_rest();
        assert_eq!((sidecar.gate.waiting(late.address), late.count()), (0, 0));
        sidecar.gate.open(late.address);
        assert_eq!(sidecar.client().ask(class, "marker").status(), 200);
        assert!(late.seen.lock().unwrap().iter().all(|m| m.header("x-request-id") == "marker"), "{class}");
    }
}

#[test]
fn nothing_is_sent_on_a_connection_established_after_the_request_ended() {
    for class in CLASSES {
        let peer = Peer::serving("ok");
        let mut config = config(&[&peer]);
        config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
        let sidecar = InProcess::start(&config, "");
        sidecar.gate.hold(peer.address);
        let mut client = sidecar.client();
        client.send(&request(class, "over", "300m"));
        let answer = client.receive().expect("an answer in time");
        assert_eq!(answer.status(), 503, "{class}: nothing was sent, so that a retry is harmless");
        sidecar.wait_at_rest();
        assert_eq!(sidecar.gate.waiting(peer.address), 0, "its permit is released");
        sidecar.gate.open(peer.address);
        assert_eq!(client.ask(class, "marker").status(), 200);
        assert_eq!(peer.count(), 1, "{class}");
    }
}

/// The status of a request whose deadline passed while the process was blocked and its connection pending, where the
/// end of another attempt is handled before that attempt's task runs; and whether the answer has `Retry-After`.
fn status_after_standstill(class: &str, mutant: &'static str) -> (u16, bool) {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
    let sidecar = InProcess::start(&config, mutant);
    sidecar.gate.hold(peer.address);
    let (mut over, mut other) = (sidecar.client(), sidecar.client());
    over.send(&request(class, "over", "1000m"));
    wait_for("the connection attempt", || sidecar.gate.waiting(peer.address) == 1);
    // The other request's attempt fails after the first one's deadline; on its end the driver checks deadlines.
    sidecar.gate.block_process(peer.address, Instant::now() + Duration::from_millis(1100));
    other.send(&request("quote", "other", "10000m"));
    let answer = over.receive().expect("an answer");
    assert_eq!(peer.count(), 0);
    (answer.status(), !answer.header("retry-after").is_empty())
}

#[test]
fn a_request_not_sent_before_its_deadline_is_refused_whichever_task_runs_first() {
    for class in CLASSES {
        assert_eq!(status_after_standstill(class, ""), (503, true), "{class}");
    }
    assert_eq!(
        status_after_standstill("book", "overdue-attempts-not-ended").0,
        502,
        "the test detects the mutant"
    );
}

/// An endpoint that reads complete requests, waits for `free`, writes this text and resets the connection. Returns
/// its address and the number of requests read.
fn resetting_endpoint(text: &'static str, free: Arc<AtomicBool>) -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, read) = (listener(), Arc::<AtomicUsize>::default());
    let (address, count) = (listener.local_addr().unwrap(), read.clone());
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (free, count) = (free.clone(), count.clone());
            std::thread::spawn(move || {
                Message::read(&mut BufReader::new(stream.try_clone().unwrap()))?;
                count.fetch_add(1, Ordering::SeqCst);
                wait_for("permission to reset", || free.load(Ordering::SeqCst));
                stream.write_all(text.as_bytes()).ok()?;
                if !text.is_empty() {
                    // Let the text be read first: a reset discards data in flight.
                    std::thread::sleep(Duration::from_millis(20));
                }
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()
            });
        }
    });
    (address, read)
}

/// The status of a request whose endpoint resets the connection after this text, and how often a request was read.
fn reset_after(text: &'static str, class: &str, mutant: &'static str) -> (u16, usize) {
    let (address, read) = resetting_endpoint(text, Arc::new(AtomicBool::new(true)));
    let mut config = config_at(&[address]);
    config["settings"]["limits"]["maxAttempts"] = json!(2);
    let sidecar = InProcess::start(&config, mutant);
    let status = sidecar.client().ask(class, "r1").status();
    (status, read.load(Ordering::SeqCst))
}

#[test]
fn a_reset_does_not_end_an_answer_without_a_length() {
    let begun = "HTTP/1.1 200 OK\r\n\r\nhalf of it";
    assert_eq!(reset_after(begun, "book", ""), (502, 1));
    assert_eq!(
        reset_after(begun, "quote", ""),
        (503, 2),
        "safe: sent again, and refused because that attempt failed too"
    );
    assert_eq!(reset_after(begun, "pay", ""), (503, 2), "keyed: sent again as well");
    assert_eq!(reset_after(begun, "book", "reset-taken-as-eof"), (200, 1), "the test detects the mutant");
}

#[test]
fn a_request_reset_long_after_its_start_is_repeated_only_where_the_settings_allow() {
    for (class, window, read_most) in
        [("quote", 1.0, 2), ("pay", 20_000.0, 2), ("pay", 1.0, 1), ("book", 1.0, 1)]
    {
        let free = Arc::new(AtomicBool::new(false));
        let (address, read) = resetting_endpoint("", free.clone());
        let mut config = config_at(&[address]);
        config["settings"]["classes"][2]["repeatWindowMs"] = json!(window);
        config["settings"]["limits"]["maxAttempts"] = json!(2);
        // Second copies would be sent for a late answer.
        config["settings"]["limits"]["secondCopies"] = json!(false);
        config["settings"]["limits"]["cancelling"] = json!(false);
        let sidecar = InProcess::start(&config, "");
        let mut client = sidecar.client();
        client.send(&request(class, "r1", "10000m"));
        wait_for("the request", || read.load(Ordering::SeqCst) == 1);
        let begun = Instant::now();
        wait_for("the repeat window to pass", || begun.elapsed() > Duration::from_millis(5));
        free.store(true, Ordering::SeqCst);
        let status = client.receive().expect("an answer").status();
        assert_eq!(read.load(Ordering::SeqCst), read_most, "{class} {window}");
        assert_eq!(status, if class == "book" { 502 } else { 503 }, "{class} {window}");
    }
}

/// How often a keyed request is seen if the process is stopped (SIGSTOP, SIGCONT) from before its first attempt
/// breaks until its repeat window is over.
fn attempts_when_stopped(prefix: &str) -> usize {
    let free = Arc::new(AtomicBool::new(false));
    let (address, read) = resetting_endpoint("", free.clone());
    let mut config = config_at(&[address]);
    let window = Duration::from_millis(400);
    config["settings"]["classes"][2]["repeatWindowMs"] = json!(400.0);
    config["settings"]["limits"]["maxAttempts"] = json!(2);
    let sidecar = Sidecar::start_with(&config, prefix);
    let mut client = sidecar.client();
    client.send(&request("pay", "r1", "10000m"));
    wait_for("the request", || read.load(Ordering::SeqCst) == 1);
    let begun = Instant::now();
    sidecar.signal("-STOP");
    wait_for("the process to stop", || sidecar.stopped());
    free.store(true, Ordering::SeqCst);
    wait_for("the repeat window to pass", || begun.elapsed() > window);
    sidecar.signal("-CONT");
    assert!(client.receive().is_some_and(|answer| answer.status() >= 500));
    read.load(Ordering::SeqCst)
}

#[test]
fn a_process_that_was_stopped_repeats_no_keyed_request_beyond_its_window() {
    assert_eq!(attempts_when_stopped(""), 1);
    assert_eq!(attempts_when_stopped("RUNTRACK_MUTANT=keyed-for-ever"), 2, "the test detects the mutant");
}

#[test]
fn a_keyed_repeat_whose_connection_is_established_after_its_window_is_not_sent() {
    for (mutant, seen) in [("", 0), ("keyed-for-ever", 1)] {
        let free = Arc::new(AtomicBool::new(false));
        let (breaking, read) = resetting_endpoint("", free.clone());
        let other = Peer::serving("other");
        let mut config = config_at(&[breaking, other.address]);
        let window = Duration::from_millis(400);
        config["settings"]["classes"][2]["repeatWindowMs"] = json!(400.0);
        config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
        let sidecar = InProcess::start(&config, mutant);
        sidecar.gate.hold(other.address);
        // The first endpoint is chosen at random: until one request goes to the resetting endpoint, the others wait
        // at the gate.
        let mut clients = Vec::new();
        while read.load(Ordering::SeqCst) == 0 {
            let mut client = sidecar.client();
            client.send(&request("pay", &format!("r{}", clients.len()), "10000m"));
            clients.push(client);
            let (sent, waiting) = (clients.len(), || sidecar.gate.waiting(other.address));
            wait_for("an endpoint to be chosen", || read.load(Ordering::SeqCst) == 1 || waiting() == sent);
        }
        let begun = Instant::now();
        let before = sidecar.gate.waiting(other.address);
        free.store(true, Ordering::SeqCst);
        wait_for("the repeated attempt", || sidecar.gate.waiting(other.address) > before);
        wait_for("the repeat window to pass", || begun.elapsed() > window);
        sidecar.gate.open(other.address);
        let id = format!("r{}", clients.len() - 1);
        let answer = clients.last_mut().unwrap().receive().expect("an answer");
        let of_it = other.seen.lock().unwrap().iter().filter(|m| m.header("x-request-id") == id).count();
        assert_eq!((of_it, answer.status() == 200), (seen, seen == 1), "{mutant}");
    }
}

#[test]
fn an_answer_of_the_maximum_size_is_forwarded_and_an_endless_one_is_not() {
    let largest: &'static str = Box::leak("x".repeat(64 * 1024).into_boxed_str());
    let peer = Peer::new(move |m| match m.target().starts_with("/quote") {
        true => Reply::Serve(largest),
        false => Reply::Flood("HTTP/1.1 200 OK\r\n\r\n".to_owned(), "and so on ".repeat(100)),
    });
    let sidecar = InProcess::start(&config(&[&peer]), "");
    let answer = sidecar.client().ask("quote", "r1");
    assert_eq!((answer.status(), answer.body.len()), (200, largest.len()));
    assert_eq!(sidecar.client().ask("book", "r2").status(), 502);
    sidecar.wait_at_rest();
}

/// A connection that records what is written.
#[derive(Clone, Default)]
struct RecordingConnection(Rc<RefCell<Vec<u8>>>);

impl AsyncRead for RecordingConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Poll::Pending
    }
}

impl AsyncWrite for RecordingConnection {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<std::io::Result<usize>> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Connection for RecordingConnection {
    fn peek_status(&self) -> PeekStatus {
        PeekStatus::Empty
    }
}

/// What is written of a request that was started in time by a process that then stalled beyond the repeat window.
fn written_by_deadline(mutant: Option<&str>) -> Vec<u8> {
    runtrack_net::set_mutant(mutant);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let written = runtime.unwrap().block_on(async {
        let recorder = RecordingConnection::default();
        let (mut socket, heard) = Transport::new(Box::new(recorder.clone()));
        heard.set_write_deadline(Some(tokio::time::Instant::now() + Duration::from_millis(400)));
        socket.write_all(b"in time,").await.unwrap();
        tokio::time::advance(Duration::from_millis(400)).await;
        let late = socket.write_all(b" late").await;
        assert_eq!((late.is_err(), heard.write_refused()), (mutant.is_none(), mutant.is_none()));
        recorder.0.take()
    });
    runtrack_net::set_mutant(None);
    written
}

#[test]
fn the_repeat_window_is_checked_at_each_write() {
    assert_eq!(written_by_deadline(None), b"in time,");
    assert_eq!(
        written_by_deadline(Some("window-not-checked-at-write")),
        b"in time, late",
        "the test detects the mutant"
    );
}

#[test]
fn connections_have_nodelay_set() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    runtime.block_on(async {
        use runtrack_net::Network;
        let made = runtrack_net::Tcp.connect(listener.local_addr().unwrap()).await.unwrap();
        assert!(made.is_nodelay(), "an outgoing connection");
        let at = free_address();
        let ours = runtrack_net::Tcp.listen(at).unwrap();
        let _client = std::net::TcpStream::connect(at).unwrap();
        let taken = std::future::poll_fn(|cx| ours.poll_accept(cx)).await.unwrap();
        assert!(taken.is_nodelay(), "an accepted connection");
    });
}

/// How often an endpoint sees a keyed request whose attempt there was created first but connected last, after a copy
/// on another endpoint was executed and the repeat window ended.
fn attempts_after_copy(mutant: Option<&str>) -> usize {
    runtrack_net::set_mutant(mutant);
    let (late, quick) = (Peer::serving("late"), Peer::serving("quick"));
    let mut config = config(&[&late, &quick]);
    config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
    let config = Config::parse(&config.to_string(), None, None, None).unwrap();
    let (gate, budget) = (Gate::default(), Budget::new(config.sockets, config.memory_mb));
    let outbound = Outbound::new(gate.network(), &config.settings, budget);
    gate.hold(late.address);
    let length = Duration::from_millis(50);
    let window = Rc::new(RepeatWindow::new(length));
    let attempt = |number: usize| {
        let mut headers = hyper::HeaderMap::new();
        headers.insert("x-request-id", "r1".parse().unwrap());
        let (method, uri, body) = (hyper::Method::POST, "/pay/x".parse().unwrap(), "body".into());
        let forward = Rc::new(Forward { method, uri, headers, body });
        let give_up_at = tokio::time::Instant::now() + WAIT_TIMEOUT;
        Attempt { forward, give_up_at, window: Some((window.clone(), number)), at_most_once: false }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let progress = [Progress::default(), Progress::default()];
        let first = outbound.attempt(EndpointId(0), late.address, attempt(0), &progress[0]);
        let copied = async {
            while gate.waiting(late.address) == 0 {
                tokio::task::yield_now().await;
            }
            let copy = outbound.attempt(EndpointId(1), quick.address, attempt(1), &progress[1]).await;
            assert_eq!(copy.outcome, Outcome::Ok);
            tokio::time::sleep(length).await;
            gate.open(late.address);
        };
        let (first, ()) = tokio::join!(first, copied);
        assert_eq!(
            first.outcome == Outcome::ConnectFailed,
            mutant.is_none(),
            "the attempt counts as not executed"
        );
    });
    runtrack_net::set_mutant(None);
    assert_eq!(quick.count(), 1);
    late.count()
}

#[test]
fn an_attempt_created_first_but_started_last_is_bounded_by_an_executed_copy() {
    assert_eq!(attempts_after_copy(None), 0);
    assert_eq!(attempts_after_copy(Some("ignores-earlier-copy")), 1, "the test detects the mutant");
}
