//! State shared by all simulated parts: the network, the script, the clock and the recorded facts.

use crate::facts::{Attempt, Facts, Response, WrittenResponse};
use crate::http::Reader;
use crate::net::{VirtualNetwork, WriteObserver, fnv1a};
use crate::script::{Class, Script};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Unix time at the start of a run; any fixed value serves.
pub const START_UNIX_TIME: Duration = Duration::from_secs(1_800_000_000);
/// Drain grace in the sidecars' settings, also used by the oracle.
pub const DRAIN_GRACE: Duration = Duration::from_millis(2000);
/// Share of its capacity that an endpoint has when it starts.
pub const COLD_SHARE: f64 = 0.4;
/// Time from start to full capacity.
pub const WARM_WITHIN: Duration = Duration::from_millis(5000);
/// Window over which the load of a cold endpoint is limited.
pub const COLD_LOAD_WINDOW: Duration = Duration::from_millis(1500);
/// Most attempts per request.
pub const MAX_ATTEMPTS: usize = 4;
/// Longest client timeout of any class.
pub const MAX_DEADLINE: Duration = Duration::from_millis(3000);
/// Cores of an endpoint.
pub const ENDPOINT_CORES: f64 = 2.0;
/// Requests that an endpoint accepts at once; it rejects more.
pub const ENDPOINT_SLOTS: usize = 24;
/// Time after which an endpoint closes an idle connection.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Converts milliseconds of a script.
pub fn ms(time: u32) -> Duration {
    Duration::from_millis(time.into())
}

/// Mean service time of a class.
pub fn mean_service_time(class: Class) -> Duration {
    ms(match class {
        Class::Quote => 40,
        Class::Pay => 30,
        Class::Book => 25,
    })
}

/// Address of a sidecar's host.
pub fn sidecar_ip(n: u32) -> IpAddr {
    [10, 0, 0, 1 + n as u8].into()
}
/// Address of an endpoint's host.
pub fn endpoint_ip(n: u32) -> IpAddr {
    [10, 1, 0, 1 + n as u8].into()
}
/// Address of a discovery server: 0 is the first, 1 the one that discovery moves to.
pub fn discovery_at(n: u32) -> SocketAddr {
    ([10, 2, 0, 1 + n as u8], 8500).into()
}
/// Address of a client's host.
pub fn client_ip(n: u32) -> IpAddr {
    [10, 3, (n / 200) as u8, 1 + (n % 200) as u8].into()
}
/// Port of sidecars and endpoints.
pub const PORT: u16 = 7070;

/// The kind of a host and its number within the kind.
pub fn host_kind_and_number(ip: IpAddr) -> (u8, u32) {
    match ip {
        IpAddr::V4(ip) => {
            let [_, kind, row, place] = ip.octets();
            (kind, u32::from(row) * 200 + u32::from(place) - 1)
        }
        IpAddr::V6(_) => (255, 0),
    }
}

/// Shared state of a run.
pub struct World {
    /// The network.
    pub network: VirtualNetwork,
    /// The script.
    pub script: Script,
    /// When the run began.
    pub start: Instant,
    /// The facts recorded so far.
    pub facts: Rc<RefCell<Facts>>,
}

impl World {
    /// Creates a world whose clock starts now.
    pub fn new(script: Script, lines: bool) -> Rc<World> {
        let (least, most) = script.latency_ms;
        let network =
            VirtualNetwork::new(script.seed, (ms(least), ms(most.max(least))), script.split, lines);
        let facts: Rc<RefCell<Facts>> = Rc::default();
        let start = Instant::now();
        let observer = TrafficObserver { facts: facts.clone(), start, links: BTreeMap::new() };
        network.observe_writes((0..script.sidecars).map(sidecar_ip).collect(), Box::new(observer));
        Rc::new(World { network, script, start, facts })
    }

    /// Time since the run began.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The instant of a script time.
    pub fn at(&self, at: u32) -> Instant {
        self.start + ms(at)
    }

    /// Time of an instant since the start of the run.
    pub fn time_of(&self, at: Instant) -> Duration {
        at.duration_since(self.start)
    }

    /// A random generator that depends only on the seed and a name, not on earlier draws.
    pub fn draws(&self, name: &str) -> Pcg32 {
        let hash = fnv1a(self.script.seed ^ 0x51_7c_c1_b7_27_22_0a_95, name.as_bytes());
        Pcg32::seed_from_u64(hash)
    }

    /// A sidecar's configuration, with the first or the second discovery server.
    pub fn config(&self, sidecar: u32, start_number: usize, discovery: u32, known: &Value) -> Value {
        let class = |name: &str, semantics: &str| {
            json!({"name": name, "semantics": semantics, "group": "zone",
                   "repeatWindowMs": f64::from(self.script.window_ms), "objectiveMs": 600.0,
                   "deadlineMs": MAX_DEADLINE.as_millis() as f64, "worth": 1.0, "lateValue": 0.5})
        };
        let seed =
            self.script.seed.wrapping_add(u64::from(sidecar) << 32).wrapping_add(start_number as u64);
        json!({
            "name": format!("n{sidecar}"),
            "listen": SocketAddr::new(sidecar_ip(sidecar), PORT).to_string(),
            "discovery": discovery_at(discovery).to_string(),
            "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": {
                "areas": ["a", "b"], "kinds": ["m"], "tiers": ["t"], "stage": 0,
                "balancers": self.script.sidecars, "me": sidecar, "myZone": 0, "discovery": "subscribe",
                "classes": [class("quote", "safe"), class("book", "unsafe"), class("pay", "keyed")],
                "tenants": [{"name": "acme", "allowancePerS": 1000.0, "portion": 1.0}],
                "limits": {"cancelling": !self.script.uncancelled, "secondCopies": true, "maxAttempts": MAX_ATTEMPTS,
                           "connectTimeoutMs": f64::from(self.script.connect_ms), "idleCloseMs": IDLE_TIMEOUT.as_millis() as f64, "retryAfter": true,
                           "maxRetryAfterMs": 2000.0, "streamsPerConn": 1},
                "rules": {"askWithinMs": 800.0, "coldShare": COLD_SHARE,
                          "warmWithinMs": WARM_WITHIN.as_millis() as f64,
                          "drainGraceMs": DRAIN_GRACE.as_millis() as f64, "fallMs": COLD_LOAD_WINDOW.as_millis() as f64,
                          "fallMultiple": f64::from(self.script.fall_tenths) / 10.0, "graceToAnswerMs": 20.0}
            }
        })
    }
}

/// Parses what sidecars write to endpoints and clients, and records attempts and responses.
struct TrafficObserver {
    facts: Rc<RefCell<Facts>>,
    start: Instant,
    links: BTreeMap<u64, ConnectionState>,
}

#[derive(Default)]
struct ConnectionState {
    reader: Reader,
    /// When the current message began, and the index of its attempt once its head is complete.
    began: Option<Duration>,
    attempt: Option<usize>,
}

impl WriteObserver for TrafficObserver {
    fn on_write(&mut self, connection: u64, from: IpAddr, to: IpAddr, bytes: &[u8], now: Instant) {
        let ((kind, other), (_, sidecar)) = (host_kind_and_number(to), host_kind_and_number(from));
        let now = now.duration_since(self.start);
        let state = self.links.entry(connection).or_default();
        let endpoint = match kind {
            1 => other,
            3 => {
                state.reader.feed(bytes);
                while let Ok(Some(message)) = state.reader.next_message() {
                    let body = String::from_utf8_lossy(&message.body).into_owned();
                    let response = Response { completed: now, status: message.status(), body };
                    self.facts
                        .borrow_mut()
                        .written_responses
                        .push(WrittenResponse { position: (connection, message.at.0), response });
                }
                return;
            }
            _ => return,
        };
        state.began.get_or_insert(now);
        state.reader.feed(bytes);
        let facts = &mut self.facts.borrow_mut();
        loop {
            // The head is complete before the message is, and names the request.
            let Ok(Some((head, _))) = state.reader.peek_head() else { return };
            if head.first.contains(" /-/") {
                if !matches!(state.reader.next_message(), Ok(Some(_))) {
                    return;
                }
                (state.began, state.attempt) = (state.reader.has_partial_message().then_some(now), None);
                continue;
            }
            let first_byte = state.began.unwrap_or(now);
            let place = *state.attempt.get_or_insert_with(|| {
                let attempt = Attempt {
                    id: head.header("x-request-id").unwrap_or_default().to_owned(),
                    sidecar,
                    endpoint,
                    connection,
                    first_byte,
                    last_byte: None,
                    rejected: None,
                };
                facts.attempts.push(attempt);
                facts.attempts.len() - 1
            });
            let Ok(Some(_)) = state.reader.next_message() else { return };
            facts.attempts[place].last_byte = Some(now);
            (state.began, state.attempt) = (state.reader.has_partial_message().then_some(now), None);
        }
    }
}
