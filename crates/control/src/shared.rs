//! State shared by the parts of the service, such as the admin interface.

use crate::fleet_state::{FleetState, PoolStatus};
use crate::rollout::Rollout;
use runtrack_agree::host::Handle;
use runtrack_discovery::Clock;
use runtrack_store::Version;
use runtrack_xds::Hub;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// State shared by the parts of the service.
pub struct Shared {
    /// The xDS server: resources and connected proxies.
    pub hub: Arc<Hub>,
    /// The fleet and the known endpoints of its pools.
    pub fleet_state: Mutex<FleetState>,
    /// The status of the pools as committed: a restart restores what is shown here.
    pub pools: Mutex<BTreeMap<String, PoolStatus>>,
    /// The version of the store that is served; none if the fleet comes from a file, or the store is empty.
    pub version: Mutex<Option<Version>>,
    /// The current roll-out.
    pub rollout: Mutex<Option<Rollout>>,
    /// Notified on a request to resume a halted roll-out.
    pub resume: Notify,
    /// The handle of the cluster member; none for a single instance.
    pub cluster: Option<Handle>,
    /// The clock.
    pub clock: Clock,
    /// Current problems by subsystem, such as the disk or a reload.
    pub troubles: Mutex<BTreeMap<&'static str, String>>,
}

impl Shared {
    /// Sets the current problem of a subsystem, or clears it.
    pub fn set_trouble(&self, of: &'static str, what: Option<String>) {
        let mut troubles = self.troubles.lock().unwrap_or_else(PoisonError::into_inner);
        match what {
            Some(what) => {
                // A persisting problem is logged once.
                if troubles.get(of) != Some(&what) {
                    eprintln!("{of}: {what}");
                }
                troubles.insert(of, what);
            }
            None => drop(troubles.remove(of)),
        }
    }
}
