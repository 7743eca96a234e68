//! A running control service, asked at its admin address.

use crate::failure::Failure;
use crate::run::Done;
use serde_json::Value;
use std::time::{Duration, Instant};

/// No answer takes longer.
const ANSWER_MOST: Duration = Duration::from_secs(5);
/// Longest answer: a thousand proxies with all their types are some hundred KB.
const BYTES_MOST: u64 = 64 << 20;
/// How often a service that is followed is asked.
const EVERY: Duration = Duration::from_millis(100);

fn ask(at: &str) -> Result<Value, Failure> {
    let failed = |problem: String| Failure::Service { at: at.to_owned(), problem };
    let agent: ureq::Agent = ureq::Agent::config_builder().timeout_global(Some(ANSWER_MOST)).build().into();
    let mut answer =
        agent.get(format!("http://{at}/status")).call().map_err(|error| failed(error.to_string()))?;
    let body = answer.body_mut().with_config().limit(BYTES_MOST).read_to_string();
    let text = body.map_err(|error| failed(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| failed(format!("its status is not understood: {error}")))
}

/// How a service's proxies stand towards what it serves.
struct Standing {
    fleet: String,
    serial: Option<u64>,
    proxies: usize,
    behind: Vec<String>,
    rejected: Vec<String>,
    troubles: Vec<String>,
}

impl Standing {
    fn of(status: &Value) -> Standing {
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let proxies: &[Value] = status["proxies"].as_array().map_or(&[], Vec::as_slice);
        let with = |holds: &dyn Fn(&Value) -> bool| -> Vec<String> {
            let types =
                |proxy: &&Value| proxy["types"].as_array().is_some_and(|types| types.iter().any(holds));
            proxies.iter().filter(types).map(|proxy| text(&proxy["node"])).collect()
        };
        let troubles = status["troubles"].as_object().into_iter().flatten();
        Standing {
            fleet: text(&status["fleet"]),
            serial: status["serial"].as_u64(),
            proxies: proxies.len(),
            behind: with(&|kind| kind["behind"] == Value::Bool(true)),
            rejected: with(&|kind| !kind["rejected"].is_null()),
            troubles: troubles.map(|(of, what)| format!("{of}: {}", text(what))).collect(),
        }
    }

    fn line(&self) -> String {
        let serial = self.serial.map(|serial| format!("serial {serial}, ")).unwrap_or_default();
        let named = |what: &str, nodes: &[String]| match nodes {
            [] => String::new(),
            [first] => format!("; {what}: {first}"),
            [first, rest @ ..] => format!("; {what}: {first} and {} more", rest.len()),
        };
        let fleet = self.fleet.get(..12).unwrap_or("unknown");
        format!(
            "{serial}fleet {fleet}, {} of {} streams have it{}{}",
            self.proxies - self.behind.len().min(self.proxies),
            self.proxies,
            named("behind", &self.behind),
            named("rejected", &self.rejected)
        )
    }
}

/// `status`. Exits with 3 where something is wrong with the service itself.
pub fn status(at: &str, json: bool) -> Done {
    let status = ask(at)?;
    if json {
        println!("{status:#}");
        return Ok(0);
    }
    let standing = Standing::of(&status);
    println!("{}", standing.line());
    for (name, pool) in status["pools"].as_object().into_iter().flatten() {
        let stale = pool["stale"]["why"].as_str().map(|why| format!(", stale: {why}")).unwrap_or_default();
        println!(
            "pool {name}: {} ready, {} draining, {} cold{stale}",
            pool["ready"], pool["draining"], pool["cold"]
        );
    }
    for trouble in &standing.troubles {
        println!("trouble: {trouble}");
    }
    Ok(if standing.troubles.is_empty() { 0 } else { 3 })
}

/// `watch`: says how the service stands whenever that changes, until it serves what is wanted (or anything) and
/// every stream has it, none having rejected a part.
pub fn watch(at: &str, wanted: Option<&str>, most: Duration) -> Done {
    let end = Instant::now() + most;
    let mut said = String::new();
    loop {
        let standing = Standing::of(&ask(at)?);
        let line = standing.line();
        if line != said {
            println!("{line}");
            said = line;
        }
        let served = wanted.is_none_or(|wanted| standing.fleet == wanted);
        if served && standing.behind.is_empty() {
            return match standing.rejected.first() {
                None => Ok(0),
                Some(node) => Err(Failure::Service {
                    at: at.to_owned(),
                    problem: format!("{node} has rejected a part of it: see `runtrackctl status --json`"),
                }),
            };
        }
        if Instant::now() >= end {
            let problem = match served {
                true => format!("{} streams are still behind", standing.behind.len()),
                false => "it does not serve the applied state yet: does it follow this folder?".to_owned(),
            };
            return Err(Failure::Service { at: at.to_owned(), problem });
        }
        std::thread::sleep(EVERY);
    }
}
