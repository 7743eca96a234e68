//! A built proxy between an agent, endpoints and clients of the test's own, all on loopback.
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

/// Whatever takes longer than this has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Runs a test on one thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let all = LocalSet::new();
    all.block_on(&runtime, async { timeout(3 * PATIENCE, test).await.expect("the test takes too long") });
}

/// An address of this machine that no other test uses.
fn own_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    Ipv4Addr::new(127, 64 + (process >> 8 & 0x3f) as u8, process as u8, number as u8)
}

/// What an endpoint does with a request.
#[derive(Clone)]
pub enum Act {
    /// Sends these bytes.
    Send(String),
    /// Waits until the test says so.
    Wait(Rc<Notify>),
    /// Closes the connection.
    Close,
    /// Sends nothing more, but reads on.
    HalfClose,
    /// Resets the connection.
    Reset,
}

/// What endpoints do, request by request.
pub type Script = Rc<RefCell<VecDeque<Vec<Act>>>>;

/// A request as it came to an endpoint.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
}

impl Seen {
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

/// An endpoint that does what the test has written down, request by request.
pub struct Stand {
    pub id: String,
    pub address: SocketAddrV4,
    pub seen: Rc<RefCell<Vec<Seen>>>,
    pub connections: Rc<Cell<usize>>,
    left: Rc<Notify>,
    came: Mutex<mpsc::UnboundedReceiver<()>>,
}

impl Stand {
    pub async fn start(id: &str, script: Vec<Vec<Act>>) -> Self {
        Self::start_shared(id, Rc::new(RefCell::new(VecDeque::from(script)))).await
    }

    /// An endpoint that shares its script with others: whoever is asked first plays the first part.
    pub async fn start_shared(id: &str, script: Script) -> Self {
        let listener = TcpListener::bind((own_ip(), 0)).await.expect("a port");
        let std::net::SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            panic!("IPv4")
        };
        let seen: Rc<RefCell<Vec<Seen>>> = Rc::default();
        let connections: Rc<Cell<usize>> = Rc::default();
        let (told, came) = mpsc::unbounded_channel();
        let left = Rc::new(Notify::new());
        let (kept, count, gone) = (seen.clone(), connections.clone(), left.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.set(count.get() + 1);
                spawn_local(serve(stream, kept.clone(), script.clone(), told.clone(), gone.clone()));
            }
        });
        Stand { id: id.to_owned(), address, seen, connections, left, came: Mutex::new(came) }
    }

    /// Waits until one more request has come.
    pub async fn came(&self) {
        let mut came = self.came.lock().await;
        timeout(PATIENCE, came.recv()).await.expect("a request comes").expect("the endpoint is there");
    }

    /// Waits until a caller has left in the middle of an answer.
    pub async fn left(&self) {
        self.left.notified().await;
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
    seen: Rc<RefCell<Vec<Seen>>>,
    script: Script,
    told: mpsc::UnboundedSender<()>,
    left: Rc<Notify>,
) {
    let mut read = Vec::new();
    loop {
        let Some(request) = next_request(&mut stream, &mut read).await else { return };
        let id = request.header("x-attempt-id").map(str::to_owned);
        seen.borrow_mut().push(request);
        let _ = told.send(());
        let acts = script.borrow_mut().pop_front().unwrap_or_else(|| vec![answer("200 OK", "unscripted")]);
        for act in acts {
            match act {
                Act::Send(bytes) => {
                    if stream.write_all(with_id(&bytes, id.as_deref()).as_bytes()).await.is_err() {
                        left.notify_one();
                        return;
                    }
                }
                Act::Wait(notify) => tokio::select! {
                    () = notify.notified() => {}
                    _ = stream.readable() => {
                        if stream.try_read(&mut [0; 1]).is_ok_and(|count| count == 0) {
                            left.notify_one();
                            return;
                        }
                    }
                },
                Act::Close => return,
                Act::HalfClose => {
                    let _ = stream.shutdown().await; // the caller may have gone
                }
                Act::Reset => {
                    let std = stream.into_std().expect("a socket");
                    let _ = std.set_nonblocking(true);
                    drop(Resetting(std));
                    return;
                }
            }
        }
    }
}

/// The line of an answer that carries the request's id back: [`Act::Send`] puts the id in, or leaves the line out where
/// the request has none.
pub const ID_LINE: &str = "X-Attempt-Id: {id}\r\n";

fn with_id(bytes: &str, id: Option<&str>) -> String {
    match id {
        Some(id) => bytes.replace("{id}", id),
        None => bytes.replace(ID_LINE, ""),
    }
}

/// A socket whose end is a reset: unread bytes are left in it on purpose by the caller, or linger is zero.
struct Resetting(std::net::TcpStream);

impl Drop for Resetting {
    fn drop(&mut self) {
        let socket = socket2::SockRef::from(&self.0);
        socket.set_linger(Some(Duration::ZERO)).expect("linger");
    }
}

async fn next_request(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<Seen> {
    let end = loop {
        if let Some(end) = read.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&read[..end]).into_owned();
    let seen = Seen { head, body: Vec::new() };
    let length = seen.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    while read.len() < end + length {
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
    let body = read[end..end + length].to_vec();
    read.drain(..end + length);
    Some(Seen { body, ..seen })
}

/// A whole answer.
pub fn answer(status: &str, body: &str) -> Act {
    answer_with(status, "", body)
}

/// A whole answer with more headers, each with its line's end. It carries the request's id unless these name one.
pub fn answer_with(status: &str, headers: &str, body: &str) -> Act {
    let length = body.len();
    let id = if headers.contains("X-Attempt-Id") { "" } else { ID_LINE };
    Act::Send(format!(
        "HTTP/1.1 {status}\r\n{id}X-Server-Seal: s1\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    ))
}

/// An endpoint says that it did not run the request.
pub fn not_executed(status: &str) -> Act {
    answer_with(status, "X-Not-Executed: 1\r\n", "")
}

/// The head of a stream with a seal.
pub fn stream_head(seal: &str) -> Act {
    Act::Send(format!(
        "HTTP/1.1 200 OK\r\n{ID_LINE}X-Server-Seal: {seal}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ))
}

/// A chunk of a stream.
pub fn chunk(text: &str) -> Act {
    Act::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// An event.
pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// The end of a stream.
pub fn last_chunk() -> Act {
    Act::Send("0\r\n\r\n".to_owned())
}

/// A route of the service `llm`, for [`Fleet::start`].
pub fn route(name: &str, kind: &str, max_tries: u32, resumable: bool) -> String {
    format!(
        r#"{{"name":"{name}","host":"h.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":8000,"setpointMs":600,
        "priority":1,"service":"llm","maxTries":{max_tries},"pinned":true,"resumable":{resumable},"gap_aim_ms":300}}"#
    )
}

/// The same route with another time limit.
pub fn with_timeout(route: &str, milliseconds: u32) -> String {
    route.replace("\"timeoutMs\":8000", &format!("\"timeoutMs\":{milliseconds}"))
}

/// A request written out, with an id and a length.
pub fn request(path: &str, id: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// A client that writes its bytes itself.
pub struct RawClient {
    pub stream: TcpStream,
    pub read: Vec<u8>,
}

impl RawClient {
    pub async fn connect(fleet: &Fleet) -> Self {
        let stream = TcpStream::connect(fleet.front).await.expect("the proxy listens");
        RawClient { stream, read: Vec::new() }
    }

    pub async fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).await.expect("the proxy reads");
    }

    /// Reads until this has come.
    pub async fn read_until(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.read).contains(text) {
            let more = timeout(PATIENCE, self.stream.read_buf(&mut self.read)).await;
            let count = more.unwrap_or_else(|_| panic!("it does not come: {text}")).expect("it is read");
            assert!(
                count > 0,
                "the connection ended before {text}: {}",
                String::from_utf8_lossy(&self.read)
            );
        }
    }

    /// Leaves, once the other side's machine is known to have been told.
    pub async fn leave(mut self) {
        const NOT_TOLD: [&str; 2] = ["04", "0B"]; // FIN-WAIT-1 and CLOSING: the end has not been acknowledged
        let port = self.stream.local_addr().expect("an address").port();
        self.stream.shutdown().await.expect("it can be closed");
        let is_told = || {
            let sockets = std::fs::read_to_string("/proc/net/tcp").expect("a list of sockets");
            !sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>()).any(|socket| {
                socket.len() > 3
                    && socket[1].ends_with(&format!(":{port:04X}"))
                    && NOT_TOLD.contains(&socket[3])
            })
        };
        while !is_told() {
            tokio::task::yield_now().await;
        }
    }

    /// Reads until the connection ends.
    pub async fn read_to_end(&mut self) -> String {
        let end = timeout(PATIENCE, self.stream.read_to_end(&mut self.read)).await.expect("it ends");
        let _ = end; // by a reset or by an end
        String::from_utf8_lossy(&self.read).into_owned()
    }
}

/// A configuration of these routes.
pub fn config(version: u64, routes: &[String]) -> String {
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"llm","connLimit":370}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerMs":3000,"idleMs":15000}}}}"#
    )
}

/// A proxy with an agent of the test's own.
pub struct Fleet {
    pub gossip: Rc<Gossip>,
    pub front: SocketAddrV4,
    pub ready: SocketAddrV4,
    pub child: Child,
    settings: std::path::PathBuf,
    log: Mutex<Lines<BufReader<ChildStderr>>>,
}

/// An answer as a client saw it.
#[derive(Debug)]
pub struct Got {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// What came of the body.
    pub body: String,
    /// It came to its end.
    pub whole: bool,
}

impl Fleet {
    /// Starts a proxy, and waits until it serves these routes with these endpoints.
    pub async fn start(routes: &[String], stands: &[&Stand]) -> Self {
        Self::start_with(routes, stands, "bounds.retrySlack=56\n").await
    }

    /// The same with more settings, each with its line's end.
    pub async fn start_with(routes: &[String], stands: &[&Stand], more: &str) -> Self {
        Self::start_with_mutant(routes, stands, more, None).await
    }

    /// The same with an error planted in the proxy.
    pub async fn start_with_mutant(
        routes: &[String],
        stands: &[&Stand],
        more: &str,
        mutant: Option<&str>,
    ) -> Self {
        let fleet = Self::start_unconfigured(more, mutant).await;
        fleet.configure(1, routes).await;
        fleet
            .gossip
            .merge(stands.iter().map(|stand| stand.record(EndpointState::Ready, 1)).collect(), None);
        if !stands.is_empty() {
            fleet.logged("endpoints.ready", &format!("\"count\":{}", stands.len())).await;
        }
        fleet
    }

    /// A proxy that knows neither a configuration nor endpoints.
    pub async fn start_unconfigured(more: &str, mutant: Option<&str>) -> Self {
        let ip = own_ip();
        let (front, ready) = (SocketAddrV4::new(ip, 8144), SocketAddrV4::new(ip, 8140));
        let logger = json_logger("agent-of-the-test", "test");
        let hello =
            Hello { wire: WIRE_VERSION, role: Role::Agent, node: "test".into(), member: Member::none() };
        let gossip = Gossip::new(hello, Duration::from_millis(1200), logger, Box::new(()));
        let feed = free_port_after(&gossip).await;
        spawn_local(gossip.clone().run());
        let settings = std::env::temp_dir().join(format!("proxy-{}-{ip}.conf", std::process::id()));
        let text = format!(
            "node=edge-1\nip={ip}\nzone=a\nlisten.front={front}\nlisten.ready={ready}\nportRange={},{}\nseeds=\n\
             beatPeriodMs=1200\nbounds.graceS=4\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\n{more}",
            feed - 1,
            feed + 10
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_runtrack-proxy"))
            .env("RUNTRACK_NODE_FILE", &settings)
            .env("RUNTRACK_MUTANT", mutant.unwrap_or_default())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the proxy starts");
        let log = BufReader::new(child.stderr.take().expect("its log")).lines();
        Fleet { gossip, front, ready, child, settings, log: Mutex::new(log) }
    }

    /// Waits until the proxy accepts clients.
    pub async fn listens(&self) {
        let connected = async {
            while TcpStream::connect(self.front).await.is_err() {
                tokio::task::yield_now().await;
            }
        };
        timeout(PATIENCE, connected).await.expect("the proxy listens");
    }

    /// Lets time pass by a request whose body does not come: it is refused at the time limit of its route.
    pub async fn outlast(&self, path: &str) {
        let mut client = RawClient::connect(self).await;
        let complete = request(path, "outlast", "", "body");
        client.write(&complete[..complete.len() - 1]).await;
        client.read_until("HTTP/1.1 408").await;
    }

    /// Puts a configuration in force.
    pub async fn configure(&self, version: u64, routes: &[String]) {
        self.gossip.take_config(version, config(version, routes).into_bytes());
        self.logged("config.in_force", &format!("\"version\":{version}")).await;
    }

    /// Waits until the proxy has logged this event with this in it.
    pub async fn logged(&self, event: &str, with: &str) {
        let event = format!("\"event\":\"{event}\"");
        let mut log = self.log.lock().await;
        let wait = async {
            while let Some(line) = log.next_line().await.expect("the log can be read") {
                if line.contains(&event) && line.contains(with) {
                    return;
                }
            }
            panic!("the proxy ended before it logged {event}");
        };
        timeout(PATIENCE, wait).await.unwrap_or_else(|_| panic!("nothing logged: {event} {with}"));
    }

    /// A client's request on a connection of its own.
    pub async fn ask(&self, path: &str, id: &str, headers: &[(&str, &str)], body: &str) -> Got {
        let stream = TcpStream::connect(self.front).await.expect("the proxy listens");
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("a connection");
        let serving = spawn_local(async move {
            let _ = connection.await;
        });
        let got = self.ask_on(&mut sender, path, id, headers, body).await;
        serving.abort();
        got
    }

    /// A client's request on a connection that is kept.
    pub async fn ask_on(
        &self,
        sender: &mut hyper::client::conn::http1::SendRequest<Full<Bytes>>,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Got {
        let mut request = Request::post(path).header("host", "h.example");
        if !id.is_empty() {
            request = request.header("x-attempt-id", id);
        }
        if !headers.iter().any(|(name, _)| *name == "x-time-budget-ms") {
            request = request.header("x-time-budget-ms", "8000");
        }
        for (name, value) in headers {
            request = request.header(
                name.parse::<HeaderName>().expect("a name"),
                HeaderValue::from_str(value).expect("a value"),
            );
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).expect("a request");
        let response =
            timeout(PATIENCE, sender.send_request(request)).await.expect("an answer").expect("an answer");
        let (head, mut rest) = response.into_parts();
        let (mut read, mut whole) = (Vec::new(), true);
        while let Some(frame) = timeout(PATIENCE, rest.frame()).await.expect("the answer goes on") {
            match frame {
                Ok(frame) => read.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        let body = String::from_utf8_lossy(&read).into_owned();
        Got { status: head.status, headers: head.headers, body, whole }
    }

    /// Whether the platform would send clients here.
    pub async fn is_ready(&self) -> bool {
        let mut stream = TcpStream::connect(self.ready).await.expect("the proxy listens");
        let request = "GET /runtrack/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.expect("it is read");
        let mut answer = String::new();
        timeout(PATIENCE, stream.read_to_string(&mut answer)).await.expect("an answer").expect("an answer");
        answer.starts_with("HTTP/1.1 200")
    }

    /// Sends the proxy SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends the proxy SIGHUP.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Stops the proxy's process, and waits until it stands still.
    pub async fn freeze(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id().expect("it runs"));
        while !std::fs::read_to_string(&stat).expect("its state").contains(") T ") {
            tokio::task::yield_now().await;
        }
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.id().expect("it runs");
        let pid = rustix::process::Pid::from_raw(id as i32).expect("a process");
        rustix::process::kill_process(pid, signal).expect("it can be told");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Listens as an agent does, at a port that is free.
async fn free_port_after(gossip: &Rc<Gossip>) -> u16 {
    loop {
        let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let port = probe.local_addr().expect("an address").port();
        drop(probe);
        if listen(gossip.clone(), SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)).await.is_ok() {
            return port;
        }
    }
}
