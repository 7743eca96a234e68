//! The way back after everything is healed, and what is to be seen in the end.

use super::{BACK, ENDPOINTS, LOOK, World, serial_of};
use crate::history::Did;
use crate::link::locked;
use std::collections::BTreeMap;
use std::io;
use tokio::time::{Instant, sleep};

/// Lines of the log of an instance that does not answer, the newest first.
const LAST_LINES: usize = 3;

impl World {
    /// Starts what does not run, and waits until all is as it should be.
    pub(super) async fn come_back(&self) -> io::Result<()> {
        for place in 0..self.script.instances as usize {
            locked(&self.instances)[place].process.go_on();
            self.launch(place)?;
        }
        let end = Instant::now() + BACK;
        // What is waited for, whether it is so, and what is to be seen instead.
        let mut waits: BTreeMap<String, (bool, String)> = BTreeMap::new();
        loop {
            let mut newest = 0;
            for place in 0..self.script.instances as usize {
                let said = self.get(place, "/cluster").await.unwrap_or_default();
                newest = newest.max(said["serial"].as_u64().unwrap_or(0));
                let seen = if said.is_null() {
                    self.standing(place)
                } else {
                    format!("serial {}, majority {}", said["serial"], said["majority"])
                };
                waits.insert(
                    format!("i{place} is in touch with a majority"),
                    (said["majority"] == true, seen),
                );
            }
            let drained = locked(&self.drained).len().min(ENDPOINTS - 2);
            for (n, proxy) in locked(&self.proxies).iter().enumerate() {
                let (serial, ready, streams) = proxy.proxy.with(|state| {
                    let clusters =
                        state.received.last().map(|told| told.clusters.clone()).unwrap_or_default();
                    let serial = clusters.iter().filter_map(|name| serial_of(name)).max();
                    (serial, state.ready("p").len(), state.streams)
                });
                // Commits go on meanwhile: a proxy may be one behind.
                let current = serial.is_some_and(|serial| serial + 1 >= newest);
                let at = proxy.at;
                let seen = format!("{serial:?} of {newest}, at i{at}, on its stream {streams}");
                waits.insert(format!("p{n} has the newest version"), (current, seen));
                let seen = format!("{ready} of {}, at i{at}", ENDPOINTS - drained);
                let known = ready == ENDPOINTS - drained;
                waits.insert(format!("p{n} knows of all drains and no others"), (known, seen));
            }
            if waits.values().all(|(well, _)| *well) || Instant::now() >= end {
                break;
            }
            sleep(LOOK).await;
        }
        for (what, (well, seen)) in waits {
            let what = if well { what } else { format!("{what}: {seen}") };
            self.history.now_that("rig", Did::Back { what, well });
        }
        Ok(())
    }

    /// How an instance that does not answer stands: whether its process runs, and what it logged last.
    fn standing(&self, place: usize) -> String {
        let instance = &mut locked(&self.instances)[place];
        let runs = instance.process.pid().is_some() && !instance.process.has_ended();
        let log = instance.process.log();
        let last: Vec<&str> = log.lines().rev().take(LAST_LINES).collect();
        let state = if runs { "runs" } else { "has ended" };
        format!("{} {state} and does not answer; its last lines: {last:?}", instance.name)
    }

    /// Notes what is to be seen at the end.
    pub(super) async fn finish(&self) {
        for place in 0..self.script.instances as usize {
            if let Some(said) = self.get(place, "/versions/now").await {
                let versions = said["versions"].as_array().into_iter().flatten();
                let versions =
                    versions.filter_map(|v| Some((v["serial"].as_u64()?, v["plan"].as_str()?.to_owned())));
                self.history.now_that(&format!("i{place}"), Did::Versions { versions: versions.collect() });
            }
        }
        let drained = locked(&self.drained).len().min(ENDPOINTS - 2);
        for (n, proxy) in locked(&self.proxies).iter().enumerate() {
            let (who, state) = (format!("p{n}"), proxy.proxy.state());
            for told in &state.received {
                let serial = told.clusters.iter().filter_map(|name| serial_of(name)).max().unwrap_or(0);
                let kind = told.kind.rsplit('.').next().unwrap_or_default().to_owned();
                let at = self.history.at(told.at);
                self.history.note(
                    &who,
                    at,
                    Some(at),
                    Did::Told { kind, version: told.version.clone(), serial },
                );
            }
            for endpoint in &self.endpoints[..drained] {
                if let Some(last) = state.sent.get(&endpoint.address) {
                    let (at, endpoint) = (self.history.at(*last), endpoint.address.to_string());
                    self.history.note(&who, at, Some(at), Did::Reached { endpoint, proxy: who.clone() });
                }
            }
        }
    }
}
