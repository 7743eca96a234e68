//! What the service knows, for all of its parts.

use crate::fleet_state::{FleetState, PoolStatus};
use crate::rollout::Rollout;
use runtrack_agree::host::Handle;
use runtrack_discovery::Clock;
use runtrack_store::Version;
use runtrack_xds::Hub;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// What the service knows, for whoever asks.
pub struct Shared {
    /// What proxies are told, and who they are.
    pub hub: Arc<Hub>,
    /// What is known of the pools.
    pub fleet_state: Mutex<FleetState>,
    /// How the pools stand, as committed: what is shown here a restart knows.
    pub pools: Mutex<BTreeMap<String, PoolStatus>>,
    /// Which version of the store is served; none: it comes from a file, or the store is empty.
    pub version: Mutex<Option<Version>>,
    /// The roll-out under way.
    pub rollout: Mutex<Option<Rollout>>,
    /// Somebody wants a roll-out that has halted to go on.
    pub resume: Notify,
    /// This instance's part in a cluster; none: it is alone.
    pub cluster: Option<Handle>,
    /// The clock.
    pub clock: Clock,
    /// What went wrong last with the disk or a reload, and has not been put right.
    pub troubles: Mutex<BTreeMap<&'static str, String>>,
}

impl Shared {
    /// Notes what is wrong, or that it has been put right.
    pub fn set_trouble(&self, of: &'static str, what: Option<String>) {
        let mut troubles = self.troubles.lock().unwrap_or_else(PoisonError::into_inner);
        match what {
            Some(what) => {
                // What goes on being wrong is said once.
                if troubles.get(of) != Some(&what) {
                    eprintln!("{of}: {what}");
                }
                troubles.insert(of, what);
            }
            None => drop(troubles.remove(of)),
        }
    }
}
