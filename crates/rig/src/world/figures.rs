//! What measurements need.

use super::{BACK, World, fleet_toml};
use crate::link::locked;
use runtrack_model::Fleet;
use runtrack_testkit::memory_kib;
use std::io;
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl World {
    pub(crate) fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Bytes that went through links so far.
    pub(crate) fn bytes(&self) -> u64 {
        self.links.bytes()
    }

    /// Resident memory of each instance, in KiB.
    pub(crate) fn memory_kib(&self) -> Vec<u64> {
        let instances = locked(&self.instances);
        instances.iter().filter_map(|instance| instance.process.pid()).map(memory_kib).collect()
    }

    /// Commits a fleet of so many pools; gives its bytes, and how long that took.
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

    /// Starts an empty member; gives how long it takes until that has the current version.
    pub(crate) async fn newcomer(&self) -> io::Result<Duration> {
        let wanted = self.get(0, "/cluster").await.unwrap_or_default()["serial"].as_u64();
        let place = locked(&self.instances).len();
        let instance = self.instance(place, "late").await?;
        self.invite(&instance).await?;
        locked(&self.instances).push(instance);
        self.launch(place)?;
        let began = Instant::now();
        while self.get(place, "/cluster").await.unwrap_or_default()["serial"].as_u64() != wanted {
            if began.elapsed() > 3 * BACK {
                return Err(io::Error::other("the new member never had the current version"));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(began.elapsed())
    }
}
