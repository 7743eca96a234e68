//! Test of the built sidecar where endpoints close connections while a request is being sent.

#[path = "support/node.rs"]
mod support;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use support::*;

/// By request id: how often it was cut off before its last byte, and how often it was complete.
type Seen = Arc<Mutex<HashMap<String, (usize, usize)>>>;

/// Closes the connection once per request id when only the end of the request is missing.
fn reset_once(stream: TcpStream, seen: &Seen) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (mut id, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let Some((name, value)) = line.split_once(": ") else {
                if line == "\r\n" { break } else { continue }
            };
            match name.to_ascii_lowercase().as_str() {
                "x-request-id" => id = value.trim().to_owned(),
                "content-length" => length = value.trim().parse().unwrap(),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        let received = reader.read(&mut body)?;
        let first = seen.lock().unwrap().get(&id).is_none();
        if received < length && first {
            seen.lock().unwrap().entry(id).or_default().0 += 1;
            return Ok(());
        }
        reader.read_exact(&mut body[received..])?;
        seen.lock().unwrap().entry(id).or_default().1 += 1;
        (&stream).write_all(answer("200 OK", "", "ok").as_bytes())?;
    }
}

#[test]
fn an_unsafe_request_reset_before_its_last_byte_is_sent_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, seen) = (listener.local_addr().unwrap(), Seen::default());
    let peer = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = peer.clone();
            thread::spawn(move || reset_once(stream, &seen));
        }
    });
    let sidecar = Sidecar::start(&config_at(&[address]));
    let mut number = 0;
    // On a slow machine the last byte may already be on its way when the connection closes.
    wait_for("a request that was cut off and served nevertheless", || {
        number += 1;
        let id = format!("r{number}");
        let served = sidecar.ask("book", &id).status() == 200;
        served && seen.lock().unwrap()[&id] == (1, 1)
    });
    assert!(
        seen.lock().unwrap().values().all(|(_, whole)| *whole <= 1),
        "no request was received completely twice"
    );
}
