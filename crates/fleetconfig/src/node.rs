//! The settings file of a process: lines of `a.b=value`, with the path in `RUNTRACK_NODE_FILE`.

use crate::Finding;
use ini::{Ini, ParseOption};
use quick_error::quick_error;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;
use std::time::Duration;

/// Environment variable with the path of the settings file.
const FILE_VARIABLE: &str = "RUNTRACK_NODE_FILE";

quick_error! {
    /// Invalid settings.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The environment variable is not set.
        NoFile {
            display("{FILE_VARIABLE} is not set: it holds the path of the settings file")
        }
        /// The file can't be read.
        Unreadable(path: String, error: String) {
            display("{path}: {error}")
        }
        /// Settings are missing or invalid; all findings.
        Invalid(findings: Vec<Finding>) {
            display("{}", findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("; "))
        }
    }
}

/// The time and retry bounds of the deployment; RULES defines each.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time after the acknowledgement of draining from which an endpoint gets no more requests.
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Time within which a configuration is in force everywhere.
    pub converge: Duration,
    /// Retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Time window over which retries and requests are counted.
    pub retry_window: Duration,
    /// Retries allowed beyond the ratio, summed over the whole fleet.
    pub retry_slack: f64,
    /// Time for which a returned machine still counts as lost.
    pub settle: Duration,
}

/// Failures at one time under which every rule must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// Number of lost machines.
    pub machines: u32,
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Name of the machine.
    pub name: String,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    pub zone: String,
    /// Listener for clients' requests, used by the proxy.
    pub front: Option<SocketAddrV4>,
    /// Listener for the platform's readiness checks, used by the proxy.
    pub ready: Option<SocketAddrV4>,
    /// Listener for the operator's and endpoints' requests, used by controllers.
    pub control: Option<SocketAddrV4>,
    /// Listener of the agent for the proxy of this machine.
    pub feed: SocketAddrV4,
    /// First port of the range for links between the fleet's processes.
    pub first_port: u16,
    /// Listener of a controller for links: `ip` and the first port, which others dial, unless it binds to another address
    /// behind an address translation.
    pub peer: SocketAddrV4,
    /// Control addresses of some controllers, for finding the others.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, with empty disks.
    pub first_boot: bool,
    /// Folder for persistent files, used by controllers.
    pub data_dir: Option<String>,
    /// Interval of endpoints' heartbeats.
    pub heartbeat: Duration,
    /// Limit of file descriptors of the process.
    pub descriptors: usize,
    /// Memory limit of the process in megabytes.
    pub memory_mb: usize,
    /// Bandwidth of the machine's link in megabits a second.
    pub link_mbps: f64,
    /// Failures at one time under which every rule must hold.
    pub tolerance: Tolerance,
    /// Time and retry bounds of the deployment.
    pub bounds: Bounds,
}

/// Link bandwidth in megabits a second if the settings have none.
const DEFAULT_LINK_MBPS: f64 = 1000.0;

struct SettingsReader<'a> {
    file: &'a Ini,
    findings: Vec<Finding>,
}

impl SettingsReader<'_> {
    fn text(&self, key: &str) -> Option<&str> {
        self.file.general_section().get(key).map(str::trim).filter(|value| !value.is_empty())
    }

    fn add_finding(&mut self, key: &str, problem: impl Into<String>) {
        self.findings.push(Finding { place: key.to_owned(), problem: problem.into() });
    }

    fn parsed<T: FromStr>(&mut self, key: &str, text: &str) -> Option<T> {
        let value = text.trim().parse().ok();
        if value.is_none() {
            self.add_finding(key, format!("{text:?} can't be read"));
        }
        value
    }

    fn optional<T: FromStr>(&mut self, key: &str) -> Option<T> {
        let text = self.text(key)?.to_owned();
        self.parsed(key, &text)
    }

    fn or_default_value<T: FromStr>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    fn required<T: FromStr>(&mut self, key: &str, placeholder: T) -> T {
        if self.text(key).is_none() {
            self.add_finding(key, "is missing");
        }
        self.or_default_value(key, placeholder)
    }

    fn millis(&mut self, key: &str, default: f64) -> Duration {
        Duration::from_secs_f64(self.or_default_value(key, default).clamp(0.0, 1e9) / 1000.0)
    }
}

impl Node {
    /// This process's address as others of the fleet dial it.
    pub fn member_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.first_port)
    }

    /// The seeds' addresses for links: all machines use the same ports.
    pub fn seed_members(&self) -> BTreeSet<SocketAddrV4> {
        self.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), self.first_port)).collect()
    }

    /// Reads the settings from the file that the environment variable names.
    pub fn from_env() -> Result<Self, SettingsError> {
        let path = std::env::var(FILE_VARIABLE).map_err(|_| SettingsError::NoFile)?;
        let text = std::fs::read_to_string(&path)
            .map_err(|error| SettingsError::Unreadable(path.clone(), error.to_string()))?;
        Node::read(&text)
    }

    /// Parses and checks the text of a settings file.
    pub fn read(text: &str) -> Result<Self, SettingsError> {
        let options = ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let file = Ini::load_from_str_opt(text, options).map_err(|error| {
            let (place, problem) =
                (format!("line {}", error.line), "is no setting of the form a.b=value".to_owned());
            SettingsError::Invalid(vec![Finding { place, problem }])
        })?;
        let mut reader = SettingsReader { file: &file, findings: Vec::new() };
        let node = reader.read_node();
        if reader.findings.is_empty() { Ok(node) } else { Err(SettingsError::Invalid(reader.findings)) }
    }
}

impl SettingsReader<'_> {
    fn read_node(&mut self) -> Node {
        let ports = self.text("portRange").unwrap_or_default().to_owned();
        let first_port = ports.split(',').next().unwrap_or_default().to_owned();
        let first_port: u16 = self.parsed("portRange", &first_port).unwrap_or_default();
        let seeds = self.text("seeds").unwrap_or_default().to_owned();
        let seeds = seeds.split(',').filter(|seed| !seed.trim().is_empty());
        let seeds = seeds.filter_map(|seed| self.parsed("seeds", seed)).collect();
        let name = self.required("node", String::new());
        let ip = self.required("ip", Ipv4Addr::UNSPECIFIED);
        Node {
            name,
            ip,
            zone: self.or_default_value("zone", String::new()),
            front: self.optional("listen.front"),
            ready: self.optional("listen.ready"),
            control: self.optional("listen.control"),
            feed: self.or_default_value(
                "listen.feed",
                SocketAddrV4::new(Ipv4Addr::LOCALHOST, first_port.saturating_add(1)),
            ),
            first_port,
            peer: self.or_default_value("listen.peer", SocketAddrV4::new(ip, first_port)),
            seeds,
            first_boot: self.or_default_value("firstBoot", false),
            data_dir: self.optional("dataDir"),
            heartbeat: self.millis("beatPeriodMs", 1200.0),
            descriptors: self.or_default_value("limits.fdLimit", 1024),
            memory_mb: self.or_default_value("limits.memoryMb", 256),
            link_mbps: self.or_default_value("limits.linkMbps", DEFAULT_LINK_MBPS),
            tolerance: Tolerance { machines: self.or_default_value("tolerance.machines", 1) },
            bounds: Bounds {
                drain: self.millis("bounds.drainMs", 2000.0),
                grace: self.millis("bounds.graceS", 8.0) * 1000,
                converge: self.millis("bounds.convergeMs", 2000.0),
                retry_ratio: self.or_default_value("bounds.retryRatio", 0.2),
                retry_window: self.millis("bounds.retryWindowS", 10.0) * 1000,
                retry_slack: self.or_default_value("bounds.retrySlack", 0.0),
                settle: self.millis("bounds.settleS", 4.0) * 1000,
            },
        }
    }
}
