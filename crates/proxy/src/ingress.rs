//! Serves clients' connections and the platform's readiness checks, and shuts down gracefully.

use crate::client::{ClientMonitor, client_stream};
use crate::forward::{Forwarder, Reply, text_reply};
use crate::state::State;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::info;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout_at};

/// Path of the platform's readiness check.
const READY_PATH: &str = "/runtrack/readiness";
/// Delay after a failed accept: without free file descriptors, accepting would fail again immediately in a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// How long new connections can still arrive after readiness is withdrawn: the platform checks readiness once a second
/// and removes a proxy after two failed checks.
const READINESS_PROPAGATION: Duration = Duration::from_millis(2600);
/// Connections that are still open are closed this long before the end of the grace period.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);
/// Maximum size of a connection's buffer in bytes.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// The server for clients' requests and readiness checks.
pub struct IngressServer {
    state: Rc<State>,
    forwarder: Rc<Forwarder>,
    grace: Duration,
    draining: Cell<bool>,
    connections: Cell<usize>,
    /// Set once idle connections should close.
    closing: watch::Sender<bool>,
    connection_closed: Notify,
    accept_task: Cell<Option<JoinHandle<()>>>,
}

impl IngressServer {
    /// Creates a server without connections; `grace` is the maximum duration of a graceful shutdown.
    pub fn new(state: Rc<State>, forwarder: Rc<Forwarder>, grace: Duration) -> Rc<Self> {
        Rc::new(IngressServer {
            state,
            forwarder,
            grace,
            draining: Cell::new(false),
            connections: Cell::new(0),
            closing: watch::channel(false).0,
            connection_closed: Notify::new(),
            accept_task: Cell::new(None),
        })
    }

    /// Answers the platform's readiness checks on an address.
    pub async fn serve_readiness(self: Rc<Self>, address: SocketAddrV4) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let this = self.clone();
                        let service = service_fn(move |request: Request<Incoming>| {
                            let status = this.readiness(request.uri().path());
                            async move { Ok::<_, Infallible>(text_reply(status, "")) }
                        });
                        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                        spawn_local(async move {
                            let _ = serving.await; // the checker may have disconnected
                        });
                    }
                    Err(_) => sleep(ACCEPT_BACKOFF).await,
                }
            }
        });
        Ok(())
    }

    fn readiness(&self, path: &str) -> StatusCode {
        match path {
            READY_PATH if self.draining.get() || !self.state.can_serve() => StatusCode::SERVICE_UNAVAILABLE,
            READY_PATH => StatusCode::OK,
            _ => StatusCode::NOT_FOUND,
        }
    }

    /// Accepts clients' connections on an address.
    pub async fn serve_clients(self: Rc<Self>, address: SocketAddrV4) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let this = self.clone();
        let accept_task = spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let this = this.clone();
                        spawn_local(async move { this.serve_client(stream).await });
                    }
                    Err(_) => sleep(ACCEPT_BACKOFF).await,
                }
            }
        });
        self.accept_task.set(Some(accept_task));
        Ok(())
    }

    async fn serve_client(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true); // failure only delays small writes
        self.connections.set(self.connections.get() + 1);
        let (stream, client) = client_stream(stream);
        let this = self.clone();
        let service = service_fn(move |request| {
            let (this, client) = (this.clone(), client.clone());
            async move { Ok::<_, Infallible>(this.handle(request, client).await) }
        });
        let limits = self.state.routes().map(|table| table.config().limits).unwrap_or_default();
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle.max(limits.header_time))
            .max_buf_size(MAX_BUFFERED_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let mut serving = pin!(serving);
        let mut closing = self.closing.subscribe();
        tokio::select! {
            _ = serving.as_mut() => {}
            _ = closing.wait_for(|closing| *closing) => {
                serving.as_mut().graceful_shutdown();
                let _ = serving.await; // the client may have disconnected
            }
        }
        self.connections.set(self.connections.get() - 1);
        self.connection_closed.notify_one();
    }

    async fn handle(&self, request: Request<Incoming>, client: ClientMonitor) -> Reply {
        let closing = *self.closing.borrow();
        let mut reply = match closing {
            // A long request that starts now would not finish before the shutdown.
            true => self.forwarder.refusal("this proxy is shutting down"),
            false => self.forwarder.clone().handle(request, client).await,
        };
        if self.draining.get() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    /// Shuts down gracefully: withdraws readiness, marks each response as the last on its connection, closes idle
    /// connections, and returns once no connection is open or the grace period is nearly over.
    pub async fn shut_down(&self) {
        let started_at = Instant::now();
        self.draining.set(true);
        info!(self.state.logger(), "proxy.terminate"; "connections" => self.connections.get());
        sleep(READINESS_PROPAGATION.min(self.grace / 3)).await;
        if let Some(accept_task) = self.accept_task.take() {
            accept_task.abort();
        }
        let _ = self.closing.send(true); // fails only without connections
        let deadline = started_at + self.grace.saturating_sub(SHUTDOWN_MARGIN);
        while self.connections.get() > 0
            && timeout_at(deadline, self.connection_closed.notified()).await.is_ok()
        {}
    }
}
