//! An operator that sends sequential changes to the members in turn.

use super::{CONTROL, MachineNetwork, address};
use runtrack_net::Network;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

/// Response timeout, plus one microsecond for each byte of the body.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
const ANSWER_TIMEOUT_PER_BYTE: Duration = Duration::from_micros(1);
/// Wait after a call without a definite response, and after a change.
const PAUSE: Duration = Duration::from_millis(10);
/// Path length in bytes of each route of a large configuration.
const PATH: usize = 250;

/// An acknowledged change.
#[derive(Clone, Debug)]
pub struct Change {
    /// Its version.
    pub version: u64,
    /// Time and member of each attempt.
    pub calls: Vec<(Instant, usize)>,
    /// Time of the acknowledgement.
    pub acknowledged: Instant,
}

/// An operator.
pub struct Operator {
    network: MachineNetwork,
}

/// A configuration with this version and at least `bytes` bytes.
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
    pub(super) fn new(network: MachineNetwork) -> Self {
        Operator { network }
    }

    async fn call(&self, machine: usize, request: &str) -> Option<u16> {
        let mut connection = self.network.connect(address(machine, CONTROL).into()).await.ok()?;
        connection.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        connection.read_to_string(&mut answer).await.ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    }

    /// Sends a change to the members in turn, starting with index `first`, until it is acknowledged.
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
