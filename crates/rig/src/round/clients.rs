//! Clients of a round: they write, read, commit versions and poll the status of instances.

use super::{
    HOLD_KEYS, POLL_INTERVAL, PROXY_FAILOVER_DELAY, RETRY_DURATION, Round, WRITE_RESPONSE_TIMEOUT,
    canonical_fleet, fleet_toml,
};
use crate::history::EventKind;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_plan::Plan;
use runtrack_testkit::http_request;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

impl Round {
    pub(super) fn rng(&self, who: u64) -> Pcg32 {
        Pcg32::seed_from_u64(self.script.seed.wrapping_mul(31).wrapping_add(who))
    }

    pub(super) fn is_running(&self) -> bool {
        !self.stopping.load(Ordering::SeqCst)
    }

    /// Retries a write at one instance after another until its outcome is known; `None`: it is not known.
    pub(crate) async fn write(
        &self,
        first: usize,
        id: &str,
        command: &Value,
    ) -> Option<Result<Value, String>> {
        let body = json!({"id": id, "command": command}).to_string();
        let end = Instant::now() + RETRY_DURATION;
        for n in 0.. {
            let index = (first + n) % self.script.instances as usize;
            match timeout(WRITE_RESPONSE_TIMEOUT, http_request(self.admin(index), "POST", "/write", &body))
                .await
            {
                Ok(Ok((200, body))) => {
                    return serde_json::from_str::<Value>(&body)
                        .ok()
                        .map(|body| Ok(body["outcome"].clone()));
                }
                // A rejection with an index was decided in the log; without one it is this instance's own, and another
                // may accept.
                Ok(Ok((409, body))) if body.contains("\"index\"") => return Some(Err(body)),
                _ => {}
            }
            if Instant::now() >= end {
                return None;
            }
            sleep(Duration::from_millis(30)).await;
        }
        None
    }

    pub(super) async fn write_holds(self: Arc<Self>, n: u64) {
        let (who, mut rng) = (format!("holder-{n}"), self.rng(n));
        let (mut count, mut last) = (0, BTreeMap::new());
        while self.is_running() {
            // Two keys of its own, whose value changes with each write so that stale reads are detected, and one
            // shared key.
            let key = match rng.next_u32() % 5 {
                0 => HOLD_KEYS - 1,
                draw => 2 * n as u32 + draw % 2,
            };
            let held = if key + 1 == HOLD_KEYS {
                rng.next_u32() % 2 == 0
            } else {
                !last.get(&key).unwrap_or(&false)
            };
            last.insert(key, held);
            let key = format!("k{key}");
            let (first, id) = ((rng.next_u32() % self.script.instances) as usize, format!("{who}-{count}"));
            count += 1;
            let by = json!({"author": who, "reason": "", "at_ms": 0});
            let command = json!({"hold": {"pool": "h", "uid": key, "held": held, "by": by}});
            let began = self.history.now_micros();
            let done = self.write(first, &id, &command).await;
            let ended = done.as_ref().map(|_| self.history.now_micros());
            let refused = matches!(done, Some(Err(_)));
            self.history.record(&who, began, ended, EventKind::Hold { key, held, id, refused });
            sleep(Duration::from_millis(u64::from(rng.next_u32() % 60))).await;
        }
    }

    /// Sends reads without waiting for earlier responses, so that a paused process gets further reads meanwhile.
    pub(super) async fn read_continuously(self: Arc<Self>) {
        let (mut rng, mut reads) = (self.rng(77), JoinSet::new());
        while self.is_running() {
            let index = (rng.next_u32() % self.script.instances) as usize;
            reads.spawn(self.clone().read(index));
            while reads.try_join_next().is_some() {}
            sleep(Duration::from_millis(20 + u64::from(rng.next_u32() % 60))).await;
        }
        while reads.join_next().await.is_some() {}
    }

    pub(super) async fn read(self: Arc<Self>, index: usize) {
        let began = self.history.now_micros();
        let Some(response) = self.get(index, "/versions/now").await else { return };
        let ended = Some(self.history.now_micros());
        let pairs = response["held"].as_array().into_iter().flatten();
        let held: BTreeSet<&str> = pairs.filter_map(|pair| pair[1].as_str()).collect();
        for key in (0..HOLD_KEYS).map(|key| format!("k{key}")) {
            let held = held.contains(key.as_str());
            self.history.record(
                &format!("reader at i{index}"),
                began,
                ended,
                EventKind::Held { key, held },
            );
        }
    }

    /// Commits one version on top of the current one as an instance reports it.
    pub(super) async fn commit(&self, index: usize, id: &str) -> io::Result<Option<u64>> {
        self.commit_text(index, id, |serial| canonical_fleet(self.discovery_at, serial)).await
    }

    pub(super) async fn commit_text(
        &self,
        index: usize,
        id: &str,
        text: impl Fn(u64) -> String,
    ) -> io::Result<Option<u64>> {
        let Some(response) = self.get(index, "/versions").await else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let current = response["versions"]
            .as_array()
            .and_then(|versions| versions.last())
            .cloned()
            .unwrap_or_default();
        let (on, parent) =
            (response["serial"].as_u64().unwrap_or(0), current["hash"].as_str().unwrap_or_default());
        let by = json!({"author": "rig", "reason": "", "at_ms": 0});
        let commit = json!({"commit": {
            "on": on, "parent": parent, "text": text(on + 1), "by": by, "plan": id, "stages": [], "pause_ms": 0,
        }});
        let began = self.history.now_micros();
        let done = self.write(index, id, &commit).await;
        let ended = done.as_ref().map(|_| self.history.now_micros());
        let serial = match &done {
            Some(Ok(outcome)) => outcome["committed"].as_u64(),
            _ => None,
        };
        let refused = done.is_some() && serial.is_none();
        self.history.record(
            "committer",
            began,
            ended,
            EventKind::Commit { id: id.to_owned(), serial, refused },
        );
        Ok(serial)
    }

    /// Plans a change of the configuration and applies it twice; the second call must give the same answer.
    pub(super) async fn apply(&self) {
        let path =
            |suffix: &str| self.folder.path().join(format!("apply-{}.{suffix}", self.history.now_micros()));
        let end = Instant::now() + RETRY_DURATION;
        // The highest serial that a plan was based on.
        let mut newest = 0;
        while Instant::now() < end {
            let Some(response) = self.get(0, "/versions").await else {
                sleep(PROXY_FAILOVER_DELAY).await;
                continue;
            };
            let on = response["serial"].as_u64().unwrap_or(0).max(newest);
            let toml = fleet_toml(self.discovery_at, on + 1);
            let (file, plan) = (path("toml"), path("plan"));
            let (file, plan) = (file.display().to_string(), plan.display().to_string());
            if std::fs::write(&file, toml).is_err()
                || self.run_ctl(&["plan", &file, "-o", &plan]).await.is_err()
            {
                continue;
            }
            // The pool is named after the serial of the new version. If the first instance is behind the one that
            // planned, the version would carry an older name, which the check would take for a regression at the
            // proxies.
            let Some(plan_made) = std::fs::read(&plan).ok().and_then(|bytes| Plan::from_bytes(&bytes).ok())
            else {
                continue;
            };
            if plan_made.serial != on {
                newest = plan_made.serial;
                continue;
            }
            let id = plan_made.id;
            let mut moved = false;
            for _ in 0..2 {
                let began = self.history.now_micros();
                let done = self.run_ctl(&["apply", &plan]).await;
                let word = done.as_ref().ok().and_then(|response| response.split("as serial ").nth(1));
                let digits =
                    word.map(|word| word.chars().take_while(char::is_ascii_digit).collect::<String>());
                let serial = digits.and_then(|digits| digits.parse().ok());
                moved = done.as_ref().is_err_and(|problem| problem.to_string().contains("has moved"));
                let known = serial.is_some() || moved;
                let ended = known.then(|| self.history.now_micros());
                let observation = EventKind::Commit { id: id.clone(), serial, refused: moved };
                self.history.record("runtrackctl", began, ended, observation);
            }
            if !moved {
                return;
            }
        }
    }

    pub(super) async fn commit_continuously(self: Arc<Self>) {
        let mut rng = self.rng(99);
        for n in 0_u32.. {
            if !self.is_running() {
                return;
            }
            let index = (rng.next_u32() % self.script.instances) as usize;
            let _ = self.commit(index, &format!("commit-{n}")).await; // an instance may be down
            sleep(Duration::from_millis(100 + u64::from(rng.next_u32() % 300))).await;
        }
    }

    /// Polls the status of an instance.
    pub(super) async fn poll_status(self: Arc<Self>, index: usize) {
        while self.is_running() {
            let run = self.runs.load(Ordering::SeqCst);
            let began = self.history.now_micros();
            if let Some(response) = self.get(index, "/status").await {
                let ended = Some(self.history.now_micros());
                let standing = &response["cluster"]["standing"];
                let leads = standing["role"] == "leader";
                if leads {
                    self.leader.store(index as u32, Ordering::SeqCst);
                }
                let observation = EventKind::Stood {
                    run,
                    term: standing["term"].as_u64().unwrap_or(0),
                    leads,
                    index: response["cluster"]["index"].as_u64().unwrap_or(0),
                    draining: response["pools"]["p"]["draining"].as_u64().unwrap_or(0),
                };
                self.history.record(&format!("i{index}"), began, ended, observation);
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
