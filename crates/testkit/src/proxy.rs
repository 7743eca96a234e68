//! A proxy: follows xDS on one aggregated stream, acknowledges, reconnects with what it holds, and sends requests.

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

/// How a proxy connects.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// The control service.
    pub control: SocketAddr,
    /// The node's id.
    pub id: String,
    /// The node's zone.
    pub zone: String,
    /// Incremental or state-of-the-world.
    pub incremental: bool,
}

/// What a proxy holds.
#[derive(Clone, Debug, Default)]
pub struct ProxyState {
    /// Versions of resources by type URL and name.
    pub versions: BTreeMap<String, BTreeMap<String, String>>,
    /// Endpoints by pool: address, weight, whether new requests may go there, priority.
    pub endpoints: BTreeMap<String, Vec<(SocketAddr, u32, bool, u32)>>,
    /// Responses taken.
    pub responses: u64,
    /// Bytes of resources taken.
    pub bytes: u64,
    /// Streams opened.
    pub streams: u64,
    /// When the last response came.
    pub last: Option<Instant>,
    /// When a request was sent to an address last.
    pub sent: BTreeMap<SocketAddr, Instant>,
    /// What was received: when, the type URL, the version of the whole, the clusters held then.
    pub received: Vec<ReceivedResponse>,
}

/// A response as a proxy took it.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// When.
    pub at: Instant,
    /// The type URL.
    pub kind: String,
    /// The version of the whole.
    pub version: String,
    /// Names of the clusters that it held afterwards.
    pub clusters: Vec<String>,
}

impl ProxyState {
    /// Where new requests to a pool may go.
    pub fn ready(&self, pool: &str) -> Vec<SocketAddr> {
        let all = self.endpoints.get(pool).into_iter().flatten();
        all.filter(|(_, _, ready, _)| *ready).map(|(address, ..)| *address).collect()
    }
}

/// A stand-in proxy; ends with its holder.
pub struct Proxy {
    state: Arc<Mutex<ProxyState>>,
    _tasks: JoinSet<()>,
}

impl Proxy {
    /// Starts one.
    pub fn start(to: ProxyConfig) -> Proxy {
        let state = Arc::new(Mutex::new(ProxyState::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn(follow(to, state.clone()));
        Proxy { state, _tasks: tasks }
    }

    /// What it holds now.
    pub fn state(&self) -> ProxyState {
        self.state.lock().expect("unpoisoned").clone()
    }

    /// Looks at what it holds.
    pub fn with<T>(&self, look: impl FnOnce(&ProxyState) -> T) -> T {
        look(&self.state.lock().expect("unpoisoned"))
    }

    /// Sends requests to a pool without pause over so many connections, choosing like a proxy would: of two at
    /// random the one with fewer in flight, anew for each request from what the proxy then holds.
    pub fn send_continuously(&mut self, pool: &str, lanes: u64) {
        self.send(pool, lanes, Duration::ZERO);
    }

    /// The same, with a pause after each request of a connection.
    pub fn send(&mut self, pool: &str, lanes: u64, pause: Duration) {
        let flights: Arc<Mutex<BTreeMap<SocketAddr, u32>>> = Arc::default();
        for lane in 0..lanes {
            let (state, flights, pool) = (self.state.clone(), flights.clone(), pool.to_owned());
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
                        let mut flights = flights.lock().expect("unpoisoned");
                        let load = |at: &SocketAddr| flights.get(at).copied().unwrap_or(0);
                        let to = if load(&b) < load(&a) { b } else { a };
                        *flights.entry(to).or_default() += 1;
                        to
                    };
                    state.lock().expect("unpoisoned").sent.insert(to, Instant::now());
                    let kept = connections.remove(&to);
                    if let Some(kept) = ask(kept, to).await {
                        connections.insert(to, kept);
                    }
                    if let Some(count) = flights.lock().expect("unpoisoned").get_mut(&to) {
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

async fn ask(kept: Option<TcpStream>, to: SocketAddr) -> Option<TcpStream> {
    let mut stream = match kept {
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

async fn follow(to: ProxyConfig, state: Arc<Mutex<ProxyState>>) {
    let endpoint = Endpoint::from_shared(format!("http://{}", to.control)).expect("an address is a URL");
    let endpoint = endpoint.tcp_nodelay(true);
    loop {
        if let Ok(channel) = endpoint.connect().await {
            let client =
                AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(256 << 20);
            state.lock().expect("unpoisoned").streams += 1;
            let _ended: Result<(), Status> = match to.incremental {
                true => incremental(client, &to, &state).await,
                false => whole(client, &to, &state).await,
            };
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

type Client = AggregatedDiscoveryServiceClient<tonic::transport::Channel>;

/// What a proxy asks for, in the order in which it learns that it needs it.
const TYPES: [&str; 4] = ["cds", "lds", "eds", "rds"];

async fn incremental(
    mut client: Client,
    to: &ProxyConfig,
    state: &Mutex<ProxyState>,
) -> Result<(), Status> {
    let (requests, sent) = mpsc::unbounded_channel();
    let send = |request: DeltaDiscoveryRequest| drop(requests.send(request));
    for short in TYPES {
        let held = state.lock().expect("unpoisoned").versions.get(url(short)).cloned().unwrap_or_default();
        let by_name = ["eds", "rds"].contains(&short);
        if by_name && held.is_empty() {
            continue;
        }
        send(DeltaDiscoveryRequest {
            node: node(&to.id, &to.zone),
            type_url: url(short).to_owned(),
            resource_names_subscribe: if by_name { held.keys().cloned().collect() } else { Vec::new() },
            initial_resource_versions: held.into_iter().collect(),
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
            state.begin();
            for resource in response.resources {
                let value = resource.resource.map(|any| any.value).unwrap_or_default();
                state.bytes += value.len() as u64;
                state.take(&kind, &resource.name, resource.version, &value);
                let refers =
                    if kind == url("cds") { Some("eds") } else { (kind == url("lds")).then_some("rds") };
                if let Some(refers) = refers {
                    let name = resource.name.split('@').next().unwrap_or_default().to_owned();
                    if !state.versions.get(url(refers)).is_some_and(|held| held.contains_key(&name)) {
                        subscribe.push((refers, name));
                    }
                }
            }
            for name in response.removed_resources {
                state.lose(&kind, &name);
            }
            state.note(&kind, &response.system_version_info);
        }
        send(DeltaDiscoveryRequest {
            type_url: kind,
            response_nonce: response.nonce,
            ..Default::default()
        });
        for refers in ["eds", "rds"] {
            let names: Vec<String> =
                subscribe.iter().filter(|(to, _)| *to == refers).map(|(_, name)| name.clone()).collect();
            if !names.is_empty() {
                send(DeltaDiscoveryRequest {
                    type_url: url(refers).to_owned(),
                    resource_names_subscribe: names,
                    ..Default::default()
                });
            }
        }
    }
    Ok(())
}

async fn whole(mut client: Client, to: &ProxyConfig, state: &Mutex<ProxyState>) -> Result<(), Status> {
    let (requests, sent) = mpsc::unbounded_channel();
    let send = |request: DiscoveryRequest| drop(requests.send(request));
    let mut versions: BTreeMap<String, (String, String)> = BTreeMap::new();
    // On a new stream a proxy says what it holds: the protocol's only word against going back.
    let held = |short: &str| {
        let state = state.lock().expect("unpoisoned");
        state.received.iter().rev().find(|told| told.kind == url(short)).map(|told| told.version.clone())
    };
    for short in ["cds", "lds"] {
        send(DiscoveryRequest {
            node: node(&to.id, &to.zone),
            type_url: url(short).to_owned(),
            version_info: held(short).unwrap_or_default(),
            ..Default::default()
        });
    }
    let mut asked: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for short in ["eds", "rds"] {
        // What it holds it goes on following, whether or not it is told anew of what refers to it.
        let names: Vec<String> = {
            let state = state.lock().expect("unpoisoned");
            state.versions.get(url(short)).into_iter().flatten().map(|(name, _)| name.clone()).collect()
        };
        if !names.is_empty() {
            send(DiscoveryRequest {
                type_url: url(short).to_owned(),
                resource_names: names.clone(),
                version_info: held(short).unwrap_or_default(),
                ..Default::default()
            });
            asked.insert(short, names);
        }
    }
    let mut responses =
        client.stream_aggregated_resources(UnboundedReceiverStream::new(sent)).await?.into_inner();
    while let Some(response) = responses.message().await? {
        let kind = response.type_url.clone();
        let mut names = Vec::new();
        {
            let mut state = state.lock().expect("unpoisoned");
            state.begin();
            for any in &response.resources {
                state.bytes += any.value.len() as u64;
                let name = first_field(&any.value);
                state.take(&kind, &name, response.version_info.clone(), &any.value);
                names.push(name);
            }
            if kind == url("cds") || kind == url("lds") {
                let held: Vec<String> =
                    state.versions.get(&kind).into_iter().flatten().map(|(n, _)| n.clone()).collect();
                for gone in held.iter().filter(|name| !names.contains(name)) {
                    state.lose(&kind, gone);
                }
            }
            state.note(&kind, &response.version_info);
        }
        versions.insert(kind.clone(), (response.version_info.clone(), response.nonce.clone()));
        let refers = [("cds", "eds"), ("lds", "rds")].into_iter().find(|(from, _)| kind == url(from));
        let by_name = ["eds", "rds"].into_iter().find(|short| kind == url(short));
        send(DiscoveryRequest {
            version_info: response.version_info,
            response_nonce: response.nonce,
            type_url: kind,
            resource_names: by_name.and_then(|short| asked.get(short).cloned()).unwrap_or_default(),
            ..Default::default()
        });
        if let Some((_, refers)) = refers {
            let mut wanted: Vec<String> =
                names.iter().map(|name| name.split('@').next().unwrap_or_default().to_owned()).collect();
            wanted.sort();
            wanted.dedup();
            if asked.get(refers) != Some(&wanted) {
                let known = versions.get(url(refers)).cloned();
                let (version_info, response_nonce) =
                    known.unwrap_or_else(|| (held(refers).unwrap_or_default(), String::new()));
                send(DiscoveryRequest {
                    version_info,
                    response_nonce,
                    type_url: url(refers).to_owned(),
                    resource_names: wanted.clone(),
                    ..Default::default()
                });
                asked.insert(refers, wanted);
            }
        }
    }
    Ok(())
}

/// The name of a resource: field 1 of all four types.
fn first_field(value: &[u8]) -> String {
    match value {
        [0x0a, len, rest @ ..] if rest.len() >= usize::from(*len) => {
            String::from_utf8_lossy(&rest[..usize::from(*len)]).into_owned()
        }
        _ => panic!("a resource without a name"),
    }
}

impl ProxyState {
    fn begin(&mut self) {
        self.responses += 1;
        self.last = Some(Instant::now());
    }

    fn note(&mut self, kind: &str, version: &str) {
        let clusters =
            self.versions.get(url("cds")).into_iter().flatten().map(|(name, _)| name.clone()).collect();
        let (kind, version) = (kind.to_owned(), version.to_owned());
        self.received.push(ReceivedResponse { at: Instant::now(), kind, version, clusters });
    }

    fn take(&mut self, kind: &str, name: &str, version: String, value: &[u8]) {
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

    fn lose(&mut self, kind: &str, name: &str) {
        if let Some(held) = self.versions.get_mut(kind) {
            held.remove(name);
        }
        if kind == url("eds") {
            self.endpoints.remove(name);
        }
    }
}
