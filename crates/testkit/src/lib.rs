//! Test doubles that the tests and benchmarks of several crates share, written from the public protocols: the
//! platform's discovery service, endpoints that record requests, proxies and scripted clients that speak xDS, a
//! control service as a child process, and a disk with faults. All use loopback.

mod control;
mod discovery;
mod disk;
mod endpoint;
mod ports;
mod proxy;
mod scripted;

pub use control::{Control, TempDir, http_request, memory_kib, platform_fleet};
pub use discovery::{Discovery, target};
pub use disk::Disk;
pub use endpoint::Endpoint;
pub use ports::{ReservedPort, free_address, free_port, is_listening, listener, reserve_port};
pub use proxy::{Proxy, ProxyConfig, ProxyState, ReceivedResponse};
pub use scripted::{Scripted, ScriptedDelta, ScriptedLoad, connect, delta_request, node, request, url};

use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long tests wait for an expected condition. It is long so that a busy machine causes no failure.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds; panics with its description after [`WAIT_TIMEOUT`].
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}
