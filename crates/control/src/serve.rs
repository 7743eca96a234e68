//! The service: sockets, signals, the clock and the disk round the core.

use crate::admin;
use crate::core::Core;
use crate::desired::{self, DesiredError};
use crate::keeper::Keeper;
use crate::memory::{self, Memory};
use crate::progress::ProgressFile;
use crate::settings::{Settings, SettingsError};
use crate::shared::Shared;
use crate::source::{self, News};
use runtrack_discovery::Clock;
use runtrack_model::Fleet;
use runtrack_xds::{
    Aggregated, ClientStatus, ClientStatusDiscoveryServiceServer, Clusters, Discovery, Endpoints, Hub,
    Incoming, Listeners, LoadReporting, LoadReportingServiceServer, Routes,
};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};
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
    let desired = from.read()?;
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
    let progress = settings.state.as_deref().map(ProgressFile::new);
    let shared = Arc::new(Shared {
        hub: hub.clone(),
        core: Mutex::new(Core::new(Fleet::default(), BTreeMap::new(), epoch, clock.now())),
        pools: Mutex::default(),
        version: Mutex::default(),
        rollout: Mutex::default(),
        resume: Notify::new(),
        clock,
        troubles: Mutex::default(),
    });
    let mut keeper =
        Keeper::new(shared.clone(), from, memory, progress, epoch, settings.rollouts.tolerance());
    keeper.start(desired, held);

    let listener = TcpListener::bind(settings.listen).await;
    let listener = listener.map_err(system(format!("listen: {}", settings.listen)))?;
    if let Some(at) = settings.admin {
        let admin = TcpListener::bind(at).await.map_err(system(format!("admin: {at}")))?;
        tokio::spawn(admin::serve(admin, shared.clone()));
    }
    if let Some(at) = &settings.admin_socket {
        let socket = admin::bind_socket(at).map_err(system(format!("admin_socket: {}", at.display())))?;
        tokio::spawn(admin::serve(socket, shared.clone()));
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
    let wanted = source::follow(epoch, told).map_err(system("a thread for the sources"))?;
    let _ = wanted.send(keeper.sources());
    eprintln!("serving xDS on {}, epoch {epoch}", settings.listen);

    let push_every = settings.push_every();
    let mut ticks = tokio::time::interval(TICK);
    let mut next_push = tokio::time::Instant::now();
    let mut batch: Vec<News> = Vec::new();
    loop {
        let dirty = keeper.is_dirty();
        tokio::select! {
            taken = news.recv_many(&mut batch, BATCH) => {
                if taken == 0 {
                    return Ok(()); // the sources' thread ends only with the process
                }
                let now = clock.now();
                for News { pool, from, told } in batch.drain(..) {
                    log(&pool, &told);
                    keeper.told(now, &pool, from, told);
                }
            }
            () = sleep_until(next_push), if dirty => {
                keeper.publish(false);
                next_push = tokio::time::Instant::now() + push_every;
            }
            _ = ticks.tick() => {
                if keeper.tick() {
                    let _ = wanted.send(keeper.sources());
                }
            }
            () = shared.resume.notified() => keeper.resume(),
            _ = hup.recv() => {
                keeper.reload();
                let _ = wanted.send(keeper.sources());
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
