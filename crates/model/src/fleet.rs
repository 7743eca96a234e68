//! Types of the configuration and their canonical JSON form.

use runtrack_balancer::DedupScope;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A complete fleet configuration: the desired state of the control service.
///
/// Equal fleets have equal [canonical forms](Fleet::to_canonical_json) and [hashes](Fleet::hash), whatever the order,
/// comments and notation of the files they were read from. Only the order of routes is significant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Parameters of the four load balancing rules.
    pub rules: Rules,
    /// Distances between zones; may be empty.
    pub zones: Zones,
    /// Request classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Pools by name. A pool is a cluster in xDS.
    pub pools: BTreeMap<String, Pool>,
    /// Listeners by name.
    pub listeners: BTreeMap<String, Listener>,
    /// Minimum severity of a kind of risk in this fleet, by kind.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub risks: BTreeMap<String, Severity>,
}

/// Severity of a risk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// For information.
    Low,
    /// Should be reviewed.
    Medium,
    /// Must be accepted explicitly before the change is applied.
    High,
}

impl Severity {
    /// The name used in files and output.
    pub fn name(self) -> &'static str {
        match self {
            Severity::Low => "low",
            Severity::Medium => "medium",
            Severity::High => "high",
        }
    }
}

/// Parameters of the four load balancing rules, the same for all pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Time after the announcement of a drain from which no new request may reach the endpoint.
    #[serde(with = "micros")]
    pub drain_grace: Duration,
    /// Fraction of its capacity that a newly started endpoint has, `0.01..=1`.
    pub cold_share: f64,
    /// Time after which a started endpoint has its full capacity. Zero disables the warm-up.
    #[serde(with = "micros")]
    pub warm_within: Duration,
    /// Multiple of its current capacity at which a cold endpoint fails, `>= 1`.
    pub fall_multiple: f64,
    /// Maximum fraction of the requests in flight that may be retries, `0..=1`.
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

/// Distances between zones, by source and destination zone. A missing pair has the greatest distance.
pub type Zones = BTreeMap<String, BTreeMap<String, u32>>;

/// A set of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Source of the endpoints.
    pub source: Source,
    /// Whether zones near the proxy are preferred and farther ones used for failover only.
    pub nearest_first: bool,
    /// Timeout for establishing a connection.
    #[serde(with = "micros")]
    pub connect_timeout: Duration,
    /// Maximum connections of one proxy to the pool.
    pub max_connections: u32,
    /// Maximum requests in flight from one proxy to the pool.
    pub max_requests: u32,
    /// Maximum requests of one proxy that wait for a connection.
    pub max_pending: u32,
    /// A full list from discovery that removes more than this fraction of the endpoints at once is held back,
    /// `0..=1`. One: lists are never held back.
    pub panic_threshold: f64,
    /// Time after which a list that is held back and still current is applied.
    #[serde(with = "micros")]
    pub panic_hold: Duration,
}

/// Source of the endpoints of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Endpoints listed in the configuration, by name.
    Static(BTreeMap<String, Endpoint>),
    /// The platform's discovery service at this address.
    Platform(SocketAddr),
}

/// An endpoint listed in the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Address it listens on.
    pub address: SocketAddr,
    /// Zone; empty if none is configured.
    pub zone: String,
    /// Capacity relative to other endpoints; 1 by default. `> 0`, `<= 1000`.
    pub weight: f64,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Start of its process in Unix milliseconds; 0: long ago.
    pub started_ms: u64,
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Accepts new requests.
    Ready,
    /// Finishes the requests it has and must not be sent new ones.
    Draining,
}

/// A request class: retry semantics and time limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Whether requests may be executed again.
    pub semantics: Semantics,
    /// Latency objective.
    #[serde(with = "micros")]
    pub objective: Duration,
    /// Total time a client waits, over all attempts.
    #[serde(with = "micros")]
    pub deadline: Duration,
    /// Maximum attempts per request, including the first, `1..=10`.
    pub attempts: u32,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Semantics {
    /// The request is idempotent.
    Safe,
    /// Endpoints of one deduplication group discard duplicates within a time window.
    Keyed {
        /// Scope of the deduplication.
        #[serde(with = "group")]
        group: DedupScope,
        /// Length of the window, from the first attempt that may have been executed.
        #[serde(with = "micros")]
        window: Duration,
    },
    /// The request must not be executed twice.
    Unsafe,
}

/// Entry point for requests: an address, a name for proxyless gRPC clients, or both.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listener {
    /// Address that proxies listen on; `None` if the listener is for proxyless gRPC clients only.
    pub address: Option<SocketAddr>,
    /// Whether proxyless gRPC clients can use it as `xds:///NAME`.
    pub api: bool,
    /// Routes; the first one whose host and prefix match applies.
    pub routes: Vec<Route>,
}

/// A match on hosts and a path prefix, with the request class and the destination pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in the listener.
    pub name: String,
    /// Hosts to match, each `name`, `*.suffix`, `prefix.*` or `*`.
    pub hosts: Vec<String>,
    /// Path prefix to match.
    pub prefix: String,
    /// Name of the request class.
    pub class: String,
    /// Destination pools.
    pub to: Vec<WeightedPool>,
}

/// A destination pool and its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedPool {
    /// Name of the pool.
    pub pool: String,
    /// Weight relative to the sum over the route's pools.
    pub weight: u32,
}

impl Fleet {
    /// The canonical form: JSON without white space, maps sorted by key, durations in microseconds.
    pub fn to_canonical_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // fails only for maps with keys that are not strings
    }

    /// SHA-256 of the canonical form in hexadecimal.
    pub fn hash(&self) -> String {
        let digest = Sha256::digest(self.to_canonical_json());
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads and validates the canonical form. The error describes the first problem.
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
        super::group_from_name(&text).ok_or_else(|| D::Error::custom(format!("no group `{text}`")))
    }
}

fn group_name(group: DedupScope) -> &'static str {
    match group {
        DedupScope::All => "all",
        DedupScope::Zone => "zone",
        DedupScope::Cell => "cell",
    }
}

pub(crate) fn group_from_name(name: &str) -> Option<DedupScope> {
    [DedupScope::All, DedupScope::Zone, DedupScope::Cell]
        .into_iter()
        .find(|&group| group_name(group) == name)
}
