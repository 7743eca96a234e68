//! An operator who sends one change after another, to each member in turn.

use super::{CONTROL, Wired, address};
use runtrack_net::Network;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

/// An answer is waited for so long, and a microsecond more for each byte of the body.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
const ANSWER_TIMEOUT_PER_BYTE: Duration = Duration::from_micros(1);
/// Wait after a call without a clear answer, and after a change.
const PAUSE: Duration = Duration::from_millis(10);
/// Bytes of the path of each route of a large configuration.
const PATH: usize = 250;

/// A change that was acknowledged.
#[derive(Clone, Debug)]
pub struct Change {
    /// Its version.
    pub version: u64,
    /// When it was sent to which member, each time.
    pub calls: Vec<(Instant, usize)>,
    /// When it was acknowledged.
    pub acknowledged: Instant,
}

/// An operator.
pub struct Operator {
    network: Wired,
}

/// A configuration of this version and of so many bytes at least.
pub fn config_of(version: u64, bytes: usize) -> String {
    let route = |number: usize| {
        format!(
            r#"{{"name":"r{number}","host":"h.example","pathPrefix":"/{number}{}/","kind":"idempotent","timeoutMs":1000,"service":"s"}}"#,
            "x".repeat(PATH)
        )
    };
    let routes: Vec<String> = (0..bytes / PATH).map(route).collect();
    let service = r#"{"name":"s","healthPath":"/health","connLimit":10,"protocol":"h1","tls":false}"#;
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{service}],"limits":{{}}}}"#,
        routes.join(",")
    )
}

impl Operator {
    pub(super) fn new(network: Wired) -> Self {
        Operator { network }
    }

    async fn call(&self, machine: usize, request: &str) -> Option<u16> {
        let mut connection = self.network.connect(address(machine, CONTROL).into()).await.ok()?;
        connection.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        connection.read_to_string(&mut answer).await.ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    }

    /// Sends a change to one member after another, from the one of this place on, until it is acknowledged.
    pub async fn change(&self, members: &[usize], first: usize, version: u64, bytes: usize) -> Change {
        let body = config_of(version, bytes);
        let request = format!(
            "POST /runtrack/config/replace HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Base-Version: {}\r\nContent-Length: {}\r\n\r\n{body}",
            version - 1,
            body.len()
        );
        let answer_timeout = ANSWER_TIMEOUT + ANSWER_TIMEOUT_PER_BYTE * body.len() as u32;
        let mut calls = Vec::new();
        for place in first.. {
            let machine = members[place % members.len()];
            calls.push((Instant::now(), machine));
            let status = timeout(answer_timeout, self.call(machine, &request)).await.ok().flatten();
            match status {
                Some(200) => break,
                Some(status) if status != 503 => panic!("version {version} at {machine}: {status}"),
                _ => sleep(PAUSE).await,
            }
        }
        Change { version, calls, acknowledged: Instant::now() }
    }

    /// The pause between two changes.
    pub async fn pause(&self) {
        sleep(PAUSE).await;
    }
}
