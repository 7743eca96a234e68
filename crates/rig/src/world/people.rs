//! People at work: they write, read, commit versions and look how instances stand.

use super::{FINDS, KEYS, LOOK, REPEATS, WRITE_ANSWER, World, fleet, fleet_toml};
use crate::history::Did;
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

impl World {
    pub(super) fn draws(&self, who: u64) -> Pcg32 {
        Pcg32::seed_from_u64(self.script.seed.wrapping_mul(31).wrapping_add(who))
    }

    pub(super) fn goes_on(&self) -> bool {
        !self.over.load(Ordering::SeqCst)
    }

    /// Asks one instance after the other until one knows; none: nobody does.
    pub(crate) async fn write(
        &self,
        first: usize,
        id: &str,
        command: &Value,
    ) -> Option<Result<Value, String>> {
        let body = json!({"id": id, "command": command}).to_string();
        let end = Instant::now() + REPEATS;
        for n in 0.. {
            let place = (first + n) % self.script.instances as usize;
            match timeout(WRITE_ANSWER, http_request(self.admin(place), "POST", "/write", &body)).await {
                Ok(Ok((200, body))) => {
                    return serde_json::from_str::<Value>(&body)
                        .ok()
                        .map(|body| Ok(body["outcome"].clone()));
                }
                // Refused in the log, by its index, or by this instance alone, which another one may not do.
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

    pub(super) async fn holder(self: Arc<Self>, n: u64) {
        let (who, mut draws) = (format!("holder-{n}"), self.draws(n));
        let (mut count, mut last) = (0, BTreeMap::new());
        while self.goes_on() {
            // Two keys of its own, which it turns each time, so that what is old can be told; and one of everybody's.
            let key = match draws.next_u32() % 5 {
                0 => KEYS - 1,
                draw => 2 * n as u32 + draw % 2,
            };
            let held =
                if key + 1 == KEYS { draws.next_u32() % 2 == 0 } else { !last.get(&key).unwrap_or(&false) };
            last.insert(key, held);
            let key = format!("k{key}");
            let (first, id) =
                ((draws.next_u32() % self.script.instances) as usize, format!("{who}-{count}"));
            count += 1;
            let by = json!({"author": who, "reason": "", "at_ms": 0});
            let command = json!({"hold": {"pool": "h", "uid": key, "held": held, "by": by}});
            let began = self.history.now();
            let done = self.write(first, &id, &command).await;
            let ended = done.as_ref().map(|_| self.history.now());
            let refused = matches!(done, Some(Err(_)));
            self.history.note(&who, began, ended, Did::Hold { key, held, id, refused });
            sleep(Duration::from_millis(u64::from(draws.next_u32() % 60))).await;
        }
    }

    /// Reads without waiting for the answer to the read before: a process that stalls is asked again meanwhile.
    pub(super) async fn reader(self: Arc<Self>) {
        let (mut draws, mut reads) = (self.draws(77), JoinSet::new());
        while self.goes_on() {
            let place = (draws.next_u32() % self.script.instances) as usize;
            reads.spawn(self.clone().read(place));
            while reads.try_join_next().is_some() {}
            sleep(Duration::from_millis(20 + u64::from(draws.next_u32() % 60))).await;
        }
        while reads.join_next().await.is_some() {}
    }

    pub(super) async fn read(self: Arc<Self>, place: usize) {
        let began = self.history.now();
        let Some(said) = self.get(place, "/versions/now").await else { return };
        let ended = Some(self.history.now());
        let pairs = said["held"].as_array().into_iter().flatten();
        let held: BTreeSet<&str> = pairs.filter_map(|pair| pair[1].as_str()).collect();
        for key in (0..KEYS).map(|key| format!("k{key}")) {
            let held = held.contains(key.as_str());
            self.history.note(&format!("reader at i{place}"), began, ended, Did::Held { key, held });
        }
    }

    /// Commits one version on top of what an instance says is the current one.
    pub(super) async fn commit(&self, place: usize, id: &str) -> io::Result<Option<u64>> {
        self.commit_text(place, id, |serial| fleet(self.discovery_at, serial)).await
    }

    pub(super) async fn commit_text(
        &self,
        place: usize,
        id: &str,
        text: impl Fn(u64) -> String,
    ) -> io::Result<Option<u64>> {
        let Some(said) = self.get(place, "/versions").await else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let current =
            said["versions"].as_array().and_then(|versions| versions.last()).cloned().unwrap_or_default();
        let (on, parent) =
            (said["serial"].as_u64().unwrap_or(0), current["hash"].as_str().unwrap_or_default());
        let by = json!({"author": "rig", "reason": "", "at_ms": 0});
        let commit = json!({"commit": {
            "on": on, "parent": parent, "text": text(on + 1), "by": by, "plan": id, "stages": [], "pause_ms": 0,
        }});
        let began = self.history.now();
        let done = self.write(place, id, &commit).await;
        let ended = done.as_ref().map(|_| self.history.now());
        let serial = match &done {
            Some(Ok(outcome)) => outcome["committed"].as_u64(),
            _ => None,
        };
        let refused = done.is_some() && serial.is_none();
        self.history.note("committer", began, ended, Did::Commit { id: id.to_owned(), serial, refused });
        Ok(serial)
    }

    /// Plans a change of the fleet and applies it; once more, that must give the same answer.
    pub(super) async fn apply(&self) {
        let path = |suffix: &str| self.folder.path().join(format!("apply-{}.{suffix}", self.history.now()));
        let end = Instant::now() + REPEATS;
        // The newest serial that a plan was made on.
        let mut newest = 0;
        while Instant::now() < end {
            let Some(said) = self.get(0, "/versions").await else {
                sleep(FINDS).await;
                continue;
            };
            let on = said["serial"].as_u64().unwrap_or(0).max(newest);
            let toml = fleet_toml(self.discovery_at, on + 1);
            let (file, plan) = (path("toml"), path("plan"));
            let (file, plan) = (file.display().to_string(), plan.display().to_string());
            if std::fs::write(&file, toml).is_err()
                || self.ctl(&["plan", &file, "-o", &plan]).await.is_err()
            {
                continue;
            }
            // The pool is named after the serial that the version is to have. The first instance may be behind the one that
            // planned: the version would bear an older name, and proxies seem to go back.
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
                let began = self.history.now();
                let done = self.ctl(&["apply", &plan]).await;
                let word = done.as_ref().ok().and_then(|said| said.split("as serial ").nth(1));
                let digits =
                    word.map(|word| word.chars().take_while(char::is_ascii_digit).collect::<String>());
                let serial = digits.and_then(|digits| digits.parse().ok());
                moved = done.as_ref().is_err_and(|problem| problem.to_string().contains("has moved"));
                let known = serial.is_some() || moved;
                let ended = known.then(|| self.history.now());
                let did = Did::Commit { id: id.clone(), serial, refused: moved };
                self.history.note("runtrackctl", began, ended, did);
            }
            if !moved {
                return;
            }
        }
    }

    pub(super) async fn committer(self: Arc<Self>) {
        let mut draws = self.draws(99);
        for n in 0_u32.. {
            if !self.goes_on() {
                return;
            }
            let place = (draws.next_u32() % self.script.instances) as usize;
            let _ = self.commit(place, &format!("commit-{n}")).await; // one that is down says nothing
            sleep(Duration::from_millis(100 + u64::from(draws.next_u32() % 300))).await;
        }
    }

    /// Looks how an instance stands, again and again.
    pub(super) async fn look(self: Arc<Self>, place: usize) {
        while self.goes_on() {
            let run = self.runs.load(Ordering::SeqCst);
            let began = self.history.now();
            if let Some(said) = self.get(place, "/status").await {
                let ended = Some(self.history.now());
                let standing = &said["cluster"]["standing"];
                let leads = standing["role"] == "leader";
                if leads {
                    self.leader.store(place as u32, Ordering::SeqCst);
                }
                let did = Did::Stood {
                    run,
                    term: standing["term"].as_u64().unwrap_or(0),
                    leads,
                    index: said["cluster"]["index"].as_u64().unwrap_or(0),
                    draining: said["pools"]["p"]["draining"].as_u64().unwrap_or(0),
                };
                self.history.note(&format!("i{place}"), began, ended, did);
            }
            sleep(LOOK).await;
        }
    }
}
