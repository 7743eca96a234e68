//! Test environment: a real proxy process with an agent, endpoints and clients that the test simulates, all on
//! loopback.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod scenarios;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use runtrack_link::{Gossip, json_logger, listen};
use runtrack_message::{Endpoint, EndpointState, Hello, Member, Role, WIRE_VERSION};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::process::Stdio;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::{Mutex, Notify, mpsc};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// An operation that takes longer than this has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on a single-threaded runtime.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build the runtime");
    let all = LocalSet::new();
    all.block_on(&runtime, async { timeout(3 * TEST_TIMEOUT, test).await.expect("the test timed out") });
}

/// A loopback address that no other test uses.
fn unique_loopback_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    Ipv4Addr::new(127, 64 + (process >> 8 & 0x3f) as u8, process as u8, number as u8)
}

/// One step of an endpoint's reaction to a request.
#[derive(Clone)]
pub enum Action {
    /// Sends these bytes.
    Send(String),
    /// Waits until the test sends a notification.
    Wait(Rc<Notify>),
    /// Closes the connection.
    Close,
    /// Closes the sending direction of the connection and continues to read.
    HalfClose,
    /// Resets the connection.
    Reset,
}

/// The actions of endpoints, one list per request.
pub type Script = Rc<RefCell<VecDeque<Vec<Action>>>>;

/// A request as an endpoint received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// All values of a header, in order.
    pub fn all(&self, name: &str) -> Vec<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        lines.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).collect()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let line =
            self.head.lines().find(|line| line.to_ascii_lowercase().starts_with(&format!("{name}:")))?;
        line.split_once(':').map(|(_, value)| value.trim())
    }
}

/// An endpoint that performs scripted actions, and responds with status 200 to requests beyond the script.
pub struct FakeEndpoint {
    pub id: String,
    pub address: SocketAddrV4,
    pub received: Rc<RefCell<Vec<ReceivedRequest>>>,
    pub connections: Rc<Cell<usize>>,
    disconnect: Rc<Notify>,
    request_notices: Mutex<mpsc::UnboundedReceiver<()>>,
}

impl FakeEndpoint {
    pub async fn start(id: &str, script: Vec<Vec<Action>>) -> Self {
        Self::start_shared(id, Rc::new(RefCell::new(VecDeque::from(script)))).await
    }

    /// Starts an endpoint that shares its script with others: each request, at any of them, takes the next part.
    pub async fn start_shared(id: &str, script: Script) -> Self {
        let listener = TcpListener::bind((unique_loopback_ip(), 0)).await.expect("failed to bind");
        let std::net::SocketAddr::V4(address) = listener.local_addr().expect("no local address") else {
            panic!("not an IPv4 address")
        };
        let received: Rc<RefCell<Vec<ReceivedRequest>>> = Rc::default();
        let connections: Rc<Cell<usize>> = Rc::default();
        let (notifier, notices) = mpsc::unbounded_channel();
        let disconnect = Rc::new(Notify::new());
        let (request_log, connection_count, disconnect_notice) =
            (received.clone(), connections.clone(), disconnect.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connection_count.set(connection_count.get() + 1);
                spawn_local(serve(
                    stream,
                    request_log.clone(),
                    script.clone(),
                    notifier.clone(),
                    disconnect_notice.clone(),
                ));
            }
        });
        FakeEndpoint {
            id: id.to_owned(),
            address,
            received,
            connections,
            disconnect,
            request_notices: Mutex::new(notices),
        }
    }

    /// Waits until another request has been received.
    pub async fn request_received(&self) {
        let mut notices = self.request_notices.lock().await;
        timeout(TEST_TIMEOUT, notices.recv())
            .await
            .expect("timed out waiting for a request")
            .expect("the endpoint has stopped");
    }

    /// Waits until a caller has disconnected during a response.
    pub async fn caller_disconnected(&self) {
        self.disconnect.notified().await;
    }

    pub fn record(&self, state: EndpointState, call_seq: u64) -> Endpoint {
        Endpoint {
            id: self.id.as_str().into(),
            service: "llm".into(),
            ip: (*self.address.ip()).into(),
            port: self.address.port(),
            zone: "a".into(),
            capacity: 64,
            state,
            warmup_left_ms: 0,
            call_seq,
            models: Vec::new().into(),
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    received: Rc<RefCell<Vec<ReceivedRequest>>>,
    script: Script,
    notifier: mpsc::UnboundedSender<()>,
    disconnect: Rc<Notify>,
) {
    let mut read = Vec::new();
    loop {
        let Some(request) = next_request(&mut stream, &mut read).await else { return };
        let id = request.header("x-attempt-id").map(str::to_owned);
        received.borrow_mut().push(request);
        let _ = notifier.send(());
        let actions =
            script.borrow_mut().pop_front().unwrap_or_else(|| vec![reply("200 OK", "unscripted")]);
        for action in actions {
            match action {
                Action::Send(bytes) => {
                    if stream.write_all(with_id(&bytes, id.as_deref()).as_bytes()).await.is_err() {
                        disconnect.notify_one();
                        return;
                    }
                }
                Action::Wait(notify) => tokio::select! {
                    () = notify.notified() => {}
                    _ = stream.readable() => {
                        if stream.try_read(&mut [0; 1]).is_ok_and(|count| count == 0) {
                            disconnect.notify_one();
                            return;
                        }
                    }
                },
                Action::Close => return,
                Action::HalfClose => {
                    let _ = stream.shutdown().await; // the caller may have disconnected
                }
                Action::Reset => {
                    let std = stream.into_std().expect("failed to create the socket");
                    let _ = std.set_nonblocking(true);
                    drop(ResetOnDrop(std));
                    return;
                }
            }
        }
    }
}

/// The header line of a response that repeats the request's id. [`Action::Send`] inserts the id, or omits the line if
/// the request has none.
pub const ID_LINE: &str = "X-Attempt-Id: {id}\r\n";

fn with_id(bytes: &str, id: Option<&str>) -> String {
    match id {
        Some(id) => bytes.replace("{id}", id),
        None => bytes.replace(ID_LINE, ""),
    }
}

/// A socket that is reset when it is dropped, by a linger time of zero.
struct ResetOnDrop(std::net::TcpStream);

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        let socket = socket2::SockRef::from(&self.0);
        socket.set_linger(Some(Duration::ZERO)).expect("failed to set SO_LINGER");
    }
}

async fn next_request(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<ReceivedRequest> {
    let end = loop {
        if let Some(end) = read.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&read[..end]).into_owned();
    let received = ReceivedRequest { head, body: Vec::new() };
    let length = received.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    while read.len() < end + length {
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
    let body = read[end..end + length].to_vec();
    read.drain(..end + length);
    Some(ReceivedRequest { body, ..received })
}

/// A complete response.
pub fn reply(status: &str, body: &str) -> Action {
    reply_with(status, "", body)
}

/// A complete response with additional headers, each ending with CRLF. It repeats the request's id unless these headers
/// include an id.
pub fn reply_with(status: &str, headers: &str, body: &str) -> Action {
    let length = body.len();
    let id = if headers.contains("X-Attempt-Id") { "" } else { ID_LINE };
    Action::Send(format!(
        "HTTP/1.1 {status}\r\n{id}X-Server-Seal: s1\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    ))
}

/// A response that states that the endpoint has not run the request.
pub fn not_executed(status: &str) -> Action {
    reply_with(status, "X-Not-Executed: 1\r\n", "")
}

/// The head of an event stream with this seal.
pub fn stream_head(seal: &str) -> Action {
    Action::Send(format!(
        "HTTP/1.1 200 OK\r\n{ID_LINE}X-Server-Seal: {seal}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ))
}

/// A chunk of a stream.
pub fn chunk(text: &str) -> Action {
    Action::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// An event with this id.
pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// The last chunk of a stream.
pub fn last_chunk() -> Action {
    Action::Send("0\r\n\r\n".to_owned())
}

/// A route of the service `llm`, for [`Fleet::start`].
pub fn route(name: &str, kind: &str, max_tries: u32, resumable: bool) -> String {
    format!(
        r#"{{"name":"{name}","host":"h.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":8000,"setpointMs":600,
        "priority":1,"service":"llm","maxTries":{max_tries},"pinned":true,"resumable":{resumable},"gap_aim_ms":300}}"#
    )
}

/// The same route with another timeout.
pub fn with_timeout(route: &str, milliseconds: u32) -> String {
    route.replace("\"timeoutMs\":8000", &format!("\"timeoutMs\":{milliseconds}"))
}

/// The bytes of a request with an id and `Content-Length`.
pub fn request(path: &str, id: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// A client that writes and reads raw bytes.
pub struct RawClient {
    pub stream: TcpStream,
    pub read: Vec<u8>,
}

impl RawClient {
    pub async fn connect(fleet: &Fleet) -> Self {
        let stream = TcpStream::connect(fleet.front).await.expect("failed to connect to the proxy");
        RawClient { stream, read: Vec::new() }
    }

    pub async fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).await.expect("failed to write");
    }

    /// Reads until this text has been received.
    pub async fn read_until(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.read).contains(text) {
            let more = timeout(TEST_TIMEOUT, self.stream.read_buf(&mut self.read)).await;
            let count =
                more.unwrap_or_else(|_| panic!("timed out waiting for: {text}")).expect("failed to read");
            assert!(
                count > 0,
                "the connection ended before {text}: {}",
                String::from_utf8_lossy(&self.read)
            );
        }
    }

    /// Closes the connection, and waits until the peer's kernel has acknowledged the FIN.
    pub async fn disconnect(mut self) {
        const UNACKNOWLEDGED: [&str; 2] = ["04", "0B"]; // FIN-WAIT-1 and CLOSING, as in /proc/net/tcp
        let port = self.stream.local_addr().expect("no local address").port();
        self.stream.shutdown().await.expect("failed to shut down the connection");
        let is_acknowledged = || {
            let sockets =
                std::fs::read_to_string("/proc/net/tcp").expect("failed to read the socket table");
            !sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>()).any(|socket| {
                socket.len() > 3
                    && socket[1].ends_with(&format!(":{port:04X}"))
                    && UNACKNOWLEDGED.contains(&socket[3])
            })
        };
        while !is_acknowledged() {
            tokio::task::yield_now().await;
        }
    }

    /// Reads until the connection ends.
    pub async fn read_to_end(&mut self) -> String {
        let end = timeout(TEST_TIMEOUT, self.stream.read_to_end(&mut self.read))
            .await
            .expect("timed out waiting for the end");
        let _ = end; // ends by a close or a reset
        String::from_utf8_lossy(&self.read).into_owned()
    }
}

/// A configuration with these routes.
pub fn config(version: u64, routes: &[String]) -> String {
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"llm","connLimit":370}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerMs":3000,"idleMs":15000}}}}"#
    )
}

/// A proxy process, and the simulated agent that it is linked to.
pub struct Fleet {
    pub gossip: Rc<Gossip>,
    pub front: SocketAddrV4,
    pub ready: SocketAddrV4,
    pub child: Child,
    settings: std::path::PathBuf,
    log: Mutex<Lines<BufReader<ChildStderr>>>,
}

/// A response as a client received it.
#[derive(Debug)]
pub struct ClientResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The received part of the body.
    pub body: String,
    /// Whether the body was received completely.
    pub complete: bool,
}

impl Fleet {
    /// Starts a proxy, and waits until it serves these routes with these endpoints.
    pub async fn start(routes: &[String], endpoints: &[&FakeEndpoint]) -> Self {
        Self::start_with(routes, endpoints, "bounds.retrySlack=56\n").await
    }

    /// The same with additional settings, each ending with a newline.
    pub async fn start_with(routes: &[String], endpoints: &[&FakeEndpoint], more: &str) -> Self {
        Self::start_with_mutant(routes, endpoints, more, None).await
    }

    /// The same with a mutant activated in the proxy.
    pub async fn start_with_mutant(
        routes: &[String],
        endpoints: &[&FakeEndpoint],
        more: &str,
        mutant: Option<&str>,
    ) -> Self {
        let fleet = Self::start_unconfigured(more, mutant).await;
        fleet.configure(1, routes).await;
        fleet.gossip.merge(
            endpoints.iter().map(|endpoint| endpoint.record(EndpointState::Ready, 1)).collect(),
            None,
        );
        if !endpoints.is_empty() {
            fleet.wait_for_log("endpoints.ready", &format!("\"count\":{}", endpoints.len())).await;
        }
        fleet
    }

    /// Starts a proxy without configuration and endpoints.
    pub async fn start_unconfigured(more: &str, mutant: Option<&str>) -> Self {
        let ip = unique_loopback_ip();
        let (front, ready) = (SocketAddrV4::new(ip, 8144), SocketAddrV4::new(ip, 8140));
        let logger = json_logger("agent-of-the-test", "test");
        let hello =
            Hello { wire: WIRE_VERSION, role: Role::Agent, node: "test".into(), member: Member::none() };
        let gossip = Gossip::new(hello, Duration::from_millis(1200), logger, Box::new(()));
        let feed = listen_on_free_port(&gossip).await;
        spawn_local(gossip.clone().run());
        let settings = std::env::temp_dir().join(format!("proxy-{}-{ip}.conf", std::process::id()));
        let text = format!(
            "node=edge-1\nip={ip}\nzone=a\nlisten.front={front}\nlisten.ready={ready}\nportRange={},{}\nseeds=\n\
             beatPeriodMs=1200\nbounds.graceS=4\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\n{more}",
            feed - 1,
            feed + 10
        );
        std::fs::write(&settings, text).expect("failed to write the settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_runtrack-proxy"))
            .env("RUNTRACK_NODE_FILE", &settings)
            .env("RUNTRACK_MUTANT", mutant.unwrap_or_default())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("failed to start the proxy");
        let log = BufReader::new(child.stderr.take().expect("stderr is not piped")).lines();
        Fleet { gossip, front, ready, child, settings, log: Mutex::new(log) }
    }

    /// Waits until the proxy accepts clients.
    pub async fn wait_until_listening(&self) {
        let connected = async {
            while TcpStream::connect(self.front).await.is_err() {
                tokio::task::yield_now().await;
            }
        };
        timeout(TEST_TIMEOUT, connected).await.expect("failed to connect to the proxy");
    }

    /// Waits, on the proxy's clock, for the timeout of a route: sends a request with an incomplete body, which is
    /// refused at the timeout.
    pub async fn wait_out_timeout(&self, path: &str) {
        let mut client = RawClient::connect(self).await;
        let complete = request(path, "outlast", "", "body");
        client.write(&complete[..complete.len() - 1]).await;
        client.read_until("HTTP/1.1 408").await;
    }

    /// Sends a configuration to the proxy, and waits until it is in force.
    pub async fn configure(&self, version: u64, routes: &[String]) {
        self.gossip.take_config(version, config(version, routes).into_bytes());
        self.wait_for_log("config.in_force", &format!("\"version\":{version}")).await;
    }

    /// Waits until the proxy has logged this event in a line that contains `with`.
    pub async fn wait_for_log(&self, event: &str, with: &str) {
        let event = format!("\"event\":\"{event}\"");
        let mut log = self.log.lock().await;
        let wait = async {
            while let Some(line) = log.next_line().await.expect("failed to read the log") {
                if line.contains(&event) && line.contains(with) {
                    return;
                }
            }
            panic!("the proxy ended before it logged {event}");
        };
        timeout(TEST_TIMEOUT, wait)
            .await
            .unwrap_or_else(|_| panic!("timed out waiting for the log event {event} {with}"));
    }

    /// Sends a client's request on a new connection.
    pub async fn send(&self, path: &str, id: &str, headers: &[(&str, &str)], body: &str) -> ClientResponse {
        let stream = TcpStream::connect(self.front).await.expect("failed to connect to the proxy");
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("failed to connect");
        let serving = spawn_local(async move {
            let _ = connection.await;
        });
        let response = self.send_on(&mut sender, path, id, headers, body).await;
        serving.abort();
        response
    }

    /// Sends a client's request on an existing connection.
    pub async fn send_on(
        &self,
        sender: &mut hyper::client::conn::http1::SendRequest<Full<Bytes>>,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> ClientResponse {
        let mut request = Request::post(path).header("host", "h.example");
        if !id.is_empty() {
            request = request.header("x-attempt-id", id);
        }
        if !headers.iter().any(|(name, _)| *name == "x-time-budget-ms") {
            request = request.header("x-time-budget-ms", "8000");
        }
        for (name, value) in headers {
            request = request.header(
                name.parse::<HeaderName>().expect("invalid header name"),
                HeaderValue::from_str(value).expect("invalid header value"),
            );
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).expect("invalid request");
        let response = timeout(TEST_TIMEOUT, sender.send_request(request))
            .await
            .expect("timed out waiting for the response")
            .expect("failed to read the response");
        let (head, mut rest) = response.into_parts();
        let (mut read, mut complete) = (Vec::new(), true);
        while let Some(frame) =
            timeout(TEST_TIMEOUT, rest.frame()).await.expect("timed out waiting for the body")
        {
            match frame {
                Ok(frame) => read.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        let body = String::from_utf8_lossy(&read).into_owned();
        ClientResponse { status: head.status, headers: head.headers, body, complete }
    }

    /// Whether the readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        let mut stream = TcpStream::connect(self.ready).await.expect("failed to connect to the proxy");
        let request = "GET /runtrack/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.expect("failed to write");
        let mut response = String::new();
        timeout(TEST_TIMEOUT, stream.read_to_string(&mut response))
            .await
            .expect("timed out waiting for the response")
            .expect("failed to read the response");
        response.starts_with("HTTP/1.1 200")
    }

    /// Sends the proxy SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends the proxy SIGHUP.
    pub fn send_sighup(&self) {
        self.signal(Signal::HUP);
    }

    /// Suspends the proxy's process by SIGSTOP, and waits until it has stopped.
    pub async fn suspend(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id().expect("the proxy has exited"));
        while !std::fs::read_to_string(&stat).expect("failed to read the process state").contains(") T ") {
            tokio::task::yield_now().await;
        }
    }

    /// Resumes the proxy's process by SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.id().expect("the proxy has exited");
        let pid = rustix::process::Pid::from_raw(id as i32).expect("invalid process id");
        rustix::process::kill_process(pid, signal).expect("failed to send the signal");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Listens for the proxy on a free port, and returns the port.
async fn listen_on_free_port(gossip: &Rc<Gossip>) -> u16 {
    loop {
        let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("failed to bind");
        let port = probe.local_addr().expect("no local address").port();
        drop(probe);
        if listen(gossip.clone(), SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)).await.is_ok() {
            return port;
        }
    }
}
