//! Client of a running control service, through its admin address or its Unix socket.

use crate::common::CommandResult;
use crate::failure::Failure;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::Value;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpStream, UnixStream};

/// Maximum time to wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response, in bytes. The status of a thousand proxies with all their types takes some hundred KB.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Interval at which `watch` polls the service.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends one request over a new connection; returns the status code and the body.
async fn exchange(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    http_request: Request<Full<Bytes>>,
) -> ResponseResult {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let exchange_request = async {
        let response = sender.send_request(http_request).await?;
        let code = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await?.to_bytes();
        Ok((code, body))
    };
    tokio::select! {
        response = exchange_request => response,
        Err(problem) = connection => Err(problem.into()),
    }
}

type ResponseResult = Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>>;

/// Sends a request without a body to the admin address or Unix socket of a service.
fn request(address: &str, method: Method, path: &str) -> Result<(StatusCode, Bytes), Failure> {
    send(address, method, path, None, RESPONSE_TIMEOUT)
}

/// Sends a request with an optional JSON body. An address that contains a `/` is the path of a Unix socket.
pub fn send(
    address: &str,
    method: Method,
    path: &str,
    body: Option<&Value>,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), Failure> {
    let failed = |problem: String| Failure::Service { at: address.to_owned(), problem };
    let mut http_request = Request::builder().method(method).uri(path).header(HOST, "runtrack-control");
    if body.is_some() {
        http_request = http_request.header(CONTENT_TYPE, "application/json");
    }
    let http_request =
        http_request.body(Full::new(body.map(|body| Bytes::from(body.to_string())).unwrap_or_default()));
    let http_request = http_request.map_err(|problem| failed(problem.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let exchange_request = async {
        match address.contains('/') {
            true => exchange(UnixStream::connect(address).await?, http_request).await,
            false => exchange(TcpStream::connect(address).await?, http_request).await,
        }
    };
    let response = runtime
        .map_err(|problem| failed(problem.to_string()))?
        .block_on(async { tokio::time::timeout(timeout, exchange_request).await });
    let response = response.map_err(|_| failed(format!("no response within {timeout:?}")))?;
    response.map_err(|problem| failed(problem.to_string()))
}

fn fetch_status(address: &str) -> Result<Value, Failure> {
    let failed = |problem: String| Failure::Service { at: address.to_owned(), problem };
    let (code, body) = request(address, Method::GET, "/status")?;
    if code != StatusCode::OK {
        return Err(failed(format!("it responds with {code}")));
    }
    serde_json::from_slice(&body).map_err(|error| failed(format!("invalid status: {error}")))
}

/// Runs `rollout resume`.
pub fn resume(address: &str) -> CommandResult {
    let failed = |problem: String| Failure::Service { at: address.to_owned(), problem };
    match request(address, Method::POST, "/rollout/resume")?.0 {
        StatusCode::ACCEPTED => Ok(0),
        StatusCode::CONFLICT => Err(failed("no roll-out has halted".to_owned())),
        code => Err(failed(format!("it responds with {code}"))),
    }
}

/// Summary of a service's status: what it serves, and the state of its proxies.
struct ServiceStatus {
    fleet: String,
    serial: Option<u64>,
    proxies: usize,
    behind: Vec<String>,
    rejected: Vec<String>,
    troubles: Vec<String>,
    /// Description of the roll-out in progress, and the reason if it has halted.
    rollout: Option<(String, Option<String>)>,
}

impl ServiceStatus {
    fn of(status: &Value) -> ServiceStatus {
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let proxies: &[Value] = status["proxies"].as_array().map_or(&[], Vec::as_slice);
        let nodes_with = |predicate: &dyn Fn(&Value) -> bool| -> Vec<String> {
            let types =
                |proxy: &&Value| proxy["types"].as_array().is_some_and(|types| types.iter().any(predicate));
            proxies.iter().filter(types).map(|proxy| text(&proxy["node"])).collect()
        };
        let troubles = status["troubles"].as_object().into_iter().flatten();
        let rollout = status["rollout"].as_object().map(|rollout| {
            let part = rollout["share"].as_f64().unwrap_or_default() / 100.0;
            let halted = rollout["halted"].as_str().map(str::to_owned);
            (format!("stage {} of {}, {part}% of the nodes", rollout["stage"], rollout["stages"]), halted)
        });
        ServiceStatus {
            rollout,
            fleet: text(&status["fleet"]),
            serial: status["serial"].as_u64(),
            proxies: proxies.len(),
            behind: nodes_with(&|kind| kind["behind"] == Value::Bool(true)),
            rejected: nodes_with(&|kind| !kind["rejected"].is_null()),
            troubles: troubles.map(|(of, what)| format!("{of}: {}", text(what))).collect(),
        }
    }

    /// Number of streams that are up to date.
    fn up_to_date(&self) -> usize {
        self.proxies - self.behind.len().min(self.proxies)
    }

    fn summary_line(&self) -> String {
        let serial = self.serial.map(|serial| format!("serial {serial}, ")).unwrap_or_default();
        let named = |what: &str, nodes: &[String]| match nodes {
            [] => String::new(),
            [first] => format!("; {what}: {first}"),
            [first, rest @ ..] => format!("; {what}: {first} and {} more", rest.len()),
        };
        let fleet = self.fleet.get(..12).unwrap_or("unknown");
        format!(
            "{serial}fleet {fleet}, {} of {} streams are up to date{}{}{}",
            self.up_to_date(),
            self.proxies,
            named("behind", &self.behind),
            named("rejected", &self.rejected),
            self.rollout.as_ref().map(|(stage, _)| format!("; {stage}")).unwrap_or_default()
        )
    }
}

/// Style of the progress bar: streams that are up to date, and the stage of the roll-out.
fn bar_style() -> ProgressStyle {
    let style = ProgressStyle::with_template("{bar:32} {pos}/{len} streams {elapsed} {msg}");
    style.unwrap_or_else(|_| ProgressStyle::default_bar())
}

/// Runs `status`. The exit code is 3 if the service reports troubles.
pub fn status(address: &str, json: bool) -> CommandResult {
    let status = fetch_status(address)?;
    if json {
        println!("{status:#}");
        return Ok(0);
    }
    let summary = ServiceStatus::of(&status);
    println!("{}", summary.summary_line());
    for (name, pool) in status["pools"].as_object().into_iter().flatten() {
        let stale =
            pool["stale"]["why"].as_str().map(|reason| format!(", stale: {reason}")).unwrap_or_default();
        println!(
            "pool {name}: {} ready, {} draining, {} cold{stale}",
            pool["ready"], pool["draining"], pool["cold"]
        );
    }
    for trouble in &summary.troubles {
        println!("trouble: {trouble}");
    }
    Ok(if summary.troubles.is_empty() { 0 } else { 3 })
}

/// Runs `watch`: prints the status whenever it changes, until the service serves the fleet with the hash `wanted_hash` (or
/// any fleet) and every stream is up to date. Fails if a proxy has rejected a resource, the roll-out has halted or
/// the time is up.
pub fn watch(address: &str, wanted_hash: Option<&str>, timeout: Duration) -> CommandResult {
    let end = Instant::now() + timeout;
    let mut printed = String::new();
    // Drawn on standard error, and only if that is a terminal.
    let bar = ProgressBar::new(0).with_style(bar_style());
    loop {
        let summary = ServiceStatus::of(&fetch_status(address)?);
        let summary_line = summary.summary_line();
        if summary_line != printed {
            bar.suspend(|| println!("{summary_line}"));
            printed = summary_line;
        }
        bar.set_length(summary.proxies as u64);
        bar.set_position(summary.up_to_date() as u64);
        bar.set_message(summary.rollout.as_ref().map(|(stage, _)| stage.clone()).unwrap_or_default());
        let served = wanted_hash.is_none_or(|wanted_hash| summary.fleet == wanted_hash);
        if let Some((stage, Some(reason))) = &summary.rollout {
            let problem =
                format!("the roll-out has halted at {stage}: {reason}. See `runtrackctl rollout`");
            return Err(Failure::Service { at: address.to_owned(), problem });
        }
        if served && summary.behind.is_empty() && summary.rollout.is_none() {
            return match summary.rejected.first() {
                None => Ok(0),
                Some(node) => Err(Failure::Service {
                    at: address.to_owned(),
                    problem: format!(
                        "{node} has rejected some of the resources: see `runtrackctl status --json`"
                    ),
                }),
            };
        }
        if Instant::now() >= end {
            let problem = match served {
                true => format!("{} streams are still behind", summary.behind.len()),
                false => "it does not serve the applied state yet: does it use this folder?".to_owned(),
            };
            return Err(Failure::Service { at: address.to_owned(), problem });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
