//! Processes of the project, started, stopped and killed at will.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Where a program of the project lies: beside this one, or beside the tests of its crate.
pub fn program_path(name: &str) -> io::Result<PathBuf> {
    let me = std::env::current_exe()?;
    let folders = me.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| {
        io::Error::new(io::ErrorKind::NotFound, format!("{name} is not built: cargo build --workspace"))
    })
}

/// A process; ends with its holder.
pub struct Process {
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    mutant: Option<String>,
    variables: Vec<(String, String)>,
    child: Option<Child>,
}

impl Process {
    /// One that is not started yet. `mutant` is an error planted in it, where it was built with those.
    pub fn new(program: PathBuf, args: Vec<String>, log: &Path, mutant: Option<&str>) -> Process {
        let (log, mutant) = (log.to_owned(), mutant.map(str::to_owned));
        Process { program, args, log, mutant, variables: Vec::new(), child: None }
    }

    /// The same with an environment variable.
    pub fn with_variable(mut self, name: &str, value: &str) -> Process {
        self.variables.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Starts it; gives its id.
    pub fn start(&mut self) -> io::Result<u32> {
        let log: File = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.args(&self.args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        match &self.mutant {
            Some(mutant) => command.env("RUNTRACK_MUTANT", mutant),
            None => command.env_remove("RUNTRACK_MUTANT"),
        };
        command.envs(self.variables.iter().map(|(name, value)| (name, value)));
        let child = command.spawn()?;
        let pid = child.id();
        self.child = Some(child);
        Ok(pid)
    }

    /// Its id while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid.try_into().ok()?));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal); // it may have ended by itself
        }
    }

    /// SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// SIGTERM, and waits for its end.
    pub fn terminate(&mut self) {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
