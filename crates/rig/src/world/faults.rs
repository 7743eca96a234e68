//! What goes wrong, as a script says.

use super::{ANSWER, BACK, ENDPOINTS, LOOK, World};
use crate::history::Did;
use crate::link::{Rule, flap, locked};
use crate::process::Process;
use crate::script::{How, What, Who};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How scripts and histories name the instance at a place.
fn name(place: usize) -> String {
    format!("i{place}")
}

impl World {
    pub(super) fn place(&self, who: Who) -> usize {
        let place = match who {
            Who::Leader => self.leader.load(Ordering::SeqCst),
            Who::Instance(place) => place,
        };
        (place % self.script.instances) as usize
    }

    /// Waits, at most until everything is healed.
    pub(super) async fn lasts(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end && !self.healing.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(20).min(end - Instant::now())).await;
        }
    }

    /// Causes one fault and ends it after its time, or as soon as everything is healed.
    pub(super) async fn fault(&self, what: &What, lasts: Duration) {
        match *what {
            What::Cut { who, how } => self.cut_off(self.place(who), how, lasts).await,
            What::Link { from, to, how } => {
                self.disturb_link(self.place(from), self.place(to), how, lasts).await;
            }
            What::Blind { who } => self.blind(self.place(who), lasts).await,
            What::Kill { who } => self.restart(self.place(who), Process::kill, lasts).await,
            What::End { who } => self.restart(self.place(who), Process::end, lasts).await,
            What::Lose { who } => self.lose(self.place(who), lasts).await,
            What::Stop { who } => self.pause(self.place(who), lasts).await,
            What::PowerOff => self.power_off(lasts).await,
            What::Drain => self.drain_next(),
            What::Apply => self.apply().await,
            What::Move { proxy, to } => self.lead(proxy as usize, to as usize),
            What::Transfer { to } => self.transfer_leadership(to as usize).await,
        }
    }

    /// A member loses its folder and is replaced. One after another: three of five that are lost at once leave no majority which
    /// could take in the first of their successors, and on a busy machine a replacement takes longer than a script foresees.
    async fn lose(&self, place: usize, lasts: Duration) {
        let _turn = self.replacing.lock().await;
        self.log_fault(&name(place), "lost");
        self.replace(place, lasts).await;
        self.wait_for_majority(place).await;
        self.log_fault(&name(place), "replaced");
    }

    /// Waits until an instance is in touch with a majority, within bounds.
    async fn wait_for_majority(&self, place: usize) {
        let in_touch = async {
            while self.get(place, "/cluster").await.is_none_or(|said| said["majority"] != true) {
                sleep(LOOK).await;
            }
        };
        let _ = timeout(BACK, in_touch).await; // what has not come back by then is judged in the end
    }

    fn log_fault(&self, who: &str, what: &str) {
        self.history.now_that(who, Did::Fault { what: what.to_owned() });
    }

    /// Disturbs the links between an instance and all others.
    async fn cut_off(&self, place: usize, how: How, lasts: Duration) {
        let others = (0..self.script.instances as usize).filter(|other| *other != place);
        let pairs = others.flat_map(|other| [(name(place), name(other)), (name(other), name(place))]);
        self.spoil(&pairs.collect::<Vec<_>>(), place, how, lasts).await;
    }

    /// Disturbs the links between two instances.
    async fn disturb_link(&self, from: usize, to: usize, how: How, lasts: Duration) {
        let pairs = [(name(from), name(to)), (name(to), name(from))];
        self.spoil(&pairs, from, how, lasts).await;
    }

    /// Holds what an instance and the discovery service send each other.
    async fn blind(&self, place: usize, lasts: Duration) {
        let set = |held| {
            self.links
                .set(&name(place), "discovery", |rule| (rule.there.held, rule.back.held) = (held, held))
        };
        self.log_fault(&name(place), "blind");
        set(true);
        self.lasts(lasts).await;
        set(false);
        self.log_fault(&name(place), "sees");
    }

    /// Takes an instance's process down and starts it again.
    async fn restart(&self, place: usize, take_down: fn(&mut Process), lasts: Duration) {
        self.log_fault(&name(place), "down");
        take_down(&mut locked(&self.instances)[place].process);
        self.flee(place).await;
        self.lasts(lasts).await;
        let _ = self.launch(place);
        self.log_fault(&name(place), "up");
    }

    /// Stops an instance's process without ending it, and lets it go on.
    async fn pause(&self, place: usize, lasts: Duration) {
        self.log_fault(&name(place), "stopped");
        locked(&self.instances)[place].process.stop();
        self.lasts(lasts).await;
        locked(&self.instances)[place].process.go_on();
        self.log_fault(&name(place), "goes on");
    }

    /// Kills all instances at once and starts them again.
    async fn power_off(&self, lasts: Duration) {
        self.log_fault("all", "power off");
        let places = 0..self.script.instances as usize;
        places.clone().for_each(|place| self.log_fault(&name(place), "down"));
        locked(&self.instances).iter_mut().for_each(|instance| instance.process.kill());
        self.lasts(lasts).await;
        for place in places {
            let _ = self.launch(place);
            self.log_fault(&name(place), "up");
        }
    }

    /// Drains the next endpoint in order; two of them always stay.
    fn drain_next(&self) {
        let endpoint = {
            let mut drained = locked(&self.drained);
            let next = drained.len();
            drained.push(next);
            next
        };
        if endpoint + 2 < ENDPOINTS {
            let count = endpoint as u64 + 1;
            self.discovery.drain(&format!("e{endpoint}"));
            let endpoint = self.endpoints[endpoint].address.to_string();
            self.history.now_that("discovery", Did::Drained { endpoint, count });
        }
    }

    async fn transfer_leadership(&self, to: usize) {
        self.log_fault(&name(to), "is to lead");
        let leader = locked(&self.instances)[to].name.clone();
        let _ = timeout(ANSWER, self.ctl(&["cluster", "transfer", &leader])).await; // it may be in vain
    }

    pub(super) async fn spoil(&self, pairs: &[(String, String)], place: usize, how: How, lasts: Duration) {
        self.history
            .now_that(&format!("i{place}"), Did::Fault { what: format!("links {how:?} {pairs:?}") });
        let set = |change: &dyn Fn(&mut Rule, bool)| {
            for (from, to) in pairs {
                // There is away from the one that is cut off, whoever connects.
                let away = *from == format!("i{place}");
                self.links.set(from, to, |rule| change(rule, away));
            }
        };
        match how {
            How::Held => set(&|rule, _| (rule.there.held, rule.back.held) = (true, true)),
            How::HeldThere => {
                set(&|rule, away| if away { rule.there.held = true } else { rule.back.held = true })
            }
            How::HeldBack => {
                set(&|rule, away| if away { rule.back.held = true } else { rule.there.held = true })
            }
            How::Refused => set(&|rule, _| rule.refused = true),
            How::Reset => set(&|rule, _| rule.resets += 1),
            How::Late(ms) => set(&|rule, _| {
                (rule.there.late, rule.back.late) =
                    (Duration::from_millis(ms.into()), Duration::from_millis(ms.into()))
            }),
            How::Slow(kib) => set(&|rule, _| (rule.there.rate, rule.back.rate) = (kib << 10, kib << 10)),
            How::Flaps(times) => {
                let flaps = flap(&self.links, pairs, times);
                tokio::select! {
                    () = flaps => {}
                    () = self.lasts(lasts) => {}
                }
            }
        }
        self.lasts(if matches!(how, How::Flaps(_)) { Duration::ZERO } else { lasts }).await;
        set(&|rule, _| *rule = Rule { resets: rule.resets, ..Rule::default() });
        self.history.now_that(&format!("i{place}"), Did::Fault { what: "links open".to_owned() });
    }

    /// A member's folder is lost: it is removed, and another one takes its place.
    pub(super) async fn replace(&self, place: usize, lasts: Duration) {
        let (old, folder) = {
            let instance = &mut locked(&self.instances)[place];
            instance.process.kill();
            (instance.name.clone(), instance.member.clone())
        };
        let _ = std::fs::remove_dir_all(folder);
        self.flee(place).await;
        self.lasts(lasts).await;
        let new = format!("{old}n");
        let Ok(instance) = self.instance(place, &new).await else { return };
        let end = Instant::now() + 2 * BACK;
        // Each step is repeated until a majority has taken it.
        let steps = [vec!["cluster", "remove", &old]];
        for step in &steps {
            while let Err(problem) = self.ctl(step).await {
                if problem.to_string().contains("no member") || Instant::now() >= end {
                    break;
                }
            }
        }
        while let Err(problem) = self.invite(&instance).await {
            if Instant::now() >= end {
                return self
                    .history
                    .now_that("rig", Did::Fault { what: format!("not replaced: {problem}") });
            }
        }
        let xds = instance.xds;
        locked(&self.instances)[place] = instance;
        let _ = self.launch(place);
        for proxy in locked(&self.proxies).iter().filter(|proxy| proxy.at == place) {
            proxy.target.send_replace(xds);
        }
    }
}
