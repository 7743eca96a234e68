//! Injects the faults of a script.

use super::{ENDPOINT_COUNT, POLL_INTERVAL, RECOVERY_TIMEOUT, RESPONSE_TIMEOUT, Round};
use crate::history::EventKind;
use crate::link::{LinkState, flap, locked};
use crate::process::Process;
use crate::script::{FaultKind, InstanceRef, LinkFault};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Name of an instance in links and histories.
fn instance_name(index: usize) -> String {
    format!("i{index}")
}

impl Round {
    pub(super) fn instance_index(&self, who: InstanceRef) -> usize {
        let index = match who {
            InstanceRef::Leader => self.leader.load(Ordering::SeqCst),
            InstanceRef::Instance(index) => index,
        };
        (index % self.script.instances) as usize
    }

    /// Sleeps, at most until all faults are to be ended.
    pub(super) async fn sleep_until_healing(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end && !self.healing.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(20).min(end - Instant::now())).await;
        }
    }

    /// Injects one fault and ends it after its duration, or as soon as all faults are to be ended.
    pub(super) async fn inject(&self, what: &FaultKind, lasts: Duration) {
        match *what {
            FaultKind::Cut { who, how } => {
                self.disturb_instance(self.instance_index(who), how, lasts).await
            }
            FaultKind::Link { from, to, how } => {
                self.disturb_link(self.instance_index(from), self.instance_index(to), how, lasts).await;
            }
            FaultKind::Blind { who } => self.block_discovery(self.instance_index(who), lasts).await,
            FaultKind::Kill { who } => self.restart(self.instance_index(who), Process::kill, lasts).await,
            FaultKind::End { who } => {
                self.restart(self.instance_index(who), Process::terminate, lasts).await
            }
            FaultKind::Lose { who } => self.lose_member(self.instance_index(who), lasts).await,
            FaultKind::Stop { who } => self.pause(self.instance_index(who), lasts).await,
            FaultKind::PowerOff => self.power_off(lasts).await,
            FaultKind::Drain => self.drain_next(),
            FaultKind::Apply => self.apply().await,
            FaultKind::Move { proxy, to } => self.move_proxy(proxy as usize, to as usize),
            FaultKind::Transfer { to } => self.transfer_leadership(to as usize).await,
        }
    }

    /// Deletes a member's folder and replaces the member. Replacements run one after another: with three of five
    /// members lost at once, no majority is left to admit a new member, and on a busy machine a replacement may take
    /// longer than the script allows for.
    async fn lose_member(&self, index: usize, lasts: Duration) {
        let _turn = self.replacing.lock().await;
        self.record_fault(&instance_name(index), "lost");
        self.replace(index, lasts).await;
        self.wait_for_majority(index).await;
        self.record_fault(&instance_name(index), "replaced");
    }

    /// Waits until an instance has contact with a majority, up to a time limit.
    async fn wait_for_majority(&self, index: usize) {
        let in_touch = async {
            while self.get(index, "/cluster").await.is_none_or(|response| response["majority"] != true) {
                sleep(POLL_INTERVAL).await;
            }
        };
        let _ = timeout(RECOVERY_TIMEOUT, in_touch).await; // a failure to recover is checked at the end of the round
    }

    fn record_fault(&self, who: &str, what: &str) {
        self.history.record_now(who, EventKind::Fault { what: what.to_owned() });
    }

    /// Disturbs the links between an instance and all others.
    async fn disturb_instance(&self, index: usize, how: LinkFault, lasts: Duration) {
        let others = (0..self.script.instances as usize).filter(|other| *other != index);
        let pairs = others.flat_map(|other| {
            [(instance_name(index), instance_name(other)), (instance_name(other), instance_name(index))]
        });
        self.disturb(&pairs.collect::<Vec<_>>(), index, how, lasts).await;
    }

    /// Disturbs the links between two instances.
    async fn disturb_link(&self, from: usize, to: usize, how: LinkFault, lasts: Duration) {
        let pairs = [(instance_name(from), instance_name(to)), (instance_name(to), instance_name(from))];
        self.disturb(&pairs, from, how, lasts).await;
    }

    /// Blocks both directions of the link between an instance and discovery.
    async fn block_discovery(&self, index: usize, lasts: Duration) {
        let set = |held| {
            self.links.set(&instance_name(index), "discovery", |state| {
                (state.to_target.blocked, state.to_source.blocked) = (held, held)
            })
        };
        self.record_fault(&instance_name(index), "blind");
        set(true);
        self.sleep_until_healing(lasts).await;
        set(false);
        self.record_fault(&instance_name(index), "sees");
    }

    /// Stops an instance's process and starts it again.
    async fn restart(&self, index: usize, take_down: fn(&mut Process), lasts: Duration) {
        self.record_fault(&instance_name(index), "down");
        take_down(&mut locked(&self.instances)[index].process);
        self.move_proxies_from(index).await;
        self.sleep_until_healing(lasts).await;
        let _ = self.start_instance(index);
        self.record_fault(&instance_name(index), "up");
    }

    /// Pauses an instance's process with SIGSTOP and resumes it.
    async fn pause(&self, index: usize, lasts: Duration) {
        self.record_fault(&instance_name(index), "stopped");
        locked(&self.instances)[index].process.pause();
        self.sleep_until_healing(lasts).await;
        locked(&self.instances)[index].process.resume();
        self.record_fault(&instance_name(index), "goes on");
    }

    /// Kills all instances at once and starts them again.
    async fn power_off(&self, lasts: Duration) {
        self.record_fault("all", "power off");
        let indices = 0..self.script.instances as usize;
        indices.clone().for_each(|index| self.record_fault(&instance_name(index), "down"));
        locked(&self.instances).iter_mut().for_each(|instance| instance.process.kill());
        self.sleep_until_healing(lasts).await;
        for index in indices {
            let _ = self.start_instance(index);
            self.record_fault(&instance_name(index), "up");
        }
    }

    /// Drains the next endpoint in order; two of them are never drained.
    fn drain_next(&self) {
        let endpoint = {
            let mut drained = locked(&self.drained);
            let next = drained.len();
            drained.push(next);
            next
        };
        if endpoint + 2 < ENDPOINT_COUNT {
            let count = endpoint as u64 + 1;
            self.discovery.drain(&format!("e{endpoint}"));
            let endpoint = self.endpoints[endpoint].address.to_string();
            self.history.record_now("discovery", EventKind::Drained { endpoint, count });
        }
    }

    async fn transfer_leadership(&self, to: usize) {
        self.record_fault(&instance_name(to), "is to lead");
        let leader = locked(&self.instances)[to].name.clone();
        let _ = timeout(RESPONSE_TIMEOUT, self.run_ctl(&["cluster", "transfer", &leader])).await; // the transfer may fail
    }

    pub(super) async fn disturb(
        &self,
        pairs: &[(String, String)],
        index: usize,
        how: LinkFault,
        lasts: Duration,
    ) {
        self.history.record_now(
            &format!("i{index}"),
            EventKind::Fault { what: format!("links {how:?} {pairs:?}") },
        );
        let set = |change: &dyn Fn(&mut LinkState, bool)| {
            for (from, to) in pairs {
                // Whether data to the target leaves the disturbed instance depends on which side connects.
                let away = *from == format!("i{index}");
                self.links.set(from, to, |state| change(state, away));
            }
        };
        match how {
            LinkFault::Held => {
                set(&|state, _| (state.to_target.blocked, state.to_source.blocked) = (true, true))
            }
            LinkFault::HeldThere => set(&|state, away| {
                if away { state.to_target.blocked = true } else { state.to_source.blocked = true }
            }),
            LinkFault::HeldBack => set(&|state, away| {
                if away { state.to_source.blocked = true } else { state.to_target.blocked = true }
            }),
            LinkFault::Refused => set(&|state, _| state.refused = true),
            LinkFault::Reset => set(&|state, _| state.resets += 1),
            LinkFault::Late(ms) => set(&|state, _| {
                (state.to_target.delay, state.to_source.delay) =
                    (Duration::from_millis(ms.into()), Duration::from_millis(ms.into()))
            }),
            LinkFault::Slow(kib) => set(&|state, _| {
                (state.to_target.bytes_per_s, state.to_source.bytes_per_s) = (kib << 10, kib << 10)
            }),
            LinkFault::Flaps(times) => {
                let flaps = flap(&self.links, pairs, times);
                tokio::select! {
                    () = flaps => {}
                    () = self.sleep_until_healing(lasts) => {}
                }
            }
        }
        self.sleep_until_healing(if matches!(how, LinkFault::Flaps(_)) { Duration::ZERO } else { lasts })
            .await;
        set(&|state, _| *state = LinkState { resets: state.resets, ..LinkState::default() });
        self.history.record_now(&format!("i{index}"), EventKind::Fault { what: "links open".to_owned() });
    }

    /// Kills a member, deletes its folder, removes it from the cluster and adds a new member in its place.
    pub(super) async fn replace(&self, index: usize, lasts: Duration) {
        let (old, folder) = {
            let instance = &mut locked(&self.instances)[index];
            instance.process.kill();
            (instance.name.clone(), instance.member.clone())
        };
        let _ = std::fs::remove_dir_all(folder);
        self.move_proxies_from(index).await;
        self.sleep_until_healing(lasts).await;
        let new = format!("{old}n");
        let Ok(instance) = self.new_instance(index, &new).await else { return };
        let end = Instant::now() + 2 * RECOVERY_TIMEOUT;
        // Each step is retried until a majority has committed it.
        let steps = [vec!["cluster", "remove", &old]];
        for step in &steps {
            while let Err(problem) = self.run_ctl(step).await {
                if problem.to_string().contains("no member") || Instant::now() >= end {
                    break;
                }
            }
        }
        while let Err(problem) = self.add_member(&instance).await {
            if Instant::now() >= end {
                return self
                    .history
                    .record_now("rig", EventKind::Fault { what: format!("not replaced: {problem}") });
            }
        }
        let xds = instance.xds;
        locked(&self.instances)[index] = instance;
        let _ = self.start_instance(index);
        for proxy in locked(&self.proxies).iter().filter(|proxy| proxy.at == index) {
            proxy.target.send_replace(xds);
        }
    }
}
