//! What a sidecar is told at its start: `ROUTER_*` and the JSON file that `ROUTER_CONFIG` names.

use runtrack_balancer::{Settings, wire};
use runtrack_discovery::List;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// What is wrong with the configuration: the field and the problem, on one line.
#[derive(Debug, Error)]
#[error("{field}: {problem}")]
pub struct ConfigError {
    field: String,
    problem: String,
}

fn error(field: &str, problem: impl ToString) -> ConfigError {
    ConfigError { field: field.to_owned(), problem: problem.to_string().replace(['\n', '\r'], " ") }
}

/// A sidecar's whole configuration.
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Memory it may use, in MiB.
    pub memory_mb: usize,
    /// The endpoint list as last held; may be old.
    pub known: List,
    /// The module's settings.
    pub settings: Settings,
    /// Names on the wire of what the module knows by number.
    pub names: Names,
    /// The file itself, to tell what another one changes.
    pub file: Value,
}

/// The names behind the module's indices.
#[derive(Deserialize)]
pub struct Names {
    /// Classes, the first part of a request's path.
    pub classes: Vec<Named>,
    /// Tenants.
    #[serde(default)]
    pub tenants: Vec<Named>,
    /// Zones.
    #[serde(default)]
    pub areas: Vec<String>,
    /// Machine kinds.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// One entry of a named list.
#[derive(Deserialize)]
pub struct Named {
    /// Its name.
    pub name: String,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: List,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names; the other variables win over what the file says.
    pub fn from_env() -> Result<Self, ConfigError> {
        let var = |name: &str| std::env::var(name).ok();
        let path = var("ROUTER_CONFIG").ok_or_else(|| error("ROUTER_CONFIG", "not set"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| error("ROUTER_CONFIG", e))?;
        Config::parse(&text, var("ROUTER_NAME"), var("ROUTER_LISTEN"), var("ROUTER_DISCOVERY"))
    }

    /// What another configuration changes of the one in this file, which it takes the place of: discovery's address,
    /// if the file has come to name another one, and the changed fields that need a restart. The file's address wins
    /// over a variable that can't have changed.
    pub fn reload(
        file: &mut Value,
        config: Config,
    ) -> Result<(Option<SocketAddr>, Vec<&'static str>), ConfigError> {
        config.settings.validate().map_err(|e| error("settings", e))?;
        let new = config.file;
        let changed = |field: &&str| file[*field] != new[*field];
        let moved = new["discovery"].as_str().filter(|_| changed(&"discovery"));
        let moved = moved.map(|text| address("discovery", Some(text.to_owned()))).transpose()?;
        // The seed is new with each start and the known list as old as the file: both are for a start.
        let restart = ["name", "listen", "limits", "settings"].into_iter().filter(changed).collect();
        *file = new;
        Ok((moved, restart))
    }

    /// Reads a configuration; what is given beside it wins over what the text says.
    pub fn parse(
        text: &str,
        name: Option<String>,
        listen: Option<String>,
        discovery: Option<String>,
    ) -> Result<Self, ConfigError> {
        let raw: Value = serde_json::from_str(text).map_err(|e| error("ROUTER_CONFIG", e))?;
        let file: File =
            serde_path_to_error::deserialize(&raw).map_err(|e| error(&e.path().to_string(), e.inner()))?;
        let mut settings = wire::parse_settings(1, &file.settings.to_string())
            .map_err(|e| error(&e.field.replacen("conf", "settings", 1), e.problem))?;
        if runtrack_net::mutant("keyed-for-ever") {
            settings.classes.iter_mut().for_each(|class| {
                if let runtrack_balancer::Semantics::Keyed { window, .. } = &mut class.semantics {
                    *window *= 100;
                }
            });
        }
        let names: Names = serde_path_to_error::deserialize(&file.settings)
            .map_err(|e| error(&format!("settings.{}", e.path()), e.inner()))?;
        if file.limits.sockets < super::budget::LEAST_SOCKETS {
            let problem = format!("at least {} are needed", super::budget::LEAST_SOCKETS);
            return Err(error("limits.sockets", problem));
        }
        Ok(Config {
            name: name.unwrap_or(file.name),
            listen: address("listen", listen.or(file.listen))?,
            discovery: address("discovery", discovery.or(file.discovery))?,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| error("seed", format!("`{}` is not hex", file.seed)))?,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb as usize,
            known: file.known,
            settings,
            names,
            file: raw,
        })
    }
}

fn address(field: &str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or_else(|| error(field, "missing"))?;
    text.parse().map_err(|_| error(field, format!("`{text}` is not an address and port")))
}
