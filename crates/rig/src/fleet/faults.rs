//! Injects the faults of a script, and records which members and agents they affected and when.

use super::cluster::Cluster;
use super::cuts::Pair;
use super::history::EventKind;
use super::script::{Cut, Fault, FaultKind};
use crate::link::LinkState;
use crate::process::Process;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// Members and agents that a fault affects.
#[derive(Default)]
struct Impact {
    members: Vec<usize>,
    agents: Vec<usize>,
    isolated: Option<usize>,
}

impl Impact {
    fn member(member: usize) -> Impact {
        Impact { members: vec![member], ..Impact::default() }
    }

    fn agent(agent: usize) -> Impact {
        Impact { agents: vec![agent], ..Impact::default() }
    }

    fn of(what: &FaultKind, members: usize) -> Impact {
        match *what {
            FaultKind::PowerOff => Impact { members: (0..members).collect(), ..Impact::default() },
            FaultKind::CutMember { member, cut } => {
                let isolated = (cut == Cut::Both).then_some(member);
                Impact { isolated, ..Impact::member(member) }
            }
            FaultKind::CutPair { member, other } => {
                Impact { members: vec![member, other], ..Impact::default() }
            }
            FaultKind::CutAgent { agent }
            | FaultKind::KillAgent { agent }
            | FaultKind::StopAgent { agent } => Impact::agent(agent),
            FaultKind::Kill { member }
            | FaultKind::Terminate { member }
            | FaultKind::Stop { member }
            | FaultKind::Wipe { member }
            | FaultKind::Restore { member, .. }
            | FaultKind::Replace { member } => Impact::member(member),
        }
    }
}

impl Cluster {
    /// Injects a fault and ends it after its duration.
    pub async fn inject(&self, fault: &Fault) -> io::Result<()> {
        let lasts = Duration::from_millis(fault.lasts.into());
        sleep(Duration::from_millis(fault.at.into())).await;
        if self.is_healing() {
            return Ok(());
        }
        let began = self.history.now_micros();
        self.apply_fault(&fault.what, lasts).await?;
        let Impact { members, agents, isolated } = Impact::of(&fault.what, self.script.members);
        let kind = fault.what.kind().to_owned();
        let observation = EventKind::Trouble { kind, members, agents, isolated };
        self.history.record("rig", began, Some(self.history.now_micros()), observation);
        Ok(())
    }

    async fn apply_fault(&self, what: &FaultKind, lasts: Duration) -> io::Result<()> {
        match *what {
            FaultKind::Kill { member } => self.take_down(member, Process::kill, lasts).await,
            FaultKind::Terminate { member } => self.take_down(member, Process::terminate, lasts).await,
            FaultKind::PowerOff => self.power_off(lasts).await,
            FaultKind::Stop { member } => {
                self.with_member(member, |process| process.pause());
                self.sleep_until_healing(lasts).await;
                self.with_member(member, |process| process.resume());
                Ok(())
            }
            FaultKind::CutMember { member, cut } => self.cut_member(member, cut, lasts).await,
            FaultKind::CutPair { member, other } => {
                let (one, two) = (self.machine_name(member), self.machine_name(other));
                self.cut(&[(one.clone(), two.clone()), (two, one)], block, lasts).await
            }
            FaultKind::CutAgent { agent } => {
                let links =
                    (0..self.script.members).map(|member| (format!("a{agent}"), self.machine_name(member)));
                self.cut(&links.collect::<Vec<_>>(), block, lasts).await
            }
            FaultKind::KillAgent { agent } => {
                self.with_agent(agent, Process::kill);
                self.sleep_until_healing(lasts).await;
                self.start_agent(agent)
            }
            FaultKind::StopAgent { agent } => {
                self.with_agent(agent, |process| process.pause());
                self.sleep_until_healing(lasts).await;
                self.with_agent(agent, |process| process.resume());
                Ok(())
            }
            FaultKind::Wipe { member } => self.wipe(member, lasts).await,
            FaultKind::Restore { member, age } => {
                self.restore(member, Duration::from_millis(age.into()), lasts).await
            }
            FaultKind::Replace { member } => {
                self.with_member(member, Process::kill);
                self.sleep_until_healing(lasts).await;
                self.replace(member).await?;
                self.start(member, false)
            }
        }
    }

    async fn take_down(&self, member: usize, end: fn(&mut Process), lasts: Duration) -> io::Result<()> {
        self.with_member(member, end);
        self.sleep_until_healing(lasts).await;
        self.start(member, false)
    }

    async fn power_off(&self, lasts: Duration) -> io::Result<()> {
        let members = 0..self.script.members;
        members.clone().for_each(|member| self.with_member(member, Process::kill));
        self.sleep_until_healing(lasts).await;
        members.into_iter().try_for_each(|member| self.start(member, false))
    }

    async fn wipe(&self, member: usize, lasts: Duration) -> io::Result<()> {
        self.with_member(member, Process::kill);
        let disk = self.disk_path(member);
        std::fs::remove_dir_all(&disk)?;
        std::fs::create_dir_all(&disk)?;
        self.sleep_until_healing(lasts).await;
        self.start(member, false)
    }

    async fn restore(&self, member: usize, age: Duration, lasts: Duration) -> io::Result<()> {
        let disk = self.disk_path(member);
        let copy = disk.with_extension("copy");
        copy_files(&disk, &copy)?;
        self.sleep_until_healing(age).await;
        self.with_member(member, Process::kill);
        copy_files(&copy, &disk)?;
        self.sleep_until_healing(lasts).await;
        self.start(member, false)
    }

    async fn cut_member(&self, member: usize, cut: Cut, lasts: Duration) -> io::Result<()> {
        let me = self.machine_name(member);
        let others =
            (0..self.script.members).filter(|other| *other != member).map(|other| self.machine_name(other));
        let links = others.flat_map(|other| [(me.clone(), other.clone()), (other, me.clone())]);
        let disturb = |pair: &Pair, state: &mut LinkState| {
            let dials = pair.0 == me;
            match cut {
                Cut::Both => block(pair, state),
                Cut::Refused => state.refused = true,
                // Data of the connecting side goes to the target, data for it to the source.
                Cut::Outbound if dials => state.to_target.blocked = true,
                Cut::Outbound => state.to_source.blocked = true,
                Cut::Inbound if dials => state.to_source.blocked = true,
                Cut::Inbound => state.to_target.blocked = true,
            }
        };
        self.cut(&links.collect::<Vec<_>>(), disturb, lasts).await
    }

    async fn cut(
        &self,
        links: &[Pair],
        disturb: impl Fn(&Pair, &mut LinkState),
        lasts: Duration,
    ) -> io::Result<()> {
        let cut = links.iter().map(|pair| {
            let mut state = LinkState::default();
            disturb(pair, &mut state);
            (pair.clone(), state)
        });
        let number = self.cuts.begin(&self.links, cut.collect());
        self.sleep_until_healing(lasts).await;
        self.cuts.end(&self.links, number);
        Ok(())
    }
}

fn block(_: &Pair, state: &mut LinkState) {
    (state.to_target.blocked, state.to_source.blocked) = (true, true);
}

fn copy_files(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}
