//! Stand-ins that tests and measurements of several crates share, written from the public protocols: the
//! platform's discovery, endpoints that count what reaches them, proxies and scripted peers that speak xDS, a
//! control service as a child process, a disk that fails. All on loopback.

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

/// How long a test waits for what must come: long, as a busy machine is no failure.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds; panics with its name when it never does.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "never came: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}
