//! The sidecar's configuration: the environment variables `ROUTER_*` and the JSON file that `ROUTER_CONFIG` names.

use runtrack_balancer::{Settings, wire};
use runtrack_discovery::List;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// A configuration error: the field and the problem, on one line.
#[derive(Debug, Error)]
#[error("{field}: {problem}")]
pub struct ConfigError {
    field: String,
    problem: String,
}

fn config_error(field: &str, problem: impl ToString) -> ConfigError {
    ConfigError { field: field.to_owned(), problem: problem.to_string().replace(['\n', '\r'], " ") }
}

/// The complete configuration of a sidecar.
pub struct Config {
    /// The sidecar's name, for the log.
    pub name: String,
    /// Address on which the sidecar accepts clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generator; different at each start.
    pub seed: u64,
    /// Maximum number of open descriptors.
    pub sockets: usize,
    /// Memory limit in MiB.
    pub memory_mb: usize,
    /// The last known endpoint list, which may be stale.
    pub cached_list: List,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Wire names of what the decision module identifies by number.
    pub names: Names,
    /// The parsed file, to find the changed fields on reload.
    pub file: Value,
}

/// The wire names of the decision module's indices.
#[derive(Deserialize)]
pub struct Names {
    /// Request classes; the name is the first segment of a request's path.
    pub classes: Vec<NamedEntry>,
    /// Tenants.
    #[serde(default)]
    pub tenants: Vec<NamedEntry>,
    /// Zones.
    #[serde(default)]
    pub areas: Vec<String>,
    /// Machine types.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// One entry of a named list.
#[derive(Deserialize)]
pub struct NamedEntry {
    /// Name of the entry.
    pub name: String,
}

#[derive(Deserialize)]
struct ConfigFile {
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
    /// Reads the file that `ROUTER_CONFIG` names; the other variables override its values.
    pub fn from_env() -> Result<Self, ConfigError> {
        let env_var = |name: &str| std::env::var(name).ok();
        let path = env_var("ROUTER_CONFIG").ok_or_else(|| config_error("ROUTER_CONFIG", "not set"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| config_error("ROUTER_CONFIG", e))?;
        Config::parse(&text, env_var("ROUTER_NAME"), env_var("ROUTER_LISTEN"), env_var("ROUTER_DISCOVERY"))
    }

    /// Replaces the parsed `file` with that of `config` and returns the new address of discovery, if the file names
    /// a different one, and the names of changed fields that need a restart. On reload the file's address overrides
    /// the environment variable, which cannot change while the process runs.
    ///
    /// # Errors
    ///
    /// Fails on invalid settings or an invalid address of discovery; `file` is then unchanged.
    pub fn reload(
        file: &mut Value,
        config: Config,
    ) -> Result<(Option<SocketAddr>, Vec<&'static str>), ConfigError> {
        config.settings.validate().map_err(|e| config_error("settings", e))?;
        let new = config.file;
        let changed = |field: &&str| file[*field] != new[*field];
        let new_discovery = new["discovery"].as_str().filter(|_| changed(&"discovery"));
        let new_discovery =
            new_discovery.map(|text| parse_address("discovery", Some(text.to_owned()))).transpose()?;
        // The seed and the known list are only used at startup, so changes to them need no restart.
        let restart_fields = ["name", "listen", "limits", "settings"].into_iter().filter(changed).collect();
        *file = new;
        Ok((new_discovery, restart_fields))
    }

    /// Parses a configuration file; the other arguments, where given, override its values.
    pub fn parse(
        text: &str,
        name: Option<String>,
        listen: Option<String>,
        discovery: Option<String>,
    ) -> Result<Self, ConfigError> {
        let raw: Value = serde_json::from_str(text).map_err(|e| config_error("ROUTER_CONFIG", e))?;
        let file: ConfigFile = serde_path_to_error::deserialize(&raw)
            .map_err(|e| config_error(&e.path().to_string(), e.inner()))?;
        let mut settings = wire::parse_settings(1, &file.settings.to_string())
            .map_err(|e| config_error(&e.field.replacen("conf", "settings", 1), e.problem))?;
        if runtrack_net::mutant("keyed-for-ever") {
            settings.classes.iter_mut().for_each(|class| {
                if let runtrack_balancer::Semantics::Keyed { window, .. } = &mut class.semantics {
                    *window *= 100;
                }
            });
        }
        let names: Names = serde_path_to_error::deserialize(&file.settings)
            .map_err(|e| config_error(&format!("settings.{}", e.path()), e.inner()))?;
        if file.limits.sockets < super::budget::MIN_SOCKETS {
            let problem = format!("must be at least {}", super::budget::MIN_SOCKETS);
            return Err(config_error("limits.sockets", problem));
        }
        Ok(Config {
            name: name.unwrap_or(file.name),
            listen: parse_address("listen", listen.or(file.listen))?,
            discovery: parse_address("discovery", discovery.or(file.discovery))?,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| config_error("seed", format!("`{}` is not hex", file.seed)))?,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb as usize,
            cached_list: file.known,
            settings,
            names,
            file: raw,
        })
    }
}

fn parse_address(field: &str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or_else(|| config_error(field, "missing"))?;
    text.parse().map_err(|_| config_error(field, format!("`{text}` is not an address and port")))
}
