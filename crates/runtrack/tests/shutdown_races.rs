//! Graceful shutdown: signals at startup, requests that cross the shutdown, and answers that must arrive complete.

#[path = "support/in_process.rs"]
mod in_process;
#[path = "support/node.rs"]
mod support;

use in_process::InProcess;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::*;

/// An endpoint that serves this body once the flag is set.
fn gated_peer(body: &'static str) -> (Peer, Arc<AtomicBool>) {
    let free = Arc::new(AtomicBool::new(false));
    (Peer::gated(&free, body), free)
}

/// A started program that blocks on reading its configuration from a pipe.
struct PendingStart {
    child: Child,
    fifo: std::path::PathBuf,
}

impl PendingStart {
    fn new(mutant: &str) -> PendingStart {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        // A unique name: a writer to the previous pipe would also write to this one.
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let name = format!("runtrack-fifo-{}-{number}", std::process::id());
        let fifo = std::env::temp_dir().join(name);
        let _ = std::fs::remove_file(&fifo);
        assert!(Command::new("mkfifo").arg(&fifo).status().unwrap().success());
        let mut command = Command::new(env!("CARGO_BIN_EXE_runtrack"));
        for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
            command.env_remove(name);
        }
        command.env("ROUTER_CONFIG", &fifo).env("RUNTRACK_MUTANT", mutant).stderr(Stdio::null());
        let starting = PendingStart { child: command.spawn().unwrap(), fifo };
        wait_for("the program to open its file", || waits_to_open(starting.child.id()));
        starting
    }

    fn signal(&self, signal: &str) {
        assert!(
            Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap().success()
        );
    }

    /// Writes the configuration once to the pipe and replaces the pipe by an ordinary file. A second writer would
    /// append to what a slow reader has not fully read.
    fn write_config(&self, config: &Value) {
        let (fifo, text) = (self.fifo.clone(), config.to_string());
        let file = fifo.with_extension("json");
        std::fs::write(&file, &text).unwrap();
        // In a separate thread: if a signal has ended the program, the pipe never opens.
        std::thread::spawn(move || {
            let mut pipe = std::fs::OpenOptions::new().write(true).open(&fifo).unwrap();
            std::fs::rename(&file, &fifo).unwrap();
            pipe.write_all(text.as_bytes()).unwrap();
        });
    }
}

impl Drop for PendingStart {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.fifo);
        let _ = std::fs::remove_file(self.fifo.with_extension("json"));
    }
}

/// Whether a process is blocked on opening the pipe. Before that it loads libraries, which on a busy machine takes a
/// while; that wait, for the disk, is uninterruptible.
fn waits_to_open(pid: u32) -> bool {
    let of_process =
        |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
    let status = of_process("status");
    let is_interruptible = status.lines().any(|line| line.starts_with("State:\tS"));
    is_interruptible && of_process("syscall").split(' ').next() == Some(&libc_openat())
}

/// The number of the system call `openat`.
fn libc_openat() -> String {
    if cfg!(target_arch = "aarch64") { "56".to_owned() } else { "257".to_owned() }
}

/// Sends signals before the configuration is read, in this order. Returns whether the program served a request, and
/// how it ended, if it did.
fn signalled_before_start(signals: &[&str], mutant: &str) -> (bool, Option<bool>) {
    let peer = Peer::serving("ok");
    let config = config(&[&peer]);
    let mut starting = PendingStart::new(mutant);
    signals.iter().for_each(|signal| starting.signal(signal));
    starting.write_config(&config);
    let address: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    let (mut served, mut ended) = (false, None);
    wait_for("the program to serve or to exit", || {
        if let Some(mut client) = Client::connect(address).filter(|_| !served) {
            client.send(&request("quote", "r1", "5000m"));
            served = client.receive().is_some_and(|answer| answer.status() == 200);
        }
        ended = starting.child.try_wait().unwrap().map(|status| status.success());
        ended.is_some() || (served && !signals.contains(&"-TERM"))
    });
    (served, ended)
}

#[test]
fn signals_before_the_configuration_is_read_are_handled() {
    assert_eq!(signalled_before_start(&["-HUP"], ""), (true, None), "SIGHUP does not end the process");
    for signals in [&["-TERM"][..], &["-TERM", "-TERM"], &["-HUP", "-TERM"], &["-TERM", "-HUP"]] {
        let (_, ended) = signalled_before_start(signals, "");
        assert_eq!(ended, Some(true), "{signals:?}: it drains and exits successfully");
    }
    assert_eq!(
        signalled_before_start(&["-HUP"], "signals-late").1,
        Some(false),
        "the test detects the mutant"
    );
}

/// The `Connection` headers of the answers to a request open at the signal, one partly received on a new connection,
/// and one on a connection opened after the signal.
fn connection_headers_at_shutdown(mutant: &'static str) -> [String; 3] {
    let (peer, free) = gated_peer("late");
    let sidecar = InProcess::start(&config(&[&peer]), mutant);
    let (mut open, mut fresh) = (sidecar.client(), sidecar.client());
    open.send(&request("book", "open", "10000m"));
    sidecar.wait_open(1);
    let text = request("quote", "fresh", "10000m");
    fresh.send(&text[..30]);
    sidecar.drain();
    // New connections are still accepted, and the partly received request is read on.
    let mut new = sidecar.client();
    new.send(&request("quote", "new", "10000m"));
    fresh.send(&text[30..]);
    sidecar.wait_open(3);
    free.store(true, Ordering::SeqCst);
    let headers = [&mut open, &mut fresh, &mut new].map(|client| {
        let answer = client.receive().expect("an answer");
        assert_eq!(answer.status(), 200);
        answer.header("connection").to_owned()
    });
    assert!(
        !mutant.is_empty() || [open, fresh, new].iter_mut().all(|client| client.receive().is_none()),
        "the connections are closed"
    );
    assert_eq!(sidecar.wait_exit(), Ok(()));
    headers
}

#[test]
fn requests_that_cross_the_signal_are_answered_as_the_last_of_their_connections() {
    assert_eq!(connection_headers_at_shutdown(""), ["close"; 3]);
    assert_eq!(connection_headers_at_shutdown("no-close-header")[0], "", "the test detects the mutant");
}

/// Open requests are failed 1.65 s after the signal at the earliest; the steps of a test must be faster.
const BEFORE_FORCED_END: Duration = Duration::from_millis(1500);
/// Connections are accepted for 0.5 s after the signal; the steps of a test must be faster.
const WHILE_ACCEPTING: Duration = Duration::from_millis(450);

/// The result of the first run whose steps after the signal took less than `most`. In a slower run the machine
/// stalled, and the sidecar shows the behavior of a later phase of the shutdown.
fn in_time<T>(most: Duration, mut run: impl FnMut() -> (Duration, T)) -> T {
    let mut runs = (0..20).map(|_| run());
    let in_time = runs.find(|(took, _)| *took < most);
    in_time.expect("a run without a stall").1
}

/// The outcome of a request that is half received on a kept connection at shutdown, and how long after the signal all
/// requests were answered.
fn partial_request_at_shutdown(mutant: &'static str) -> (Duration, [Option<u16>; 2]) {
    let (peer, free) = gated_peer("late");
    let sidecar = InProcess::start(&config(&[&peer]), mutant);
    let mut kept = sidecar.client();
    free.store(true, Ordering::SeqCst);
    assert_eq!(kept.ask("quote", "first").status(), 200);
    free.store(false, Ordering::SeqCst);
    let mut open = sidecar.client();
    open.send(&request("book", "open", "10000m"));
    sidecar.wait_open(1);
    let text = request("quote", "half", "10000m");
    kept.send(&text[..30]);
    let start = Instant::now();
    sidecar.drain();
    // Idle connections are closed together with the listener.
    wait_for("the listener to close", || !sidecar.is_listening());
    free.store(true, Ordering::SeqCst);
    kept.send(&text[30..]);
    let answer = kept.receive();
    let of_open = open.receive().map(|answer| answer.status());
    let took = start.elapsed();
    assert_eq!(sidecar.wait_exit(), Ok(()));
    let answer = answer.inspect(|answer| assert_eq!(answer.header("connection"), "close"));
    (took, [answer.map(|answer| answer.status()), of_open])
}

#[test]
fn a_partly_received_request_on_a_kept_connection_is_answered_at_shutdown() {
    let status = |mutant| in_time(BEFORE_FORCED_END, || partial_request_at_shutdown(mutant));
    assert_eq!(status(""), [Some(200), Some(200)]);
    assert_eq!(status("closes-with-unread-input"), [None, Some(200)], "the test detects the mutant");
}

const LONG_BODY_BYTES: usize = 60_000;

/// A client with a small receive buffer.
fn small_buffer_client(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(2048).unwrap();
    socket.connect(&address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// How many bytes of its last answer a client receives that has sent more input meanwhile.
fn last_answer_bytes(mutant: &'static str) -> usize {
    let long: &'static str = Box::leak("x".repeat(LONG_BODY_BYTES).into_boxed_str());
    let (peer, free) = gated_peer(long);
    let sidecar = InProcess::start(&config(&[&peer]), mutant);
    let mut client = small_buffer_client(sidecar.address);
    client.write_all(request("quote", "r1", "10000m").as_bytes()).unwrap();
    sidecar.wait_open(1);
    sidecar.drain();
    free.store(true, Ordering::SeqCst);
    // The answer has begun to arrive, but most of it does not fit into the buffer yet. What is sent now is never
    // read.
    assert!(client.peek(&mut [0]).is_ok());
    let mut all = Vec::new();
    let _ = client.write_all(request("quote", "r2", "10000m").as_bytes());
    std::thread::sleep(Duration::from_millis(50)); // a reset would arrive at once on loopback
    let _ = client.read_to_end(&mut all);
    drop(client);
    assert_eq!(sidecar.wait_exit(), Ok(()));
    assert!(peer.count() == 1, "nothing received after shutdown is sent to the endpoint");
    all.iter().filter(|&&byte| byte == b'x').count()
}

#[test]
fn the_last_answer_arrives_complete_although_input_is_unread_at_the_close() {
    assert_eq!(last_answer_bytes(""), LONG_BODY_BYTES);
    assert!(last_answer_bytes("no-linger") < LONG_BODY_BYTES, "the test detects the mutant");
}

/// Whether a client that is refused while it sends can go on sending until it has read the refusal.
fn can_send_after_refusal(mutant: &'static str) -> bool {
    let peer = Peer::serving("ok");
    let sidecar = InProcess::start(&config(&[&peer]), mutant);
    let mut client = sidecar.client();
    let head = request("book", "r1", "10000m").replace("Content-Length: 4", "Content-Length: 400000");
    client.send(&head);
    wait_for("the answer", || client.has_input());
    let mut stream = client.stream().try_clone().unwrap();
    // On a reset connection the second write fails at the latest.
    let sent = (0..8).all(|_| {
        let sent = stream.write_all(&[b'x'; 40_000]).is_ok();
        std::thread::sleep(Duration::from_millis(5));
        sent
    });
    let answer = client.receive();
    assert!(!sent || answer.is_some_and(|answer| answer.status() == 413));
    assert_eq!(peer.count(), 0);
    sent
}

#[test]
fn a_refusal_reaches_a_client_that_is_still_sending() {
    assert!(can_send_after_refusal(""));
    assert!(!can_send_after_refusal("no-linger"), "the test detects the mutant");
}

#[test]
fn kept_client_connections_do_not_delay_the_exit() {
    let peer = Peer::serving("ok");
    let sidecar = InProcess::start(&config(&[&peer]), "");
    let mut clients: Vec<Client> = (0..20).map(|_| sidecar.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.ask("quote", &format!("r{n}")).status(), 200);
    }
    let start = Instant::now();
    sidecar.drain();
    assert_eq!(sidecar.wait_exit(), Ok(()));
    assert!(start.elapsed() < Duration::from_secs(3), "it does not wait for the longest deadline");
    for client in &mut clients {
        assert!(client.receive().is_none(), "all connections are closed");
    }
}

/// The answer to a request in the backlog behind many silent connections at shutdown, and how long after the signal
/// it was sent.
fn status_behind_silent_clients(mutant: &'static str) -> (Duration, Option<u16>) {
    let peer = Peer::new(|_| Reply::Silence);
    let mut config = config(&[&peer]);
    // 16 sockets: ten for clients, all of which wait for an answer.
    config["limits"]["sockets"] = json!(64);
    let sidecar = InProcess::start(&config, mutant);
    let _open = sidecar.with_open_requests(10);
    let start = Instant::now();
    sidecar.request_drain();
    // 24 connections are accepted only to be refused; each is evicted 50 ms later. Accepting goes on for 0.5 s, then
    // the backlog is emptied, which still holds hundreds of connections and the request behind them.
    let _crowd: Vec<Client> = (0..600).map(|_| sidecar.client()).collect();
    let mut late = sidecar.client();
    late.send(&request("quote", "late", "20000m"));
    let took = start.elapsed();
    (took, late.receive().map(|answer| answer.status()))
}

#[test]
fn silent_connections_in_the_backlog_do_not_cut_off_a_request_behind_them_at_shutdown() {
    let status = |mutant| in_time(WHILE_ACCEPTING, || status_behind_silent_clients(mutant));
    assert_eq!(status(""), Some(503));
    assert_eq!(status("backlog-assumed-empty"), None, "the test detects the mutant");
}

/// The answer at shutdown to a request that was never sent: it is queued by the decision module, or its attempt is
/// connecting. Returns the status and whether there is `Retry-After`.
fn refusal_at_shutdown(connecting: bool, class: &str, mutant: &'static str) -> (u16, bool) {
    let peer = Peer::serving("ok");
    let listed = if connecting { vec![&peer] } else { Vec::new() };
    let mut config = config(&listed);
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["deadlineMs"] = json!(8000.0);
    }
    config["settings"]["limits"]["connectTimeoutMs"] = json!(20_000.0);
    let sidecar = InProcess::start(&config, mutant);
    sidecar.gate.hold(peer.address);
    let mut client = sidecar.client();
    client.send(&request(class, "r1", "8000m"));
    sidecar.wait_open(1);
    wait_for("the attempt to start", || sidecar.gate.waiting(peer.address) == usize::from(connecting));
    sidecar.drain();
    let answer = client.receive().expect("an answer before the exit");
    assert_eq!(sidecar.wait_exit(), Ok(()));
    assert_eq!(peer.count(), 0);
    (answer.status(), !answer.header("retry-after").is_empty())
}

#[test]
fn requests_never_sent_to_an_endpoint_are_refused_at_shutdown_with_retry_after() {
    // In parallel: each takes until open requests are failed.
    std::thread::scope(|all| {
        for connecting in [false, true] {
            for class in ["quote", "pay", "book"] {
                all.spawn(move || {
                    assert_eq!(
                        refusal_at_shutdown(connecting, class, ""),
                        (503, true),
                        "{class} {connecting}"
                    );
                });
            }
            all.spawn(move || {
                assert_eq!(
                    refusal_at_shutdown(connecting, "book", "unsent-fails-at-exit").0,
                    502,
                    "the test detects the mutant"
                );
            });
        }
    });
}

#[test]
fn hanging_endpoints_do_not_delay_the_exit_beyond_the_grace_period() {
    // SIGKILL comes after the longest deadline of the settings, at most 3 s, plus 0.7 s.
    for (deadline, most) in [(20_000.0, 3700), (400.0, 1100)] {
        let peer = Peer::new(|_| Reply::Silence);
        let mut config = config(&[&peer]);
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["deadlineMs"] = json!(deadline);
        }
        let sidecar = InProcess::start(&config, "");
        let mut clients: Vec<Client> = (0..3).map(|_| sidecar.client()).collect();
        for (client, class) in clients.iter_mut().zip(["quote", "pay", "book"]) {
            client.send(&request(class, class, "20000m"));
        }
        sidecar.wait_open(3);
        let start = Instant::now();
        sidecar.drain();
        // A client closes its connection after an answer with `Connection: close`.
        for (mut client, class) in clients.into_iter().zip(["quote", "pay", "book"]) {
            let answer = client.receive().expect("an answer before the exit");
            let refused = answer.status() == 503;
            assert!(refused || answer.status() == 502, "{}", answer.first_line);
            assert!(
                !(refused && class == "book"),
                "an unsafe request that may have been executed is not refused"
            );
        }
        assert_eq!(sidecar.wait_exit(), Ok(()));
        assert!(start.elapsed() < Duration::from_millis(most), "{deadline}: {:?}", start.elapsed());
    }
}

#[test]
fn a_retry_that_becomes_due_during_shutdown_is_sent() {
    let free = Arc::new(AtomicBool::new(false));
    let held = free.clone();
    // Breaks off the first request and serves all later ones.
    let first = AtomicBool::new(true);
    let peer = Peer::new(move |_| {
        wait_for("permission to answer", || held.load(Ordering::SeqCst));
        match first.swap(false, Ordering::SeqCst) {
            true => Reply::WriteAndClose(String::new()),
            false => Reply::Serve("again"),
        }
    });
    let sidecar = InProcess::start(&config(&[&peer]), "");
    let mut client = sidecar.client();
    client.send(&request("quote", "r1", "10000m"));
    wait_for("the attempt to start", || peer.connections.load(Ordering::SeqCst) == 1);
    sidecar.drain();
    free.store(true, Ordering::SeqCst);
    let answer = client.receive().expect("an answer");
    assert_eq!((answer.body.as_slice(), answer.header("connection")), (&b"again"[..], "close"));
    assert_eq!(sidecar.wait_exit(), Ok(()));
}

/// The answer to a request that is completed after open requests were failed, and how many requests the endpoint has
/// seen. `None` if the process ended before the request was complete because the machine stalled.
fn completed_after_forced_end(mutant: &'static str) -> Option<(Option<u16>, usize)> {
    let peer = Peer::new(|_| Reply::Silence);
    let mut config = config(&[&peer]);
    // Open requests are failed 1.65 s after the signal; a request must be complete within 2 s.
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["deadlineMs"] = json!(1200.0);
    }
    let sidecar = InProcess::start(&config, mutant);
    let (mut open, mut late) = (sidecar.client(), sidecar.client());
    let texts = ["open", "late"].map(|id| request("book", id, "20000m"));
    open.send(&texts[0][..30]);
    late.send(&texts[1][..30]);
    let start = Instant::now();
    sidecar.drain();
    wait_for("the listener to close", || !sidecar.is_listening());
    // At least 0.5 s after the signal, so that the request's own deadline is after the exit.
    open.send(&texts[0][30..]);
    let sent_in_time = start.elapsed() < BEFORE_FORCED_END;
    let given_up = open.receive().map(|answer| answer.status());
    late.send(&texts[1][30..]);
    let told = late.receive().map(|answer| answer.status());
    assert_eq!(sidecar.wait_exit(), Ok(()));
    if !sent_in_time {
        return None;
    }
    assert_eq!(given_up, Some(502), "it may have been executed");
    wait_for("the endpoint to count the requests that it has read", || peer.closed() == peer.count());
    let count = peer.count();
    Some((told, count)).filter(|_| told.is_some() || count > 1)
}

#[test]
fn requests_completed_after_open_ones_were_failed_are_refused_and_not_sent() {
    let once = |mutant| {
        let mut tries = (0..20).map(|_| completed_after_forced_end(mutant));
        tries.find_map(|seen| seen).expect("a run in which the request arrived before the exit")
    };
    assert_eq!(once(""), (Some(503), 1));
    assert_eq!(once("sends-after-forced-end").1, 2, "the test detects the mutant");
}
