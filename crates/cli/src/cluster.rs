//! A cluster of control instances: its beginning, its members, and its versions as any instance gives them.

use crate::common::{Done, Place, now_ms, print_json, random};
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

/// A write is repeated with its id, at one instance after the other, for so long.
const WRITE_MOST: Duration = Duration::from_secs(30);
/// No instance takes longer for an answer.
const ANSWER_MOST: Duration = Duration::from_secs(12);
const AGAIN: Duration = Duration::from_millis(100);

/// What is asked of a cluster.
#[derive(Subcommand)]
pub enum Ask {
    /// Make a cluster of one member, in an empty folder. No service ever makes one by itself.
    Init {
        /// The member's folder.
        #[arg(long, default_value = "member", value_name = "FOLDER")]
        member: PathBuf,
        /// Its name.
        #[arg(long)]
        name: String,
        /// Where the other members will reach it.
        #[arg(long, value_name = "ADDRESS")]
        address: String,
        /// Begin with the versions of a state's folder.
        #[arg(long, value_name = "FOLDER")]
        from: Option<PathBuf>,
    },
    /// Make a new member's folder from an invitation.
    Join {
        /// The invitation, as `cluster add` wrote it.
        invitation: PathBuf,
        /// The member's folder, empty.
        #[arg(long, default_value = "member", value_name = "FOLDER")]
        member: PathBuf,
    },
    /// How the cluster stands, as each instance sees it.
    Status {
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Add a member, which votes once it has caught up; prints its invitation.
    Add {
        /// Its name.
        name: String,
        /// Where the others will reach it.
        address: String,
        /// Where the invitation is written; without it to standard output.
        #[arg(short, long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Remove a member. Its number is never given again.
    Remove {
        /// Its name or number.
        name: String,
    },
    /// Hand leadership to another member.
    Transfer {
        /// Its name or number.
        name: String,
    },
    /// Write a member's versions into a new state's folder, for one instance alone. The member must not run.
    Export {
        /// The member's folder.
        #[arg(long, default_value = "member", value_name = "FOLDER")]
        member: PathBuf,
        /// The new state's folder.
        #[arg(long, value_name = "FOLDER")]
        to: PathBuf,
    },
}

/// Instances of a cluster, asked in turn.
pub struct Cluster {
    at: Vec<String>,
}

#[derive(Deserialize)]
struct Words {
    lineage: String,
    index: u64,
    versions: Vec<Version>,
    age_ms: Option<u64>,
}

/// The versions of a cluster as one of its instances gave them.
pub struct Remote {
    cluster: Cluster,
    words: Words,
}

fn service(at: &str, problem: impl Into<String>) -> Failure {
    Failure::Service { at: at.to_owned(), problem: problem.into() }
}

/// What an instance says is wrong.
fn problem_of(body: &[u8], code: StatusCode) -> String {
    let said = serde_json::from_slice::<Value>(body).ok();
    let said = said.and_then(|body| body["error"].as_str().map(str::to_owned));
    said.unwrap_or_else(|| format!("it answers {code}"))
}

impl Cluster {
    /// These instances, by their admin addresses.
    pub fn new(at: &[String]) -> Cluster {
        Cluster { at: at.to_vec() }
    }

    /// The answer of the first instance that gives one. Where none does, or none knows, it is asked again for `most`.
    fn ask(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        most: Duration,
    ) -> Result<Vec<u8>, Failure> {
        if self.at.is_empty() {
            let what = "name the cluster's instances: --cluster ADDRESS[,ADDRESS...], or RUNTRACK_CLUSTER";
            return Err(Failure::Usage(what.to_owned()));
        }
        let end = Instant::now() + most;
        loop {
            let mut last = None;
            for at in &self.at {
                match send(at, method.clone(), path, body, ANSWER_MOST) {
                    Ok((StatusCode::OK, body)) => return Ok(body.to_vec()),
                    Ok((code, body)) if code == StatusCode::GATEWAY_TIMEOUT => {
                        last = Some(service(at, problem_of(&body, code)));
                    }
                    // It has decided: another one would say the same.
                    Ok((code, body)) => return Err(service(at, problem_of(&body, code))),
                    Err(problem) => last = Some(problem),
                }
                if Instant::now() >= end {
                    break;
                }
            }
            if Instant::now() >= end {
                return Err(last.unwrap_or_else(|| service("the cluster", "no instance answers")));
            }
            std::thread::sleep(AGAIN);
        }
    }

    /// Has a command agreed, once, however often it has to be asked for.
    fn write(&self, id: &str, command: &Command) -> Result<Outcome, Failure> {
        #[derive(Deserialize)]
        struct Done {
            outcome: Outcome,
        }
        let body = json!({"id": id, "command": command});
        let done = self.ask(Method::POST, "/write", Some(&body), WRITE_MOST)?;
        let done: Done =
            serde_json::from_slice(&done).map_err(|e| service(&self.at[0], format!("its answer: {e}")))?;
        Ok(done.outcome)
    }

    /// The versions that are agreed; with `now`, as a majority has them.
    pub fn versions(self, now: bool) -> Result<Remote, Failure> {
        let path = if now { "/versions/now" } else { "/versions" };
        let words = self.ask(Method::GET, path, None, WRITE_MOST)?;
        let words =
            serde_json::from_slice(&words).map_err(|e| service(&self.at[0], format!("its answer: {e}")))?;
        Ok(Remote { cluster: self, words })
    }

    fn change(&self, change: &Value) -> Result<Vec<u8>, Failure> {
        let body = json!({"id": random(), "change": change});
        self.ask(Method::POST, "/cluster/change", Some(&body), WRITE_MOST)
    }
}

impl Remote {
    /// How old this word is.
    pub fn age(&self) -> String {
        let index = self.words.index;
        match self.words.age_ms {
            None => format!("as of index {index}; this instance has not been in touch with a majority"),
            Some(0) => format!("as of index {index}, now"),
            Some(ms) => format!("as of index {index}, {ms} ms ago at most"),
        }
    }
}

impl VersionStore for Remote {
    fn lineage(&self) -> &str {
        &self.words.lineage
    }

    fn history(&self) -> &[Version] {
        &self.words.versions
    }

    fn text(&self, serial: u64) -> Result<String, ApplyError> {
        let text = self.cluster.ask(Method::GET, &format!("/text/{serial}"), None, ANSWER_MOST);
        let text = text.map_err(|problem| refusal(&self.cluster, &problem))?;
        String::from_utf8(text)
            .map_err(|_| ApplyError::InvalidFleet { serial, problem: "it is no text".to_owned() })
    }

    fn commit(&mut self, on: u64, text: &str, entry: CommitInfo) -> Result<Applied, ApplyError> {
        let parent = self.current().map(|version| version.hash.clone()).unwrap_or_default();
        // A plan's id is the same in each repeat of `apply`, whoever repeats it.
        let id = if entry.plan.is_empty() { random() } else { entry.plan.to_owned() };
        let by = Attribution {
            author: entry.author.to_owned(),
            reason: entry.reason.to_owned(),
            at_ms: entry.at_ms,
        };
        let commit = Command::Commit(Commit {
            on,
            parent,
            text: text.to_owned(),
            by,
            plan: entry.plan.to_owned(),
            stages: entry.stages.to_vec(),
            pause_ms: entry.pause_ms,
        });
        match self.cluster.write(&id, &commit).map_err(|problem| refusal(&self.cluster, &problem))? {
            Outcome::Committed(serial) => Ok(Applied::Committed(serial)),
            Outcome::Before(serial) => Ok(Applied::AlreadyApplied(serial)),
            Outcome::Moved { expected, found, by } => {
                Err(StoreError::Moved { expected, found, by: Some(by) }.into())
            }
            Outcome::Done | Outcome::Refused(_) => Err(refusal(&self.cluster, "nothing was committed")),
        }
    }
}

fn refusal(of: &Cluster, problem: impl ToString) -> ApplyError {
    ApplyError::Service { at: of.at.join(","), problem: problem.to_string() }
}

fn folder(path: &Path) -> Result<Folder, Failure> {
    Folder::new(path).map_err(Failure::file(path))
}

fn member(path: &Path) -> impl Fn(runtrack_agree::NodeError) -> Failure {
    let at = path.display().to_string();
    move |problem| Failure::Usage(format!("{at}: {problem}"))
}

/// `cluster ...`.
pub fn run(ask: Ask, place: &Place) -> Done {
    let cluster = Cluster::new(&place.cluster);
    match ask {
        Ask::Init { member, name, address, from } => init(&member, &name, &address, from.as_deref()),
        Ask::Join { invitation, member } => join(&invitation, &member),
        Ask::Status { json } => status(&cluster, json),
        Ask::Add { name, address, out } => {
            let invitation = cluster.change(&json!({"add": {"name": name, "address": address}}))?;
            match out {
                Some(out) => std::fs::write(&out, &invitation).map_err(Failure::file(&out))?,
                None => println!("{}", String::from_utf8_lossy(&invitation)),
            }
            Ok(0)
        }
        Ask::Remove { name } => {
            cluster.change(&json!({"remove": {"name": name}}))?;
            println!("{name} is no member any more");
            Ok(0)
        }
        Ask::Transfer { name } => {
            cluster.change(&json!({"transfer": {"name": name}}))?;
            println!("{name} leads");
            Ok(0)
        }
        Ask::Export { member, to } => export(&member, &to),
    }
}

fn init(at: &Path, name: &str, address: &str, from: Option<&Path>) -> Done {
    let (lineage, versions) = match from {
        None => (random(), Vec::new()),
        Some(from) => {
            let store = Store::open(folder(from)?)?.ok_or_else(|| Failure::NoState(from.to_owned()))?;
            let kept = store
                .history()
                .iter()
                .filter_map(|version| Some((version.clone(), store.text(version.serial).ok()?)));
            (store.lineage().to_owned(), kept.collect())
        }
    };
    let own = random();
    // Later lineages come after earlier ones, towards proxies that lived through both.
    let state =
        State::new(&lineage, now_ms().saturating_mul(1000), name, address, &own).with_versions(versions);
    let identity = Identity {
        lineage: lineage.clone(),
        member: 1,
        ticket: String::new(),
        folder: own,
        others: Vec::new(),
    };
    Node::bootstrap(folder(at)?, identity, &state).map_err(member(at))?;
    println!("{}: {name} is member 1 of the cluster {lineage}, serial {}", at.display(), state.serial());
    Ok(0)
}

fn join(file: &Path, at: &Path) -> Done {
    let text = std::fs::read_to_string(file).map_err(Failure::file(file))?;
    let invitation: Invitation = serde_json::from_str(&text)
        .map_err(|problem| Failure::Usage(format!("{}: no invitation: {problem}", file.display())))?;
    let identity = Identity { folder: random(), ..invitation.identity };
    let (number, lineage) = (identity.member, identity.lineage.clone());
    Node::join(folder(at)?, identity).map_err(member(at))?;
    println!("{}: {} is member {number} of the cluster {lineage}", at.display(), invitation.name);
    Ok(0)
}

fn export(at: &Path, to: &Path) -> Done {
    let node = Node::open(folder(at)?, runtrack_agree::Tuning::default(), 0).map_err(member(at))?;
    let state = node
        .state()
        .ok_or_else(|| Failure::Usage(format!("{}: it has heard nothing yet", at.display())))?;
    let mut store = Store::open_or_create(folder(to)?, &state.lineage)?;
    if store.serial() > 0 {
        return Err(Failure::Usage(format!("{}: there is a state already", to.display())));
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

/// `cluster status`. Exits with 3 where an instance does not answer or is not in touch with a majority.
fn status(cluster: &Cluster, json: bool) -> Done {
    let mut ill = cluster.at.is_empty();
    let mut all = serde_json::Map::new();
    for at in &cluster.at {
        let said = match send(at, Method::GET, "/cluster", None, ANSWER_MOST) {
            Ok((StatusCode::OK, body)) => serde_json::from_slice(&body).unwrap_or(Value::Null),
            Ok((code, _)) => json!({"problem": format!("it answers {code}: is it a member of a cluster?")}),
            Err(problem) => json!({"problem": problem.to_string()}),
        };
        ill |= said["majority"] != Value::Bool(true);
        all.insert(at.clone(), said);
    }
    if json {
        print_json(&all);
        return Ok(if ill { 3 } else { 0 });
    }
    for (at, said) in &all {
        if let Some(problem) = said["problem"].as_str() {
            println!("{at}: {problem}");
            continue;
        }
        let standing = &said["standing"];
        let touch = match (said["majority"].as_bool(), said["in_touch_ms_ago"].as_u64()) {
            (Some(true), _) => "in touch with a majority".to_owned(),
            (_, Some(ms)) => format!("NOT in touch with a majority for {ms} ms"),
            _ => "NOT in touch with a majority".to_owned(),
        };
        println!(
            "{at}: member {}, {}, {touch}; term {}, index {}, serial {}",
            said["member"],
            standing["role"].as_str().unwrap_or("folder not usable"),
            standing["term"],
            said["index"],
            said["serial"]
        );
        for problem in [&said["trouble"], &said["removed"]] {
            if let Some(problem) = problem.as_str() {
                println!("  {problem}");
            }
        }
        for member in said["members"].as_array().into_iter().flatten() {
            let text = |key: &str| member[key].as_str().unwrap_or_default();
            let mut notes =
                vec![if member["voter"] == Value::Bool(true) { "votes" } else { "learns" }.to_owned()];
            if member["joined"] == Value::Bool(false) {
                notes.push("has not shown itself yet".to_owned());
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
    Ok(if ill { 3 } else { 0 })
}

/// `hold`.
pub fn hold(place: &Place, pool: &str, endpoint: &str, held: bool, reason: &str) -> Done {
    let by = Attribution { author: place.author.clone(), reason: reason.to_owned(), at_ms: now_ms() };
    let command = Command::Hold { pool: pool.to_owned(), uid: endpoint.to_owned(), held, by };
    Cluster::new(&place.cluster).write(&random(), &command)?;
    println!("{endpoint} of {pool} {}", if held { "gets nothing new" } else { "gets requests again" });
    Ok(0)
}
