//! A simulated proxy: it follows xDS on one aggregated stream, acknowledges responses, reconnects with its known
//! resource versions, and sends requests to endpoints.

use crate::scripted::{node, url};
use envoy_types::pb::envoy::config::core::v3::{HealthStatus, address, socket_address};
use envoy_types::pb::envoy::config::endpoint::v3::{ClusterLoadAssignment, lb_endpoint};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use prost::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::Status;
use tonic::transport::Endpoint;

/// Settings of a simulated proxy.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Address of the control service.
    pub control: SocketAddr,
    /// Node id.
    pub id: String,
    /// Zone of the node.
    pub zone: String,
    /// Whether to use incremental instead of state-of-the-world xDS.
    pub incremental: bool,
}

/// State of a simulated proxy.
#[derive(Clone, Debug, Default)]
pub struct ProxyState {
    /// Versions of resources by type URL and name.
    pub versions: BTreeMap<String, BTreeMap<String, String>>,
    /// Endpoints by pool: address, weight, whether new requests may be sent to it, priority.
    pub endpoints: BTreeMap<String, Vec<(SocketAddr, u32, bool, u32)>>,
    /// Number of responses received.
    pub responses: u64,
    /// Bytes of resources received.
    pub bytes: u64,
    /// Number of streams opened.
    pub streams: u64,
    /// Time of the last response.
    pub last: Option<Instant>,
    /// Time of the last request to each address.
    pub sent: BTreeMap<SocketAddr, Instant>,
    /// All responses received.
    pub received: Vec<ReceivedResponse>,
}

/// A response that a proxy received.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// Time of the response.
    pub at: Instant,
    /// Type URL.
    pub kind: String,
    /// Version of the response as a whole.
    pub version: String,
    /// Names of the clusters after the response.
    pub clusters: Vec<String>,
}

impl ProxyState {
    /// Endpoints of a pool that accept new requests.
    pub fn ready(&self, pool: &str) -> Vec<SocketAddr> {
        let all = self.endpoints.get(pool).into_iter().flatten();
        all.filter(|(_, _, ready, _)| *ready).map(|(address, ..)| *address).collect()
    }
}

/// A simulated proxy; stops when dropped.
pub struct Proxy {
    state: Arc<Mutex<ProxyState>>,
    _tasks: JoinSet<()>,
}

impl Proxy {
    /// Starts a proxy.
    pub fn start(to: ProxyConfig) -> Proxy {
        let state = Arc::new(Mutex::new(ProxyState::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn(run_streams(to, state.clone()));
        Proxy { state, _tasks: tasks }
    }

    /// Copy of the current state.
    pub fn state(&self) -> ProxyState {
        self.state.lock().expect("unpoisoned").clone()
    }

    /// Applies a function to the current state.
    pub fn with<T>(&self, look: impl FnOnce(&ProxyState) -> T) -> T {
        look(&self.state.lock().expect("unpoisoned"))
    }

    /// Sends requests to a pool on so many concurrent lanes without a pause. Each request goes to the endpoint with
    /// fewer requests in flight of two that are drawn at random from the currently ready ones.
    pub fn send_continuously(&mut self, pool: &str, lanes: u64) {
        self.send(pool, lanes, Duration::ZERO);
    }

    /// Like [`Proxy::send_continuously`], with a pause after each request of a lane.
    pub fn send(&mut self, pool: &str, lanes: u64, pause: Duration) {
        let in_flight: Arc<Mutex<BTreeMap<SocketAddr, u32>>> = Arc::default();
        for lane in 0..lanes {
            let (state, in_flight, pool) = (self.state.clone(), in_flight.clone(), pool.to_owned());
            self._tasks.spawn(async move {
                let mut draw = lane.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
                let mut connections: BTreeMap<SocketAddr, TcpStream> = BTreeMap::new();
                loop {
                    let ready = state.lock().expect("unpoisoned").ready(&pool);
                    if ready.is_empty() {
                        tokio::time::sleep(Duration::from_millis(1)).await;
                        continue;
                    }
                    let mut next = || {
                        draw ^= draw << 13;
                        draw ^= draw >> 7;
                        draw ^= draw << 17;
                        ready[(draw % ready.len() as u64) as usize]
                    };
                    let (a, b) = (next(), next());
                    let to = {
                        let mut in_flight = in_flight.lock().expect("unpoisoned");
                        let load = |at: &SocketAddr| in_flight.get(at).copied().unwrap_or(0);
                        let to = if load(&b) < load(&a) { b } else { a };
                        *in_flight.entry(to).or_default() += 1;
                        to
                    };
                    state.lock().expect("unpoisoned").sent.insert(to, Instant::now());
                    let idle = connections.remove(&to);
                    if let Some(idle) = send_request(idle, to).await {
                        connections.insert(to, idle);
                    }
                    if let Some(count) = in_flight.lock().expect("unpoisoned").get_mut(&to) {
                        *count -= 1;
                    }
                    if !pause.is_zero() {
                        tokio::time::sleep(pause).await;
                    }
                }
            });
        }
    }
}

async fn send_request(idle: Option<TcpStream>, to: SocketAddr) -> Option<TcpStream> {
    let mut stream = match idle {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(to).await.ok()?;
            stream.set_nodelay(true).ok()?;
            stream
        }
    };
    stream.write_all(b"a").await.ok()?;
    let mut answer = [0; 1];
    stream.read_exact(&mut answer).await.ok()?;
    Some(stream)
}

async fn run_streams(to: ProxyConfig, state: Arc<Mutex<ProxyState>>) {
    let endpoint = Endpoint::from_shared(format!("http://{}", to.control)).expect("an address is a URL");
    let endpoint = endpoint.tcp_nodelay(true);
    loop {
        if let Ok(channel) = endpoint.connect().await {
            let client =
                AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(256 << 20);
            state.lock().expect("unpoisoned").streams += 1;
            let _ended: Result<(), Status> = match to.incremental {
                true => follow_incremental(client, &to, &state).await,
                false => follow_state_of_the_world(client, &to, &state).await,
            };
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

type Client = AggregatedDiscoveryServiceClient<tonic::transport::Channel>;

/// Short names of the resource types, in the order in which they are requested.
const TYPES: [&str; 4] = ["cds", "lds", "eds", "rds"];

async fn follow_incremental(
    mut client: Client,
    to: &ProxyConfig,
    state: &Mutex<ProxyState>,
) -> Result<(), Status> {
    let (requests, sent) = mpsc::unbounded_channel();
    let send = |request: DeltaDiscoveryRequest| drop(requests.send(request));
    for short in TYPES {
        let known = state.lock().expect("unpoisoned").versions.get(url(short)).cloned().unwrap_or_default();
        let by_name = ["eds", "rds"].contains(&short);
        if by_name && known.is_empty() {
            continue;
        }
        send(DeltaDiscoveryRequest {
            node: node(&to.id, &to.zone),
            type_url: url(short).to_owned(),
            resource_names_subscribe: if by_name { known.keys().cloned().collect() } else { Vec::new() },
            initial_resource_versions: known.into_iter().collect(),
            ..Default::default()
        });
    }
    let mut responses =
        client.delta_aggregated_resources(UnboundedReceiverStream::new(sent)).await?.into_inner();
    while let Some(response) = responses.message().await? {
        let kind = response.type_url.clone();
        let mut subscribe = Vec::new();
        {
            let mut state = state.lock().expect("unpoisoned");
            state.count_response();
            for resource in response.resources {
                let value = resource.resource.map(|any| any.value).unwrap_or_default();
                state.bytes += value.len() as u64;
                state.store_resource(&kind, &resource.name, resource.version, &value);
                let dependent =
                    if kind == url("cds") { Some("eds") } else { (kind == url("lds")).then_some("rds") };
                if let Some(dependent) = dependent {
                    let name = resource.name.split('@').next().unwrap_or_default().to_owned();
                    if !state.versions.get(url(dependent)).is_some_and(|known| known.contains_key(&name)) {
                        subscribe.push((dependent, name));
                    }
                }
            }
            for name in response.removed_resources {
                state.remove_resource(&kind, &name);
            }
            state.record_response(&kind, &response.system_version_info);
        }
        send(DeltaDiscoveryRequest {
            type_url: kind,
            response_nonce: response.nonce,
            ..Default::default()
        });
        for dependent in ["eds", "rds"] {
            let names: Vec<String> =
                subscribe.iter().filter(|(to, _)| *to == dependent).map(|(_, name)| name.clone()).collect();
            if !names.is_empty() {
                send(DeltaDiscoveryRequest {
                    type_url: url(dependent).to_owned(),
                    resource_names_subscribe: names,
                    ..Default::default()
                });
            }
        }
    }
    Ok(())
}

async fn follow_state_of_the_world(
    mut client: Client,
    to: &ProxyConfig,
    state: &Mutex<ProxyState>,
) -> Result<(), Status> {
    let (requests, sent) = mpsc::unbounded_channel();
    let send = |request: DiscoveryRequest| drop(requests.send(request));
    let mut versions: BTreeMap<String, (String, String)> = BTreeMap::new();
    // On a new stream the proxy sends its last version, the only protection in the protocol against a regression.
    let last_version = |short: &str| {
        let state = state.lock().expect("unpoisoned");
        state
            .received
            .iter()
            .rev()
            .find(|response| response.kind == url(short))
            .map(|response| response.version.clone())
    };
    for short in ["cds", "lds"] {
        send(DiscoveryRequest {
            node: node(&to.id, &to.zone),
            type_url: url(short).to_owned(),
            version_info: last_version(short).unwrap_or_default(),
            ..Default::default()
        });
    }
    let mut subscribed: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for short in ["eds", "rds"] {
        // The subscription to known resources continues, whether or not the resources that refer to them are sent
        // again.
        let names: Vec<String> = {
            let state = state.lock().expect("unpoisoned");
            state.versions.get(url(short)).into_iter().flatten().map(|(name, _)| name.clone()).collect()
        };
        if !names.is_empty() {
            send(DiscoveryRequest {
                type_url: url(short).to_owned(),
                resource_names: names.clone(),
                version_info: last_version(short).unwrap_or_default(),
                ..Default::default()
            });
            subscribed.insert(short, names);
        }
    }
    let mut responses =
        client.stream_aggregated_resources(UnboundedReceiverStream::new(sent)).await?.into_inner();
    while let Some(response) = responses.message().await? {
        let kind = response.type_url.clone();
        let mut names = Vec::new();
        {
            let mut state = state.lock().expect("unpoisoned");
            state.count_response();
            for any in &response.resources {
                state.bytes += any.value.len() as u64;
                let name = resource_name(&any.value);
                state.store_resource(&kind, &name, response.version_info.clone(), &any.value);
                names.push(name);
            }
            if kind == url("cds") || kind == url("lds") {
                let known: Vec<String> =
                    state.versions.get(&kind).into_iter().flatten().map(|(n, _)| n.clone()).collect();
                for gone in known.iter().filter(|name| !names.contains(name)) {
                    state.remove_resource(&kind, gone);
                }
            }
            state.record_response(&kind, &response.version_info);
        }
        versions.insert(kind.clone(), (response.version_info.clone(), response.nonce.clone()));
        let dependent = [("cds", "eds"), ("lds", "rds")].into_iter().find(|(from, _)| kind == url(from));
        let by_name = ["eds", "rds"].into_iter().find(|short| kind == url(short));
        send(DiscoveryRequest {
            version_info: response.version_info,
            response_nonce: response.nonce,
            type_url: kind,
            resource_names: by_name.and_then(|short| subscribed.get(short).cloned()).unwrap_or_default(),
            ..Default::default()
        });
        if let Some((_, dependent)) = dependent {
            let mut wanted: Vec<String> =
                names.iter().map(|name| name.split('@').next().unwrap_or_default().to_owned()).collect();
            wanted.sort();
            wanted.dedup();
            if subscribed.get(dependent) != Some(&wanted) {
                let known = versions.get(url(dependent)).cloned();
                let (version_info, response_nonce) =
                    known.unwrap_or_else(|| (last_version(dependent).unwrap_or_default(), String::new()));
                send(DiscoveryRequest {
                    version_info,
                    response_nonce,
                    type_url: url(dependent).to_owned(),
                    resource_names: wanted.clone(),
                    ..Default::default()
                });
                subscribed.insert(dependent, wanted);
            }
        }
    }
    Ok(())
}

/// Name of a resource, which is field 1 in all four types.
fn resource_name(value: &[u8]) -> String {
    match value {
        [0x0a, len, rest @ ..] if rest.len() >= usize::from(*len) => {
            String::from_utf8_lossy(&rest[..usize::from(*len)]).into_owned()
        }
        _ => panic!("resource without a name"),
    }
}

impl ProxyState {
    fn count_response(&mut self) {
        self.responses += 1;
        self.last = Some(Instant::now());
    }

    fn record_response(&mut self, kind: &str, version: &str) {
        let clusters =
            self.versions.get(url("cds")).into_iter().flatten().map(|(name, _)| name.clone()).collect();
        let (kind, version) = (kind.to_owned(), version.to_owned());
        self.received.push(ReceivedResponse { at: Instant::now(), kind, version, clusters });
    }

    fn store_resource(&mut self, kind: &str, name: &str, version: String, value: &[u8]) {
        self.versions.entry(kind.to_owned()).or_default().insert(name.to_owned(), version);
        if kind != url("eds") {
            return;
        }
        let assignment = ClusterLoadAssignment::decode(value).expect("a resource of its type");
        let mut endpoints = Vec::new();
        for locality in assignment.endpoints {
            for e in locality.lb_endpoints {
                let Some(lb_endpoint::HostIdentifier::Endpoint(at)) = e.host_identifier else { continue };
                let Some(address::Address::SocketAddress(at)) = at.address.and_then(|a| a.address) else {
                    continue;
                };
                let Some(socket_address::PortSpecifier::PortValue(port)) = at.port_specifier else {
                    continue;
                };
                let at = SocketAddr::new(at.address.parse().expect("an IP address"), port as u16);
                let ready = e.health_status == HealthStatus::Healthy as i32;
                let weight = e.load_balancing_weight.map_or(0, |w| w.value);
                endpoints.push((at, weight, ready, locality.priority));
            }
        }
        self.endpoints.insert(name.to_owned(), endpoints);
    }

    fn remove_resource(&mut self, kind: &str, name: &str) {
        if let Some(known) = self.versions.get_mut(kind) {
            known.remove(name);
        }
        if kind == url("eds") {
            self.endpoints.remove(name);
        }
    }
}
