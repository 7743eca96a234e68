//! Simulated operators that replace and read the configuration at any member and retry requests with an indeterminate
//! outcome.

use super::cluster::Cluster;
use super::history::{EventKind, Version};
use super::http::{Answer, Call};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::Value;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time after which a client without a response calls another member.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a client abandons a request on purpose; the request may still have been received.
const ABANDONED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(6);
/// How long a change with an indeterminate outcome is retried.
const RETRY_DURATION: Duration = Duration::from_secs(8);
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// Bound on accepted changes that are remembered for resending.
const MAX_REMEMBERED_REQUESTS: usize = 2_000;
const REPLACE_PATH: &str = "/runtrack/config/replace";
const READ_PATH: &str = "/runtrack/config/read";

/// Body of a configuration with this version and name.
pub fn body(version: &Version, timeout_ms: u32) -> String {
    let Version { number, name } = version;
    format!(
        r#"{{"version":{number},"routes":[{{"name":"{name}","host":"h.example","pathPrefix":"/a/","kind":"idempotent","timeoutMs":{timeout_ms},"service":"s"}}],"services":[{{"name":"s","healthPath":"/health","connLimit":10,"protocol":"h1","tls":false}}],"limits":{{}}}}"#
    )
}

const ROUTE_TIMEOUT_MS: u32 = 1_000;

/// Parses the version of a body; the name is `?` if the body differs from what was sent.
pub fn version_of(text: &str) -> Version {
    let parsed: Value = serde_json::from_str(text).unwrap_or_default();
    let number = parsed["version"].as_u64().unwrap_or(0);
    let name = parsed["routes"][0]["name"].as_str().unwrap_or("?").to_owned();
    let version = Version { number, name };
    if body(&version, ROUTE_TIMEOUT_MS) == text {
        version
    } else {
        Version { number, name: "?".to_owned() }
    }
}

/// A request to replace the configuration.
#[derive(Clone)]
struct Request {
    base: u64,
    version: Version,
    valid: bool,
}

/// One operator.
pub struct Operator {
    cluster: Arc<Cluster>,
    name: String,
    rng: Pcg32,
    /// Newest version that any operator has seen; shared so that the operators' changes conflict.
    newest: Arc<AtomicU64>,
    accepted: Vec<Request>,
    count: u64,
}

impl Operator {
    /// Creates the operator with this number.
    pub fn new(cluster: Arc<Cluster>, number: u64, newest: Arc<AtomicU64>) -> Operator {
        let seed = cluster.script.seed.wrapping_mul(31).wrapping_add(number);
        let rng = Pcg32::seed_from_u64(seed);
        Operator { cluster, name: format!("o{number}"), rng, newest, accepted: Vec::new(), count: 0 }
    }

    fn below(&mut self, bound: usize) -> usize {
        self.rng.next_u32() as usize % bound.max(1)
    }

    /// Sends requests until all faults are to be ended.
    pub async fn run(mut self) {
        let began = Instant::now();
        let quiet = self.cluster.script.quiet_from.map(|at| Duration::from_millis(at.into()));
        let pause = self.cluster.script.pause as usize;
        while !self.cluster.is_healing() {
            let is_quiet = quiet.is_some_and(|from| began.elapsed() >= from);
            match self.below(if is_quiet { 2 } else { 10 }) {
                0 => drop(self.read().await),
                1 if !self.accepted.is_empty() => self.resend_accepted().await,
                1 => {}
                2 => self.send_invalid().await,
                _ => self.change().await,
            }
            let wait = if is_quiet { 100 } else { self.below(pause) as u64 };
            sleep(Duration::from_millis(wait)).await;
        }
    }

    /// Sends changes until the first configuration is accepted, or until all faults are to be ended.
    pub async fn send_first_configuration(&mut self) {
        while self.newest.load(Ordering::SeqCst) == 0 && !self.cluster.is_healing() {
            self.change().await;
        }
    }

    fn next_request(&mut self) -> Request {
        let base = self.newest.load(Ordering::SeqCst);
        self.count += 1;
        let name = format!("{}-{}", self.name, self.count);
        let number = base + 1 + self.below(2) as u64;
        Request { base, version: Version { number, name }, valid: true }
    }

    async fn change(&mut self) {
        let request = self.next_request();
        let end = Instant::now() + RETRY_DURATION;
        let mut member = self.below(self.cluster.script.members);
        while Instant::now() < end && !self.cluster.is_healing() {
            let limit = if self.below(6) == 0 { ABANDONED_RESPONSE_TIMEOUT } else { RESPONSE_TIMEOUT };
            match self.send(&request, member, limit).await {
                Some(200) => return self.remember(request),
                Some(status) if status < 500 => return drop(self.read().await),
                _ => sleep(RETRY_DELAY).await,
            }
            member = (member + 1) % self.cluster.script.members;
        }
    }

    fn remember(&mut self, request: Request) {
        self.newest.fetch_max(request.version.number, Ordering::SeqCst);
        if self.accepted.len() < MAX_REMEMBERED_REQUESTS {
            self.accepted.push(request);
        }
    }

    /// Resends an accepted change, which may be long superseded.
    async fn resend_accepted(&mut self) {
        let which = self.below(self.accepted.len());
        let request = self.accepted[which].clone();
        let member = self.below(self.cluster.script.members);
        self.send(&request, member, RESPONSE_TIMEOUT).await;
    }

    async fn send_invalid(&mut self) {
        let request = Request { valid: false, ..self.next_request() };
        let member = self.below(self.cluster.script.members);
        self.send(&request, member, RESPONSE_TIMEOUT).await;
    }

    async fn send(&mut self, request: &Request, member: usize, limit: Duration) -> Option<u16> {
        let timeout_ms = if request.valid { ROUTE_TIMEOUT_MS } else { 0 };
        let (header, body) =
            (format!("X-Base-Version: {}\r\n", request.base), body(&request.version, timeout_ms));
        let call = Call { method: "POST", path: REPLACE_PATH, header: &header, body: &body };
        let began = self.cluster.history.now_micros();
        let answer = call.send(self.cluster.control_address(member), limit).await;
        let status = answer.map(|answer| answer.status);
        let Request { base, version, valid } = request.clone();
        let lost = limit < RESPONSE_TIMEOUT;
        self.record(began, status, EventKind::Replace { member, base, version, valid, lost, status });
        status
    }

    async fn read(&mut self) -> Option<Version> {
        let member = self.below(self.cluster.script.members);
        let version = read_from(&self.cluster, &self.name, member).await;
        if let Some(version) = &version {
            self.newest.fetch_max(version.number, Ordering::SeqCst);
        }
        version
    }

    fn record(&self, began: u64, status: Option<u16>, observation: EventKind) {
        let ended = status.map(|_| self.cluster.history.now_micros());
        self.cluster.history.record(&self.name, began, ended, observation);
    }
}

/// Reads the configuration from a member and records the read.
pub async fn read_from(cluster: &Cluster, who: &str, member: usize) -> Option<Version> {
    let call = Call { method: "GET", path: READ_PATH, header: "", body: "" };
    let began = cluster.history.now_micros();
    let answer = call.send(cluster.control_address(member), RESPONSE_TIMEOUT).await;
    let ended = answer.as_ref().map(|_| cluster.history.now_micros());
    let status = answer.as_ref().map(|answer| answer.status);
    let version = answer.and_then(|Answer { status, body }| match status {
        200 => Some(version_of(&body)),
        404 => Some(Version::none()),
        _ => None,
    });
    cluster.history.record(who, began, ended, EventKind::Read { member, status, version: version.clone() });
    version
}
