//! Functions of a round that only measurements use.

use super::{RECOVERY_TIMEOUT, Round, fleet_toml};
use crate::link::locked;
use runtrack_model::Fleet;
use runtrack_testkit::memory_kib;
use std::io;
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl Round {
    pub(crate) fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Total of bytes forwarded by links.
    pub(crate) fn bytes(&self) -> u64 {
        self.links.bytes()
    }

    /// Resident memory of each running instance, in KiB.
    pub(crate) fn memory_kib(&self) -> Vec<u64> {
        let instances = locked(&self.instances);
        instances.iter().filter_map(|instance| instance.process.pid()).map(memory_kib).collect()
    }

    /// Commits a configuration of so many pools; returns its size in bytes and the duration.
    pub(crate) async fn commit_pools(&self, pools: usize) -> io::Result<(usize, Duration)> {
        let mut toml = fleet_toml(self.discovery_at, 2);
        for n in 0..pools {
            toml.push_str(&format!(
                "[[pool]]\nname = \"q-{n}\"\n[[pool.endpoint]]\nname = \"e\"\naddress = \"127.0.0.1:9\"\n"
            ));
        }
        let text = Fleet::from_toml(&toml)
            .map(|fleet| fleet.to_canonical_json())
            .map_err(|e| io::Error::other(e.to_string()))?;
        let bytes = text.len();
        let began = Instant::now();
        match self.commit_text(0, "pools", |_| text.clone()).await? {
            Some(_) => Ok((bytes, began.elapsed())),
            None => Err(io::Error::other("the fleet of many pools was not committed")),
        }
    }

    /// Adds an empty member; returns the time until it has the current version.
    pub(crate) async fn add_empty_member(&self) -> io::Result<Duration> {
        let wanted = self.get(0, "/cluster").await.unwrap_or_default()["serial"].as_u64();
        let index = locked(&self.instances).len();
        let instance = self.new_instance(index, "late").await?;
        self.add_member(&instance).await?;
        locked(&self.instances).push(instance);
        self.start_instance(index)?;
        let began = Instant::now();
        while self.get(index, "/cluster").await.unwrap_or_default()["serial"].as_u64() != wanted {
            if began.elapsed() > 3 * RECOVERY_TIMEOUT {
                return Err(io::Error::other("the new member did not receive the current version"));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(began.elapsed())
    }
}
