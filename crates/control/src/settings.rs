//! The service's settings, from a TOML file. The fleet to serve is in a separate file or store, which it names.

use crate::error_rate::Tolerance;
use runtrack_xds as xds;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// An unusable file: its name and, for each problem, the position and how to fix it.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file is not readable.
    #[error("{}: {}", .0.display(), .1)]
    Unreadable(PathBuf, std::io::Error),
    /// The content is invalid.
    #[error("{}:{}", .0.display(), .1)]
    Invalid(PathBuf, String),
}

/// The settings of the service. Relative paths start at the folder of the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The fleet's file. Exactly one of `fleet`, `store` and `cluster` is set.
    pub fleet: Option<PathBuf>,
    /// The folder of the store that plans are applied to.
    pub store: Option<PathBuf>,
    /// Membership of a cluster that replicates the desired state.
    pub cluster: Option<Cluster>,
    /// Address for proxies.
    pub listen: SocketAddr,
    /// Address of the admin interface; none disables it.
    pub admin: Option<SocketAddr>,
    /// Path of a Unix socket for the admin interface, for the user that the service runs as; none disables it.
    pub admin_socket: Option<PathBuf>,
    /// Folder for the epoch and the last lists; none: they are not persisted.
    pub state: Option<PathBuf>,
    /// Allows plain text on addresses other than loopback.
    #[serde(default)]
    pub plain_text_anywhere: bool,
    /// TLS certificates; none for plain text.
    pub tls: Option<Tls>,
    /// Nodes that may connect; all if empty.
    #[serde(default)]
    pub access: Vec<Access>,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
    /// When a staged roll-out halts.
    #[serde(default)]
    pub rollouts: Rollouts,
}

/// When a staged roll-out halts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rollouts {
    /// Interval of the load reports requested from proxies, in milliseconds.
    pub reports_every_ms: u64,
    /// Tolerated increase of a pool's share of failed requests over the baselines, `0..=1`; 1 tolerates any.
    pub error_rise: f64,
}

impl Default for Rollouts {
    fn default() -> Self {
        let every = xds::Settings::default().load_report_interval;
        Rollouts { reports_every_ms: every.as_millis() as u64, error_rise: Tolerance::default().rise }
    }
}

impl Rollouts {
    /// The tolerance for the comparison of error rates.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance { rise: self.error_rise }
    }
}

/// Membership of a cluster of instances that replicate the desired state.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// This member's folder, created by `runtrackctl cluster init` or `join`.
    pub member: PathBuf,
    /// Address for the other members.
    pub listen: SocketAddr,
    /// The tick of the consensus protocol, in milliseconds: the leader sends heartbeats every 2 ticks, and the election
    /// timeout is 20 to 40 ticks.
    #[serde(default = "tick_ms")]
    pub tick_ms: u64,
    /// Size in bytes beyond which the log is compacted into a snapshot.
    #[serde(default = "log_bytes")]
    pub log_bytes: u64,
}

fn tick_ms() -> u64 {
    50
}

fn log_bytes() -> u64 {
    4 << 20
}

/// TLS certificates, as PEM files.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The service's certificate chain.
    pub certificate: PathBuf,
    /// The certificate's private key.
    pub key: PathBuf,
    /// CA that must have signed proxies' certificates; none: proxies need no certificate.
    pub client_ca: Option<PathBuf>,
}

/// A rule for nodes that may connect; a trailing `*` matches any suffix.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Access {
    /// Pattern of the node id.
    #[serde(default = "any")]
    pub id: String,
    /// Pattern of the node cluster.
    #[serde(default = "any")]
    pub cluster: String,
}

fn any() -> String {
    "*".to_owned()
}

/// Limits that protect the service and the proxies from overload.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Minimum time between two pushes, in milliseconds; changes in between are batched.
    pub push_every_ms: u64,
    /// Maximum number of streams.
    pub streams: usize,
    /// Maximum number of streams per node id.
    pub streams_of_node: usize,
    /// Maximum number of names that a stream may subscribe to.
    pub names_of_stream: usize,
    /// Maximum number of requests per stream and second.
    pub requests_per_s: f64,
    /// Maximum number of connections.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        let defaults = xds::Settings::default();
        Limits {
            push_every_ms: 50,
            streams: defaults.max_streams,
            streams_of_node: defaults.max_streams_per_node,
            names_of_stream: defaults.limits.max_names,
            requests_per_s: defaults.max_requests_per_s,
            connections: defaults.max_connections,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file; joins the paths in it to the folder of the file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::Unreadable(path.to_owned(), e))?;
        let invalid = |what: String| SettingsError::Invalid(path.to_owned(), what);
        let mut settings: Settings = toml::from_str(&text).map_err(|e| {
            let before = &text[..e.span().map_or(0, |span| span.start)];
            let (line, column) =
                (before.matches('\n').count() + 1, before.rsplit('\n').next().map_or(0, str::len) + 1);
            invalid(format!("{line}:{column}: {}", e.message().replace('\n', " ")))
        })?;
        let folder = path.parent().unwrap_or(Path::new(""));
        settings.fleet = settings.fleet.map(|fleet| folder.join(fleet));
        settings.store = settings.store.map(|store| folder.join(store));
        let from = [settings.fleet.is_some(), settings.store.is_some(), settings.cluster.is_some()];
        if from.into_iter().filter(|from| *from).count() != 1 {
            let what =
                " `fleet` (a file), `store` (a folder) or `[cluster]`: one of the three, and no other";
            return Err(invalid(what.to_owned()));
        }
        if let Some(cluster) = &mut settings.cluster {
            cluster.member = folder.join(&cluster.member);
            if !(5..=1000).contains(&cluster.tick_ms) || cluster.log_bytes < 4096 {
                return Err(invalid(
                    " cluster: tick_ms must be 5 to 1000, and log_bytes at least 4096".to_owned(),
                ));
            }
            let open = settings.tls.is_none() && !settings.plain_text_anywhere;
            if open && !cluster.listen.ip().is_loopback() {
                return Err(invalid(format!(
                    " cluster.listen: {} is not loopback, and there is no [tls]: add it, or say plain_text_anywhere = true",
                    cluster.listen
                )));
            }
            if settings.tls.as_ref().is_some_and(|tls| tls.client_ca.is_none()) {
                return Err(invalid(
                    " tls: members authenticate each other by `client_ca`: add it".to_owned(),
                ));
            }
        }
        settings.admin_socket = settings.admin_socket.map(|socket| folder.join(socket));
        settings.state = settings.state.map(|state| folder.join(state));
        if let Some(tls) = &mut settings.tls {
            tls.certificate = folder.join(&tls.certificate);
            tls.key = folder.join(&tls.key);
            tls.client_ca = tls.client_ca.take().map(|ca| folder.join(ca));
        }
        if settings.tls.is_none() && !settings.plain_text_anywhere && !settings.listen.ip().is_loopback() {
            return Err(invalid(format!(
                " listen: {} is not loopback, and there is no [tls]: add it, or say plain_text_anywhere = true",
                settings.listen
            )));
        }
        if let Some(admin) = settings.admin.filter(|admin| !admin.ip().is_loopback()) {
            return Err(invalid(format!(" admin: {admin} is not loopback; it has no authentication")));
        }
        let limits_valid = settings.limits.requests_per_s >= 1.0 && settings.limits.push_every_ms <= 1000;
        if !limits_valid {
            return Err(invalid(
                " limits: requests_per_s must be at least 1, and push_every_ms at most 1000, or drains come late"
                    .to_owned(),
            ));
        }
        let Rollouts { reports_every_ms, error_rise } = settings.rollouts;
        if !(100..=600_000).contains(&reports_every_ms) || !(0.0..=1.0).contains(&error_rise) {
            return Err(invalid(
                " rollouts: reports_every_ms must be 100 to 600000, and error_rise 0 to 1".to_owned(),
            ));
        }
        Ok(settings)
    }

    /// The settings of the xDS server.
    pub fn xds(&self) -> xds::Settings {
        let defaults = xds::Settings::default();
        let access =
            self.access.iter().map(|a| xds::AccessRule { id: a.id.clone(), cluster: a.cluster.clone() });
        xds::Settings {
            limits: xds::Limits { max_names: self.limits.names_of_stream, ..defaults.limits.clone() },
            max_streams: self.limits.streams,
            max_streams_per_node: self.limits.streams_of_node,
            max_requests_per_s: self.limits.requests_per_s,
            max_connections: self.limits.connections,
            access: access.collect(),
            load_report_interval: Duration::from_millis(self.rollouts.reports_every_ms),
            ..defaults
        }
    }

    /// Minimum time between two pushes.
    pub fn push_every(&self) -> Duration {
        Duration::from_millis(self.limits.push_every_ms)
    }
}
