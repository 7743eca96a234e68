//! Clients: they ask as the script says, keep connections, and note what they get. Some keep to no protocol.

use crate::facts::{Answered, Asked};
use crate::http::Reader;
use crate::net::Stream;
use crate::script::{Ask, Class, Manner};
use crate::world::{PORT, World, client_ip, ms, sidecar_ip};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout_at};

/// What is listened for after an answer, in case another one comes.
const AFTER: Duration = Duration::from_millis(20);
/// A hidden request comes this much behind the one that hides it.
const HIDDEN_AFTER: Duration = Duration::from_millis(150);
/// Bad clients look for so long whether they are told.
const BAD_WAIT: Duration = Duration::from_secs(8);

/// The connections that clients keep, the last used last.
#[derive(Default)]
pub struct Kept(RefCell<BTreeMap<u32, Vec<Stream>>>);

fn head(ask: &Ask, id: &str, more: &str) -> String {
    let (method, name) = match ask.class {
        Class::Quote => ("GET", "quote"),
        Class::Pay => ("POST", "pay"),
        Class::Book => ("POST", "book"),
    };
    let key = if ask.class == Class::Pay { format!("Idempotency-Key: k-{id}\r\n") } else { String::new() };
    format!(
        "{method} /{name} HTTP/1.1\r\nHost: t\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {}m\r\n{key}{more}\r\n",
        ask.wait
    )
}

fn text(ask: &Ask, id: &str) -> String {
    match ask.class {
        Class::Quote => head(ask, id, ""),
        Class::Pay | Class::Book => head(ask, id, "Content-Length: 12\r\n") + "ten thousand",
    }
}

/// How an exchange ended.
enum End {
    /// With a whole answer; the connection may be kept.
    Answered { close: bool },
    /// The connection ended without.
    Broke,
    /// The client left.
    Left,
}

/// Asks one request, at its time.
pub async fn ask(world: Rc<World>, kept: Rc<Kept>, number: usize) {
    let ask = world.script.asks[number].clone();
    tokio::time::sleep_until(world.at(ask.at)).await;
    let id = format!("r{number}");
    let sidecar = ask.client % world.script.sidecars;
    let to = SocketAddr::new(sidecar_ip(sidecar), PORT);
    let fact = {
        let facts = &mut world.facts.borrow_mut().asked;
        facts.push(Asked {
            id: id.clone(),
            class: ask.class,
            sidecar,
            manner: ask.manner,
            began: world.now(),
            sent: None,
            taken: None,
            read: false,
            wait: ms(ask.wait),
            left: None,
            broke: None,
            on: None,
            answers: Vec::new(),
        });
        facts.len() - 1
    };
    let spare =
        kept.0.borrow_mut().get_mut(&ask.client).and_then(Vec::pop).filter(|_| ask.manner.is_good());
    let mut fresh = spare.is_none();
    let mut next = spare;
    loop {
        let mut stream = match next.take() {
            Some(stream) => stream,
            None => {
                let until = world.start + world.now() + ms(ask.wait);
                match timeout_at(until, world.wires.connect(client_ip(ask.client), to)).await {
                    Ok(Ok(stream)) => stream,
                    _ => return, // nobody there: never taken
                }
            }
        };
        if !ask.manner.is_good() {
            return misbehave(&world, &ask, &id, fact, stream).await;
        }
        let end = exchange(&world, &ask, &id, fact, &mut stream).await;
        let read = world.facts.borrow().asked[fact].read;
        match end {
            End::Answered { close: true } | End::Left => return,
            End::Answered { close: false } => {
                // What comes behind an answer would be one too many, and ends the connection.
                let mut bytes = [0; 256];
                if timeout_at(Instant::now() + AFTER, stream.read(&mut bytes)).await.is_err() {
                    kept.0.borrow_mut().entry(ask.client).or_default().push(stream);
                }
                return;
            }
            // It crossed the closing of a kept connection, unread: sent once more.
            End::Broke if !fresh && !read => {
                fresh = true;
                let asked = &mut world.facts.borrow_mut().asked[fact];
                (asked.sent, asked.taken) = (None, None);
            }
            End::Broke => {
                let now = world.now();
                world.facts.borrow_mut().asked[fact].broke = Some(now);
                return;
            }
        }
    }
}

async fn exchange(world: &World, ask: &Ask, id: &str, fact: usize, stream: &mut Stream) -> End {
    let text = text(ask, id);
    // A kept connection has been answered on before: the offsets go on.
    let begin = stream.written();
    let parts = match ask.manner {
        Manner::Slowly(after) => vec![(&text[..text.len() / 2], after), (&text[text.len() / 2..], 0)],
        _ => vec![(&text[..], 0)],
    };
    let answered_from = world.wires.bytes_read(stream.link(), 1);
    for (part, after) in parts {
        if stream.write_all(part.as_bytes()).await.is_err() {
            return End::Broke;
        }
        sleep(ms(after)).await;
    }
    let end = begin + text.len() as u64;
    let link = stream.link();
    let sent = world.now();
    {
        let arrives = world.wires.write_times(link, 0, end).map(|(_, arrives)| world.since(arrives));
        let asked = &mut world.facts.borrow_mut().asked[fact];
        (asked.sent, asked.taken, asked.on) = (Some(sent), arrives, Some((link, answered_from)));
    }
    let wait = ms(ask.wait);
    // A client that waits for its time waits a little longer for what was sent in time.
    let patience = match ask.manner {
        Manner::Leaves(after) => ms(after),
        _ => wait + Duration::from_millis(500),
    };
    let until = Instant::now() + patience;
    let (mut reader, mut bytes) = (Reader::default(), [0; 4096]);
    let ended = loop {
        match reader.next_message() {
            Ok(Some(message)) => {
                let close = message.header("connection").is_some_and(|value| value.contains("close"));
                break End::Answered { close };
            }
            Ok(None) => match timeout_at(until, stream.read(&mut bytes)).await {
                Ok(Ok(count)) if count > 0 => reader.feed(&bytes[..count]),
                Ok(_) => break End::Broke,
                Err(_) => {
                    let now = world.now();
                    world.facts.borrow_mut().asked[fact].left = Some(now);
                    break End::Left;
                }
            },
            Err(_) => break End::Broke,
        }
    };
    let read = world.wires.bytes_read(link, 0) >= end;
    world.facts.borrow_mut().asked[fact].read = read;
    ended
}

/// Sends what is against the protocol, and notes what comes of it.
async fn misbehave(world: &World, ask: &Ask, id: &str, fact: usize, mut stream: Stream) {
    let good = text(ask, id);
    let bytes = match ask.manner {
        Manner::Rubbish => "\u{7f}\u{1}\u{2} rubbish\r\n\r\n".to_owned(),
        Manner::Smuggles => {
            let ask = Ask { class: Class::Quote, ..ask.clone() };
            let body = format!("0\r\n\r\n{}", head(&ask, &format!("{id}-hidden"), ""));
            let more = format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", body.len());
            let ask = Ask { class: Class::Book, ..ask.clone() };
            head(&ask, id, &more) + &body
        }
        Manner::Pipelines => good.clone() + &text(ask, &format!("{id}-hidden")),
        Manner::Stops => good[..good.len() / 2].to_owned(),
        _ => good,
    };
    // What is hidden comes when the request before it may have been answered.
    let (first, rest) = match bytes.find("0\r\n\r\n").filter(|_| ask.manner == Manner::Smuggles) {
        Some(place) => bytes.split_at(place + 5),
        None => (&bytes[..], ""),
    };
    if stream.write_all(first.as_bytes()).await.is_err() {
        return;
    }
    if !rest.is_empty() {
        sleep(HIDDEN_AFTER).await;
        if stream.write_all(rest.as_bytes()).await.is_err() {
            return;
        }
    }
    if ask.manner == Manner::HalfCloses {
        let _ = stream.shutdown().await;
    }
    let sent = world.now();
    world.facts.borrow_mut().asked[fact].sent = Some(sent);
    let (mut reader, mut bytes) = (Reader::default(), [0; 4096]);
    let until = Instant::now() + BAD_WAIT;
    loop {
        if let Ok(Some(message)) = reader.next_message() {
            let body = String::from_utf8_lossy(&message.body).into_owned();
            let answer = Answered { wrote: world.now(), status: message.status(), body };
            world.facts.borrow_mut().asked[fact].answers.push(answer);
            continue;
        }
        match timeout_at(until, stream.read(&mut bytes)).await {
            Ok(Ok(count)) if count > 0 => reader.feed(&bytes[..count]),
            Ok(_) => {
                let now = world.now();
                world.facts.borrow_mut().asked[fact].broke = Some(now);
                return;
            }
            Err(_) => return,
        }
    }
}
