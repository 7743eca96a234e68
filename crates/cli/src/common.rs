//! Types and functions shared by the commands.

use crate::failure::Failure;
use std::hash::{BuildHasher, RandomState};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Result of a command: its exit code, or the failure.
pub type CommandResult = Result<u8, Failure>;

/// Location of the state, and the author of changes.
pub struct Context {
    /// Folder of the state, used if `cluster` is empty.
    pub folder: PathBuf,
    /// Admin addresses of the cluster that holds the state; empty for a state in a folder.
    pub cluster: Vec<String>,
    /// Author recorded in the history.
    pub author: String,
}

/// Current Unix time in milliseconds.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Options of the commands that create a plan.
#[derive(clap::Args)]
pub struct PlanArgs {
    /// File to write the plan to; without it the plan is only shown.
    #[arg(short, long, value_name = "FILE")]
    pub out: Option<PathBuf>,
    /// Current load of the fleet (TOML), for the figures of the risks.
    #[arg(long, value_name = "FILE")]
    pub load: Option<PathBuf>,
    /// Reason, for the history.
    #[arg(long, default_value = "", value_name = "TEXT")]
    pub reason: String,
    /// Cumulative shares of the proxies that receive the change in stages, such as 10%,50%; 100% is added as the last one.
    #[arg(long, value_name = "PARTS", value_delimiter = ',', value_parser = parse_share)]
    pub stages: Vec<u32>,
    /// Minimum time between two stages.
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = humantime::parse_duration)]
    pub pause: Duration,
    /// How long the plan can be applied.
    #[arg(long, value_name = "TIME", default_value = "1h", value_parser = humantime::parse_duration)]
    pub life: Duration,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Parses a share of the proxies, such as `10%`, into units of 0.01%.
fn parse_share(text: &str) -> Result<u32, String> {
    let number = text.strip_suffix('%').and_then(|number| number.parse::<f64>().ok());
    let share =
        number.map(|number| (number * 100.0).round()).filter(|share| (1.0..=10_000.0).contains(share));
    share
        .map(|share| share as u32)
        .ok_or_else(|| format!("`{text}` is not a percentage between 0.01% and 100%"))
}

/// A unique random id: 128 bits in hexadecimal.
pub fn random_id() -> String {
    let half = || RandomState::new().hash_one(now_ms());
    format!("{:016x}{:016x}", half(), half())
}

/// Prints a value as JSON.
pub fn print_json(value: &impl serde::Serialize) {
    // Fails only for maps with non-string keys, which no printed value has.
    anstream::println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}
