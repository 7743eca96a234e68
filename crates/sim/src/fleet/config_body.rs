//! Builds the configuration bodies that operators send, and parses those that callers and agents receive.

use crate::fleet::facts::ConfigChange;
use serde_json::Value;

/// The body of a configuration change. The host of its only route carries the change's marker. Each change
/// adds a service named after its version, and an amendment keeps those of earlier versions, so that a body
/// shows which changes it is made of.
pub fn config_body(change: &ConfigChange) -> String {
    let timeout = if change.valid { 1000 } else { 0 };
    let ConfigChange { version, marker, .. } = change;
    let route = format!(
        r#"{{"name":"r","host":"m{marker}","pathPrefix":"/a/","kind":"idempotent","timeoutMs":{timeout},"service":"s"}}"#
    );
    if change.is_amendment() {
        return format!(
            r#"{{"version":{version},"upsert":{{"routes":[{route}],"services":[{{"name":"v{version}"}}]}}}}"#
        );
    }
    format!(
        r#"{{"version":{version},"routes":[{route}],"services":[{{"name":"s","healthPath":"/health","connLimit":10,"protocol":"h1","tls":false}},{{"name":"v{version}"}}],"limits":{{}}}}"#
    )
}

/// The versions that a configuration is made of, in the order in which they were applied.
pub fn parse_lineage(body: &[u8]) -> Vec<u64> {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let services = value.get("services").and_then(Value::as_array).into_iter().flatten();
    let names = services.filter_map(|service| service.get("name")?.as_str());
    names.filter_map(|name| name.strip_prefix('v')?.parse().ok()).collect()
}

/// Version and marker of a configuration's body.
pub fn parse_config(body: &[u8]) -> Option<(u64, u64)> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let marker = value.get("routes")?.get(0)?.get("host")?.as_str()?.strip_prefix('m')?.parse().ok()?;
    Some((value.get("version")?.as_u64()?, marker))
}
