//! Commands on fleet files, plan files and a state.

use crate::cluster::Cluster;
use crate::common::{CommandResult, Context, PlanArgs, now_ms, print_json, random_id};
use crate::failure::Failure;
use crate::{service, show};
use runtrack_model::Fleet;
use runtrack_plan::{Applied, Load, Plan, PlanRequest, VersionStore, apply, fleet_at};
use runtrack_store::{CommitInfo, Folder, Lock, Store};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// Share of all proxies, in units of 0.01%.
const ALL_PROXIES: u32 = 10_000;
/// Exit code of `plan --detailed-exitcode` if there are changes.
const CHANGES_FOUND: u8 = 2;

fn read_text(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file).map_err(Failure::file(file))
}

/// Reads a fleet file.
fn read_fleet(file: &Path) -> Result<Fleet, Failure> {
    Fleet::from_toml(&read_text(file)?).map_err(|problems| {
        let lines: Vec<String> =
            problems.to_string().lines().map(|line| format!("{}:{line}", file.display())).collect();
        Failure::Fleet(lines.join("\n"))
    })
}

fn read_load(file: Option<&Path>) -> Result<Load, Failure> {
    let Some(file) = file else { return Ok(Load::default()) };
    toml::from_str(&read_text(file)?).map_err(|e| Failure::Fleet(format!("{}: {e}", file.display())))
}

fn read_plan(file: &Path) -> Result<Plan, Failure> {
    let bytes = std::fs::read(file).map_err(Failure::file(file))?;
    Plan::from_bytes(&bytes).map_err(|problem| Failure::Plan { file: file.to_owned(), problem })
}

/// Runs `validate`.
pub fn validate(file: &Path) -> CommandResult {
    println!("{}", read_fleet(file)?.hash());
    Ok(0)
}

/// Runs `show`.
pub fn show(file: &Path, json: bool) -> CommandResult {
    let plan = read_plan(file)?;
    match json {
        true => print_json(&plan),
        false => anstream::print!("{}", show::plan(&plan)),
    }
    Ok(0)
}

impl Context {
    fn folder(&self) -> Result<Folder, Failure> {
        if !self.folder.is_dir() {
            return Err(Failure::NoState(self.folder.clone()));
        }
        Folder::new(&self.folder).map_err(Failure::file(&self.folder))
    }

    fn open(&self) -> Result<Box<dyn VersionStore>, Failure> {
        if !self.cluster.is_empty() {
            return Ok(Box::new(Cluster::new(&self.cluster).versions(false)?));
        }
        let store = Store::open(self.folder()?)?.ok_or_else(|| Failure::NoState(self.folder.clone()))?;
        Ok(Box::new(store))
    }

    /// Acquires the write lock, then opens the state. A cluster needs no lock: its log orders concurrent writes.
    fn open_locked(&self) -> Result<(Option<Lock>, Box<dyn VersionStore>), Failure> {
        if !self.cluster.is_empty() {
            return Ok((None, Box::new(Cluster::new(&self.cluster).versions(true)?)));
        }
        let _ = self.folder()?; // for a clearer error than that of the lock if there is no state
        let lock =
            Lock::acquire(&self.folder, &format!("{}, process {}", self.author, std::process::id()))?;
        Ok((Some(lock), self.open()?))
    }

    /// Runs `init`.
    pub fn init(&self) -> CommandResult {
        let folder = Folder::new(&self.folder).map_err(Failure::file(&self.folder))?;
        let _lock = Lock::acquire(&self.folder, &self.author)?;
        let store = Store::open_or_create(folder, &random_id())?;
        println!("{}: lineage {}, serial {}", self.folder.display(), store.lineage(), store.serial());
        Ok(0)
    }

    fn create_plan(
        &self,
        store: &dyn VersionStore,
        to: &Fleet,
        reason: &str,
        args: &PlanArgs,
    ) -> Result<Plan, Failure> {
        let from = fleet_at(store, store.serial())?;
        let load = read_load(args.load.as_deref())?;
        // The last stage is always all proxies.
        let mut stages = args.stages.clone();
        if !stages.is_empty() && stages.last() != Some(&ALL_PROXIES) {
            stages.push(ALL_PROXIES);
        }
        if stages.windows(2).any(|pair| pair[0] >= pair[1]) {
            return Err(Failure::Usage("--stages: each must be larger than the one before".to_owned()));
        }
        let request = PlanRequest {
            author: &self.author,
            reason,
            now_ms: now_ms(),
            lifetime_ms: u64::try_from(args.life.as_millis()).unwrap_or(u64::MAX),
            lineage: store.lineage(),
            base: store.current(),
            load: &load,
            stages: &stages,
            pause_ms: if stages.is_empty() {
                0
            } else {
                u64::try_from(args.pause.as_millis()).unwrap_or(u64::MAX)
            },
        };
        let plan = Plan::new(request, &from, to);
        if let Some(out) = &args.out {
            std::fs::write(out, plan.to_bytes()).map_err(Failure::file(out))?;
        }
        match args.json {
            true => print_json(&plan),
            false => anstream::print!("{}", show::plan(&plan)),
        }
        Ok(plan)
    }

    /// Runs `plan`.
    pub fn plan(&self, file: &Path, args: &PlanArgs, detailed: bool) -> CommandResult {
        let to = read_fleet(file)?;
        let plan = self.create_plan(&*self.open()?, &to, &args.reason, args)?;
        Ok(if detailed && !plan.steps.is_empty() { CHANGES_FOUND } else { 0 })
    }

    /// Runs `rollback`.
    pub fn rollback(&self, serial: u64, args: &PlanArgs) -> CommandResult {
        let store = self.open()?;
        let to = fleet_at(&*store, serial)?;
        let reason = match args.reason.is_empty() {
            true => format!("back to serial {serial}"),
            false => args.reason.clone(),
        };
        self.create_plan(&*store, &to, &reason, args)?;
        Ok(0)
    }

    /// Runs `apply`.
    pub fn apply(
        &self,
        file: &Path,
        accepted: Vec<String>,
        wait: Option<(String, Duration)>,
    ) -> CommandResult {
        let plan = read_plan(file)?;
        let accepted: BTreeSet<String> = accepted.into_iter().collect();
        let applied = {
            let (_lock, mut store) = self.open_locked()?;
            apply(&mut *store, &plan, &accepted, &self.author, now_ms())?
        };
        match applied {
            Applied::Committed(serial) => println!("applied as serial {serial}: {}", plan.summary()),
            Applied::AlreadyApplied(serial) => {
                println!("this plan was applied before, as serial {serial}: nothing done")
            }
        }
        match wait {
            Some((address, most)) => service::watch(&address, Some(&plan.desired_hash), most),
            None => Ok(0),
        }
    }

    /// Runs `rollout abort`.
    pub fn abort(&self) -> CommandResult {
        let (_lock, mut store) = self.open_locked()?;
        let Some(version) = store.current().cloned().filter(|version| !version.stages.is_empty()) else {
            let problem = "the current version has no staged roll-out: plan a rollback instead";
            return Err(Failure::Usage(problem.to_owned()));
        };
        let before = fleet_at(&*store, version.serial - 1)?;
        let reason = format!("abort of serial {}", version.serial);
        let entry =
            CommitInfo { author: &self.author, reason: &reason, at_ms: now_ms(), ..CommitInfo::default() };
        let (Applied::Committed(serial) | Applied::AlreadyApplied(serial)) =
            store.commit(version.serial, &before.to_canonical_json(), entry)?;
        println!("serial {serial}: as serial {} was, for all proxies at once", version.serial - 1);
        Ok(0)
    }

    /// Runs `history`.
    pub fn history(&self, json: bool, consistent: bool) -> CommandResult {
        let store: Box<dyn VersionStore> = match self.cluster.is_empty() {
            true => self.open()?,
            false => {
                let versions = Cluster::new(&self.cluster).versions(consistent)?;
                // An instance may lag behind the others, so the age of its response is shown.
                anstream::eprintln!("{}", versions.age());
                Box::new(versions)
            }
        };
        match json {
            true => print_json(&store.history()),
            false => anstream::print!("{}", show::history(store.history())),
        }
        Ok(0)
    }

    /// Runs `state show`.
    pub fn state(&self, serial: Option<u64>) -> CommandResult {
        let store = self.open()?;
        let serial = serial.unwrap_or(store.serial());
        let fleet = fleet_at(&*store, serial)?;
        println!("lineage {}", store.lineage());
        let version = store.history().iter().filter(|version| version.serial == serial);
        anstream::print!("{}", show::history(&version.cloned().collect::<Vec<_>>()));
        let routes: usize = fleet.listeners.values().map(|listener| listener.routes.len()).sum();
        println!(
            "{} classes, {} pools, {} listeners, {routes} routes",
            fleet.classes.len(),
            fleet.pools.len(),
            fleet.listeners.len()
        );
        Ok(0)
    }

    /// Runs `state export`.
    pub fn export(&self, serial: Option<u64>, out: Option<&Path>) -> CommandResult {
        let store = self.open()?;
        let text = fleet_at(&*store, serial.unwrap_or(store.serial()))?.to_canonical_json();
        match out {
            Some(out) => std::fs::write(out, text).map_err(Failure::file(out))?,
            None => println!("{text}"),
        }
        Ok(0)
    }

    /// Runs `state import`.
    pub fn import(&self, file: &Path) -> CommandResult {
        let fleet = Fleet::from_canonical_json(&read_text(file)?)
            .map_err(|problem| Failure::Fleet(format!("{}: {problem}", file.display())))?;
        let (_lock, mut store) = self.open_locked()?;
        if store.serial() > 0 {
            let problem =
                format!("the state already has serial {}: use plan and apply to change it", store.serial());
            return Err(Failure::Usage(problem));
        }
        let reason = format!("imported from {}", file.display());
        let entry =
            CommitInfo { author: &self.author, reason: &reason, at_ms: now_ms(), ..CommitInfo::default() };
        let (Applied::Committed(serial) | Applied::AlreadyApplied(serial)) =
            store.commit(0, &fleet.to_canonical_json(), entry)?;
        println!("serial {serial}: {}", fleet.hash());
        Ok(0)
    }
}
