//! gRPC discovery services, which run a [`Session`] per stream.

use crate::hub::{Hub, MAX_NODE_NAME_BYTES, ServedVersion, StreamInfo, rollout_bucket};
use crate::message::{ControlPlaneOut, DeltaOut, SotwOut};
use crate::rate_limit::TokenBucket;
use crate::resource_type::ResourceType;
use crate::session::{Request, Response, Session, SessionError};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use std::convert::Infallible;
use std::future::Future;
use std::marker::PhantomData;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::body::Body;
use tonic::server::{Grpc, NamedService, StreamingService};
use tonic::{Status, Streaming};
use tonic_prost::ProstCodec;
use tower_service::Service;

/// Interval at which pending removals are checked again.
const REMOVAL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

type Pinned<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A discovery service for all resource types (aggregated) or for one.
#[derive(Clone)]
pub struct Discovery<S> {
    hub: Arc<Hub>,
    of: PhantomData<fn() -> S>,
}

/// Name and resource type of a discovery service.
pub trait ServiceType: 'static {
    /// Full gRPC service name.
    const NAME: &'static str;
    /// The resource type served; `None`: all.
    const RESOURCE_TYPE: Option<ResourceType>;
}

macro_rules! services {
    ($($(#[$doc:meta])* $service:ident $name:literal $only:expr;)*) => { $(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug)]
        pub enum $service {}

        impl ServiceType for $service {
            const NAME: &'static str = $name;
            const RESOURCE_TYPE: Option<ResourceType> = $only;
        }
    )* };
}

services! {
    /// ADS: all types on one stream, in make-before-break order.
    Aggregated "envoy.service.discovery.v3.AggregatedDiscoveryService" None;
    /// CDS.
    Clusters "envoy.service.cluster.v3.ClusterDiscoveryService" Some(ResourceType::Cluster);
    /// EDS.
    Endpoints "envoy.service.endpoint.v3.EndpointDiscoveryService" Some(ResourceType::Endpoint);
    /// LDS.
    Listeners "envoy.service.listener.v3.ListenerDiscoveryService" Some(ResourceType::Listener);
    /// RDS.
    Routes "envoy.service.route.v3.RouteDiscoveryService" Some(ResourceType::Route);
}

impl<S: ServiceType> Discovery<S> {
    /// Serves the resources of the hub.
    pub fn new(hub: Arc<Hub>) -> Self {
        Discovery { hub, of: PhantomData }
    }
}

impl<S: ServiceType> NamedService for Discovery<S> {
    const NAME: &'static str = S::NAME;
}

impl<S: ServiceType + Clone> Service<http::Request<Body>> for Discovery<S> {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = Pinned<Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let hub = self.hub.clone();
        let method = request.uri().path().rsplit('/').next().unwrap_or_default().to_owned();
        Box::pin(async move {
            let max_bytes = hub.settings.max_request_bytes;
            Ok(if method.starts_with("Delta") {
                let handler = Handler::<Incremental> { hub, only: S::RESOURCE_TYPE, variant: PhantomData };
                let codec = ProstCodec::<DeltaOut, DeltaDiscoveryRequest>::default();
                Grpc::new(codec).max_decoding_message_size(max_bytes).streaming(handler, request).await
            } else if method.starts_with("Stream") {
                let handler =
                    Handler::<StateOfTheWorld> { hub, only: S::RESOURCE_TYPE, variant: PhantomData };
                let codec = ProstCodec::<SotwOut, DiscoveryRequest>::default();
                Grpc::new(codec).max_decoding_message_size(max_bytes).streaming(handler, request).await
            } else {
                Status::unimplemented(format!("`{method}` is not served: use the streams")).into_http()
            })
        })
    }
}

/// A protocol variant: state-of-the-world or incremental.
trait Variant: Send + 'static {
    type In: Send + 'static;
    type Out: Send + 'static;
    const INCREMENTAL: bool;
    fn node(request: &mut Self::In) -> Option<Node>;
    fn request(request: Self::In) -> Request;
    fn response(response: Response, control_plane: ControlPlaneOut) -> Self::Out;
}

struct StateOfTheWorld;
struct Incremental;

impl Variant for StateOfTheWorld {
    type In = DiscoveryRequest;
    type Out = SotwOut;
    const INCREMENTAL: bool = false;

    fn node(request: &mut Self::In) -> Option<Node> {
        request.node.take()
    }

    fn request(request: Self::In) -> Request {
        Request {
            type_url: request.type_url,
            nonce: request.response_nonce,
            error: request.error_detail.map(|status| status.message),
            version: request.version_info,
            names: request.resource_names,
            ..Request::default()
        }
    }

    fn response(response: Response, control_plane: ControlPlaneOut) -> SotwOut {
        SotwOut {
            version_info: response.version,
            resources: response.resources,
            type_url: response.kind.url().to_owned(),
            nonce: response.nonce,
            control_plane: Some(control_plane),
        }
    }
}

impl Variant for Incremental {
    type In = DeltaDiscoveryRequest;
    type Out = DeltaOut;
    const INCREMENTAL: bool = true;

    fn node(request: &mut Self::In) -> Option<Node> {
        request.node.take()
    }

    fn request(request: Self::In) -> Request {
        Request {
            type_url: request.type_url,
            nonce: request.response_nonce,
            error: request.error_detail.map(|status| status.message),
            version: String::new(),
            names: request.resource_names_subscribe,
            unsubscribe: request.resource_names_unsubscribe,
            initial_versions: request.initial_resource_versions.into_iter().collect(),
        }
    }

    fn response(response: Response, control_plane: ControlPlaneOut) -> DeltaOut {
        DeltaOut {
            system_version_info: response.version,
            resources: response.resources,
            type_url: response.kind.url().to_owned(),
            nonce: response.nonce,
            removed_resources: response.removed,
            control_plane: Some(control_plane),
        }
    }
}

struct Handler<V> {
    hub: Arc<Hub>,
    only: Option<ResourceType>,
    variant: PhantomData<fn() -> V>,
}

impl<V: Variant> StreamingService<V::In> for Handler<V> {
    type Response = V::Out;
    type ResponseStream = Responses<V::Out>;
    type Future = Pinned<Result<tonic::Response<Responses<V::Out>>, Status>>;

    fn call(&mut self, request: tonic::Request<Streaming<V::In>>) -> Self::Future {
        let (hub, only) = (self.hub.clone(), self.only);
        // A capacity of one: the next response is built from the newest state when this one has been taken.
        let (out, responses) = mpsc::channel(1);
        tokio::spawn(run_stream::<V>(hub, only, request.into_inner(), out));
        Box::pin(async move { Ok(tonic::Response::new(Responses::new(responses))) })
    }
}

/// The responses of a stream.
pub(crate) type Responses<T> = ReceiverStream<Result<T, Status>>;

/// Runs a stream until it ends.
async fn run_stream<V: Variant>(
    hub: Arc<Hub>,
    only: Option<ResourceType>,
    mut requests: Streaming<V::In>,
    out: mpsc::Sender<Result<V::Out, Status>>,
) {
    let number = hub.number();
    let (status, why) = match open_session::<V>(&hub, only, number, &mut requests).await {
        Ok((session, first)) => serve_session::<V>(&hub, number, session, first, &mut requests, &out).await,
        Err(status) => (Some(status.clone()), status.message().to_owned()),
    };
    hub.close(number, why);
    if let Some(status) = status {
        // Bounded, so that a client which doesn't read can't keep the task alive.
        let _ = timeout(hub.settings.first_request_timeout, out.send(Err(status))).await;
    }
}

/// Waits for the first request of a stream, with a timeout. `None` if the stream has ended.
pub(crate) async fn first_request<T>(hub: &Hub, requests: &mut Streaming<T>) -> Result<Option<T>, Status> {
    let wait = hub.settings.first_request_timeout;
    let first = timeout(wait, requests.message()).await;
    first.map_err(|_| Status::deadline_exceeded(format!("no request within {wait:?}")))?
}

/// Waits for the first request, which identifies the node, and opens the session.
async fn open_session<V: Variant>(
    hub: &Hub,
    only: Option<ResourceType>,
    number: u64,
    requests: &mut Streaming<V::In>,
) -> Result<(VersionedSession, V::In), Status> {
    let first = first_request(hub, requests).await?;
    let mut first = first.ok_or_else(|| Status::invalid_argument("the stream ended with no request"))?;
    let node = V::node(&mut first).unwrap_or_default();
    let zone = node.locality.map(|locality| locality.zone).unwrap_or_default();
    hub.check_node(&node.id, &node.cluster)?;
    if zone.len() > MAX_NODE_NAME_BYTES {
        return Err(Status::invalid_argument(format!("the zone is over {MAX_NODE_NAME_BYTES} bytes")));
    }
    let stream = format!("{:x}.{number}", hub.run);
    let mut session = Session::new(stream, V::INCREMENTAL, only, hub.settings.limits.clone());
    session.set_zone(&zone);
    let bucket = rollout_bucket(&node.id);
    let version_id = hub.versions().for_bucket(bucket).id;
    hub.open(StreamInfo {
        number,
        node: node.id,
        cluster: node.cluster,
        zone,
        incremental: V::INCREMENTAL,
        since: hub.now(),
        requests: 0,
        responses: 0,
        bytes: 0,
        version_id,
        type_statuses: Vec::new(),
    })?;
    Ok((VersionedSession { session, bucket, version_id }, first))
}

/// A session and the served version that it is based on.
struct VersionedSession {
    session: Session,
    bucket: u32,
    version_id: u64,
}

impl VersionedSession {
    /// Switches to the version that is current for the node. Returns whether it changed.
    fn switch_to(&mut self, version: &ServedVersion) -> Result<bool, SessionError> {
        if self.version_id == version.id {
            return Ok(false);
        }
        match version.forked_from {
            Some((parent, seq)) if parent == self.version_id => self.session.rewind(seq),
            _ => return Err(SessionError::TooFarBehind), // two rollouts since the last poll
        }
        self.version_id = version.id;
        Ok(true)
    }
}

async fn serve_session<V: Variant>(
    hub: &Hub,
    number: u64,
    mut versioned: VersionedSession,
    first: V::In,
    requests: &mut Streaming<V::In>,
    out: &mpsc::Sender<Result<V::Out, Status>>,
) -> (Option<Status>, String) {
    let mut head = hub.head();
    let mut tokens = TokenBucket::new(hub.settings.max_requests_per_s);
    let mut request = Some(first);
    let mut poll = true;
    loop {
        if let Some(request) = request.take() {
            if !tokens.take() {
                let what = format!("more than {} requests a second", hub.settings.max_requests_per_s);
                return (Some(Status::resource_exhausted(&*what)), what);
            }
            let taken = {
                let versions = hub.versions();
                let version = versions.for_bucket(versioned.bucket);
                let taken = versioned.switch_to(version).and_then(|_| {
                    versioned.session.request(&version.cache, hub.now(), V::request(request))
                });
                let type_statuses = versioned.session.type_statuses(&version.cache);
                hub.update(number, |stream| {
                    stream.requests += 1;
                    stream.version_id = versioned.version_id;
                    stream.type_statuses = type_statuses;
                });
                taken
            };
            if let Err(refusal) = taken {
                return (Some(status(&refusal)), refusal.to_string());
            }
            poll = true;
        }
        tokio::select! {
            read = requests.message() => match read {
                Ok(Some(next)) => request = Some(next),
                Ok(None) => return (None, "the proxy ended the stream".to_owned()),
                Err(problem) => {
                    let why = format!("the stream broke: {}", problem.message());
                    return (Some(problem), why);
                }
            },
            permit = out.reserve(), if poll => {
                let Ok(permit) = permit else { return (None, "the proxy closed the stream".to_owned()) };
                head.mark_unchanged();
                let versions = hub.versions();
                let version = versions.for_bucket(versioned.bucket);
                let polled = versioned.switch_to(version).and_then(|moved| {
                    let response = versioned.session.poll(&version.cache, hub.now())?;
                    let changed = response.is_some() || moved;
                    Ok((response, changed.then(|| versioned.session.type_statuses(&version.cache))))
                });
                drop(versions);
                if let Ok((response, Some(type_statuses))) = &polled {
                    let resources = response.iter().flat_map(|response| &response.resources);
                    let bytes: usize = resources.map(bytes::Bytes::len).sum();
                    hub.update(number, |stream| {
                        stream.responses += u64::from(response.is_some());
                        stream.bytes += bytes as u64;
                        stream.version_id = versioned.version_id;
                        stream.type_statuses.clone_from(type_statuses);
                    });
                }
                match polled.map(|(response, _)| response) {
                    Ok(Some(response)) => {
                        let identifier = hub.settings.identifier.clone();
                        permit.send(Ok(V::response(response, ControlPlaneOut { identifier })));
                    }
                    Ok(None) => poll = false,
                    Err(refusal) => return (Some(status(&refusal)), refusal.to_string()),
                }
            }
            _ = head.changed(), if !poll => poll = true,
            () = sleep(REMOVAL_CHECK_INTERVAL), if !poll && versioned.session.has_pending_removals() => poll = true,
            () = out.closed(), if !poll => return (None, "the proxy closed the stream".to_owned()),
        }
    }
}

fn status(refusal: &SessionError) -> Status {
    let what = refusal.to_string();
    match refusal {
        SessionError::UnknownType(_) | SessionError::WrongType(..) => Status::invalid_argument(what),
        SessionError::TooManyNames { .. } => Status::resource_exhausted(what),
        SessionError::TooFarBehind => Status::aborted(what),
    }
}
