//! Connections of callers: accepting them, and serving HTTP/1.1 on each.

use crate::api::Api;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use runtrack_net::Connection;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// A connection may be between calls for this long, and a head take so long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait after a failed accept: out of descriptors it would fail again at once, and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

impl Api {
    /// Accepts connections at an address until the task is aborted; fails where it can't be listened on.
    pub fn listen(self: Rc<Self>, at: SocketAddrV4) -> io::Result<JoinHandle<()>> {
        let listener = self.gossip.network().listen(at.into())?;
        Ok(spawn_local(async move {
            loop {
                match poll_fn(|cx| listener.poll_accept(cx)).await {
                    Ok(connection) => self.clone().serve(connection),
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                }
            }
        }))
    }

    /// Answers the calls of one connection until it ends, beside the others.
    fn serve(self: Rc<Self>, connection: Box<dyn Connection>) {
        let service = service_fn(move |request| {
            let api = self.clone();
            async move { Ok::<_, Infallible>(api.answer(request).await) }
        });
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(connection), service);
        spawn_local(async move {
            let _ = serving.await; // the caller may have disconnected
        });
    }
}
