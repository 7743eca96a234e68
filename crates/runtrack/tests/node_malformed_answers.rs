//! Tests of the built sidecar with endpoints that send malformed or unsolicited answers.

#[path = "support/node.rs"]
mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::*;

#[test]
fn a_malformed_answer_fails_the_attempt_as_possibly_executed_and_closes_its_connection() {
    let flood = |first: &str, more: &str| Reply::Flood(first.to_owned(), more.repeat(200));
    let write = |text: &str| Reply::Write(text.to_owned());
    let malformed = [
        write("\x00\x01\x02 no answer at all\r\n\r\n"),
        write("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok"),
        write("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok"),
        write("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok"),
        write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"),
        write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n"),
        // These never end, and the connection stays open.
        write("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\ntoo short"),
        write("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 200\r\n\r\ntoo short"),
        write("HTTP/1.1 200 OK\r\nX-Half: "),
        write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
        flood("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x"),
        flood("HTTP/1.1 200 OK\r\n", "X-Pad: pppppppp\r\n"),
        flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
    ];
    for act in malformed {
        let what = format!("{act:?}").chars().take(100).collect::<String>();
        let asked = Arc::new(AtomicUsize::new(0));
        let peer = {
            let (act, asked) = (act.clone(), asked.clone());
            Peer::new(move |_| match asked.fetch_add(1, Ordering::SeqCst) {
                0 | 2 => act.clone(),
                _ => Reply::Serve("good"),
            })
        };
        let sidecar = Sidecar::start(&config(&[&peer]));
        let start = Instant::now();
        let answer = sidecar.ask("quote", "r1");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"good"[..]), "{what}");
        let answer = sidecar.ask("book", "r2").status();
        assert!(answer >= 500 && answer != 503, "{answer}: it may have been executed: {what}");
        assert!(start.elapsed() < Duration::from_secs(8), "less than its timeout: {what}");
        assert_eq!(peer.count(), 3, "{what}");
        wait_for("the affected connections to close", || peer.closed() == 2);
        assert_eq!(sidecar.ask("book", "r3").status(), 200, "{what}");
    }
}

#[test]
fn informational_responses_are_ignored_however_early_they_arrive() {
    let ahead = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
    let peer = Peer::new(move |_| Reply::WriteThenServe(ahead.to_owned(), Duration::from_millis(900)));
    let sidecar = Sidecar::start(&config(&[&peer]));
    let answer = sidecar.ask("book", "r1");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"late"[..]));
    assert_eq!(sidecar.ask("book", "r2").status(), 200);
    assert_eq!(peer.count(), 2);
}

#[test]
fn unsolicited_bytes_after_an_answer_never_answer_the_next_request() {
    for more in [answer("200 OK", "", "second copy"), "noise".to_owned(), "\r\n".to_owned()] {
        // In the same segment, and some time later.
        for wait in [0, 20] {
            let more = more.clone();
            let peer =
                Peer::new(move |_| Reply::ServeAndWrite("good", Duration::from_millis(wait), more.clone()));
            let sidecar = Sidecar::start(&config(&[&peer]));
            let mut client = sidecar.client();
            for n in 0..6 {
                let answer = client.ask("book", &format!("r{n}"));
                assert_eq!((answer.status(), &answer.body[..]), (200, &b"good"[..]), "{wait} ms");
                if wait > 0 {
                    wait_for("the connection to close", || peer.closed() == n + 1);
                }
            }
        }
        // Right before the connection is reused: the sidecar finds the unsolicited bytes and the next request when it
        // resumes.
        let more = more.clone();
        let peer =
            Peer::new(move |_| Reply::ServeAndWrite("good", Duration::from_millis(300), more.clone()));
        let sidecar = Sidecar::start(&config(&[&peer]));
        let mut client = sidecar.client();
        for n in 0..2 {
            let answer = client.ask("book", &format!("s{n}"));
            assert_eq!((answer.status(), &answer.body[..]), (200, &b"good"[..]));
            sidecar.signal("-STOP");
            client.send(&request("book", &format!("t{n}"), "10000m"));
            wait_for("the unsolicited bytes", || peer.written.load(Ordering::SeqCst) > 2 * n);
            sidecar.signal("-CONT");
            let answer = client.receive().expect("an answer");
            assert_eq!((answer.status(), &answer.body[..]), (200, &b"good"[..]));
            wait_for("the connection to close", || peer.closed() == 2 * n + 2);
        }
    }
}

#[test]
fn a_connection_is_reused_only_after_its_delay_and_no_request_waits_for_it() {
    type Arrivals = HashMap<SocketAddr, Vec<Instant>>;
    let arrivals = Arc::new(Mutex::new(Arrivals::new()));
    let peer = {
        let arrivals = arrivals.clone();
        Peer::with_client_address(move |_, from| {
            arrivals.lock().unwrap().entry(from).or_default().push(Instant::now());
            Reply::Serve("ok")
        })
    };
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    for n in 0..600 {
        assert_eq!(client.ask("book", &format!("r{n}")).status(), 200);
    }
    let arrivals = arrivals.lock().unwrap();
    for connection in arrivals.values() {
        for pair in connection.windows(2) {
            let apart = pair[1] - pair[0];
            assert!(
                apart >= Duration::from_millis(4),
                "{apart:?}: a duplicate answer could still have arrived"
            );
        }
    }
    assert!(arrivals.len() > 1, "no request waited for the reuse delay");
    assert!(arrivals.len() < 600, "and connections were reused");
}

#[test]
fn an_unparsable_load_report_does_not_fail_the_request() {
    for report in ["{\"", "=,=", "%%%", "inflight=NaN,queue=-1", "inflight=1e999"] {
        let text = answer("200 OK", &format!("X-Server-Load: {report}\r\n"), "good");
        let peer = Peer::new(move |_| Reply::Write(text.clone()));
        let sidecar = Sidecar::start(&config(&[&peer]));
        assert_eq!(sidecar.ask("book", "r1").status(), 200, "{report}");
    }
}

#[test]
fn aged_connections_are_not_reused_after_repeated_resets() {
    // Resets the connection at each request but its first.
    let peer = Peer::new(|_| Reply::ServeOnce("ok"));
    let sidecar = Sidecar::start(&config(&[&peer]));
    let mut lost = 0;
    for n in 0..12 {
        lost += usize::from(sidecar.ask("book", &format!("r{n}")).status() != 200);
        std::thread::sleep(Duration::from_millis(150));
    }
    assert!((1..=3).contains(&lost), "{lost} unsafe requests were lost");
    assert!(sidecar.log().contains("aged connections"));
}
