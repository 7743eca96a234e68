//! Waits for recovery after all faults have ended, and records the final state.

use super::{ENDPOINT_COUNT, POLL_INTERVAL, RECOVERY_TIMEOUT, Round, serial_of};
use crate::history::EventKind;
use crate::link::locked;
use std::collections::BTreeMap;
use std::io;
use tokio::time::{Instant, sleep};

/// Lines of the log that are recorded for an unresponsive instance, the newest first.
const LOG_TAIL_LINES: usize = 3;

impl Round {
    /// Starts all stopped instances and waits until the cluster and all proxies have recovered.
    pub(super) async fn wait_for_recovery(&self) -> io::Result<()> {
        for index in 0..self.script.instances as usize {
            locked(&self.instances)[index].process.resume();
            self.start_instance(index)?;
        }
        let end = Instant::now() + RECOVERY_TIMEOUT;
        // Conditions by name: whether they hold, and the observed state.
        let mut conditions: BTreeMap<String, (bool, String)> = BTreeMap::new();
        loop {
            let mut newest = 0;
            for index in 0..self.script.instances as usize {
                let response = self.get(index, "/cluster").await.unwrap_or_default();
                newest = newest.max(response["serial"].as_u64().unwrap_or(0));
                let seen = if response.is_null() {
                    self.describe_unresponsive(index)
                } else {
                    format!("serial {}, majority {}", response["serial"], response["majority"])
                };
                conditions.insert(
                    format!("i{index} has contact with a majority"),
                    (response["majority"] == true, seen),
                );
            }
            let drained = locked(&self.drained).len().min(ENDPOINT_COUNT - 2);
            for (n, proxy) in locked(&self.proxies).iter().enumerate() {
                let (serial, ready, streams) = proxy.proxy.with(|state| {
                    let clusters =
                        state.received.last().map(|told| told.clusters.clone()).unwrap_or_default();
                    let serial = clusters.iter().filter_map(|name| serial_of(name)).max();
                    (serial, state.ready("p").len(), state.streams)
                });
                // Commits continue meanwhile, so a proxy may be one version behind.
                let current = serial.is_some_and(|serial| serial + 1 >= newest);
                let at = proxy.at;
                let seen = format!("{serial:?} of {newest}, at i{at}, on its stream {streams}");
                conditions.insert(format!("p{n} has the newest version"), (current, seen));
                let seen = format!("{ready} of {}, at i{at}", ENDPOINT_COUNT - drained);
                let known = ready == ENDPOINT_COUNT - drained;
                conditions.insert(format!("p{n} knows exactly the drained endpoints"), (known, seen));
            }
            if conditions.values().all(|(well, _)| *well) || Instant::now() >= end {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        for (what, (well, seen)) in conditions {
            let what = if well { what } else { format!("{what}: {seen}") };
            self.history.record_now("rig", EventKind::Back { what, well });
        }
        Ok(())
    }

    /// State of an unresponsive instance: whether its process runs, and the end of its log.
    fn describe_unresponsive(&self, index: usize) -> String {
        let instance = &mut locked(&self.instances)[index];
        let runs = instance.process.pid().is_some() && !instance.process.has_exited();
        let log = instance.process.log();
        let last: Vec<&str> = log.lines().rev().take(LOG_TAIL_LINES).collect();
        let state = if runs { "runs" } else { "has exited" };
        format!("{} {state} and does not respond; last log lines: {last:?}", instance.name)
    }

    /// Records the final state of instances and proxies.
    pub(super) async fn record_final_state(&self) {
        for index in 0..self.script.instances as usize {
            if let Some(response) = self.get(index, "/versions/now").await {
                let versions = response["versions"].as_array().into_iter().flatten();
                let versions =
                    versions.filter_map(|v| Some((v["serial"].as_u64()?, v["plan"].as_str()?.to_owned())));
                self.history
                    .record_now(&format!("i{index}"), EventKind::Versions { versions: versions.collect() });
            }
        }
        let drained = locked(&self.drained).len().min(ENDPOINT_COUNT - 2);
        for (n, proxy) in locked(&self.proxies).iter().enumerate() {
            let (who, state) = (format!("p{n}"), proxy.proxy.state());
            for told in &state.received {
                let serial = told.clusters.iter().filter_map(|name| serial_of(name)).max().unwrap_or(0);
                let kind = told.kind.rsplit('.').next().unwrap_or_default().to_owned();
                let at = self.history.micros_at(told.at);
                self.history.record(
                    &who,
                    at,
                    Some(at),
                    EventKind::Told { kind, version: told.version.clone(), serial },
                );
            }
            for endpoint in &self.endpoints[..drained] {
                if let Some(last) = state.sent.get(&endpoint.address) {
                    let (at, endpoint) = (self.history.micros_at(*last), endpoint.address.to_string());
                    self.history.record(
                        &who,
                        at,
                        Some(at),
                        EventKind::Reached { endpoint, proxy: who.clone() },
                    );
                }
            }
        }
    }
}
