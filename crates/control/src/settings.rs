//! The service's own settings, from a TOML file; what it serves is in the fleet's file, which this one names.

use crate::error_rate::Tolerance;
use runtrack_xds as xds;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A file that can't be used: its name and, for each problem, the place and the way out.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It can't be read.
    #[error("{}: {}", .0.display(), .1)]
    Unreadable(PathBuf, std::io::Error),
    /// It says what makes no sense.
    #[error("{}:{}", .0.display(), .1)]
    Invalid(PathBuf, String),
}

/// Everything that the service is told.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The fleet's file, from this file's folder; or ...
    pub fleet: Option<PathBuf>,
    /// ... the folder of the state that plans are applied to.
    pub store: Option<PathBuf>,
    /// ... membership of a cluster, which agrees on it.
    pub cluster: Option<Cluster>,
    /// Where proxies connect.
    pub listen: SocketAddr,
    /// Where people and their tools ask; none: nowhere.
    pub admin: Option<SocketAddr>,
    /// The same at a Unix socket, from this file's folder, for the user that the service runs as; none: nowhere.
    pub admin_socket: Option<PathBuf>,
    /// Where the epoch and the last lists are kept, from this file's folder; none: nowhere.
    pub state: Option<PathBuf>,
    /// Serve without TLS on other addresses than loopback.
    #[serde(default)]
    pub plain_text_anywhere: bool,
    /// Certificates; none: plain text.
    pub tls: Option<Tls>,
    /// Nodes that may connect; none: all.
    #[serde(default)]
    pub access: Vec<Access>,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
    /// When a version that is handed out in stages goes no further.
    #[serde(default)]
    pub rollouts: Rollouts,
}

/// When a version that is handed out in stages goes no further.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rollouts {
    /// How often proxies are asked to report how their requests ended, in milliseconds.
    pub reports_every_ms: u64,
    /// The part of a pool's requests that may fail over what fails elsewhere and did before, `0..=1`; 1: any.
    pub error_rise: f64,
}

impl Default for Rollouts {
    fn default() -> Self {
        let every = xds::Settings::default().report_every;
        Rollouts { reports_every_ms: every.as_millis() as u64, error_rise: Tolerance::default().rise }
    }
}

impl Rollouts {
    /// As the comparison takes it.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance { rise: self.error_rise }
    }
}

/// Membership of a cluster: several instances that decide as one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// This member's folder, from this file's folder: made by `runtrackctl cluster init` or `join`.
    pub member: PathBuf,
    /// Where the other members connect.
    pub listen: SocketAddr,
    /// The tick of the agreement, in milliseconds: a leader shows itself every 2, and is given up after 20 to 40.
    #[serde(default = "tick_ms")]
    pub tick_ms: u64,
    /// A log beyond this size is cut behind a snapshot.
    #[serde(default = "log_bytes")]
    pub log_bytes: u64,
}

fn tick_ms() -> u64 {
    50
}

fn log_bytes() -> u64 {
    4 << 20
}

/// Certificates, as PEM files from the settings' folder.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The service's certificate and what signed it.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// What proxies' certificates must be signed by; none: proxies show none.
    pub client_ca: Option<PathBuf>,
}

/// Nodes that may connect; a `*` at the end stands for any rest.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Access {
    /// Their ids.
    #[serde(default = "any")]
    pub id: String,
    /// Their clusters.
    #[serde(default = "any")]
    pub cluster: String,
}

fn any() -> String {
    "*".to_owned()
}

/// Limits; each guards the service or the proxies against too much at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Least time between two pushes, in milliseconds: what changes in between goes out together.
    pub push_every_ms: u64,
    /// Streams in all.
    pub streams: usize,
    /// Streams of one node id.
    pub streams_of_node: usize,
    /// Names that a stream may subscribe to.
    pub names_of_stream: usize,
    /// Requests of a stream, a second.
    pub requests_per_s: f64,
    /// Connections in all.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        let defaults = xds::Settings::default();
        Limits {
            push_every_ms: 50,
            streams: defaults.streams,
            streams_of_node: defaults.streams_of_node,
            names_of_stream: defaults.limits.names,
            requests_per_s: defaults.requests_per_s,
            connections: defaults.connections,
        }
    }
}

impl Settings {
    /// Reads a file; the paths that it names become relative to where the process runs.
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
                return Err(invalid(" tls: members know each other by `client_ca`: add it".to_owned()));
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
            return Err(invalid(format!(" admin: {admin} is not loopback; it asks nobody who they are")));
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

    /// As the xDS server takes them.
    pub fn xds(&self) -> xds::Settings {
        let defaults = xds::Settings::default();
        let access =
            self.access.iter().map(|a| xds::Access { id: a.id.clone(), cluster: a.cluster.clone() });
        xds::Settings {
            limits: xds::Limits { names: self.limits.names_of_stream, ..defaults.limits.clone() },
            streams: self.limits.streams,
            streams_of_node: self.limits.streams_of_node,
            requests_per_s: self.limits.requests_per_s,
            connections: self.limits.connections,
            access: access.collect(),
            report_every: Duration::from_millis(self.rollouts.reports_every_ms),
            ..defaults
        }
    }

    /// Least time between two pushes.
    pub fn push_every(&self) -> Duration {
        Duration::from_millis(self.limits.push_every_ms)
    }
}
