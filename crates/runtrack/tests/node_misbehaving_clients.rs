//! Tests of the built sidecar with clients that violate the protocol.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::time::{Duration, Instant};
use support::*;

/// Misbehaving clients must get an error or a close within this time.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(3);

/// A request smuggled behind an empty chunked body, with these two framing headers in the head.
fn ambiguous_request(first: &str, second: &str) -> String {
    let hidden = request("quote", "hidden", "5000m");
    let head = request("book", "r1", "5000m").replace("Content-Length: 4\r\n", &format!("{first}{second}"));
    let length = format!("{}", hidden.len() + 5);
    head.replace("\r\n\r\nbody", "\r\n\r\n").replace("LENGTH", &length) + "0\r\n\r\n" + &hidden
}

#[test]
fn a_request_framed_in_two_ways_is_refused_and_nothing_behind_it_is_read() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let (length, chunked) = ("Content-Length: LENGTH\r\n", "Transfer-Encoding: chunked\r\n");
    for bad in [
        ambiguous_request(length, chunked),
        ambiguous_request(chunked, length),
        ambiguous_request(chunked, ""),
        ambiguous_request("Transfer-Encoding: gzip, chunked\r\n", length),
        ambiguous_request("Content-Length: 4\r\n", "Content-Length: 9\r\n"),
        ambiguous_request("Content-Length: -4\r\n", ""),
        ambiguous_request("Content-Length: +4\r\n", ""),
        ambiguous_request("Content-Length: 99999999999999999999999\r\n", ""),
        ambiguous_request("Content-Length: 60000000\r\n", ""),
    ] {
        let mut client = sidecar.client();
        client.send(&bad);
        if let Some(answer) = client.receive() {
            assert!((400..500).contains(&answer.status()), "{} for {bad}", answer.first_line);
            assert!(client.receive().is_none(), "nothing more is read on that connection: {bad}");
        }
    }
    assert_eq!(peer.count(), 0, "nothing was sent to the endpoint");
}

#[test]
fn pipelined_requests_are_never_served() {
    let peer = Peer::new(|_| Reply::Silence);
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    let all: String = (0..300).map(|n| request("quote", &format!("r{n}"), "5000m")).collect();
    client.send(&all);
    assert!(client.receive().is_none_or(|answer| (400..500).contains(&answer.status())));
    assert!(client.receive().is_none(), "and the connection is closed");
    assert_eq!(peer.count(), 0, "nothing was sent to the endpoint");
    // The same one by one, with the first request already sent to an endpoint.
    let mut client = sidecar.client();
    client.send(&request("quote", "s1", "20000m"));
    wait_for("the attempt to start", || peer.count() == 1);
    client.send(&request("quote", "s2", "20000m"));
    assert!(client.receive().is_none_or(|answer| (400..500).contains(&answer.status())));
    assert!(client.receive().is_none(), "and the connection is closed");
    wait_for("the attempt to end", || peer.closed() == 1);
    assert_eq!(peer.count(), 1);
}

#[test]
fn a_duplicate_id_is_refused_and_the_open_request_is_still_answered() {
    let peer = Peer::new(|_| Reply::Late(Duration::from_millis(800)));
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut first = sidecar.client();
    first.send(&request("book", "twice", "20000m"));
    wait_for("the attempt to start", || peer.count() == 1);
    let refused = sidecar.ask("quote", "twice").status();
    assert!((400..500).contains(&refused) && refused != 429, "{refused}");
    assert_eq!(first.receive().expect("the answer to the first request").status(), 200);
    assert_eq!(peer.count(), 1);
    assert_eq!(sidecar.ask("book", "twice").status(), 200, "the id is free again");
}

#[test]
fn a_request_that_stays_incomplete_is_closed_in_time() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer]));
    let whole = request("book", "r1", "20000m");
    for kept in [false, true] {
        for sent in [0, 1, 30, whole.len() - 6, whole.len() - 2] {
            let mut client = sidecar.client();
            if kept {
                // On a connection that has served a request.
                assert_eq!(client.ask("book", "r0").status(), 200);
            }
            if kept && sent == 0 {
                continue; // an idle kept connection is legitimate
            }
            let start = Instant::now();
            client.send(&whole[..sent]);
            assert!(client.receive().is_none_or(|answer| (400..500).contains(&answer.status())));
            assert!(client.receive().is_none());
            let took = start.elapsed();
            assert!(took < MAX_CLOSE_TIME, "{sent} bytes: closed after {took:?}");
        }
    }
}

#[test]
fn silent_clients_and_readiness_checks_do_not_use_up_the_sockets() {
    let peer = Peer::serving("ok");
    let mut config = config(&[&peer]);
    config["limits"]["sockets"] = json!(128);
    let sidecar = Sidecar::start_with(&config, "ulimit -n 128;");
    let mut others = Vec::new();
    for n in 0..300 {
        let mut other = sidecar.client();
        match n % 3 {
            0 => other.send("GET /-/ready HTTP/1.1\r\nHost: t\r\n\r\n"),
            1 => other.send("GET /quo"),
            _ => {}
        }
        others.push(other);
    }
    for n in 0..20 {
        assert_eq!(sidecar.ask("book", &format!("r{n}")).status(), 200, "despite all other clients");
    }
    assert!(sidecar.open_descriptors() <= 128);
}
