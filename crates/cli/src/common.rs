//! What several commands share.

use crate::failure::Failure;
use std::hash::{BuildHasher, RandomState};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The exit code, where there is no failure.
pub type Done = Result<u8, Failure>;

/// Where a state is kept, and who acts on it.
pub struct Place {
    /// Its folder; or ...
    pub folder: PathBuf,
    /// ... the admin addresses of a cluster that keeps it.
    pub cluster: Vec<String>,
    /// Who.
    pub author: String,
}

/// Unix time in milliseconds.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// How a plan is made and where it goes.
#[derive(clap::Args)]
pub struct Made {
    /// Where the plan is written; without it nothing can be applied.
    #[arg(short, long, value_name = "FILE")]
    pub out: Option<PathBuf>,
    /// What the fleet carries now (TOML), for the risks' figures.
    #[arg(long, value_name = "FILE")]
    pub load: Option<PathBuf>,
    /// Why, for the history.
    #[arg(long, default_value = "", value_name = "TEXT")]
    pub reason: String,
    /// Parts of the proxies that get the change one after the other, such as 10%,50%: the rest follows.
    #[arg(long, value_name = "PARTS", value_delimiter = ',', value_parser = part)]
    pub stages: Vec<u32>,
    /// Least time between two stages.
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = humantime::parse_duration)]
    pub pause: Duration,
    /// For how long the plan may be applied.
    #[arg(long, value_name = "TIME", default_value = "1h", value_parser = humantime::parse_duration)]
    pub life: Duration,
    /// As JSON.
    #[arg(long)]
    pub json: bool,
}

/// A part of the proxies, in 10,000.
fn part(text: &str) -> Result<u32, String> {
    let number = text.strip_suffix('%').and_then(|number| number.parse::<f64>().ok());
    let part = number.map(|number| (number * 100.0).round()).filter(|part| (1.0..=10_000.0).contains(part));
    part.map(|part| part as u32).ok_or_else(|| format!("`{text}` is no part: 0.01% to 100%"))
}

/// A random number that no other command has.
pub fn random() -> String {
    let one = || RandomState::new().hash_one(now_ms());
    format!("{:016x}{:016x}", one(), one())
}

/// Prints what other programs read.
pub fn print_json(value: &impl serde::Serialize) {
    // Fails only for maps with keys that are no text, which nothing here has.
    anstream::println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}
