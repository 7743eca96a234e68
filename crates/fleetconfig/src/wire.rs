//! The operator's configuration as JSON, before it is checked (`api/operator.yaml`).

use miniserde::Deserialize;
use miniserde::json::Value;
use std::collections::BTreeMap;

/// A configuration on the wire (`api/operator.yaml`).
#[derive(Deserialize)]
pub(crate) struct ConfigWire {
    pub version: u64,
    pub routes: Vec<RouteWire>,
    pub services: Vec<ServiceWire>,
    pub limits: Option<LimitsWire>,
}

/// An amendment on the wire: lists of items, and lists of names, by the list of the configuration.
#[derive(Deserialize)]
pub(crate) struct AmendmentWire {
    pub version: u64,
    pub upsert: Option<BTreeMap<String, Vec<Value>>>,
    pub remove: Option<BTreeMap<String, Vec<String>>>,
}

#[derive(Deserialize)]
pub(crate) struct RouteWire {
    pub name: Option<String>,
    pub host: String,
    #[serde(rename = "pathPrefix")]
    pub path_prefix: String,
    pub kind: String,
    #[serde(rename = "timeoutMs")]
    pub timeout_ms: f64,
    #[serde(rename = "setpointMs")]
    pub setpoint_ms: Option<f64>,
    pub priority: Option<f64>,
    pub service: Option<String>,
    pub split: Option<Vec<ShareWire>>,
    #[serde(rename = "maxTries")]
    pub max_tries: Option<f64>,
    pub pinned: Option<bool>,
    pub resumable: Option<bool>,
    pub gap_aim_ms: Option<f64>,
}

#[derive(Deserialize)]
pub(crate) struct ShareWire {
    pub service: String,
    pub weight: f64,
}

#[derive(Deserialize)]
pub(crate) struct ServiceWire {
    pub name: String,
    #[serde(rename = "connLimit")]
    pub conn_limit: Option<f64>,
    pub engine: Option<EngineWire>,
}

#[derive(Deserialize)]
pub(crate) struct EngineWire {
    pub capacity: Option<f64>,
    #[serde(rename = "kvCapacity")]
    pub kv_capacity: Option<f64>,
}

#[derive(Deserialize)]
pub(crate) struct LimitsWire {
    #[serde(rename = "maxHeaderBytes")]
    pub header_bytes: Option<f64>,
    #[serde(rename = "maxBodyBytes")]
    pub body_bytes: Option<f64>,
    #[serde(rename = "headerMs")]
    pub header_ms: Option<f64>,
    #[serde(rename = "idleMs")]
    pub idle_ms: Option<f64>,
}
