//! The commands on files and on a state's folder.

use crate::cluster::Cluster;
use crate::common::{Done, Made, Place, now_ms, print_json, random};
use crate::failure::Failure;
use crate::{service, show};
use runtrack_model::Fleet;
use runtrack_plan::{Applied, Load, Plan, PlanRequest, VersionStore, apply, fleet_at};
use runtrack_store::{CommitInfo, Folder, Lock, Store};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// All proxies, in 10,000.
const ALL: u32 = 10_000;
/// `plan --detailed-exitcode` has found changes.
const CHANGES: u8 = 2;

fn read(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file).map_err(Failure::file(file))
}

/// A fleet from its file.
fn fleet(file: &Path) -> Result<Fleet, Failure> {
    Fleet::from_toml(&read(file)?).map_err(|problems| {
        let lines: Vec<String> =
            problems.to_string().lines().map(|line| format!("{}:{line}", file.display())).collect();
        Failure::Fleet(lines.join("\n"))
    })
}

fn load(file: Option<&Path>) -> Result<Load, Failure> {
    let Some(file) = file else { return Ok(Load::default()) };
    toml::from_str(&read(file)?).map_err(|e| Failure::Fleet(format!("{}: {e}", file.display())))
}

fn read_plan(file: &Path) -> Result<Plan, Failure> {
    let bytes = std::fs::read(file).map_err(Failure::file(file))?;
    Plan::from_bytes(&bytes).map_err(|problem| Failure::Plan { file: file.to_owned(), problem })
}

/// `validate`.
pub fn validate(file: &Path) -> Done {
    println!("{}", fleet(file)?.hash());
    Ok(0)
}

/// `show`.
pub fn show(file: &Path, json: bool) -> Done {
    let plan = read_plan(file)?;
    match json {
        true => print_json(&plan),
        false => anstream::print!("{}", show::plan(&plan)),
    }
    Ok(0)
}

impl Place {
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

    /// The right to write, and the state as it is once nobody else writes. In a cluster the log decides who comes first.
    fn open_locked(&self) -> Result<(Option<Lock>, Box<dyn VersionStore>), Failure> {
        if !self.cluster.is_empty() {
            return Ok((None, Box::new(Cluster::new(&self.cluster).versions(true)?)));
        }
        let _ = self.folder()?; // says better than the lock that there is none
        let lock =
            Lock::acquire(&self.folder, &format!("{}, process {}", self.author, std::process::id()))?;
        Ok((Some(lock), self.open()?))
    }

    /// `init`.
    pub fn init(&self) -> Done {
        let folder = Folder::new(&self.folder).map_err(Failure::file(&self.folder))?;
        let _lock = Lock::acquire(&self.folder, &self.author)?;
        let store = Store::open_or_create(folder, &random())?;
        println!("{}: lineage {}, serial {}", self.folder.display(), store.lineage(), store.serial());
        Ok(0)
    }

    fn make(
        &self,
        store: &dyn VersionStore,
        to: &Fleet,
        reason: &str,
        made: &Made,
    ) -> Result<Plan, Failure> {
        let from = fleet_at(store, store.serial())?;
        let load = load(made.load.as_deref())?;
        // All proxies are the last stage, said or not.
        let mut stages = made.stages.clone();
        if !stages.is_empty() && stages.last() != Some(&ALL) {
            stages.push(ALL);
        }
        if stages.windows(2).any(|pair| pair[0] >= pair[1]) {
            return Err(Failure::Usage("--stages: each must be larger than the one before".to_owned()));
        }
        let request = PlanRequest {
            author: &self.author,
            reason,
            now_ms: now_ms(),
            lifetime_ms: u64::try_from(made.life.as_millis()).unwrap_or(u64::MAX),
            lineage: store.lineage(),
            base: store.current(),
            load: &load,
            stages: &stages,
            pause_ms: if stages.is_empty() {
                0
            } else {
                u64::try_from(made.pause.as_millis()).unwrap_or(u64::MAX)
            },
        };
        let plan = Plan::new(request, &from, to);
        if let Some(out) = &made.out {
            std::fs::write(out, plan.to_bytes()).map_err(Failure::file(out))?;
        }
        match made.json {
            true => print_json(&plan),
            false => anstream::print!("{}", show::plan(&plan)),
        }
        Ok(plan)
    }

    /// `plan`.
    pub fn plan(&self, file: &Path, made: &Made, detailed: bool) -> Done {
        let to = fleet(file)?;
        let plan = self.make(&*self.open()?, &to, &made.reason, made)?;
        Ok(if detailed && !plan.steps.is_empty() { CHANGES } else { 0 })
    }

    /// `rollback`.
    pub fn rollback(&self, serial: u64, made: &Made) -> Done {
        let store = self.open()?;
        let to = fleet_at(&*store, serial)?;
        let reason = match made.reason.is_empty() {
            true => format!("back to serial {serial}"),
            false => made.reason.clone(),
        };
        self.make(&*store, &to, &reason, made)?;
        Ok(0)
    }

    /// `apply`.
    pub fn apply(&self, file: &Path, accepted: Vec<String>, wait: Option<(String, Duration)>) -> Done {
        let plan = read_plan(file)?;
        let accepted: BTreeSet<String> = accepted.into_iter().collect();
        let done = {
            let (_lock, mut store) = self.open_locked()?;
            apply(&mut *store, &plan, &accepted, &self.author, now_ms())?
        };
        match done {
            Applied::Committed(serial) => println!("applied as serial {serial}: {}", plan.summary()),
            Applied::AlreadyApplied(serial) => {
                println!("this plan was applied before, as serial {serial}: nothing done")
            }
        }
        match wait {
            Some((at, most)) => service::watch(&at, Some(&plan.desired_hash), most),
            None => Ok(0),
        }
    }

    /// `rollout abort`.
    pub fn abort(&self) -> Done {
        let (_lock, mut store) = self.open_locked()?;
        let Some(version) = store.current().cloned().filter(|version| !version.stages.is_empty()) else {
            let what = "the current version is not handed out in stages: plan a rollback instead";
            return Err(Failure::Usage(what.to_owned()));
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

    /// `history`.
    pub fn history(&self, json: bool, consistent: bool) -> Done {
        let store: Box<dyn VersionStore> = match self.cluster.is_empty() {
            true => self.open()?,
            false => {
                let versions = Cluster::new(&self.cluster).versions(consistent)?;
                // Of two words of a cluster the older one may be shown: people see how old it is.
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

    /// `state show`.
    pub fn state(&self, serial: Option<u64>) -> Done {
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

    /// `state export`.
    pub fn export(&self, serial: Option<u64>, out: Option<&Path>) -> Done {
        let store = self.open()?;
        let text = fleet_at(&*store, serial.unwrap_or(store.serial()))?.to_canonical_json();
        match out {
            Some(out) => std::fs::write(out, text).map_err(Failure::file(out))?,
            None => println!("{text}"),
        }
        Ok(0)
    }

    /// `state import`.
    pub fn import(&self, file: &Path) -> Done {
        let fleet = Fleet::from_canonical_json(&read(file)?)
            .map_err(|problem| Failure::Fleet(format!("{}: {problem}", file.display())))?;
        let (_lock, mut store) = self.open_locked()?;
        if store.serial() > 0 {
            let what =
                format!("the state has serial {} already: changes go by plan and apply", store.serial());
            return Err(Failure::Usage(what));
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
