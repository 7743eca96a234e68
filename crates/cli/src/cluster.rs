//! Cluster commands: creation of a cluster, changes of its members, its status, and access to its versions through any
//! instance.

use crate::common::{CommandResult, Context, now_ms, print_json, random_id};
use crate::failure::Failure;
use crate::service::send;
use clap::Subcommand;
use hyper::{Method, StatusCode};
use runtrack_agree::command::{Attribution, Commit};
use runtrack_agree::{Command, Identity, Invitation, Node, Outcome, State};
use runtrack_plan::{Applied, ApplyError, VersionStore};
use runtrack_store::{CommitInfo, Folder, Store, StoreError, Version};
use serde::Deserialize;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long a request to the cluster is retried, at one instance after the other. Writes keep their id, so that retries
/// are idempotent.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time to wait for a response of one instance.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);
/// Pause between two rounds of requests to all instances.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Subcommands of `cluster`.
#[derive(Subcommand)]
pub enum Action {
    /// Create a cluster of one member, in an empty folder. Services never create a cluster themselves.
    Init {
        /// Folder of the member.
        #[arg(long, default_value = "member", value_name = "FOLDER")]
        member: PathBuf,
        /// Name of the member.
        #[arg(long)]
        name: String,
        /// Address at which the other members reach it.
        #[arg(long, value_name = "ADDRESS")]
        address: String,
        /// Start with the versions of the state in this folder.
        #[arg(long, value_name = "FOLDER")]
        from: Option<PathBuf>,
    },
    /// Create a new member's folder from an invitation.
    Join {
        /// The invitation file written by `cluster add`.
        invitation: PathBuf,
        /// Folder of the member, which must be empty.
        #[arg(long, default_value = "member", value_name = "FOLDER")]
        member: PathBuf,
    },
    /// Show the status of the cluster, as reported by each instance.
    Status {
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Add a member, which votes once it has caught up, and print its invitation.
    Add {
        /// Name of the member.
        name: String,
        /// Address at which the other members reach it.
        address: String,
        /// File to write the invitation to; by default standard output.
        #[arg(short, long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Remove a member. Its number is never reused.
    Remove {
        /// Name or number of the member.
        name: String,
    },
    /// Transfer leadership to another member.
    Transfer {
        /// Name or number of the member.
        name: String,
    },
    /// Export a member's versions to a new state folder, for a single instance. The member must not be running.
    Export {
        /// Folder of the member.
        #[arg(long, default_value = "member", value_name = "FOLDER")]
        member: PathBuf,
        /// Folder of the new state.
        #[arg(long, value_name = "FOLDER")]
        to: PathBuf,
    },
}

/// Client of a cluster, which tries its instances in turn.
pub struct Cluster {
    addresses: Vec<String>,
}

#[derive(Deserialize)]
struct VersionsResponse {
    lineage: String,
    index: u64,
    versions: Vec<Version>,
    age_ms: Option<u64>,
}

/// Versions of a cluster as reported by one of its instances.
pub struct ClusterVersions {
    cluster: Cluster,
    response: VersionsResponse,
}

fn service_failure(at: &str, problem: impl Into<String>) -> Failure {
    Failure::Service { at: at.to_owned(), problem: problem.into() }
}

/// Error message in the response of an instance.
fn error_message(body: &[u8], code: StatusCode) -> String {
    let report = serde_json::from_slice::<Value>(body).ok();
    let report = report.and_then(|body| body["error"].as_str().map(str::to_owned));
    report.unwrap_or_else(|| format!("it responds with {code}"))
}

impl Cluster {
    /// Creates a client of the instances with these admin addresses.
    pub fn new(addresses: &[String]) -> Cluster {
        Cluster { addresses: addresses.to_vec() }
    }

    /// Returns the first conclusive response of an instance. While instances are unreachable or respond with a gateway
    /// timeout, the request is retried for up to `timeout`.
    fn ask(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> Result<Vec<u8>, Failure> {
        if self.addresses.is_empty() {
            let what =
                "no cluster instances given: use --cluster ADDRESS[,ADDRESS...], or RUNTRACK_CLUSTER";
            return Err(Failure::Usage(what.to_owned()));
        }
        let end = Instant::now() + timeout;
        loop {
            let mut last = None;
            for at in &self.addresses {
                match send(at, method.clone(), path, body, RESPONSE_TIMEOUT) {
                    Ok((StatusCode::OK, body)) => return Ok(body.to_vec()),
                    Ok((code, body)) if code == StatusCode::GATEWAY_TIMEOUT => {
                        last = Some(service_failure(at, error_message(&body, code)));
                    }
                    // A conclusive refusal: other instances would respond alike.
                    Ok((code, body)) => return Err(service_failure(at, error_message(&body, code))),
                    Err(problem) => last = Some(problem),
                }
                if Instant::now() >= end {
                    break;
                }
            }
            if Instant::now() >= end {
                return Err(last.unwrap_or_else(|| service_failure("the cluster", "no instance responds")));
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Commits a command to the log of the cluster. It takes effect once, however often it is retried with the same id.
    fn write(&self, id: &str, command: &Command) -> Result<Outcome, Failure> {
        #[derive(Deserialize)]
        struct WriteResponse {
            outcome: Outcome,
        }
        let body = json!({"id": id, "command": command});
        let result = self.ask(Method::POST, "/write", Some(&body), RETRY_TIMEOUT)?;
        let result: WriteResponse = serde_json::from_slice(&result)
            .map_err(|e| service_failure(&self.addresses[0], format!("invalid response: {e}")))?;
        Ok(result.outcome)
    }

    /// Reads the committed versions; with `linearizable`, a linearizable read through a majority.
    pub fn versions(self, linearizable: bool) -> Result<ClusterVersions, Failure> {
        let path = if linearizable { "/versions/now" } else { "/versions" };
        let response = self.ask(Method::GET, path, None, RETRY_TIMEOUT)?;
        let response = serde_json::from_slice(&response)
            .map_err(|e| service_failure(&self.addresses[0], format!("invalid response: {e}")))?;
        Ok(ClusterVersions { cluster: self, response })
    }

    fn change(&self, change: &Value) -> Result<Vec<u8>, Failure> {
        let body = json!({"id": random_id(), "change": change});
        self.ask(Method::POST, "/cluster/change", Some(&body), RETRY_TIMEOUT)
    }
}

impl ClusterVersions {
    /// Describes the age of the response.
    pub fn age(&self) -> String {
        let index = self.response.index;
        match self.response.age_ms {
            None => format!("as of index {index}; this instance has had no contact with a majority"),
            Some(0) => format!("as of index {index}, now"),
            Some(ms) => format!("as of index {index}, at most {ms} ms ago"),
        }
    }
}

impl VersionStore for ClusterVersions {
    fn lineage(&self) -> &str {
        &self.response.lineage
    }

    fn history(&self) -> &[Version] {
        &self.response.versions
    }

    fn text(&self, serial: u64) -> Result<String, ApplyError> {
        let text = self.cluster.ask(Method::GET, &format!("/text/{serial}"), None, RESPONSE_TIMEOUT);
        let text = text.map_err(|problem| apply_error(&self.cluster, &problem))?;
        String::from_utf8(text)
            .map_err(|_| ApplyError::InvalidFleet { serial, problem: "the text is not UTF-8".to_owned() })
    }

    fn commit(&mut self, base_serial: u64, text: &str, entry: CommitInfo) -> Result<Applied, ApplyError> {
        let parent = self.current().map(|version| version.hash.clone()).unwrap_or_default();
        // The id of a plan is the same in every retry of `apply`, so that the plan is committed only once.
        let id = if entry.plan.is_empty() { random_id() } else { entry.plan.to_owned() };
        let by = Attribution {
            author: entry.author.to_owned(),
            reason: entry.reason.to_owned(),
            at_ms: entry.at_ms,
        };
        let commit = Command::Commit(Commit {
            on: base_serial,
            parent,
            text: text.to_owned(),
            by,
            plan: entry.plan.to_owned(),
            stages: entry.stages.to_vec(),
            pause_ms: entry.pause_ms,
        });
        match self.cluster.write(&id, &commit).map_err(|problem| apply_error(&self.cluster, &problem))? {
            Outcome::Committed(serial) => Ok(Applied::Committed(serial)),
            Outcome::Before(serial) => Ok(Applied::AlreadyApplied(serial)),
            Outcome::Moved { expected, found, by } => {
                Err(StoreError::Moved { expected, found, by: Some(by) }.into())
            }
            Outcome::Done | Outcome::Refused(_) => Err(apply_error(&self.cluster, "nothing was committed")),
        }
    }
}

fn apply_error(cluster: &Cluster, problem: impl ToString) -> ApplyError {
    ApplyError::Service { at: cluster.addresses.join(","), problem: problem.to_string() }
}

fn folder(path: &Path) -> Result<Folder, Failure> {
    Folder::new(path).map_err(Failure::file(path))
}

fn member(path: &Path) -> impl Fn(runtrack_agree::NodeError) -> Failure {
    let at = path.display().to_string();
    move |problem| Failure::Usage(format!("{at}: {problem}"))
}

/// Runs a `cluster` subcommand.
pub fn run(command: Action, context: &Context) -> CommandResult {
    let cluster = Cluster::new(&context.cluster);
    match command {
        Action::Init { member, name, address, from } => init(&member, &name, &address, from.as_deref()),
        Action::Join { invitation, member } => join(&invitation, &member),
        Action::Status { json } => status(&cluster, json),
        Action::Add { name, address, out } => {
            let invitation = cluster.change(&json!({"add": {"name": name, "address": address}}))?;
            match out {
                Some(out) => std::fs::write(&out, &invitation).map_err(Failure::file(&out))?,
                None => println!("{}", String::from_utf8_lossy(&invitation)),
            }
            Ok(0)
        }
        Action::Remove { name } => {
            cluster.change(&json!({"remove": {"name": name}}))?;
            println!("{name} is no longer a member");
            Ok(0)
        }
        Action::Transfer { name } => {
            cluster.change(&json!({"transfer": {"name": name}}))?;
            println!("{name} is now the leader");
            Ok(0)
        }
        Action::Export { member, to } => export(&member, &to),
    }
}

fn init(path: &Path, name: &str, address: &str, from: Option<&Path>) -> CommandResult {
    let (lineage, versions) = match from {
        None => (random_id(), Vec::new()),
        Some(from) => {
            let store = Store::open(folder(from)?)?.ok_or_else(|| Failure::NoState(from.to_owned()))?;
            let kept = store
                .history()
                .iter()
                .filter_map(|version| Some((version.clone(), store.text(version.serial).ok()?)));
            (store.lineage().to_owned(), kept.collect())
        }
    };
    let folder_id = random_id();
    // The time orders lineages, so that a proxy that has seen an earlier one accepts this one.
    let state = State::new(&lineage, now_ms().saturating_mul(1000), name, address, &folder_id)
        .with_versions(versions);
    let identity = Identity {
        lineage: lineage.clone(),
        member: 1,
        ticket: String::new(),
        folder: folder_id,
        others: Vec::new(),
    };
    Node::bootstrap(folder(path)?, identity, &state).map_err(member(path))?;
    println!("{}: {name} is member 1 of the cluster {lineage}, serial {}", path.display(), state.serial());
    Ok(0)
}

fn join(file: &Path, path: &Path) -> CommandResult {
    let text = std::fs::read_to_string(file).map_err(Failure::file(file))?;
    let invitation: Invitation = serde_json::from_str(&text)
        .map_err(|problem| Failure::Usage(format!("{}: not an invitation: {problem}", file.display())))?;
    let identity = Identity { folder: random_id(), ..invitation.identity };
    let (number, lineage) = (identity.member, identity.lineage.clone());
    Node::join(folder(path)?, identity).map_err(member(path))?;
    println!("{}: {} is member {number} of the cluster {lineage}", path.display(), invitation.name);
    Ok(0)
}

fn export(path: &Path, to: &Path) -> CommandResult {
    let node = Node::open(folder(path)?, runtrack_agree::Tuning::default(), 0).map_err(member(path))?;
    let state =
        node.state().ok_or_else(|| Failure::Usage(format!("{}: no state received yet", path.display())))?;
    let mut store = Store::open_or_create(folder(to)?, &state.lineage)?;
    if store.serial() > 0 {
        return Err(Failure::Usage(format!("{}: the folder already contains a state", to.display())));
    }
    for version in &state.versions {
        let Some(text) = state.text(version.serial) else { continue };
        let entry = CommitInfo {
            author: &version.author,
            reason: &version.reason,
            at_ms: version.at_ms,
            plan: &version.plan,
            stages: &version.stages,
            pause_ms: version.pause_ms,
        };
        store.commit(store.serial(), text, entry)?;
    }
    println!("{}: lineage {}, serial {}", to.display(), store.lineage(), store.serial());
    Ok(0)
}

/// Runs `cluster status`. The exit code is 3 if an instance does not respond or has no contact with a majority.
fn status(cluster: &Cluster, json: bool) -> CommandResult {
    let mut unhealthy = cluster.addresses.is_empty();
    let mut all = serde_json::Map::new();
    for at in &cluster.addresses {
        let report = match send(at, Method::GET, "/cluster", None, RESPONSE_TIMEOUT) {
            Ok((StatusCode::OK, body)) => serde_json::from_slice(&body).unwrap_or(Value::Null),
            Ok((code, _)) => json!({"problem": format!("HTTP {code}: is it a member of a cluster?")}),
            Err(problem) => json!({"problem": problem.to_string()}),
        };
        unhealthy |= report["majority"] != Value::Bool(true);
        all.insert(at.clone(), report);
    }
    if json {
        print_json(&all);
        return Ok(if unhealthy { 3 } else { 0 });
    }
    for (at, report) in &all {
        if let Some(problem) = report["problem"].as_str() {
            println!("{at}: {problem}");
            continue;
        }
        let standing = &report["standing"];
        let contact = match (report["majority"].as_bool(), report["in_touch_ms_ago"].as_u64()) {
            (Some(true), _) => "in contact with a majority".to_owned(),
            (_, Some(ms)) => format!("NO contact with a majority for {ms} ms"),
            _ => "NO contact with a majority".to_owned(),
        };
        println!(
            "{at}: member {}, {}, {contact}; term {}, index {}, serial {}",
            report["member"],
            standing["role"].as_str().unwrap_or("folder unusable"),
            standing["term"],
            report["index"],
            report["serial"]
        );
        for problem in [&report["trouble"], &report["removed"]] {
            if let Some(problem) = problem.as_str() {
                println!("  {problem}");
            }
        }
        for member in report["members"].as_array().into_iter().flatten() {
            let text = |key: &str| member[key].as_str().unwrap_or_default();
            let mut notes =
                vec![if member["voter"] == Value::Bool(true) { "votes" } else { "learns" }.to_owned()];
            if member["joined"] == Value::Bool(false) {
                notes.push("has not joined yet".to_owned());
            }
            if member["id"] == standing["leader"] {
                notes.push("leads".to_owned());
            }
            if member["connected"] == Value::Bool(false) {
                notes.push(format!("not connected: {}", text("problem")));
            }
            println!("  {} {} at {}: {}", member["id"], text("name"), text("address"), notes.join(", "));
        }
    }
    Ok(if unhealthy { 3 } else { 0 })
}

/// Runs `hold`.
pub fn hold(context: &Context, pool: &str, endpoint: &str, held: bool, reason: &str) -> CommandResult {
    let by = Attribution { author: context.author.clone(), reason: reason.to_owned(), at_ms: now_ms() };
    let command = Command::Hold { pool: pool.to_owned(), uid: endpoint.to_owned(), held, by };
    Cluster::new(&context.cluster).write(&random_id(), &command)?;
    println!(
        "{endpoint} of {pool} {}",
        if held { "receives no new requests" } else { "receives requests again" }
    );
    Ok(0)
}
