//! The JSON that endpoints send, and the records that it makes.

use miniserde::json::{Number, Value};
use miniserde::{Deserialize, json};
use runtrack_message::{Endpoint, EndpointState, Model};
use std::net::SocketAddrV4;

/// A heartbeat on the wire.
#[derive(Deserialize)]
struct HeartbeatWire {
    service: String,
    address: String,
    zone: Option<String>,
    capacity: Option<u32>,
    state: String,
    #[serde(rename = "coldLeftMs")]
    warmup_left_ms: Option<f64>,
    #[serde(rename = "callSeq")]
    call_seq: Option<u64>,
    models: Option<Vec<ModelWire>>,
}

/// A model that an endpoint serves.
#[derive(Deserialize)]
struct ModelWire {
    name: String,
    version: Option<Value>,
}

impl ModelWire {
    /// Version of the weights; 0 where none is stated as a whole number, which must not keep an endpoint from being known.
    fn weights_version(&self) -> u64 {
        match self.version {
            Some(Value::Number(Number::U64(version))) => version,
            _ => 0,
        }
    }
}

/// The body of a deregistration.
#[derive(Default, Deserialize)]
struct DeregisterWire {
    #[serde(rename = "callSeq")]
    call_seq: Option<u64>,
}

/// The record of an endpoint that its heartbeat makes; nothing where the body is no heartbeat.
pub(super) fn heartbeat_record(id: &str, body: &[u8]) -> Option<Endpoint> {
    let wire: HeartbeatWire = json::from_str(std::str::from_utf8(body).ok()?).ok()?;
    let address: SocketAddrV4 = wire.address.parse().ok()?;
    let state = match wire.state.as_str() {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        _ => return None,
    };
    let models = wire.models.unwrap_or_default().into_iter();
    let models =
        models.map(|model| Model { name: model.name.as_str().into(), version: model.weights_version() });
    Some(Endpoint {
        id: id.into(),
        service: wire.service.as_str().into(),
        ip: (*address.ip()).into(),
        port: address.port(),
        zone: wire.zone.unwrap_or_default().as_str().into(),
        capacity: wire.capacity.unwrap_or(1),
        state,
        warmup_left_ms: wire.warmup_left_ms.unwrap_or(0.0) as u32,
        call_seq: wire.call_seq.unwrap_or(0),
        models: models.collect::<Vec<_>>().into(),
    })
}

/// The number of the call that a deregistration carries, if any: its body may be empty or anything else.
pub(super) fn deregistration_call_seq(body: &[u8]) -> Option<u64> {
    let wire: DeregisterWire =
        std::str::from_utf8(body).ok().and_then(|body| json::from_str(body).ok()).unwrap_or_default();
    wire.call_seq
}

/// The record of an unknown endpoint that is gone.
pub(super) fn gone_record(id: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "".into(),
        ip: 0,
        port: 0,
        zone: "".into(),
        capacity: 0,
        state: EndpointState::Gone,
        warmup_left_ms: 0,
        call_seq: 0,
        models: Vec::new().into(),
    }
}
