//! The outer interfaces over HTTP/1.1: `api/operator.yaml` and `api/endpoints.yaml`.

use crate::contact::MajorityContact;
use crate::endpoints::Endpoints;
use crate::proposer::{ConfigOutcome, Proposer};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use miniserde::{Deserialize, json};
use runtrack_fleetconfig::{Amendment, ConfigError, FleetConfig, MAX_CONFIG};
use runtrack_link::Gossip;
use runtrack_message::{Endpoint, EndpointState, Model};
use runtrack_net::mutant;
use runtrack_register::{ConfigAnswer, ConfigChange, ConfigRequest};
use slog::info;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// An operation of the outer interfaces, as `api/*.yaml` describe it. Every answer is held against this table where
/// debug assertions are on, and the table against the files by a test.
pub struct Operation {
    /// Method.
    pub method: Method,
    /// Path, with `{id}` for an endpoint's id.
    pub path: &'static str,
    /// The statuses that it answers.
    pub statuses: &'static [u16],
}

/// All operations of the outer interfaces.
pub const OPERATIONS: [Operation; 5] = [
    Operation { method: Method::POST, path: REPLACE, statuses: &[200, 400, 408, 409, 412, 413, 503] },
    Operation { method: Method::POST, path: AMEND, statuses: &[200, 400, 408, 409, 412, 413, 503] },
    Operation { method: Method::GET, path: READ, statuses: &[200, 404, 503] },
    Operation {
        method: Method::POST,
        path: "/runtrack/instances/{id}/heartbeat",
        statuses: &[200, 400, 408, 413, 503],
    },
    Operation {
        method: Method::POST,
        path: "/runtrack/instances/{id}/deregister",
        statuses: &[200, 408, 413, 503],
    },
];

const INSTANCES: &str = "/runtrack/instances/";
const REPLACE: &str = "/runtrack/config/replace";
const BASE_VERSION: &str = "x-base-version";
const AMEND: &str = "/runtrack/config/amend";
const READ: &str = "/runtrack/config/read";
/// Bytes of an endpoint's call.
const MAX_CALL: usize = 64 << 10;
/// A connection may be between calls for this long, and a head take so long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A body must have come by then.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Operators wait a second for an answer, and longer for one to a large body: before that they get one that is clear.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// So much longer for each byte of a configuration, which has to reach the other members and their disks.
const ANSWER_ALLOWANCE_PER_BYTE: Duration = Duration::from_micros(1);
/// Wait after a failed accept: out of descriptors it would fail again at once, and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A heartbeat on the wire.
#[derive(Deserialize)]
struct HeartbeatWire {
    service: String,
    address: String,
    zone: Option<String>,
    capacity: Option<u32>,
    state: String,
    #[serde(rename = "coldLeftMs")]
    cold_left_ms: Option<f64>,
    #[serde(rename = "callSeq")]
    call_seq: Option<u64>,
    models: Option<Vec<ModelWire>>,
}

#[derive(Deserialize)]
struct ModelWire {
    name: String,
    version: Option<u64>,
}

/// What a deregistration may carry.
#[derive(Default, Deserialize)]
struct DeregisterWire {
    #[serde(rename = "callSeq")]
    call_seq: Option<u64>,
}

type Reply = Response<Full<Bytes>>;

/// Serves the outer interfaces.
pub(crate) struct Api {
    gossip: Rc<Gossip>,
    proposer: Rc<Proposer>,
    endpoints: Rc<Endpoints>,
    contact: Rc<MajorityContact>,
}

impl Api {
    /// Serves with these.
    pub fn new(
        gossip: Rc<Gossip>,
        proposer: Rc<Proposer>,
        endpoints: Rc<Endpoints>,
        contact: Rc<MajorityContact>,
    ) -> Rc<Self> {
        Rc::new(Api { gossip, proposer, endpoints, contact })
    }

    /// Takes calls until the task is aborted.
    pub fn listen(self: Rc<Self>, at: SocketAddrV4) -> io::Result<JoinHandle<()>> {
        let listener = self.gossip.network().listen(at.into())?;
        Ok(spawn_local(async move {
            loop {
                match poll_fn(|cx| listener.poll_accept(cx)).await {
                    Ok(connection) => {
                        let api = self.clone();
                        let service = service_fn(move |request| {
                            let api = api.clone();
                            async move { Ok::<_, Infallible>(api.answer(request).await) }
                        });
                        let serving = http1::Builder::new()
                            .timer(TokioTimer::new())
                            .header_read_timeout(IDLE_TIMEOUT)
                            .serve_connection(TokioIo::new(connection), service);
                        spawn_local(async move {
                            let _ = serving.await; // who called has gone
                        });
                    }
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                }
            }
        }))
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let Some(operation) = OPERATIONS.iter().find(|operation| operation.serves(request.uri().path()))
        else {
            return text(StatusCode::NOT_FOUND, "no such path");
        };
        if operation.method != *request.method() {
            return text(StatusCode::METHOD_NOT_ALLOWED, "not this method");
        }
        let reply = self.carry_out(operation, request).await;
        debug_assert!(
            operation.statuses.contains(&reply.status().as_u16()),
            "{} {}",
            operation.path,
            reply.status()
        );
        reply
    }

    async fn carry_out(self: Rc<Self>, operation: &Operation, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if operation.path == READ {
            return self.read().await;
        }
        let change = config_change(operation.path);
        let most = if change.is_some() { MAX_CONFIG } else { MAX_CALL };
        let body = match timeout(BODY_TIMEOUT, Limited::new(body, most).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                return text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            _ => return text(StatusCode::REQUEST_TIMEOUT, "the body did not come whole"),
        };
        if let Some(change) = change {
            return match base_version(&head.headers) {
                Some(base) => self.change_config(change, base, body).await,
                None => text(StatusCode::BAD_REQUEST, "X-Base-Version: is missing or no number"),
            };
        }
        match endpoint_call(path) {
            Some((id, "heartbeat")) => self.heartbeat(id, &body).await,
            Some((id, _)) => self.deregister(id, &body).await,
            None => text(StatusCode::BAD_REQUEST, "no endpoint"),
        }
    }

    async fn read(&self) -> Reply {
        if !self.contact.is_current() {
            return out_of_contact();
        }
        let Some(found) = self.within(ANSWER_TIMEOUT, self.proposer.read()).await else {
            return out_of_contact();
        };
        match found {
            Ok(Some(value)) if value.version > 0 => {
                json_reply(StatusCode::OK, Bytes::copy_from_slice(value.config.as_slice()))
            }
            Ok(_) => text(StatusCode::NOT_FOUND, "there is no configuration yet"),
            Err(()) => out_of_contact(),
        }
    }

    /// What a request of the register finds, unless contact with a majority is lost or time is up before.
    async fn within<T>(&self, limit: Duration, request: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            found = request => Some(found),
            () = self.contact.lost() => None,
            () = sleep(limit) => None,
        }
    }

    async fn change_config(self: Rc<Self>, change: ConfigChange, base: u64, body: Bytes) -> Reply {
        let request = match config_request(change, base, &body) {
            Ok(request) => request,
            Err(problem) => {
                info!(self.gossip.logger(), "config_change.invalid";
                    "change" => ?change, "base" => base, "problem" => %problem);
                return text(StatusCode::BAD_REQUEST, &problem.to_string());
            }
        };
        if !self.contact.is_current() {
            return out_of_contact();
        }
        // It goes on where the caller has gone or was told that its outcome is not known: what has begun should end.
        let (this, ordered) = (self.clone(), request.clone());
        let changing = spawn_local(async move { this.proposer.change_config(&ordered).await });
        let limit = ANSWER_TIMEOUT + ANSWER_ALLOWANCE_PER_BYTE * body.len() as u32;
        let outcome = match self.within(limit, changing).await {
            Some(Ok(outcome)) => outcome,
            Some(Err(_)) | None => self.unknown(),
        };
        info!(self.gossip.logger(), "config_change.answered";
            "change" => ?change, "base" => base, "version" => request.version, "answer" => ?outcome);
        self.config_reply(&request, outcome)
    }

    fn config_reply(&self, request: &ConfigRequest, outcome: ConfigOutcome) -> Reply {
        match outcome {
            ConfigOutcome::Definite(ConfigAnswer::Applied) => {
                json_reply(StatusCode::OK, Bytes::from_static(b"{}"))
            }
            ConfigOutcome::Definite(ConfigAnswer::VersionMismatch(current)) => {
                text(StatusCode::PRECONDITION_FAILED, &format!("version {current} is current"))
            }
            ConfigOutcome::Definite(ConfigAnswer::VersionNotIncreasing(current)) => {
                let version = request.version;
                text(StatusCode::CONFLICT, &format!("version: {version} is not above {current}"))
            }
            ConfigOutcome::Definite(ConfigAnswer::Invalid(base)) => {
                text(StatusCode::BAD_REQUEST, &self.findings_on(request, base))
            }
            ConfigOutcome::Definite(ConfigAnswer::Indeterminate) | ConfigOutcome::Indeterminate => {
                text(StatusCode::SERVICE_UNAVAILABLE, "it is not known whether it will be taken")
            }
        }
    }

    /// Why an amendment can't be applied to the version that it builds on, as far as that one is still here.
    fn findings_on(&self, request: &ConfigRequest, base: u64) -> String {
        let known = self.proposer.known().filter(|(_, value)| value.version == base);
        let applied = known.map(|(_, value)| {
            Amendment::read(&request.body).and_then(|amendment| amendment.apply(value.config.as_slice()))
        });
        match applied {
            Some(Err(problem)) => problem.to_string(),
            _ => format!("it does not fit version {base}"),
        }
    }

    /// What a caller is told of a request that has not come to its end in time.
    fn unknown(&self) -> ConfigOutcome {
        if mutant("answered-before-committed") {
            return ConfigOutcome::Definite(ConfigAnswer::Applied);
        }
        if mutant("unknown-is-refused") {
            let version = self.proposer.known().map_or(0, |(_, value)| value.version);
            return ConfigOutcome::Definite(ConfigAnswer::VersionMismatch(version));
        }
        ConfigOutcome::Indeterminate
    }

    async fn heartbeat(&self, id: &str, body: &[u8]) -> Reply {
        let Some(record) = heartbeat_record(id, body) else {
            return text(StatusCode::BAD_REQUEST, "the heartbeat can't be read");
        };
        self.acknowledge(record).await
    }

    async fn deregister(&self, id: &str, body: &[u8]) -> Reply {
        let wire: DeregisterWire =
            std::str::from_utf8(body).ok().and_then(|body| json::from_str(body).ok()).unwrap_or_default();
        let known = self.gossip.replica().registry().get(runtrack_registry::key_of(id)).cloned();
        let record = known.unwrap_or(Endpoint {
            id: id.into(),
            service: "".into(),
            ip: 0,
            port: 0,
            zone: "".into(),
            capacity: 0,
            state: EndpointState::Gone,
            cold_left_ms: 0,
            call_seq: 0,
            models: Vec::new().into(),
        });
        let call_seq = wire.call_seq.unwrap_or(record.call_seq + 1);
        self.acknowledge(Endpoint { state: EndpointState::Gone, call_seq, ..record }).await
    }

    async fn acknowledge(&self, record: Endpoint) -> Reply {
        if self.endpoints.called(record).await {
            json_reply(StatusCode::OK, Bytes::from_static(b"{}"))
        } else {
            out_of_contact()
        }
    }
}

/// What a path changes in the configuration.
fn config_change(path: &str) -> Option<ConfigChange> {
    match path {
        REPLACE => Some(ConfigChange::Replace),
        AMEND => Some(ConfigChange::Amend),
        _ => None,
    }
}

/// The version that a change builds on.
fn base_version(headers: &HeaderMap) -> Option<u64> {
    headers.get(BASE_VERSION)?.to_str().ok()?.trim().parse().ok()
}

/// The operator's request, if its body is valid by itself.
fn config_request(change: ConfigChange, base: u64, body: &[u8]) -> Result<ConfigRequest, ConfigError> {
    match change {
        ConfigChange::Replace => {
            let version = FleetConfig::read(body)?.version;
            Ok(ConfigRequest::replace(base, version, body.to_vec()))
        }
        ConfigChange::Amend => {
            let version = Amendment::read(body)?.version();
            Ok(ConfigRequest::amend(base, version, body.to_vec()))
        }
    }
}

impl Operation {
    fn serves(&self, path: &str) -> bool {
        match endpoint_call(path) {
            Some((_, call)) => self
                .path
                .strip_prefix(INSTANCES)
                .and_then(|rest| rest.split_once('/'))
                .is_some_and(|(_, own)| own == call),
            None => self.path == path,
        }
    }
}

/// An endpoint's id and what it calls for.
fn endpoint_call(path: &str) -> Option<(&str, &str)> {
    path.strip_prefix(INSTANCES)?.split_once('/').filter(|(id, _)| !id.is_empty())
}

fn heartbeat_record(id: &str, body: &[u8]) -> Option<Endpoint> {
    let wire: HeartbeatWire = json::from_str(std::str::from_utf8(body).ok()?).ok()?;
    let address: SocketAddrV4 = wire.address.parse().ok()?;
    let state = match wire.state.as_str() {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        _ => return None,
    };
    let models = wire.models.unwrap_or_default().into_iter();
    let models =
        models.map(|model| Model { name: model.name.as_str().into(), version: model.version.unwrap_or(0) });
    Some(Endpoint {
        id: id.into(),
        service: wire.service.as_str().into(),
        ip: (*address.ip()).into(),
        port: address.port(),
        zone: wire.zone.unwrap_or_default().as_str().into(),
        capacity: wire.capacity.unwrap_or(1),
        state,
        cold_left_ms: wire.cold_left_ms.unwrap_or(0.0) as u32,
        call_seq: wire.call_seq.unwrap_or(0),
        models: models.collect::<Vec<_>>().into(),
    })
}

fn json_reply(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// The answer of a member that has no majority behind it: the caller is to go on to another one.
fn out_of_contact() -> Reply {
    text(StatusCode::SERVICE_UNAVAILABLE, "no majority of the members can be reached")
}

/// A refusal, with its reason.
fn text(status: StatusCode, problem: &str) -> Reply {
    let body = format!("{{\"error\":{}}}", json::to_string(&problem.to_owned()));
    json_reply(status, body.into())
}
