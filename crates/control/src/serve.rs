//! The service: sockets, signals, the clock and the disk round the core.

use crate::admin;
use crate::core::{Core, Due};
use crate::desired::{self, Desired, DesiredError};
use crate::memory::{self, Memory};
use crate::settings::{Settings, SettingsError};
use crate::shared::Shared;
use crate::source::{self, News};
use runtrack_discovery::Clock;
use runtrack_xds::{
    Aggregated, ClientStatus, ClientStatusDiscoveryServiceServer, Clusters, Discovery, Endpoints, Hub,
    Incoming, Listeners, Routes,
};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use tonic::transport::{Certificate, Identity, Server, ServerTlsConfig};

/// Cold endpoints and doubted lists are looked at this often.
const TICK: Duration = Duration::from_millis(500);
/// News taken at once, before anything is published.
const BATCH: usize = 1024;
/// A proxy whose machine is gone says nothing: asked this often ...
const PING: Duration = Duration::from_secs(20);
/// ... and given up after so long without an answer.
const PONG: Duration = Duration::from_secs(10);

/// Why the service can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A file is wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// There is no desired state to begin with.
    #[error(transparent)]
    Desired(#[from] DesiredError),
    /// The system refuses something.
    #[error("{what}: {why}")]
    System {
        /// What was wanted.
        what: String,
        /// The refusal.
        why: std::io::Error,
    },
    /// The gRPC server ended.
    #[error("the xDS server: {0}")]
    Transport(#[from] tonic::transport::Error),
}

fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> ServeError {
    |why| ServeError::System { what: what.into(), why }
}

/// Serves until SIGTERM or SIGINT.
pub async fn serve(path: &Path) -> Result<(), ServeError> {
    let settings = Settings::read(path)?;
    let from = desired::Origin::settings(&settings);
    let Desired { fleet, version } = from.read()?;
    let mut hup = signal(SignalKind::hangup()).map_err(system("SIGHUP"))?;
    let mut term = signal(SignalKind::terminate()).map_err(system("SIGTERM"))?;
    let clock = Clock::start();
    let (epoch, memory, held) = match &settings.state {
        Some(folder) => {
            let (memory, held) = Memory::open(folder).map_err(system(folder.display().to_string()))?;
            let epoch = memory::next_epoch(folder).map_err(system(folder.display().to_string()))?;
            (epoch, Some(memory), held)
        }
        None => (memory::clock_epoch(), None, BTreeMap::new()),
    };
    let hub = Hub::new(epoch, settings.xds());
    let core = Core::new(fleet, held, epoch, clock.now());
    let core = Mutex::new(core);
    let (pools, version, troubles) = (Mutex::default(), Mutex::new(version), Mutex::default());
    let shared = Arc::new(Shared { hub: hub.clone(), core, pools, version, clock, troubles });
    let mut keeper = Keeper { shared: shared.clone(), memory, from };
    keeper.publish(true);

    let listener = TcpListener::bind(settings.listen).await;
    let listener = listener.map_err(system(format!("listen: {}", settings.listen)))?;
    if let Some(at) = settings.admin {
        let admin = TcpListener::bind(at).await.map_err(system(format!("admin: {at}")))?;
        tokio::spawn(admin::serve(admin, shared.clone()));
    }
    let mut server = server(&settings)?;
    let incoming = Incoming::new(listener, settings.limits.connections);
    let router = server
        .add_service(Discovery::<Aggregated>::new(hub.clone()))
        .add_service(Discovery::<Clusters>::new(hub.clone()))
        .add_service(Discovery::<Endpoints>::new(hub.clone()))
        .add_service(Discovery::<Listeners>::new(hub.clone()))
        .add_service(Discovery::<Routes>::new(hub.clone()))
        .add_service(ClientStatusDiscoveryServiceServer::new(ClientStatus::new(hub.clone())));
    let mut serving = tokio::spawn(router.serve_with_incoming(incoming));

    let (told, mut news) = mpsc::unbounded_channel();
    let wanted = source::follow(epoch, told).map_err(system("a thread for the sources"))?;
    let _ = wanted.send(keeper.core(|core| core.sources()));
    eprintln!("serving xDS on {}, epoch {epoch}", settings.listen);

    let push_every = settings.push_every();
    let mut ticks = tokio::time::interval(TICK);
    let mut next_push = tokio::time::Instant::now();
    let mut batch: Vec<News> = Vec::new();
    loop {
        let dirty = keeper.core(|core| core.is_dirty());
        tokio::select! {
            taken = news.recv_many(&mut batch, BATCH) => {
                if taken == 0 {
                    return Ok(()); // the sources' thread ends only with the process
                }
                let now = clock.now();
                for News { pool, from, told } in batch.drain(..) {
                    log(&pool, &told);
                    keeper.core(|core| core.told(now, &pool, from, told));
                }
            }
            () = sleep_until(next_push), if dirty => {
                keeper.publish(false);
                next_push = tokio::time::Instant::now() + push_every;
            }
            _ = ticks.tick() => {
                let now = clock.now();
                keeper.core(|core| core.tick(now));
                if keeper.follow() {
                    let _ = wanted.send(keeper.core(|core| core.sources()));
                }
                keeper.show();
            }
            _ = hup.recv() => {
                keeper.reload();
                let _ = wanted.send(keeper.core(|core| core.sources()));
            }
            _ = term.recv() => {
                eprintln!("SIGTERM: proxies keep what they have");
                return Ok(());
            }
            _ = tokio::signal::ctrl_c() => return Ok(()),
            ended = &mut serving => {
                return match ended {
                    Ok(ended) => Ok(ended?),
                    Err(e) => Err(system("the xDS server")(e.into())),
                };
            }
        }
    }
}

fn server(settings: &Settings) -> Result<Server, ServeError> {
    let mut server = Server::builder()
        .http2_keepalive_interval(Some(PING))
        .http2_keepalive_timeout(Some(PONG))
        .max_concurrent_streams(settings.xds().streams_of_connection);
    if let Some(tls) = &settings.tls {
        let read = |path: &PathBuf| std::fs::read(path).map_err(system(path.display().to_string()));
        let identity = Identity::from_pem(read(&tls.certificate)?, read(&tls.key)?);
        let mut config = ServerTlsConfig::new().identity(identity);
        if let Some(ca) = &tls.client_ca {
            config = config.client_ca_root(Certificate::from_pem(read(ca)?));
        }
        server = server.tls_config(config)?;
    }
    Ok(server)
}

fn log(pool: &str, told: &runtrack_discovery::Told) {
    if let runtrack_discovery::Told::Failed(why) = told {
        eprintln!("pool {pool}: discovery: {why}; its last list stands");
    }
}

/// Commits and publishes what the core makes necessary.
struct Keeper {
    shared: Arc<Shared>,
    memory: Option<Memory>,
    from: desired::Origin,
}

impl Keeper {
    fn core<T>(&self, with: impl FnOnce(&mut Core) -> T) -> T {
        with(&mut self.shared.core.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// First the disk, then the proxies: what a proxy was told, a restart knows. A disk that fails holds no
    /// drain up.
    fn publish(&mut self, whole: bool) {
        let now = self.shared.clock.now();
        let Due { lists, changes } = match whole {
            true => self.core(|core| core.whole(now, &self.shared.hub.cache())),
            false => self.core(|core| core.take(now)),
        };
        if let Some(mut memory) = self.memory.take_if(|_| !lists.is_empty()) {
            let mut done = memory.commit(lists);
            if memory.wants_rewrite() {
                done = memory.rewrite(self.core(|core| core.lists()));
            }
            self.memory = Some(memory);
            let what = |e| format!("{e}: a restart now would not know of the last changes");
            self.shared.trouble("state", done.err().map(what));
        }
        self.show();
        self.shared.hub.publish(changes);
    }

    /// Shows how the pools stand, unless there is something to commit first.
    fn show(&self) {
        if let Some(pools) = self.core(|core| (!core.is_dirty()).then(|| core.status())) {
            *self.shared.pools.lock().unwrap_or_else(PoisonError::into_inner) = pools;
        }
    }

    /// Reads the desired state again where it comes from a store whose head has moved; says whether it has.
    fn follow(&mut self) -> bool {
        let version = |shared: &Shared| {
            let version = shared.version.lock().unwrap_or_else(PoisonError::into_inner);
            version.as_ref().map_or(0, |version| version.serial)
        };
        let served = version(&self.shared);
        match self.from.serial() {
            None => false,
            Some(Ok(serial)) if serial == served => {
                self.shared.trouble("reload", None);
                false
            }
            // A bad one is told by the reload, once.
            Some(_) => self.reload(),
        }
    }

    /// Takes the desired state as it is now, or goes on with the old one and says why.
    fn reload(&mut self) -> bool {
        match self.from.read() {
            Ok(Desired { fleet, version }) => {
                let now = self.shared.clock.now();
                let hash = fleet.hash();
                let serial = version.as_ref().map(|version| format!("serial {}, ", version.serial));
                self.core(|core| core.replace(now, fleet));
                *self.shared.version.lock().unwrap_or_else(PoisonError::into_inner) = version;
                self.publish(true);
                self.shared.trouble("reload", None);
                eprintln!("reloaded: {}fleet {}", serial.unwrap_or_default(), &hash[..12]);
                true
            }
            Err(problem) => {
                self.shared.trouble("reload", Some(format!("{problem}\nthe old state goes on")));
                false
            }
        }
    }
}
