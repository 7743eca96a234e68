//! Control instances: configuration, start and requests.

use super::{Instance, RECOVERY_TIMEOUT, RESPONSE_TIMEOUT, Round, TICK_MS, at};
use crate::link::locked;
use crate::process::Process;
use runtrack_testkit::{free_port, http_request};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::timeout;

impl Round {
    pub(super) async fn new_instance(&self, index: usize, name: &str) -> io::Result<Instance> {
        let host = 20 + index as u8;
        let (listen, address) = (at(host, free_port()), at(100 + index as u8, free_port()));
        let (xds, admin) = (at(host, free_port()), at(host, free_port()));
        let member = self.folder.path().join(name);
        let text = format!(
            "listen = \"{xds}\"\nadmin = \"{admin}\"\n[cluster]\nmember = \"{name}\"\nlisten = \"{listen}\"\ntick_ms = {TICK_MS}\nlog_bytes = 20000\n"
        );
        let config = self.folder.write(&format!("{name}.toml"), &text);
        let args = vec!["serve".to_owned(), "--config".to_owned(), config.display().to_string()];
        let log = self.folder.path().join(format!("{name}.log"));
        let process = Process::new(self.control.clone(), args, &log, self.mutant.as_deref());
        let links = self.links.intercept(&format!("i{index}"), address, listen).await?;
        Ok(Instance { name: name.to_owned(), process, member, xds, admin, address, _links: links })
    }

    /// Runs `runtrackctl` with a time limit; returns its output.
    pub(super) async fn run_ctl(&self, args: &[&str]) -> io::Result<String> {
        let admins: Vec<String> = locked(&self.instances).iter().map(|i| i.admin.to_string()).collect();
        let mut command = tokio::process::Command::new(&self.ctl);
        command.args(args).env("RUNTRACK_CLUSTER", admins.join(",")).kill_on_drop(true);
        let done =
            timeout(RECOVERY_TIMEOUT, command.output()).await.map_err(|_| io::ErrorKind::TimedOut)??;
        match done.status.success() {
            true => Ok(String::from_utf8_lossy(&done.stdout).into_owned()),
            false => Err(io::Error::other(format!("{args:?}: {}", String::from_utf8_lossy(&done.stderr)))),
        }
    }

    /// Adds a member to the cluster and creates its folder.
    pub(super) async fn add_member(&self, instance: &Instance) -> io::Result<()> {
        let file = self.folder.path().join(format!("{}.json", instance.name)).display().to_string();
        self.run_ctl(&["cluster", "add", &instance.name, &instance.address.to_string(), "-o", &file])
            .await?;
        self.run_ctl(&["cluster", "join", &file, "--member", &instance.member.display().to_string()])
            .await?;
        Ok(())
    }

    pub(crate) fn start_instance(&self, index: usize) -> io::Result<()> {
        let instance = &mut locked(&self.instances)[index];
        if instance.process.pid().is_none() || instance.process.has_exited() {
            let pid = instance.process.start()?;
            self.links.name(pid, &format!("i{index}"));
            self.runs.fetch_add(1, Ordering::SeqCst);
        }
        Ok(())
    }

    pub(super) fn admin(&self, index: usize) -> SocketAddr {
        locked(&self.instances)[index].admin
    }

    pub(crate) async fn get(&self, index: usize, path: &str) -> Option<Value> {
        let answer =
            timeout(RESPONSE_TIMEOUT, http_request(self.admin(index), "GET", path, "")).await.ok()?.ok()?;
        (answer.0 == 200).then(|| serde_json::from_str(&answer.1).ok()).flatten()
    }

    pub(super) async fn is_responding(self: Arc<Self>, index: usize) -> bool {
        self.get(index, "/cluster").await.is_some()
    }

    pub(super) async fn voter_count(&self) -> usize {
        let response = self.get(0, "/cluster").await.unwrap_or_default();
        let members = response["members"].as_array().into_iter().flatten();
        members.filter(|member| member["voter"] == true).count()
    }
}
