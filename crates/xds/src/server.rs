//! The thin shell: gRPC streams round sessions.

use crate::allowance::Allowance;
use crate::hub::{Hub, NODE_NAME_MOST, ServedVersion, StreamInfo, rollout_bucket};
use crate::kind::ResourceType;
use crate::message::{ControlPlaneOut, DeltaOut, WholeOut};
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

/// Removals that wait for acknowledgements are looked at again this often.
const RECHECK: Duration = Duration::from_millis(250);

type Pinned<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A discovery service: aggregated, or of one type.
#[derive(Clone)]
pub struct Discovery<S> {
    hub: Arc<Hub>,
    of: PhantomData<fn() -> S>,
}

/// Which service: its name, and its type if it has but one.
pub trait ServiceType: 'static {
    /// Its name in the public definitions.
    const NAME: &'static str;
    /// Its type; none: all.
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
    /// The service, handing out what the hub holds.
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
            let most = hub.settings.max_request_bytes;
            Ok(if method.starts_with("Delta") {
                let handler = Handler::<Incremental> { hub, only: S::RESOURCE_TYPE, variant: PhantomData };
                let codec = ProstCodec::<DeltaOut, DeltaDiscoveryRequest>::default();
                Grpc::new(codec).max_decoding_message_size(most).streaming(handler, request).await
            } else if method.starts_with("Stream") {
                let handler = Handler::<Whole> { hub, only: S::RESOURCE_TYPE, variant: PhantomData };
                let codec = ProstCodec::<WholeOut, DiscoveryRequest>::default();
                Grpc::new(codec).max_decoding_message_size(most).streaming(handler, request).await
            } else {
                Status::unimplemented(format!("`{method}` is not served: use the streams")).into_http()
            })
        })
    }
}

/// A variant of the protocol.
trait Variant: Send + 'static {
    type In: Send + 'static;
    type Out: Send + 'static;
    const INCREMENTAL: bool;
    fn node(request: &mut Self::In) -> Option<Node>;
    fn request(request: Self::In) -> Request;
    fn response(response: Response, control_plane: ControlPlaneOut) -> Self::Out;
}

struct Whole;
struct Incremental;

impl Variant for Whole {
    type In = DiscoveryRequest;
    type Out = WholeOut;
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

    fn response(response: Response, control_plane: ControlPlaneOut) -> WholeOut {
        WholeOut {
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
        // Room for one response: the next one is made when this one is taken, from the newest state.
        let (out, responses) = mpsc::channel(1);
        tokio::spawn(drive::<V>(hub, only, request.into_inner(), out));
        Box::pin(async move { Ok(tonic::Response::new(Responses::new(responses))) })
    }
}

/// The responses of a stream.
pub(crate) type Responses<T> = ReceiverStream<Result<T, Status>>;

/// Runs a stream to its end.
async fn drive<V: Variant>(
    hub: Arc<Hub>,
    only: Option<ResourceType>,
    mut requests: Streaming<V::In>,
    out: mpsc::Sender<Result<V::Out, Status>>,
) {
    let number = hub.number();
    let (status, why) = match begin::<V>(&hub, only, number, &mut requests).await {
        Ok((session, first)) => go_on::<V>(&hub, number, session, first, &mut requests, &out).await,
        Err(status) => (Some(status.clone()), status.message().to_owned()),
    };
    hub.close(number, why);
    if let Some(status) = status {
        // A reader that takes nothing finds its stream ended all the same.
        let _ = timeout(hub.settings.first_request_timeout, out.send(Err(status))).await;
    }
}

/// The first request of a stream, which must not take long; none where the stream has ended.
pub(crate) async fn first_request<T>(hub: &Hub, requests: &mut Streaming<T>) -> Result<Option<T>, Status> {
    let wait = hub.settings.first_request_timeout;
    let first = timeout(wait, requests.message()).await;
    first.map_err(|_| Status::deadline_exceeded(format!("no request within {wait:?}")))?
}

/// Waits for the first request, which names the node.
async fn begin<V: Variant>(
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
    if zone.len() > NODE_NAME_MOST {
        return Err(Status::invalid_argument(format!("the zone is over {NODE_NAME_MOST} bytes")));
    }
    let stream = format!("{:x}.{number}", hub.run);
    let mut session = Session::new(stream, V::INCREMENTAL, only, hub.settings.limits.clone());
    session.set_zone(&zone);
    let bucket = rollout_bucket(&node.id);
    let version_id = hub.versions().of(bucket).id;
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

/// A session, and the version that it follows.
struct VersionedSession {
    session: Session,
    bucket: u32,
    version_id: u64,
}

impl VersionedSession {
    /// Goes over to the version that its node is to follow now; says whether that is another one.
    fn follow(&mut self, version: &ServedVersion) -> Result<bool, SessionError> {
        if self.version_id == version.id {
            return Ok(false);
        }
        match version.forked_from {
            Some((parent, seq)) if parent == self.version_id => self.session.rewind(seq),
            _ => return Err(SessionError::TooFarBehind), // two roll-outs while it was not looked at
        }
        self.version_id = version.id;
        Ok(true)
    }
}

async fn go_on<V: Variant>(
    hub: &Hub,
    number: u64,
    mut versioned: VersionedSession,
    first: V::In,
    requests: &mut Streaming<V::In>,
    out: &mpsc::Sender<Result<V::Out, Status>>,
) -> (Option<Status>, String) {
    let mut head = hub.head();
    let mut allowance = Allowance::new(hub.settings.max_requests_per_s);
    let mut request = Some(first);
    let mut look = true;
    loop {
        if let Some(request) = request.take() {
            if !allowance.take() {
                let what = format!("more than {} requests a second", hub.settings.max_requests_per_s);
                return (Some(Status::resource_exhausted(&*what)), what);
            }
            let taken = {
                let versions = hub.versions();
                let version = versions.of(versioned.bucket);
                let taken = versioned.follow(version).and_then(|_| {
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
            look = true;
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
            permit = out.reserve(), if look => {
                let Ok(permit) = permit else { return (None, "the proxy closed the stream".to_owned()) };
                head.mark_unchanged();
                let versions = hub.versions();
                let version = versions.of(versioned.bucket);
                let polled = versioned.follow(version).and_then(|moved| {
                    let response = versioned.session.poll(&version.cache, hub.now())?;
                    let told = response.is_some() || moved;
                    Ok((response, told.then(|| versioned.session.type_statuses(&version.cache))))
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
                    Ok(None) => look = false,
                    Err(refusal) => return (Some(status(&refusal)), refusal.to_string()),
                }
            }
            _ = head.changed(), if !look => look = true,
            () = sleep(RECHECK), if !look && versioned.session.has_pending_removals() => look = true,
            () = out.closed(), if !look => return (None, "the proxy closed the stream".to_owned()),
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
