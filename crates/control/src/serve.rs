//! The main loop of the service: sockets, signals, timers and the state source.

use crate::desired::{self, DesiredError};
use crate::fleet_state::FleetState;
use crate::persistence::{self, ListJournal};
use crate::progress::ProgressFile;
use crate::replicated::Replicated;
use crate::settings::{Cluster, Settings, SettingsError};
use crate::shared::Shared;
use crate::single_instance::SingleInstance;
use crate::source::{self, SourceUpdate, Sources};
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

/// Interval of checks of warming endpoints, unconfirmed lists, the store and the roll-out.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of updates that are handled before the next publication.
const MAX_UPDATE_BATCH: usize = 1024;
/// Interval of HTTP/2 keepalive pings, which detect proxies whose machine is gone.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(20);
/// Time without a response to a keepalive ping after which a connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of connections from other members: several per member, as a broken one may not be detected yet.
const MAX_PEER_CONNECTIONS: usize = 256;

/// Why the service can't start or continue.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The desired fleet could not be read at start.
    #[error(transparent)]
    Desired(#[from] DesiredError),
    /// An operating system call failed.
    #[error("{what}: {why}")]
    System {
        /// The operation.
        what: String,
        /// The error.
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
    let mut sighup = signal(SignalKind::hangup()).map_err(system("SIGHUP"))?;
    let mut sigterm = signal(SignalKind::terminate()).map_err(system("SIGTERM"))?;
    let (shared, mut state_source) = match &settings.cluster {
        Some(cluster) => replicated(cluster, &settings).await?,
        None => single_instance(&settings)?,
    };
    let (hub, clock) = (shared.hub.clone(), shared.clock);
    let mut state_changes = shared.cluster.as_ref().map(Handle::watch);
    let listener = TcpListener::bind(settings.listen).await;
    let listener = listener.map_err(system(format!("listen: {}", settings.listen)))?;
    // The Unix socket is bound before the service answers on TCP, so that clients find both.
    if let Some(at) = &settings.admin_socket {
        let socket = admin::bind_socket(at).map_err(system(format!("admin_socket: {}", at.display())))?;
        tokio::spawn(admin::serve(socket, shared.clone()));
    }
    if let Some(at) = settings.admin {
        let admin = TcpListener::bind(at).await.map_err(system(format!("admin: {at}")))?;
        tokio::spawn(admin::serve(admin, shared.clone()));
    }
    let mut grpc_server = grpc_server(&settings)?;
    let incoming = Incoming::new(listener, settings.limits.connections);
    let router = grpc_server
        .add_service(Discovery::<Aggregated>::new(hub.clone()))
        .add_service(Discovery::<Clusters>::new(hub.clone()))
        .add_service(Discovery::<Endpoints>::new(hub.clone()))
        .add_service(Discovery::<Listeners>::new(hub.clone()))
        .add_service(Discovery::<Routes>::new(hub.clone()))
        .add_service(
            LoadReportingServiceServer::new(LoadReporting::new(hub.clone()))
                .max_decoding_message_size(settings.xds().max_request_bytes),
        )
        .add_service(ClientStatusDiscoveryServiceServer::new(ClientStatus::new(hub.clone())));
    let mut server_task = tokio::spawn(router.serve_with_incoming(incoming));

    let (update_sender, mut updates) = mpsc::unbounded_channel();
    let source_sender = source::spawn(hub.cache(|cache| cache.epoch()), update_sender)
        .map_err(system("a thread for the sources"))?;
    let _ = source_sender.send(state_source.sources());
    let epoch = hub.cache(|cache| cache.epoch());
    eprintln!("serving xDS on {}, epoch {epoch}", settings.listen);

    let push_every = settings.push_every();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    let mut next_push = tokio::time::Instant::now();
    let mut batch: Vec<SourceUpdate> = Vec::new();
    loop {
        let dirty = state_source.is_dirty();
        tokio::select! {
            taken = updates.recv_many(&mut batch, MAX_UPDATE_BATCH) => {
                if taken == 0 {
                    return Ok(()); // the sources' thread ends only at exit
                }
                let now = clock.now();
                for SourceUpdate { pool, from, update } in batch.drain(..) {
                    log_failure(&pool, &update);
                    state_source.handle_update(now, &pool, from, update);
                }
            }
            () = sleep_until(next_push), if dirty => {
                if state_source.publish() {
                    let _ = source_sender.send(state_source.sources());
                }
                next_push = tokio::time::Instant::now() + push_every;
            }
            _ = ticks.tick() => {
                if state_source.tick() {
                    let _ = source_sender.send(state_source.sources());
                }
            }
            () = state_change(&mut state_changes) => {} // applied with the next push
            () = shared.resume.notified() => state_source.resume(),
            _ = sighup.recv() => {
                state_source.reload();
                let _ = source_sender.send(state_source.sources());
            }
            _ = sigterm.recv() => {
                eprintln!("SIGTERM: shutting down; proxies keep their last state");
                return Ok(());
            }
            _ = tokio::signal::ctrl_c() => return Ok(()),
            ended = &mut server_task => {
                return match ended {
                    Ok(ended) => Ok(ended?),
                    Err(e) => Err(system("the xDS server")(e.into())),
                };
            }
        }
    }
}

/// Waits until the committed state changes; never returns for a single instance.
async fn state_change(state_changes: &mut Option<watch::Receiver<Arc<View>>>) {
    let changed = match state_changes {
        Some(state_changes) => state_changes.changed().await.is_ok(),
        None => false,
    };
    if !changed {
        std::future::pending().await
    }
}

fn shared(hub: Arc<Hub>, clock: Clock, cluster: Option<Handle>) -> Arc<Shared> {
    let (now, epoch) = (clock.now(), hub.cache(|cache| cache.epoch()));
    Arc::new(Shared {
        hub,
        fleet_state: Mutex::new(FleetState::new(Fleet::default(), BTreeMap::new(), epoch, now)),
        pools: Mutex::default(),
        version: Mutex::default(),
        rollout: Mutex::default(),
        resume: Notify::new(),
        cluster,
        clock,
        troubles: Mutex::default(),
    })
}

/// Sets up a single instance, with the desired fleet from a file or a store.
fn single_instance(settings: &Settings) -> Result<(Arc<Shared>, StateSource), ServeError> {
    let from = desired::Origin::from_settings(settings);
    let desired = from.read()?;
    let (epoch, journal, held) = match &settings.state {
        Some(folder) => {
            let (journal, held) =
                ListJournal::open(folder).map_err(system(folder.display().to_string()))?;
            let epoch = persistence::next_epoch(folder).map_err(system(folder.display().to_string()))?;
            (epoch, Some(journal), held)
        }
        None => (persistence::clock_epoch(), None, BTreeMap::new()),
    };
    let shared = shared(Hub::new(epoch, settings.xds()), Clock::start(), None);
    let progress = settings.state.as_deref().map(ProgressFile::new);
    let tolerance = settings.rollouts.tolerance();
    let mut instance = SingleInstance::new(shared.clone(), from, journal, progress, epoch, tolerance);
    instance.start(desired, held);
    Ok((shared, StateSource::SingleInstance(Box::new(instance))))
}

/// Sets up a cluster member, with the desired fleet from the committed state.
async fn replicated(
    cluster_settings: &Cluster,
    settings: &Settings,
) -> Result<(Arc<Shared>, StateSource), ServeError> {
    let (handle, peers) = cluster::start(cluster_settings, settings)
        .map_err(system(cluster_settings.member.display().to_string()))?;
    let listener = TcpListener::bind(cluster_settings.listen)
        .await
        .map_err(system(format!("cluster: {}", cluster_settings.listen)))?;
    let router = grpc_server(settings)?.add_service(peers);
    let incoming = Incoming::new(listener, MAX_PEER_CONNECTIONS);
    tokio::spawn(async move {
        if let Err(problem) = router.serve_with_incoming(incoming).await {
            eprintln!("cluster: {problem}");
        }
    });
    let shared = shared(Hub::new(0, settings.xds()), Clock::start(), Some(handle.clone()));
    let seed = persistence::clock_epoch();
    let replicated = Replicated::new(
        shared.clone(),
        handle,
        &cluster_settings.member,
        seed,
        settings.rollouts.tolerance(),
    );
    Ok((shared, StateSource::Replicated(Box::new(replicated))))
}

/// The source of the served state.
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

    fn handle_update(&mut self, now: Duration, pool: &str, from: SocketAddr, update: Update) {
        match self {
            StateSource::SingleInstance(instance) => instance.handle_update(now, pool, from, update),
            StateSource::Replicated(replicated) => replicated.handle_update(now, pool, from, update),
        }
    }

    /// Returns whether the sources may have changed.
    fn tick(&mut self) -> bool {
        match self {
            StateSource::SingleInstance(instance) => instance.tick(),
            StateSource::Replicated(replicated) => replicated.tick(),
        }
    }

    /// Returns whether the sources may have changed.
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
            instance.resume(); // a cluster commits the resumption first
        }
    }

    fn reload(&mut self) {
        match self {
            StateSource::SingleInstance(instance) => drop(instance.reload()),
            StateSource::Replicated(_) => {
                eprintln!("SIGHUP ignored: a cluster member has no fleet file to reload")
            }
        }
    }
}

fn grpc_server(settings: &Settings) -> Result<Server, ServeError> {
    let mut grpc_server = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .max_concurrent_streams(settings.xds().max_streams_per_connection);
    if let Some(tls) = &settings.tls {
        let read = |path: &PathBuf| std::fs::read(path).map_err(system(path.display().to_string()));
        let identity = Identity::from_pem(read(&tls.certificate)?, read(&tls.key)?);
        let mut config = ServerTlsConfig::new().identity(identity);
        if let Some(ca) = &tls.client_ca {
            config = config.client_ca_root(Certificate::from_pem(read(ca)?));
        }
        grpc_server = grpc_server.tls_config(config)?;
    }
    Ok(grpc_server)
}

fn log_failure(pool: &str, update: &Update) {
    if let Update::Failed(why) = update {
        eprintln!("pool {pool}: discovery: {why}; keeping its last list");
    }
}
