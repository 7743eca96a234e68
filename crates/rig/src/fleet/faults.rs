//! Carries out what a script says goes wrong, and notes for how long it harmed whom.

use super::cluster::Cluster;
use super::cuts::Pair;
use super::history::Did;
use super::script::{Cut, Fault, What};
use crate::link::Rule;
use crate::process::Process;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// Whom a fault harms.
#[derive(Default)]
struct Harm {
    members: Vec<usize>,
    agents: Vec<usize>,
    isolated: Option<usize>,
}

impl Harm {
    fn member(member: usize) -> Harm {
        Harm { members: vec![member], ..Harm::default() }
    }

    fn agent(agent: usize) -> Harm {
        Harm { agents: vec![agent], ..Harm::default() }
    }

    fn of(what: &What, members: usize) -> Harm {
        match *what {
            What::PowerOff => Harm { members: (0..members).collect(), ..Harm::default() },
            What::CutMember { member, cut } => {
                let isolated = (cut == Cut::Both).then_some(member);
                Harm { isolated, ..Harm::member(member) }
            }
            What::CutPair { member, other } => Harm { members: vec![member, other], ..Harm::default() },
            What::CutAgent { agent } | What::KillAgent { agent } | What::StopAgent { agent } => {
                Harm::agent(agent)
            }
            What::Kill { member }
            | What::Terminate { member }
            | What::Stop { member }
            | What::Wipe { member }
            | What::Restore { member, .. }
            | What::Replace { member } => Harm::member(member),
        }
    }
}

impl Cluster {
    /// Carries out a fault from its beginning to its end.
    pub async fn carry_out(&self, fault: &Fault) -> io::Result<()> {
        let lasts = Duration::from_millis(fault.lasts.into());
        sleep(Duration::from_millis(fault.at.into())).await;
        if self.is_healing() {
            return Ok(());
        }
        let began = self.history.now();
        self.strike(&fault.what, lasts).await?;
        let Harm { members, agents, isolated } = Harm::of(&fault.what, self.script.members);
        let kind = fault.what.kind().to_owned();
        let did = Did::Trouble { kind, members, agents, isolated };
        self.history.note("rig", began, Some(self.history.now()), did);
        Ok(())
    }

    async fn strike(&self, what: &What, lasts: Duration) -> io::Result<()> {
        match *what {
            What::Kill { member } => self.down(member, Process::kill, lasts).await,
            What::Terminate { member } => self.down(member, Process::end, lasts).await,
            What::PowerOff => self.power_off(lasts).await,
            What::Stop { member } => {
                self.with_member(member, |process| process.stop());
                self.lasts(lasts).await;
                self.with_member(member, |process| process.go_on());
                Ok(())
            }
            What::CutMember { member, cut } => self.cut_member(member, cut, lasts).await,
            What::CutPair { member, other } => {
                let (one, two) = (self.name(member), self.name(other));
                self.cut(&[(one.clone(), two.clone()), (two, one)], hold, lasts).await
            }
            What::CutAgent { agent } => {
                let links = (0..self.script.members).map(|member| (format!("a{agent}"), self.name(member)));
                self.cut(&links.collect::<Vec<_>>(), hold, lasts).await
            }
            What::KillAgent { agent } => {
                self.with_agent(agent, Process::kill);
                self.lasts(lasts).await;
                self.start_agent(agent)
            }
            What::StopAgent { agent } => {
                self.with_agent(agent, |process| process.stop());
                self.lasts(lasts).await;
                self.with_agent(agent, |process| process.go_on());
                Ok(())
            }
            What::Wipe { member } => self.wipe(member, lasts).await,
            What::Restore { member, age } => {
                self.restore(member, Duration::from_millis(age.into()), lasts).await
            }
            What::Replace { member } => {
                self.with_member(member, Process::kill);
                self.lasts(lasts).await;
                self.replace(member).await?;
                self.start(member, false)
            }
        }
    }

    async fn down(&self, member: usize, end: fn(&mut Process), lasts: Duration) -> io::Result<()> {
        self.with_member(member, end);
        self.lasts(lasts).await;
        self.start(member, false)
    }

    async fn power_off(&self, lasts: Duration) -> io::Result<()> {
        let members = 0..self.script.members;
        members.clone().for_each(|member| self.with_member(member, Process::kill));
        self.lasts(lasts).await;
        members.into_iter().try_for_each(|member| self.start(member, false))
    }

    async fn wipe(&self, member: usize, lasts: Duration) -> io::Result<()> {
        self.with_member(member, Process::kill);
        let disk = self.disk(member);
        std::fs::remove_dir_all(&disk)?;
        std::fs::create_dir_all(&disk)?;
        self.lasts(lasts).await;
        self.start(member, false)
    }

    async fn restore(&self, member: usize, age: Duration, lasts: Duration) -> io::Result<()> {
        let disk = self.disk(member);
        let copy = disk.with_extension("copy");
        copy_files(&disk, &copy)?;
        self.lasts(age).await;
        self.with_member(member, Process::kill);
        copy_files(&copy, &disk)?;
        self.lasts(lasts).await;
        self.start(member, false)
    }

    async fn cut_member(&self, member: usize, cut: Cut, lasts: Duration) -> io::Result<()> {
        let me = self.name(member);
        let others =
            (0..self.script.members).filter(|other| *other != member).map(|other| self.name(other));
        let links = others.flat_map(|other| [(me.clone(), other.clone()), (other, me.clone())]);
        let spoil = |pair: &Pair, rule: &mut Rule| {
            let dials = pair.0 == me;
            match cut {
                Cut::Both => hold(pair, rule),
                Cut::Refused => rule.refused = true,
                // What the dialling side sends goes there, what it is sent comes back.
                Cut::Outbound if dials => rule.there.held = true,
                Cut::Outbound => rule.back.held = true,
                Cut::Inbound if dials => rule.back.held = true,
                Cut::Inbound => rule.there.held = true,
            }
        };
        self.cut(&links.collect::<Vec<_>>(), spoil, lasts).await
    }

    async fn cut(
        &self,
        links: &[Pair],
        spoil: impl Fn(&Pair, &mut Rule),
        lasts: Duration,
    ) -> io::Result<()> {
        let cut = links.iter().map(|pair| {
            let mut rule = Rule::default();
            spoil(pair, &mut rule);
            (pair.clone(), rule)
        });
        let number = self.cuts.begin(&self.links, cut.collect());
        self.lasts(lasts).await;
        self.cuts.end(&self.links, number);
        Ok(())
    }
}

fn hold(_: &Pair, rule: &mut Rule) {
    (rule.there.held, rule.back.held) = (true, true);
}

fn copy_files(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}
