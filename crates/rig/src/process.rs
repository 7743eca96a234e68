//! Child processes of the project's programs: start, pause, terminate and kill.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Path of a program of the project: in the folder of the running executable or in its parent, for tests.
pub fn program_path(name: &str) -> io::Result<PathBuf> {
    let me = std::env::current_exe()?;
    let folders = me.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| {
        io::Error::new(io::ErrorKind::NotFound, format!("{name} is not built: cargo build --workspace"))
    })
}

/// A child process; killed when dropped.
pub struct Process {
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    mutant: Option<String>,
    variables: Vec<(String, String)>,
    child: Option<Child>,
}

impl Process {
    /// A process that is not started yet. `mutant` names a mutant to enable, if the program was built with mutants.
    pub fn new(program: PathBuf, args: Vec<String>, log: &Path, mutant: Option<&str>) -> Process {
        let (log, mutant) = (log.to_owned(), mutant.map(str::to_owned));
        Process { program, args, log, mutant, variables: Vec::new(), child: None }
    }

    /// Adds an environment variable.
    pub fn with_variable(mut self, name: &str, value: &str) -> Process {
        self.variables.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Starts the process; returns its process id.
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

    /// Process id while it is started.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid.try_into().ok()?));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal); // it may have exited already
        }
    }

    /// Sends SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM and waits for the exit.
    pub fn terminate(&mut self) {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has exited without being stopped by the rig.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Content of its log file.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
