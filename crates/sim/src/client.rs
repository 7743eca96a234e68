//! Simulated clients: send the script's requests, reuse connections and record the responses. Some violate the protocol
//! on purpose.

use crate::facts::{RequestRecord, Response};
use crate::http::Reader;
use crate::net::Stream;
use crate::script::{Class, ClientBehavior, RequestPlan};
use crate::world::{PORT, World, client_ip, ms, sidecar_ip};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout_at};

/// How long a client reads on after a response, to detect a second one.
const SURPLUS_WAIT: Duration = Duration::from_millis(20);
/// Delay between a smuggling request and the request hidden in its body.
const HIDDEN_REQUEST_DELAY: Duration = Duration::from_millis(150);
/// How long a client that violates the protocol waits for an error or a close.
const BAD_CLIENT_WAIT: Duration = Duration::from_secs(8);

/// Idle connections of each client, the most recently used last.
#[derive(Default)]
pub struct IdleConnections(RefCell<BTreeMap<u32, Vec<Stream>>>);

fn request_head(plan: &RequestPlan, id: &str, more: &str) -> String {
    let (method, name) = match plan.class {
        Class::Quote => ("GET", "quote"),
        Class::Pay => ("POST", "pay"),
        Class::Book => ("POST", "book"),
    };
    let key = if plan.class == Class::Pay { format!("Idempotency-Key: k-{id}\r\n") } else { String::new() };
    format!(
        "{method} /{name} HTTP/1.1\r\nHost: t\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {}m\r\n{key}{more}\r\n",
        plan.wait
    )
}

fn request_text(plan: &RequestPlan, id: &str) -> String {
    match plan.class {
        Class::Quote => request_head(plan, id, ""),
        Class::Pay | Class::Book => request_head(plan, id, "Content-Length: 12\r\n") + "ten thousand",
    }
}

/// How an exchange ended.
enum ExchangeEnd {
    /// With a complete response; the connection may be reused unless `close` is set.
    Answered { close: bool },
    /// The connection ended without a complete response.
    Disconnected,
    /// The client gave up waiting.
    TimedOut,
}

/// Sends one request of the script at its scheduled time and records the result.
pub async fn send_request(world: Rc<World>, idle_connections: Rc<IdleConnections>, number: usize) {
    let plan = world.script.asks[number].clone();
    tokio::time::sleep_until(world.at(plan.at)).await;
    let id = format!("r{number}");
    let sidecar = plan.client % world.script.sidecars;
    let to = SocketAddr::new(sidecar_ip(sidecar), PORT);
    let index = {
        let facts = &mut world.facts.borrow_mut().requests;
        facts.push(RequestRecord {
            id: id.clone(),
            class: plan.class,
            sidecar,
            behavior: plan.manner,
            started: world.now(),
            sent: None,
            arrived: None,
            read: false,
            timeout: ms(plan.wait),
            disconnected: None,
            connection_lost: None,
            connection: None,
            responses: Vec::new(),
        });
        facts.len() - 1
    };
    let idle_stream = idle_connections
        .0
        .borrow_mut()
        .get_mut(&plan.client)
        .and_then(Vec::pop)
        .filter(|_| plan.manner.follows_protocol());
    let mut is_new = idle_stream.is_none();
    let mut next = idle_stream;
    loop {
        let mut stream = match next.take() {
            Some(stream) => stream,
            None => {
                let until = world.start + world.now() + ms(plan.wait);
                match timeout_at(until, world.network.connect(client_ip(plan.client), to)).await {
                    Ok(Ok(stream)) => stream,
                    _ => return, // connect failed: the request never arrived
                }
            }
        };
        if !plan.manner.follows_protocol() {
            return send_malformed(&world, &plan, &id, index, stream).await;
        }
        let end = exchange(&world, &plan, &id, index, &mut stream).await;
        let read = world.facts.borrow().requests[index].read;
        match end {
            ExchangeEnd::Answered { close: true } | ExchangeEnd::TimedOut => return,
            ExchangeEnd::Answered { close: false } => {
                // Bytes after the response would be a second response, and end the connection.
                let mut bytes = [0; 256];
                if timeout_at(Instant::now() + SURPLUS_WAIT, stream.read(&mut bytes)).await.is_err() {
                    idle_connections.0.borrow_mut().entry(plan.client).or_default().push(stream);
                }
                return;
            }
            // The sidecar closed the idle connection before it read the request: retried on a new connection.
            ExchangeEnd::Disconnected if !is_new && !read => {
                is_new = true;
                let record = &mut world.facts.borrow_mut().requests[index];
                (record.sent, record.arrived) = (None, None);
            }
            ExchangeEnd::Disconnected => {
                let now = world.now();
                world.facts.borrow_mut().requests[index].connection_lost = Some(now);
                return;
            }
        }
    }
}

async fn exchange(
    world: &World,
    plan: &RequestPlan,
    id: &str,
    index: usize,
    stream: &mut Stream,
) -> ExchangeEnd {
    let text = request_text(plan, id);
    // Offsets continue on a reused connection, since it has carried responses before.
    let begin = stream.written();
    let parts = match plan.manner {
        ClientBehavior::Slowly(after) => {
            vec![(&text[..text.len() / 2], after), (&text[text.len() / 2..], 0)]
        }
        _ => vec![(&text[..], 0)],
    };
    let response_offset = world.network.bytes_read(stream.link(), 1);
    for (part, after) in parts {
        if stream.write_all(part.as_bytes()).await.is_err() {
            return ExchangeEnd::Disconnected;
        }
        sleep(ms(after)).await;
    }
    let end = begin + text.len() as u64;
    let link = stream.link();
    let sent = world.now();
    {
        let arrives = world.network.write_times(link, 0, end).map(|(_, arrives)| world.time_of(arrives));
        let record = &mut world.facts.borrow_mut().requests[index];
        (record.sent, record.arrived, record.connection) =
            (Some(sent), arrives, Some((link, response_offset)));
    }
    let wait = ms(plan.wait);
    // The client waits slightly beyond its timeout, for responses that were sent in time.
    let patience = match plan.manner {
        ClientBehavior::Leaves(after) => ms(after),
        _ => wait + Duration::from_millis(500),
    };
    let until = Instant::now() + patience;
    let (mut reader, mut bytes) = (Reader::default(), [0; 4096]);
    let ended = loop {
        match reader.next_message() {
            Ok(Some(message)) => {
                let close = message.header("connection").is_some_and(|value| value.contains("close"));
                break ExchangeEnd::Answered { close };
            }
            Ok(None) => match timeout_at(until, stream.read(&mut bytes)).await {
                Ok(Ok(count)) if count > 0 => reader.feed(&bytes[..count]),
                Ok(_) => break ExchangeEnd::Disconnected,
                Err(_) => {
                    let now = world.now();
                    world.facts.borrow_mut().requests[index].disconnected = Some(now);
                    break ExchangeEnd::TimedOut;
                }
            },
            Err(_) => break ExchangeEnd::Disconnected,
        }
    };
    let read = world.network.bytes_read(link, 0) >= end;
    world.facts.borrow_mut().requests[index].read = read;
    ended
}

/// Sends a request that violates the protocol and records the response.
async fn send_malformed(world: &World, plan: &RequestPlan, id: &str, index: usize, mut stream: Stream) {
    let valid_request = request_text(plan, id);
    let bytes = match plan.manner {
        ClientBehavior::Rubbish => "\u{7f}\u{1}\u{2} rubbish\r\n\r\n".to_owned(),
        ClientBehavior::Smuggles => {
            let plan = RequestPlan { class: Class::Quote, ..plan.clone() };
            let body = format!("0\r\n\r\n{}", request_head(&plan, &format!("{id}-hidden"), ""));
            let more = format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", body.len());
            let plan = RequestPlan { class: Class::Book, ..plan.clone() };
            request_head(&plan, id, &more) + &body
        }
        ClientBehavior::Pipelines => valid_request.clone() + &request_text(plan, &format!("{id}-hidden")),
        ClientBehavior::Stops => valid_request[..valid_request.len() / 2].to_owned(),
        _ => valid_request,
    };
    // The hidden request is sent when the request before it may have been answered.
    let (first, rest) = match bytes.find("0\r\n\r\n").filter(|_| plan.manner == ClientBehavior::Smuggles) {
        Some(place) => bytes.split_at(place + 5),
        None => (&bytes[..], ""),
    };
    if stream.write_all(first.as_bytes()).await.is_err() {
        return;
    }
    if !rest.is_empty() {
        sleep(HIDDEN_REQUEST_DELAY).await;
        if stream.write_all(rest.as_bytes()).await.is_err() {
            return;
        }
    }
    if plan.manner == ClientBehavior::HalfCloses {
        let _ = stream.shutdown().await;
    }
    let sent = world.now();
    world.facts.borrow_mut().requests[index].sent = Some(sent);
    let (mut reader, mut bytes) = (Reader::default(), [0; 4096]);
    let until = Instant::now() + BAD_CLIENT_WAIT;
    loop {
        if let Ok(Some(message)) = reader.next_message() {
            let body = String::from_utf8_lossy(&message.body).into_owned();
            let answer = Response { completed: world.now(), status: message.status(), body };
            world.facts.borrow_mut().requests[index].responses.push(answer);
            continue;
        }
        match timeout_at(until, stream.read(&mut bytes)).await {
            Ok(Ok(count)) if count > 0 => reader.feed(&bytes[..count]),
            Ok(_) => {
                let now = world.now();
                world.facts.borrow_mut().requests[index].connection_lost = Some(now);
                return;
            }
            Err(_) => return,
        }
    }
}
