//! Tests of the built sidecar against scripted peers: forwarding, ends of attempts, and invalid input.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::*;

/// Two peers: the first request to either gets this reply, all later ones are served.
fn first_does(act: Reply) -> [Peer; 2] {
    let asked = Arc::new(AtomicUsize::new(0));
    [0, 1].map(|_| {
        let (asked, act) = (asked.clone(), act.clone());
        Peer::new(move |_| {
            if asked.fetch_add(1, Ordering::SeqCst) == 0 { act.clone() } else { Reply::Serve("second") }
        })
    })
}

/// The status of the answer to one request and the number of attempts, where the first attempt gets this reply.
fn outcome_of(class: &str, act: Reply) -> (u16, usize) {
    let peers = first_does(act);
    let sidecar = Sidecar::start(&config(&[&peers[0], &peers[1]]));
    let answer = sidecar.ask(class, "r1");
    if answer.status() == 200 {
        assert_eq!(answer.body, b"second", "only a complete answer of an endpoint is forwarded");
    }
    (answer.status(), peers[0].count() + peers[1].count())
}

#[test]
fn a_request_goes_on_unchanged_and_its_answer_comes_back() {
    let peer = Peer::serving("the answer");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    for (class, method) in [("quote", "GET"), ("book", "POST"), ("pay", "POST")] {
        let answer = client.ask(class, &format!("id-{class}"));
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"the answer"[..]));
        let seen = peer.seen.lock().unwrap().last().cloned().unwrap();
        assert_eq!(seen.first_line, format!("{method} /{class}/x?user=7f3a9c21e0b4d655&n=1 HTTP/1.1"));
        assert_eq!(seen.header("x-request-id"), format!("id-{class}"));
        assert_eq!(seen.header("idempotency-key"), if class == "pay" { "k1" } else { "" });
        assert_eq!(seen.body, if method == "POST" { &b"body"[..] } else { &b""[..] });
        let time = seen.header("x-timeout").strip_suffix('u').unwrap().parse::<u64>().unwrap();
        assert!((1..10_000_000).contains(&time), "{time}: at most the client's remaining time");
        // Longer than the initial reuse delay.
        std::thread::sleep(Duration::from_millis(30));
    }
    assert_eq!(peer.connections.load(Ordering::SeqCst), 1, "the connection is reused");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_never_sent_again() {
    let torn = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".to_owned();
    let long = format!("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n{}", "x".repeat(70000));
    for act in [
        Reply::WriteAndClose(String::new()),
        Reply::WriteAndClose(torn),
        Reply::WriteAndClose("nonsense\r\n\r\n".to_owned()),
        Reply::Write(long),
        Reply::Write(answer("500 Oh", "", "")),
        Reply::Write(answer("503 Busy", "", "")),
        Reply::Write(answer("504 Late", "X-Not-Processed: 0\r\n", "")),
    ] {
        let what = format!("{act:?}").chars().take(60).collect::<String>();
        let (status, attempts) = outcome_of("book", act);
        assert!(
            status != 200 && status != 503 && status != 429,
            "{what}: {status} is not a failure status"
        );
        assert_eq!(attempts, 1, "{what}");
    }
}

#[test]
fn an_unsafe_request_proved_not_to_have_run_is_sent_again() {
    for status in ["503 Busy", "504 Late"] {
        let act = Reply::Write(answer(status, "X-Not-Processed: 1\r\n", ""));
        assert_eq!(outcome_of("book", act), (200, 2));
    }
    // An answer that breaks off proves nothing: the request counts as possibly executed.
    let torn = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nha".to_owned();
    assert_eq!(outcome_of("book", Reply::WriteAndClose(torn)), (502, 1));
}

#[test]
fn an_unsafe_request_whose_connection_is_refused_is_served_elsewhere() {
    let peer = Peer::serving("here");
    let sidecar = Sidecar::start(&config_at(&[free_address(), peer.address]));
    for n in 0..8 {
        assert_eq!(sidecar.ask("book", &format!("r{n}")).status(), 200);
    }
    assert_eq!(peer.count(), 8);
}

#[test]
fn a_request_refused_everywhere_is_refused_and_not_failed() {
    let sidecar = Sidecar::start(&config_at(&[free_address()]));
    assert_eq!(sidecar.ask("book", "r1").status(), 503);
}

#[test]
fn a_safe_or_keyed_request_is_sent_again_after_any_failure() {
    for class in ["quote", "pay"] {
        assert_eq!(outcome_of(class, Reply::WriteAndClose(String::new())), (200, 2), "{class}");
        assert_eq!(outcome_of(class, Reply::Write(answer("500 Oh", "", ""))), (200, 2), "{class}");
    }
}

#[test]
fn a_connection_that_the_endpoint_has_closed_is_not_used_again() {
    let peer = Peer::new(|_| Reply::ServeAndEnd("ok"));
    let sidecar = Sidecar::start(&config(&[&peer]));
    for n in 1..=10 {
        assert_eq!(
            sidecar.ask("book", &format!("r{n}")).status(),
            200,
            "an unsafe request is not sent on a closing connection"
        );
        wait_for("the sidecar to close the connection", || peer.closed() == n);
    }
}

#[test]
fn an_idle_connection_is_closed_before_the_endpoint_would() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["settings"]["limits"]["idleCloseMs"] = json!(1000.0);
    let sidecar = Sidecar::start(&config);
    assert_eq!(sidecar.ask("book", "r1").status(), 200);
    wait_for("the sidecar to close the connection", || peer.closed() == 1);
    assert_eq!(sidecar.ask("book", "r2").status(), 200);
}

#[test]
fn a_silent_endpoint_delays_a_request_no_longer_than_its_timeout() {
    let peer = Peer::new(|_| Reply::Silence);
    let sidecar = Sidecar::start(&config(&[&peer]));
    for class in ["quote", "book"] {
        let mut client = sidecar.client();
        client.send(&request(class, class, "700m"));
        let answer = client.receive().expect("an answer nevertheless");
        assert!((500..600).contains(&answer.status()), "{}", answer.first_line);
        assert_eq!(
            answer.status() == 503,
            class == "quote",
            "an unsafe request that may have been executed is not refused"
        );
    }
    wait_for("both attempts to be given up", || peer.closed() == 2);
    assert_eq!(peer.count(), 2);
}

#[test]
fn idle_connections_unused_since_a_timed_out_attempt_are_closed() {
    let (asked, cut_off) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let peer = {
        let (asked, cut_off) = (asked.clone(), cut_off.clone());
        Peer::new(move |_| {
            asked.fetch_add(1, Ordering::SeqCst);
            if cut_off.load(Ordering::SeqCst) {
                return Reply::Silence;
            }
            // The first two requests wait for each other, so that each has its own connection.
            wait_for("both requests", || asked.load(Ordering::SeqCst) >= 2);
            Reply::Serve("ok")
        })
    };
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut clients = [sidecar.client(), sidecar.client()];
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request("book", &format!("r{n}"), "20000m"));
    }
    for client in &mut clients {
        assert_eq!(client.receive().expect("an answer").status(), 200);
    }
    cut_off.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(30)); // longer than the reuse delay
    clients[0].send(&request("book", "r2", "500m"));
    assert_ne!(clients[0].receive().expect("an answer").status(), 200);
    wait_for("both connections to close", || peer.closed() == 2);
    assert_eq!(peer.count(), 3);
}

#[test]
fn a_client_timeout_is_capped_by_the_deadline_of_its_class() {
    let peer = Peer::new(|_| Reply::Silence);
    let mut config = config(&[&peer]);
    for class in [0, 1] {
        config["settings"]["classes"][class]["objectiveMs"] = json!(500.0);
        config["settings"]["classes"][class]["deadlineMs"] = json!(1000.0);
    }
    let sidecar = Sidecar::start(&config);
    let mut client = sidecar.client();
    client.send(&request("book", "r1", "600000m"));
    assert!(client.receive().expect("an answer").status() >= 500);
}

#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let peer = Peer::new(|_| Reply::Silence);
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    client.send(&request("quote", "r1", "600000m"));
    wait_for("the attempt to start", || peer.count() == 1);
    assert_eq!(peer.closed(), 0);
    drop(client);
    wait_for("the attempt to end", || peer.closed() == 1);
}

#[test]
fn bad_input_is_a_failure_and_never_sent_on() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let good = request("quote", "r1", "5000m");
    let post = request("book", "r1", "5000m");
    let long = format!("{}{}", post.replace("Length: 4", "Length: 70000"), "x".repeat(69996));
    let chunk = format!("{:x}\r\n{}\r\n", 70000, "x".repeat(70000));
    let chunked =
        post.replace("Content-Length: 4", "Transfer-Encoding: chunked").replace("\r\n\r\nbody", "\r\n\r\n");
    for bad in [
        good.replace("/quote/", "/unheard-of/"),
        good.replace("GET", "POST"),
        good.replace("X-Request-ID: r1\r\n", ""),
        good.replace("X-Timeout: 5000m\r\n", ""),
        good.replace("5000m", "5000"),
        good.replace("5000m", "NaNm"),
        good.replace("5000m", "-5m"),
        good.replace("5000m", "+5m"),
        good.replace("5000m", "infm"),
        good.replace("5000m", "1e3m"),
        good.replace("5000m", "0m"),
        good.replace("5000m", "m"),
        good.replace("5000m", "5s"),
        good.replace("X-Timeout", "X-Timeout: 4000m\r\nX-Timeout"),
        good.replace("X-Request-ID", "X-Request-ID: r0\r\nX-Request-ID"),
        good.replace("X-Tenant-Id", "X-Tenant-Id: acme\r\nX-Tenant-Id"),
        good.replace("X-Timeout", "X-Cost: -1\r\nX-Timeout"),
        good.replace("user=7f3a9c21e0b4d655", "user=+7f"),
        good.replace("user=7f3a9c21e0b4d655", "user=nobody"),
        good.replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody"),
        good.replace("X-Tenant-Id: acme\r\n", ""),
        good.replace("acme", "nobody"),
        good.replace("X-Timeout", "X-Cost: much\r\nX-Timeout"),
        request("pay", "r1", "5000m").replace("Idempotency-Key: k1\r\n", ""),
        post.replace("X-Timeout", "Idempotency-Key: k1\r\nX-Timeout"),
        long,
        format!("{chunked}{chunk}0\r\n\r\n"),
        "nonsense\r\n\r\n".to_owned(),
        format!("GET /quote HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(100_000)),
    ] {
        let what = bad.chars().take(200).collect::<String>();
        let mut client = sidecar.client();
        client.send(&bad);
        // If a request is refused while its body is being sent, the client may see a reset.
        let status = client.receive().map_or(413, |answer| answer.status());
        assert!((400..500).contains(&status) && status != 429, "{status} for {what}");
    }
    assert_eq!(peer.count(), 0);
    assert_eq!(sidecar.ask("quote", "r2").status(), 200, "the sidecar keeps serving");
}

#[test]
fn a_missing_or_malformed_configuration_is_named_on_one_line() {
    let peer = Peer::serving("ok");
    let whole = config(&[&peer]);
    let without = |path: &[&str]| {
        let mut config = whole.clone();
        let (last, parents) = path.split_last().unwrap();
        let parent = parents.iter().fold(&mut config, |at, name| &mut at[*name]);
        parent.as_object_mut().unwrap().remove(*last);
        config.to_string()
    };
    let mut bad_address = whole.clone();
    bad_address["listen"] = json!("somewhere");
    let mut bad_class = whole.clone();
    bad_class["settings"]["classes"][1]["semantics"] = json!("odd");
    for (text, field) in [
        (without(&["listen"]), "listen"),
        (without(&["seed"]), "seed"),
        (without(&["limits", "sockets"]), "limits"),
        (without(&["settings", "myZone"]), "settings"),
        (bad_address.to_string(), "listen"),
        (bad_class.to_string(), "settings.classes[1].semantics"),
        ("{".to_owned(), ""),
    ] {
        let (status, said) = start_error(&text);
        assert!(!status.success(), "{field}");
        assert_eq!(said.trim_end().lines().count(), 1, "{said}");
        assert!(said.contains(field) && !said.contains("panicked"), "{said}");
    }
}

#[test]
fn a_late_answer_for_one_client_delays_no_other() {
    let peer =
        Peer::new(|m| if m.target().starts_with("/book") { Reply::Silence } else { Reply::Serve("ok") });
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut waiting = sidecar.client();
    waiting.send(&request("book", "r1", "600000m"));
    wait_for("the attempt to start", || peer.count() == 1);
    let start = Instant::now();
    assert_eq!(sidecar.ask("quote", "r2").status(), 200);
    assert!(start.elapsed() < Duration::from_secs(9), "answered concurrently");
}
