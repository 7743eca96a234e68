//! Protobuf messages of responses, whose resources share their encoded bytes.
//!
//! The tags are those of `envoy/service/discovery/v3/discovery.proto`. Nested messages are declared as bytes, which has
//! the same wire format, so that a resource is encoded once for all proxies.

use bytes::Bytes;
use prost::Message;

/// `google.protobuf.Any`.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct AnyOut {
    #[prost(string, tag = "1")]
    pub(crate) type_url: String,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) value: Bytes,
}

/// `envoy.service.discovery.v3.Resource`; the resource is an `Any`.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ResourceOut {
    #[prost(string, tag = "1")]
    pub(crate) version: String,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) resource: Bytes,
    #[prost(string, tag = "3")]
    pub(crate) name: String,
}

/// `envoy.config.core.v3.ControlPlane`.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ControlPlaneOut {
    #[prost(string, tag = "1")]
    pub(crate) identifier: String,
}

/// `envoy.service.discovery.v3.DiscoveryResponse`; the resources are `Any`s.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct SotwOut {
    #[prost(string, tag = "1")]
    pub(crate) version_info: String,
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub(crate) resources: Vec<Bytes>,
    #[prost(string, tag = "4")]
    pub(crate) type_url: String,
    #[prost(string, tag = "5")]
    pub(crate) nonce: String,
    #[prost(message, optional, tag = "6")]
    pub(crate) control_plane: Option<ControlPlaneOut>,
}

/// `envoy.service.discovery.v3.DeltaDiscoveryResponse`; the resources are `Resource`s.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct DeltaOut {
    #[prost(string, tag = "1")]
    pub(crate) system_version_info: String,
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub(crate) resources: Vec<Bytes>,
    #[prost(string, tag = "4")]
    pub(crate) type_url: String,
    #[prost(string, tag = "5")]
    pub(crate) nonce: String,
    #[prost(string, repeated, tag = "6")]
    pub(crate) removed_resources: Vec<String>,
    #[prost(message, optional, tag = "7")]
    pub(crate) control_plane: Option<ControlPlaneOut>,
}
