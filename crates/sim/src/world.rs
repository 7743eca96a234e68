//! What all players share: the network, the script, the clock, and the facts so far.

use crate::facts::{Answered, Attempt, Facts, Written};
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

/// Unix time at a run's start: any, but always the same.
pub const UNIX: Duration = Duration::from_secs(1_800_000_000);
/// The limits that the sidecars are told, and that the oracle knows.
pub const DRAIN_GRACE: Duration = Duration::from_millis(2000);
/// A cold endpoint has this part of its capacity ...
pub const COLD_SHARE: f64 = 0.4;
/// ... and is warm after this.
pub const WARM_WITHIN: Duration = Duration::from_millis(5000);
/// What a cold endpoint is sent counts over this long.
pub const FALL: Duration = Duration::from_millis(1500);
/// Attempts in all.
pub const ATTEMPTS: usize = 4;
/// Longest time that a client waits, of any class.
pub const DEADLINE: Duration = Duration::from_millis(3000);
/// What an endpoint can work on at once.
pub const CORES: f64 = 2.0;
/// Requests that an endpoint holds; it turns away more.
pub const SLOTS: usize = 24;
/// An endpoint closes a connection that is idle for so long.
pub const IDLE: Duration = Duration::from_secs(10);

/// A script's time.
pub fn ms(time: u32) -> Duration {
    Duration::from_millis(time.into())
}

/// Of each class.
pub fn mean_work(class: Class) -> Duration {
    ms(match class {
        Class::Quote => 40,
        Class::Pay => 30,
        Class::Book => 25,
    })
}

/// A sidecar's machine.
pub fn sidecar_ip(n: u32) -> IpAddr {
    [10, 0, 0, 1 + n as u8].into()
}
/// An endpoint's machine.
pub fn endpoint_ip(n: u32) -> IpAddr {
    [10, 1, 0, 1 + n as u8].into()
}
/// Discovery's machine: the first, and the one that it moves to.
pub fn discovery_at(n: u32) -> SocketAddr {
    ([10, 2, 0, 1 + n as u8], 8500).into()
}
/// A client's machine.
pub fn client_ip(n: u32) -> IpAddr {
    [10, 3, (n / 200) as u8, 1 + (n % 200) as u8].into()
}
/// Where sidecars and endpoints listen.
pub const PORT: u16 = 7070;

/// A machine's number among its kind.
pub fn number_of(ip: IpAddr) -> (u8, u32) {
    match ip {
        IpAddr::V4(ip) => {
            let [_, kind, row, place] = ip.octets();
            (kind, u32::from(row) * 200 + u32::from(place) - 1)
        }
        IpAddr::V6(_) => (255, 0),
    }
}

/// What all players share.
pub struct World {
    /// The network.
    pub wires: VirtualNetwork,
    /// The script.
    pub script: Script,
    /// When the run began.
    pub start: Instant,
    /// What happened so far.
    pub facts: Rc<RefCell<Facts>>,
}

impl World {
    /// A world that begins now.
    pub fn new(script: Script, lines: bool) -> Rc<World> {
        let (least, most) = script.latency_ms;
        let wires = VirtualNetwork::new(script.seed, (ms(least), ms(most.max(least))), script.split, lines);
        let facts: Rc<RefCell<Facts>> = Rc::default();
        let start = Instant::now();
        let onlooker = Onlooker { facts: facts.clone(), start, links: BTreeMap::new() };
        wires.observe_writes((0..script.sidecars).map(sidecar_ip).collect(), Box::new(onlooker));
        Rc::new(World { wires, script, start, facts })
    }

    /// Time since the run began.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// A moment of the script.
    pub fn at(&self, at: u32) -> Instant {
        self.start + ms(at)
    }

    /// A moment as a fact has it.
    pub fn since(&self, at: Instant) -> Duration {
        at.duration_since(self.start)
    }

    /// Draws that depend on the seed and a name alone, and not on who drew before.
    pub fn draws(&self, name: &str) -> Pcg32 {
        let hash = fnv1a(self.script.seed ^ 0x51_7c_c1_b7_27_22_0a_95, name.as_bytes());
        Pcg32::seed_from_u64(hash)
    }

    /// A sidecar's configuration, which names the first or the second discovery.
    pub fn config(&self, sidecar: u32, life: usize, discovery: u32, known: &Value) -> Value {
        let class = |name: &str, semantics: &str| {
            json!({"name": name, "semantics": semantics, "group": "zone",
                   "repeatWindowMs": f64::from(self.script.window_ms), "objectiveMs": 600.0,
                   "deadlineMs": DEADLINE.as_millis() as f64, "worth": 1.0, "lateValue": 0.5})
        };
        let seed = self.script.seed.wrapping_add(u64::from(sidecar) << 32).wrapping_add(life as u64);
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
                "limits": {"cancelling": !self.script.uncancelled, "secondCopies": true, "maxAttempts": ATTEMPTS,
                           "connectTimeoutMs": f64::from(self.script.connect_ms), "idleCloseMs": IDLE.as_millis() as f64, "retryAfter": true,
                           "maxRetryAfterMs": 2000.0, "streamsPerConn": 1},
                "rules": {"askWithinMs": 800.0, "coldShare": COLD_SHARE,
                          "warmWithinMs": WARM_WITHIN.as_millis() as f64,
                          "drainGraceMs": DRAIN_GRACE.as_millis() as f64, "fallMs": FALL.as_millis() as f64,
                          "fallMultiple": f64::from(self.script.fall_tenths) / 10.0, "graceToAnswerMs": 20.0}
            }
        })
    }
}

/// Looks on at what sidecars write to endpoints and to clients, byte by byte.
struct Onlooker {
    facts: Rc<RefCell<Facts>>,
    start: Instant,
    links: BTreeMap<u64, Seen>,
}

#[derive(Default)]
struct Seen {
    reader: Reader,
    /// When the message under way began, and the place of its attempt once its head is there.
    began: Option<Duration>,
    attempt: Option<usize>,
}

impl WriteObserver for Onlooker {
    fn on_write(&mut self, link: u64, from: IpAddr, to: IpAddr, bytes: &[u8], now: Instant) {
        let ((kind, other), (_, sidecar)) = (number_of(to), number_of(from));
        let now = now.duration_since(self.start);
        let seen = self.links.entry(link).or_default();
        let endpoint = match kind {
            1 => other,
            3 => {
                seen.reader.feed(bytes);
                while let Ok(Some(message)) = seen.reader.next_message() {
                    let body = String::from_utf8_lossy(&message.body).into_owned();
                    let answer = Answered { wrote: now, status: message.status(), body };
                    self.facts.borrow_mut().written.push(Written { at: (link, message.at.0), answer });
                }
                return;
            }
            _ => return,
        };
        seen.began.get_or_insert(now);
        seen.reader.feed(bytes);
        let facts = &mut self.facts.borrow_mut();
        loop {
            // The head is there before the message is whole, and says whose attempt it is.
            let Ok(Some((head, _))) = seen.reader.peek_head() else { return };
            if head.first.contains(" /-/") {
                if !matches!(seen.reader.next_message(), Ok(Some(_))) {
                    return;
                }
                (seen.began, seen.attempt) = (seen.reader.has_partial_message().then_some(now), None);
                continue;
            }
            let first = seen.began.unwrap_or(now);
            let place = *seen.attempt.get_or_insert_with(|| {
                let attempt = Attempt {
                    id: head.header("x-request-id").unwrap_or_default().to_owned(),
                    sidecar,
                    endpoint,
                    link,
                    first,
                    whole: None,
                    turned_away: None,
                };
                facts.attempts.push(attempt);
                facts.attempts.len() - 1
            });
            let Ok(Some(_)) = seen.reader.next_message() else { return };
            facts.attempts[place].whole = Some(now);
            (seen.began, seen.attempt) = (seen.reader.has_partial_message().then_some(now), None);
        }
    }
}
