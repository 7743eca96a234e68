//! Connections to endpoints in bad orders: late ones, resets at once and long after, answers without an end.

#[path = "support/inside.rs"]
mod inside;
#[path = "support/node.rs"]
mod support;

use inside::{Gate, Inside};
use runtrack::net::budget::Budget;
use runtrack::net::config::Config;
use runtrack::net::outbound::{Attempt, Forward, Outbound, Progress};
use runtrack::net::socket::Socket as Noted;
use runtrack::net::window::Window;
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
fn a_connection_that_comes_up_late_is_given_up_and_the_request_goes_elsewhere() {
    for class in CLASSES {
        let (late, other) = (Peer::serving("late"), Peer::serving("other"));
        let mut config = config(&[&late, &other]);
        config["settings"]["limits"]["connectTimeoutMs"] = json!(100.0);
        let sidecar = Inside::start(&config, "");
        sidecar.gate.hold(late.address);
        for n in 0..10 {
            let answer = sidecar.client().ask(class, &format!("r{n}"));
            assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"other"[..]), "{class} {n}");
        }
        sidecar.at_rest();
        assert_eq!((sidecar.gate.waiting(late.address), late.count()), (0, 0));
        sidecar.gate.open(late.address);
        assert_eq!(sidecar.client().ask(class, "marker").status(), 200);
        assert!(late.seen.lock().unwrap().iter().all(|m| m.header("x-request-id") == "marker"), "{class}");
    }
}

#[test]
fn a_connection_that_comes_up_when_its_request_is_over_carries_nothing() {
    for class in CLASSES {
        let peer = Peer::serving("ok");
        let mut config = config(&[&peer]);
        config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
        let sidecar = Inside::start(&config, "");
        sidecar.gate.hold(peer.address);
        let mut client = sidecar.client();
        client.send(&request(class, "over", "300m"));
        let answer = client.receive().expect("an answer in time");
        assert_eq!(answer.status(), 503, "{class}: nothing was sent on, and trying again is harmless");
        sidecar.at_rest();
        assert_eq!(sidecar.gate.waiting(peer.address), 0, "no permit is lost to it");
        sidecar.gate.open(peer.address);
        assert_eq!(client.ask(class, "marker").status(), 200);
        assert_eq!(peer.count(), 1, "{class}");
    }
}

/// What a request is told whose time was up while the process stood still and its connection was coming up, where an
/// attempt's end is read before that attempt has its turn; and whether it is told when to come again.
fn told_behind_a_standstill(class: &str, planted: &'static str) -> (u16, bool) {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
    let sidecar = Inside::start(&config, planted);
    sidecar.gate.hold(peer.address);
    let (mut over, mut other) = (sidecar.client(), sidecar.client());
    over.send(&request(class, "over", "1000m"));
    wait_for("the connection", || sidecar.gate.waiting(peer.address) == 1);
    // The other one's attempt fails behind the first one's time: with its end the driver looks at the time.
    sidecar.gate.stand_still(peer.address, Instant::now() + Duration::from_millis(1100));
    other.send(&request("quote", "other", "10000m"));
    let answer = over.receive().expect("an answer");
    assert_eq!(peer.count(), 0);
    (answer.status(), !answer.header("retry-after").is_empty())
}

#[test]
fn what_was_not_sent_before_its_time_was_up_is_refused_whoever_has_the_first_turn() {
    for class in CLASSES {
        assert_eq!(told_behind_a_standstill(class, ""), (503, true), "{class}");
    }
    assert_eq!(told_behind_a_standstill("book", "overdue-untold").0, 502, "the check can fail");
}

/// An endpoint that reads whole requests, waits for its leave, writes this, and resets the connection; its address, and
/// how many requests it has read.
fn resetting(text: &'static str, free: Arc<AtomicBool>) -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, read) = (listener(), Arc::<AtomicUsize>::default());
    let (address, count) = (listener.local_addr().unwrap(), read.clone());
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (free, count) = (free.clone(), count.clone());
            std::thread::spawn(move || {
                Message::read(&mut BufReader::new(stream.try_clone().unwrap()))?;
                count.fetch_add(1, Ordering::SeqCst);
                wait_for("leave to reset", || free.load(Ordering::SeqCst));
                stream.write_all(text.as_bytes()).ok()?;
                if !text.is_empty() {
                    // What was written is to be read first: a reset throws away what is still on the way.
                    std::thread::sleep(Duration::from_millis(20));
                }
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()
            });
        }
    });
    (address, read)
}

/// What a request gets whose endpoint resets the connection behind this text; how often one was read there.
fn reset_behind(text: &'static str, class: &str, planted: &'static str) -> (u16, usize) {
    let (address, read) = resetting(text, Arc::new(AtomicBool::new(true)));
    let mut config = config_at(&[address]);
    config["settings"]["limits"]["maxAttempts"] = json!(2);
    let sidecar = Inside::start(&config, planted);
    let status = sidecar.client().ask(class, "r1").status();
    (status, read.load(Ordering::SeqCst))
}

#[test]
fn a_reset_is_no_end_of_an_answer_without_a_length() {
    let begun = "HTTP/1.1 200 OK\r\n\r\nhalf of it";
    assert_eq!(reset_behind(begun, "book", ""), (502, 1));
    assert_eq!(
        reset_behind(begun, "quote", ""),
        (503, 2),
        "safe, sent again, and refused as that failed too"
    );
    assert_eq!(reset_behind(begun, "pay", ""), (503, 2), "keyed for all, and so may it");
    assert_eq!(reset_behind(begun, "book", "reset-ends"), (200, 1), "the check can fail");
}

#[test]
fn a_reset_long_after_a_request_has_begun_is_repeated_where_the_settings_allow_it_alone() {
    for (class, window, read_most) in
        [("quote", 1.0, 2), ("pay", 20_000.0, 2), ("pay", 1.0, 1), ("book", 1.0, 1)]
    {
        let free = Arc::new(AtomicBool::new(false));
        let (address, read) = resetting("", free.clone());
        let mut config = config_at(&[address]);
        config["settings"]["classes"][2]["repeatWindowMs"] = json!(window);
        config["settings"]["limits"]["maxAttempts"] = json!(2);
        // Copies would be made where an answer is long in coming.
        config["settings"]["limits"]["secondCopies"] = json!(false);
        config["settings"]["limits"]["cancelling"] = json!(false);
        let sidecar = Inside::start(&config, "");
        let mut client = sidecar.client();
        client.send(&request(class, "r1", "10000m"));
        wait_for("the request", || read.load(Ordering::SeqCst) == 1);
        let begun = Instant::now();
        wait_for("the window to pass", || begun.elapsed() > Duration::from_millis(5));
        free.store(true, Ordering::SeqCst);
        let status = client.receive().expect("an answer").status();
        assert_eq!(read.load(Ordering::SeqCst), read_most, "{class} {window}");
        assert_eq!(status, if class == "book" { 502 } else { 503 }, "{class} {window}");
    }
}

/// How often a keyed request is seen whose process stands still from before its first attempt broke until its window is
/// over, by SIGSTOP and SIGCONT.
fn seen_when_stopped_meanwhile(prefix: &str) -> usize {
    let free = Arc::new(AtomicBool::new(false));
    let (address, read) = resetting("", free.clone());
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
    wait_for("the stop", || sidecar.stopped());
    free.store(true, Ordering::SeqCst);
    wait_for("the window to pass", || begun.elapsed() > window);
    sidecar.signal("-CONT");
    assert!(client.receive().is_some_and(|answer| answer.status() >= 500));
    read.load(Ordering::SeqCst)
}

#[test]
fn a_process_that_stood_still_repeats_no_keyed_request_beyond_its_window() {
    assert_eq!(seen_when_stopped_meanwhile(""), 1);
    assert_eq!(seen_when_stopped_meanwhile("RUNTRACK_MUTANT=keyed-for-ever"), 2, "the check can fail");
}

#[test]
fn a_keyed_repeat_whose_connection_comes_up_beyond_its_window_is_not_sent() {
    for (planted, seen) in [("", 0), ("keyed-for-ever", 1)] {
        let free = Arc::new(AtomicBool::new(false));
        let (breaking, read) = resetting("", free.clone());
        let other = Peer::serving("other");
        let mut config = config_at(&[breaking, other.address]);
        let window = Duration::from_millis(400);
        config["settings"]["classes"][2]["repeatWindowMs"] = json!(400.0);
        config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
        let sidecar = Inside::start(&config, planted);
        sidecar.gate.hold(other.address);
        // The first choice is a draw: until one has the endpoint that breaks, the others wait at the gate.
        let mut clients = Vec::new();
        while read.load(Ordering::SeqCst) == 0 {
            let mut client = sidecar.client();
            client.send(&request("pay", &format!("r{}", clients.len()), "10000m"));
            clients.push(client);
            let (sent, waiting) = (clients.len(), || sidecar.gate.waiting(other.address));
            wait_for("a choice", || read.load(Ordering::SeqCst) == 1 || waiting() == sent);
        }
        let begun = Instant::now();
        let before = sidecar.gate.waiting(other.address);
        free.store(true, Ordering::SeqCst);
        wait_for("the repeat", || sidecar.gate.waiting(other.address) > before);
        wait_for("the window to pass", || begun.elapsed() > window);
        sidecar.gate.open(other.address);
        let id = format!("r{}", clients.len() - 1);
        let answer = clients.last_mut().unwrap().receive().expect("an answer");
        let of_it = other.seen.lock().unwrap().iter().filter(|m| m.header("x-request-id") == id).count();
        assert_eq!((of_it, answer.status() == 200), (seen, seen == 1), "{planted}");
    }
}

#[test]
fn an_answer_of_the_largest_size_is_passed_on_whole_and_one_that_never_ends_is_not() {
    let largest: &'static str = Box::leak("x".repeat(64 * 1024).into_boxed_str());
    let peer = Peer::new(move |m| match m.target().starts_with("/quote") {
        true => Do::Serve(largest),
        false => Do::Flood("HTTP/1.1 200 OK\r\n\r\n".to_owned(), "and so on ".repeat(100)),
    });
    let sidecar = Inside::start(&config(&[&peer]), "");
    let answer = sidecar.client().ask("quote", "r1");
    assert_eq!((answer.status(), answer.body.len()), (200, largest.len()));
    assert_eq!(sidecar.client().ask("book", "r2").status(), 502);
    sidecar.at_rest();
}

/// A connection that notes what is written.
#[derive(Clone, Default)]
struct Notes(Rc<RefCell<Vec<u8>>>);

impl AsyncRead for Notes {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Poll::Pending
    }
}

impl AsyncWrite for Notes {
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

impl Connection for Notes {
    fn peek_status(&self) -> PeekStatus {
        PeekStatus::Empty
    }
}

/// What is written of a request handed over in time, by a process that then stood still beyond its window.
fn written_too_late(planted: Option<&str>) -> Vec<u8> {
    runtrack_net::set_mutant(planted);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let written = runtime.unwrap().block_on(async {
        let notes = Notes::default();
        let (mut socket, heard) = Noted::new(Box::new(notes.clone()));
        heard.write_by(Some(tokio::time::Instant::now() + Duration::from_millis(400)));
        socket.write_all(b"in time,").await.unwrap();
        tokio::time::advance(Duration::from_millis(400)).await;
        let late = socket.write_all(b" late").await;
        assert_eq!((late.is_err(), heard.refused()), (planted.is_none(), planted.is_none()));
        notes.0.take()
    });
    runtrack_net::set_mutant(None);
    written
}

#[test]
fn the_window_is_asked_for_at_the_write_itself() {
    assert_eq!(written_too_late(None), b"in time,");
    assert_eq!(written_too_late(Some("window-unasked")), b"in time, late", "the check can fail");
}

#[test]
fn no_small_write_waits_for_another() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    runtime.block_on(async {
        use runtrack_net::Network;
        let made = runtrack_net::Tcp.connect(listener.local_addr().unwrap()).await.unwrap();
        assert!(made.is_nodelay(), "one that we make");
        let at = free_address();
        let ours = runtrack_net::Tcp.listen(at).unwrap();
        let _client = std::net::TcpStream::connect(at).unwrap();
        let taken = std::future::poll_fn(|cx| ours.poll_accept(cx)).await.unwrap();
        assert!(taken.is_nodelay(), "one that we accept");
    });
}

/// How often an endpoint has seen a keyed request whose attempt there was chosen first and got its connection last, when
/// a copy elsewhere had run and the window was over.
fn seen_behind_a_copy(planted: Option<&str>) -> usize {
    runtrack_net::set_mutant(planted);
    let (late, quick) = (Peer::serving("late"), Peer::serving("quick"));
    let mut config = config(&[&late, &quick]);
    config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
    let config = Config::parse(&config.to_string(), None, None, None).unwrap();
    let (gate, budget) = (Gate::default(), Budget::new(config.sockets, config.memory_mb));
    let outbound = Outbound::new(gate.network(), &config.settings, budget);
    gate.hold(late.address);
    let length = Duration::from_millis(50);
    let window = Rc::new(Window::new(length));
    let attempt = |number: usize| {
        let mut headers = hyper::HeaderMap::new();
        headers.insert("x-request-id", "r1".parse().unwrap());
        let (method, uri, body) = (hyper::Method::POST, "/pay/x".parse().unwrap(), "body".into());
        let forward = Rc::new(Forward { method, uri, headers, body });
        let until = tokio::time::Instant::now() + PATIENCE;
        Attempt { forward, until, window: Some((window.clone(), number)), never_twice: false }
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
            planted.is_none(),
            "it proves that it never ran"
        );
    });
    runtrack_net::set_mutant(None);
    assert_eq!(quick.count(), 1);
    late.count()
}

#[test]
fn what_was_chosen_first_and_comes_last_is_bound_by_the_copy_that_ran_meanwhile() {
    assert_eq!(seen_behind_a_copy(None), 0);
    assert_eq!(seen_behind_a_copy(Some("copy-unseen")), 1, "the check can fail");
}
