//! The nouns.

use runtrack_balancer::DedupScope;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Everything the control service is told to hold: the desired state.
///
/// Equal fleets have equal [canonical forms](Fleet::to_canonical_json) and [hashes](Fleet::hash), whatever the order,
/// comments and spelling of the files they were read from. Only the order of routes has a meaning.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Figures of the four rules.
    pub rules: Rules,
    /// How far zones lie apart; empty where nothing is said.
    pub zones: Zones,
    /// Classes of requests, by name.
    pub classes: BTreeMap<String, Class>,
    /// Pools, by name. Proxies know a pool as a cluster.
    pub pools: BTreeMap<String, Pool>,
    /// Listeners, by name.
    pub listeners: BTreeMap<String, Listener>,
    /// Risks of changes that weigh at least so much here, by the risk's kind.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub risks: BTreeMap<String, Severity>,
}

/// How much a risk weighs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Worth knowing.
    Low,
    /// Worth a second look.
    Medium,
    /// Must be accepted by name before it is applied.
    High,
}

impl Severity {
    /// As it is written.
    pub fn name(self) -> &'static str {
        match self {
            Severity::Low => "low",
            Severity::Medium => "medium",
            Severity::High => "high",
        }
    }
}

/// Figures of the four rules, the same for all pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// After so long from being told of a drain nothing new may reach the endpoint.
    #[serde(with = "micros")]
    pub drain_grace: Duration,
    /// A newly started endpoint has this part of its capacity, `0.01..=1` ...
    pub cold_share: f64,
    /// ... and all of it after so long. Zero: endpoints are never cold.
    #[serde(with = "micros")]
    pub warm_within: Duration,
    /// A cold endpoint sent more than this multiple of its capacity falls over, `>= 1`.
    pub fall_multiple: f64,
    /// Part of the requests in flight that may be repeats, `0..=1`.
    pub retry_budget: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace: Duration::from_secs(2),
            cold_share: 0.25,
            warm_within: Duration::from_secs(30),
            fall_multiple: 2.0,
            retry_budget: 0.2,
        }
    }
}

/// Distances between zones: from, to, steps. What is not said is the farthest.
pub type Zones = BTreeMap<String, BTreeMap<String, u32>>;

/// Endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Where its endpoints come from.
    pub source: Source,
    /// Zones near the proxy are used first, farther ones when these fail.
    pub nearest_first: bool,
    /// A connection not up after this long has failed.
    #[serde(with = "micros")]
    pub connect_timeout: Duration,
    /// Connections that one proxy may hold to the pool.
    pub max_connections: u32,
    /// Requests that one proxy may have in flight at the pool.
    pub max_requests: u32,
    /// Requests that one proxy may have waiting for a connection.
    pub max_pending: u32,
    /// A whole list that takes away more than this part of the endpoints at once is doubted first, `0..=1`.
    /// One: never doubted.
    pub panic_threshold: f64,
    /// A doubted list that still stands after this long is believed.
    #[serde(with = "micros")]
    pub panic_hold: Duration,
}

/// Where a pool's endpoints come from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// They are written down, by name.
    Static(BTreeMap<String, Endpoint>),
    /// The platform's discovery, asked at this address.
    Platform(SocketAddr),
}

/// An endpoint as written down.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone; empty where there are none.
    pub zone: String,
    /// Its size against others; one is the usual. `> 0`, `<= 1000`.
    pub weight: f64,
    /// Its standing.
    pub state: EndpointState,
    /// When its process last started, Unix time in milliseconds; 0 for long ago.
    pub started_ms: u64,
}

/// An endpoint's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// May be sent to.
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// What a repeat may do.
    pub semantics: Semantics,
    /// Answers within this time are worth the most.
    #[serde(with = "micros")]
    pub objective: Duration,
    /// The time a client waits in all.
    #[serde(with = "micros")]
    pub deadline: Duration,
    /// Attempts that a request may have, the first included, `1..=10`.
    pub attempts: u32,
}

/// Whether a request may run again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Semantics {
    /// Any repeat is harmless.
    Safe,
    /// Endpoints of one group drop repeats for a while.
    Keyed {
        /// Which endpoints drop each other's repeats.
        #[serde(with = "group")]
        group: DedupScope,
        /// For how long, from the first send that may have run.
        #[serde(with = "micros")]
        window: Duration,
    },
    /// Must never run twice.
    Unsafe,
}

/// Where requests come in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listener {
    /// The address a proxy listens on; none for gRPC clients alone.
    pub address: Option<SocketAddr>,
    /// Proxyless gRPC clients find it as `xds:///NAME`.
    pub api: bool,
    /// Its routes: of those whose host and prefix match, the first counts.
    pub routes: Vec<Route>,
}

/// Requests of some hosts and paths, their class and where they go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, unique in the listener.
    pub name: String,
    /// Hosts, each `name`, `*.suffix`, `prefix.*` or `*`.
    pub hosts: Vec<String>,
    /// Paths that begin with this.
    pub prefix: String,
    /// Their class.
    pub class: String,
    /// The pools they go to.
    pub to: Vec<WeightedPool>,
}

/// A pool and its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedPool {
    /// The pool.
    pub pool: String,
    /// Its part, over the sum of the route's.
    pub weight: u32,
}

impl Fleet {
    /// The one serialised form: JSON without white space, maps in the order of their keys, times in microseconds.
    pub fn to_canonical_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // fails only for maps with keys that are no text
    }

    /// SHA-256 of the canonical form, in hex.
    pub fn hash(&self) -> String {
        let digest = Sha256::digest(self.to_canonical_json());
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads the canonical form and checks the whole: what is wrong with it, or the fleet.
    pub fn from_canonical_json(text: &str) -> Result<Fleet, String> {
        let fleet: Fleet = serde_json::from_str(text).map_err(|e| e.to_string())?;
        match fleet.validation_errors().first() {
            Some(error) => Err(error.to_string()),
            None => Ok(fleet),
        }
    }
}

mod micros {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    pub fn serialize<S: Serializer>(time: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }

    pub fn deserialize<'d, D: Deserializer<'d>>(from: D) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_micros)
    }
}

mod group {
    use runtrack_balancer::DedupScope;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(group: &DedupScope, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(super::group_name(*group))
    }

    pub fn deserialize<'d, D: Deserializer<'d>>(from: D) -> Result<DedupScope, D::Error> {
        let text = String::deserialize(from)?;
        super::group_named(&text).ok_or_else(|| D::Error::custom(format!("no group `{text}`")))
    }
}

fn group_name(group: DedupScope) -> &'static str {
    match group {
        DedupScope::All => "all",
        DedupScope::Zone => "zone",
        DedupScope::Cell => "cell",
    }
}

pub(crate) fn group_named(name: &str) -> Option<DedupScope> {
    [DedupScope::All, DedupScope::Zone, DedupScope::Cell]
        .into_iter()
        .find(|&group| group_name(group) == name)
}
