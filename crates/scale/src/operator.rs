//! An HTTP client for the control API, and the operator's requests.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time limit for a definite response to a configuration.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Opens a connection for calls.
pub async fn connect(to: SocketAddrV4) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CALL_TIMEOUT, TcpStream::connect(to)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true); // without it calls only take longer
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        let _ = connection.await; // an error is reported to the caller of the pending request
    });
    Some(sender)
}

/// Posts a JSON body; returns the status.
pub async fn post(
    sender: &mut SendRequest<Full<Bytes>>,
    path: &str,
    base: Option<u64>,
    body: String,
) -> Option<StatusCode> {
    let mut request =
        Request::post(path).header("host", "control").header("content-type", "application/json");
    if let Some(base) = base {
        request = request.header("x-base-version", base);
    }
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    let response = timeout(CALL_TIMEOUT, sender.send_request(request)).await.ok()?.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}

/// Submits a configuration to one member after another until one responds with a status other than a server error.
pub async fn submit_config(members: &[SocketAddrV4], base: u64, body: &str) -> Result<StatusCode, String> {
    let until = Instant::now() + SUBMIT_TIMEOUT;
    for member in members.iter().cycle() {
        if let Some(mut sender) = connect(*member).await
            && let Some(status) =
                post(&mut sender, "/runtrack/config/replace", Some(base), body.to_owned()).await
            && !status.is_server_error()
        {
            return Ok(status);
        }
        if Instant::now() > until {
            break;
        }
        sleep(RETRY_DELAY).await;
    }
    Err(format!("no definite response to the configuration within {} s", SUBMIT_TIMEOUT.as_secs()))
}

/// A configuration with a route for streams and so many additional ones.
pub fn config(version: u64, more_routes: usize) -> String {
    let route = |name: &str, timeout: u64| {
        format!(
            r#"{{"name":"{name}","host":"chat.example","pathPrefix":"/{name}/","kind":"streaming","timeoutMs":{timeout},"setpointMs":600,"priority":1,"service":"llm","maxTries":2,"pinned":true,"resumable":true,"gap_aim_ms":300}}"#
        )
    };
    let mut routes = vec![route("chat", 8000 + version)];
    routes.extend((0..more_routes).map(|number| route(&format!("r{number}"), 8000)));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"llm","healthPath":"/health","connLimit":370,"protocol":"h1","tls":false,"engine":{{"capacity":64,"kvCapacity":500000}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerMs":3000,"idleMs":15000}}}}"#,
        routes.join(",")
    )
}
