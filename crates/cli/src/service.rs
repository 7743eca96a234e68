//! A running control service, asked at its admin address or its Unix socket.

use crate::common::Done;
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

/// No answer takes longer.
const ANSWER_MOST: Duration = Duration::from_secs(5);
/// Longest answer: a thousand proxies with all their types are some hundred KB.
const BYTES_MOST: usize = 64 << 20;
/// How often a service that is followed is asked.
const EVERY: Duration = Duration::from_millis(100);

/// One request over a connection of its own: the code, and the body.
async fn exchange(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    ask: Request<Full<Bytes>>,
) -> Answer {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let talk = async {
        let answer = sender.send_request(ask).await?;
        let code = answer.status();
        let body = Limited::new(answer.into_body(), BYTES_MOST).collect().await?.to_bytes();
        Ok((code, body))
    };
    tokio::select! {
        answer = talk => answer,
        Err(problem) = connection => Err(problem.into()),
    }
}

type Answer = Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>>;

/// Asks a service at its admin address, or at the Unix socket of a path.
fn request(at: &str, method: Method, path: &str) -> Result<(StatusCode, Bytes), Failure> {
    send(at, method, path, None, ANSWER_MOST)
}

/// The same, with a JSON body, and for as long as is said.
pub fn send(
    at: &str,
    method: Method,
    path: &str,
    body: Option<&Value>,
    most: Duration,
) -> Result<(StatusCode, Bytes), Failure> {
    let failed = |problem: String| Failure::Service { at: at.to_owned(), problem };
    let mut ask = Request::builder().method(method).uri(path).header(HOST, "runtrack-control");
    if body.is_some() {
        ask = ask.header(CONTENT_TYPE, "application/json");
    }
    let ask = ask.body(Full::new(body.map(|body| Bytes::from(body.to_string())).unwrap_or_default()));
    let ask = ask.map_err(|problem| failed(problem.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let talk = async {
        match at.contains('/') {
            true => exchange(UnixStream::connect(at).await?, ask).await,
            false => exchange(TcpStream::connect(at).await?, ask).await,
        }
    };
    let answer = runtime
        .map_err(|problem| failed(problem.to_string()))?
        .block_on(async { tokio::time::timeout(most, talk).await });
    let answer = answer.map_err(|_| failed(format!("no answer within {most:?}")))?;
    answer.map_err(|problem| failed(problem.to_string()))
}

fn ask(at: &str) -> Result<Value, Failure> {
    let failed = |problem: String| Failure::Service { at: at.to_owned(), problem };
    let (code, body) = request(at, Method::GET, "/status")?;
    if code != StatusCode::OK {
        return Err(failed(format!("it answers {code}")));
    }
    serde_json::from_slice(&body).map_err(|error| failed(format!("its status is not understood: {error}")))
}

/// `rollout resume`.
pub fn resume(at: &str) -> Done {
    let failed = |problem: String| Failure::Service { at: at.to_owned(), problem };
    match request(at, Method::POST, "/rollout/resume")?.0 {
        StatusCode::ACCEPTED => Ok(0),
        StatusCode::CONFLICT => Err(failed("no roll-out has halted".to_owned())),
        code => Err(failed(format!("it answers {code}"))),
    }
}

/// How a service's proxies stand towards what it serves.
struct Standing {
    fleet: String,
    serial: Option<u64>,
    proxies: usize,
    behind: Vec<String>,
    rejected: Vec<String>,
    troubles: Vec<String>,
    /// A roll-out under way, in words, and why it has halted.
    rollout: Option<(String, Option<String>)>,
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
        let rollout = status["rollout"].as_object().map(|rollout| {
            let part = rollout["share"].as_f64().unwrap_or_default() / 100.0;
            let halted = rollout["halted"].as_str().map(str::to_owned);
            (format!("stage {} of {}, {part}% of the nodes", rollout["stage"], rollout["stages"]), halted)
        });
        Standing {
            rollout,
            fleet: text(&status["fleet"]),
            serial: status["serial"].as_u64(),
            proxies: proxies.len(),
            behind: with(&|kind| kind["behind"] == Value::Bool(true)),
            rejected: with(&|kind| !kind["rejected"].is_null()),
            troubles: troubles.map(|(of, what)| format!("{of}: {}", text(what))).collect(),
        }
    }

    /// Streams that have what is for them.
    fn up_to_date(&self) -> usize {
        self.proxies - self.behind.len().min(self.proxies)
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
            "{serial}fleet {fleet}, {} of {} streams have what is for them{}{}{}",
            self.up_to_date(),
            self.proxies,
            named("behind", &self.behind),
            named("rejected", &self.rejected),
            self.rollout.as_ref().map(|(stage, _)| format!("; {stage}")).unwrap_or_default()
        )
    }
}

/// So many of the streams have what is for them, and the stage of a roll-out.
fn bar_style() -> ProgressStyle {
    let style = ProgressStyle::with_template("{bar:32} {pos}/{len} streams {elapsed} {msg}");
    style.unwrap_or_else(|_| ProgressStyle::default_bar())
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
    // On standard error, and there only where that is a terminal.
    let bar = ProgressBar::new(0).with_style(bar_style());
    loop {
        let standing = Standing::of(&ask(at)?);
        let line = standing.line();
        if line != said {
            bar.suspend(|| println!("{line}"));
            said = line;
        }
        bar.set_length(standing.proxies as u64);
        bar.set_position(standing.up_to_date() as u64);
        bar.set_message(standing.rollout.as_ref().map(|(stage, _)| stage.clone()).unwrap_or_default());
        let served = wanted.is_none_or(|wanted| standing.fleet == wanted);
        if let Some((stage, Some(why))) = &standing.rollout {
            let problem = format!("the roll-out has halted at {stage}: {why}. See `runtrackctl rollout`");
            return Err(Failure::Service { at: at.to_owned(), problem });
        }
        if served && standing.behind.is_empty() && standing.rollout.is_none() {
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
