//! The service: sockets, signals, the clock and the disk round the core.

use crate::core::Core;
use crate::desired::{self, DesiredError};
use crate::memory::{self, Memory};
use crate::progress::ProgressFile;
use crate::replicated::Replicated;
use crate::settings::{Cluster, Settings, SettingsError};
use crate::shared::Shared;
use crate::single_instance::SingleInstance;
use crate::source::{self, News, Sources};
use crate::{admin, cluster};
use runtrack_agree::host::{Handle, View};
use runtrack_discovery::{Clock, Update};
use runtrack_model::Fleet;
use runtrack_xds::{
    Aggregated, ClientStatus, ClientStatusDiscoveryServiceServer, Clusters, Discovery, Endpoints, Hub,
    Incoming, Listeners, LoadReporting, LoadReportingServiceServer, Routes,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
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

/// Connections of other members at once: a few of each, as one that broke may not have been noticed yet.
const PEERS_MOST: usize = 256;

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
    let mut hup = signal(SignalKind::hangup()).map_err(system("SIGHUP"))?;
    let mut term = signal(SignalKind::terminate()).map_err(system("SIGTERM"))?;
    let (shared, mut keeps) = match &settings.cluster {
        Some(cluster) => replicated(cluster, &settings).await?,
        None => single_instance(&settings)?,
    };
    let (hub, clock) = (shared.hub.clone(), shared.clock);
    let mut agreed = shared.cluster.as_ref().map(Handle::watch);
    let listener = TcpListener::bind(settings.listen).await;
    let listener = listener.map_err(system(format!("listen: {}", settings.listen)))?;
    // The socket first: whoever finds the service at its address finds it there too.
    if let Some(at) = &settings.admin_socket {
        let socket = admin::bind_socket(at).map_err(system(format!("admin_socket: {}", at.display())))?;
        tokio::spawn(admin::serve(socket, shared.clone()));
    }
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
        .add_service(
            LoadReportingServiceServer::new(LoadReporting::new(hub.clone()))
                .max_decoding_message_size(settings.xds().request_bytes),
        )
        .add_service(ClientStatusDiscoveryServiceServer::new(ClientStatus::new(hub.clone())));
    let mut serving = tokio::spawn(router.serve_with_incoming(incoming));

    let (told, mut news) = mpsc::unbounded_channel();
    let wanted = source::follow(hub.cache(|cache| cache.epoch()), told)
        .map_err(system("a thread for the sources"))?;
    let _ = wanted.send(keeps.sources());
    let epoch = hub.cache(|cache| cache.epoch());
    eprintln!("serving xDS on {}, epoch {epoch}", settings.listen);

    let push_every = settings.push_every();
    let mut ticks = tokio::time::interval(TICK);
    let mut next_push = tokio::time::Instant::now();
    let mut batch: Vec<News> = Vec::new();
    loop {
        let dirty = keeps.is_dirty();
        tokio::select! {
            taken = news.recv_many(&mut batch, BATCH) => {
                if taken == 0 {
                    return Ok(()); // the sources' thread ends only with the process
                }
                let now = clock.now();
                for News { pool, from, told } in batch.drain(..) {
                    log(&pool, &told);
                    keeps.told(now, &pool, from, told);
                }
            }
            () = sleep_until(next_push), if dirty => {
                if keeps.publish() {
                    let _ = wanted.send(keeps.sources());
                }
                next_push = tokio::time::Instant::now() + push_every;
            }
            _ = ticks.tick() => {
                if keeps.tick() {
                    let _ = wanted.send(keeps.sources());
                }
            }
            () = news_of(&mut agreed) => {} // it is taken with the next push
            () = shared.resume.notified() => keeps.resume(),
            _ = hup.recv() => {
                keeps.reload();
                let _ = wanted.send(keeps.sources());
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

/// Waits until something more is agreed; for ever, where this instance is alone.
async fn news_of(agreed: &mut Option<watch::Receiver<Arc<View>>>) {
    let heard = match agreed {
        Some(agreed) => agreed.changed().await.is_ok(),
        None => false,
    };
    if !heard {
        std::future::pending().await
    }
}

fn shared(hub: Arc<Hub>, clock: Clock, cluster: Option<Handle>) -> Arc<Shared> {
    let (now, epoch) = (clock.now(), hub.cache(|cache| cache.epoch()));
    Arc::new(Shared {
        hub,
        core: Mutex::new(Core::new(Fleet::default(), BTreeMap::new(), epoch, now)),
        pools: Mutex::default(),
        version: Mutex::default(),
        rollout: Mutex::default(),
        resume: Notify::new(),
        cluster,
        clock,
        troubles: Mutex::default(),
    })
}

/// One instance for itself, whose desired state comes from a file or a store.
fn single_instance(settings: &Settings) -> Result<(Arc<Shared>, StateSource), ServeError> {
    let from = desired::Origin::settings(settings);
    let desired = from.read()?;
    let (epoch, memory, held) = match &settings.state {
        Some(folder) => {
            let (memory, held) = Memory::open(folder).map_err(system(folder.display().to_string()))?;
            let epoch = memory::next_epoch(folder).map_err(system(folder.display().to_string()))?;
            (epoch, Some(memory), held)
        }
        None => (memory::clock_epoch(), None, BTreeMap::new()),
    };
    let shared = shared(Hub::new(epoch, settings.xds()), Clock::start(), None);
    let progress = settings.state.as_deref().map(ProgressFile::new);
    let tolerance = settings.rollouts.tolerance();
    let mut instance = SingleInstance::new(shared.clone(), from, memory, progress, epoch, tolerance);
    instance.start(desired, held);
    Ok((shared, StateSource::SingleInstance(Box::new(instance))))
}

/// One instance of a cluster. What is desired comes from what is agreed.
async fn replicated(of: &Cluster, settings: &Settings) -> Result<(Arc<Shared>, StateSource), ServeError> {
    let (handle, peers) = cluster::start(of, settings).map_err(system(of.member.display().to_string()))?;
    let listener = TcpListener::bind(of.listen).await.map_err(system(format!("cluster: {}", of.listen)))?;
    let router = server(settings)?.add_service(peers);
    let incoming = Incoming::new(listener, PEERS_MOST);
    tokio::spawn(async move {
        if let Err(problem) = router.serve_with_incoming(incoming).await {
            eprintln!("cluster: {problem}");
        }
    });
    let shared = shared(Hub::new(0, settings.xds()), Clock::start(), Some(handle.clone()));
    let seed = memory::clock_epoch();
    let replicated =
        Replicated::new(shared.clone(), handle, &of.member, seed, settings.rollouts.tolerance());
    Ok((shared, StateSource::Replicated(Box::new(replicated))))
}

/// What keeps what is served in step with what is desired.
enum StateSource {
    SingleInstance(Box<SingleInstance>),
    Replicated(Box<Replicated>),
}

impl StateSource {
    fn sources(&self) -> Sources {
        match self {
            StateSource::SingleInstance(instance) => instance.sources(),
            StateSource::Replicated(replicated) => replicated.sources(),
        }
    }

    fn is_dirty(&self) -> bool {
        match self {
            StateSource::SingleInstance(instance) => instance.is_dirty(),
            StateSource::Replicated(replicated) => replicated.is_dirty(),
        }
    }

    fn told(&mut self, now: Duration, pool: &str, from: SocketAddr, told: Update) {
        match self {
            StateSource::SingleInstance(instance) => instance.told(now, pool, from, told),
            StateSource::Replicated(replicated) => replicated.told(now, pool, from, told),
        }
    }

    /// Says whether the sources may have changed.
    fn tick(&mut self) -> bool {
        match self {
            StateSource::SingleInstance(instance) => instance.tick(),
            StateSource::Replicated(replicated) => replicated.tick(),
        }
    }

    /// Says whether the sources may have changed.
    fn publish(&mut self) -> bool {
        match self {
            StateSource::SingleInstance(instance) => {
                instance.publish(false);
                false
            }
            StateSource::Replicated(replicated) => replicated.publish(),
        }
    }

    fn resume(&mut self) {
        if let StateSource::SingleInstance(instance) = self {
            instance.resume(); // in a cluster it is agreed first
        }
    }

    fn reload(&mut self) {
        match self {
            StateSource::SingleInstance(instance) => drop(instance.reload()),
            StateSource::Replicated(_) => eprintln!("SIGHUP: in a cluster there is no file to read again"),
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

fn log(pool: &str, told: &Update) {
    if let Update::Failed(why) = told {
        eprintln!("pool {pool}: discovery: {why}; its last list stands");
    }
}
