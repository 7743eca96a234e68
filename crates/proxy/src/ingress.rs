//! Clients' connections and the platform's readiness checks, up to graceful shutdown.

use crate::client::{Presence, client_stream};
use crate::forward::{Forwarder, Reply, text};
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

const READINESS: &str = "/runtrack/readiness";
/// Wait after a failed accept: without free file descriptors it would fail again at once, and spin.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// How long new connections still arrive after readiness is withdrawn: the platform checks it once a second and removes a
/// proxy after two failed checks.
const READINESS_PROPAGATION: Duration = Duration::from_millis(2600);
/// Open connections are closed this long before the end of the grace period.
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
    /// Set once idle connections are to close.
    closing: watch::Sender<bool>,
    connection_closed: Notify,
    accepting: Cell<Option<JoinHandle<()>>>,
}

impl IngressServer {
    /// A server without connections.
    pub fn new(state: Rc<State>, forwarder: Rc<Forwarder>, grace: Duration) -> Rc<Self> {
        Rc::new(IngressServer {
            state,
            forwarder,
            grace,
            draining: Cell::new(false),
            connections: Cell::new(0),
            closing: watch::channel(false).0,
            connection_closed: Notify::new(),
            accepting: Cell::new(None),
        })
    }

    /// Answers the platform's readiness checks at an address.
    pub async fn serve_readiness(self: Rc<Self>, at: SocketAddrV4) -> io::Result<()> {
        let listener = TcpListener::bind(at).await?;
        spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let this = self.clone();
                        let service = service_fn(move |request: Request<Incoming>| {
                            let status = this.readiness(request.uri().path());
                            async move { Ok::<_, Infallible>(text(status, "")) }
                        });
                        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                        spawn_local(async move {
                            let _ = serving.await; // who asked has gone
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
            READINESS if self.draining.get() || !self.state.can_serve() => StatusCode::SERVICE_UNAVAILABLE,
            READINESS => StatusCode::OK,
            _ => StatusCode::NOT_FOUND,
        }
    }

    /// Accepts clients' connections at an address.
    pub async fn serve_clients(self: Rc<Self>, at: SocketAddrV4) -> io::Result<()> {
        let listener = TcpListener::bind(at).await?;
        let this = self.clone();
        let accepting = spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let this = this.clone();
                        spawn_local(async move { this.serve(stream).await });
                    }
                    Err(_) => sleep(ACCEPT_BACKOFF).await,
                }
            }
        });
        self.accepting.set(Some(accepting));
        Ok(())
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true); // without it events only come later
        self.connections.set(self.connections.get() + 1);
        let (stream, client) = client_stream(stream);
        let this = self.clone();
        let service = service_fn(move |request| {
            let (this, client) = (this.clone(), client.clone());
            async move { Ok::<_, Infallible>(this.answer(request, client).await) }
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
                let _ = serving.await; // the client may have gone
            }
        }
        self.connections.set(self.connections.get() - 1);
        self.connection_closed.notify_one();
    }

    async fn answer(&self, request: Request<Incoming>, client: Presence) -> Reply {
        let closing = *self.closing.borrow();
        let mut reply = match closing {
            // A long request that starts now would not finish.
            true => self.forwarder.refusal("this proxy is shutting down"),
            false => self.forwarder.clone().answer(request, client).await,
        };
        if self.draining.get() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    /// Graceful shutdown: withdraws readiness, lets each response be the last of its connection, closes idle connections,
    /// and returns once none is open or the grace period is nearly over.
    pub async fn shut_down(&self) {
        let asked = Instant::now();
        self.draining.set(true);
        info!(self.state.logger(), "proxy.terminate"; "connections" => self.connections.get());
        sleep(READINESS_PROPAGATION.min(self.grace / 3)).await;
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
        let _ = self.closing.send(true); // nobody may be connected
        let until = asked + self.grace.saturating_sub(SHUTDOWN_MARGIN);
        while self.connections.get() > 0
            && timeout_at(until, self.connection_closed.notified()).await.is_ok()
        {}
    }
}
