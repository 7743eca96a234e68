//! A control service as a child process that tests start, reload and kill.

use crate::ports::free_port;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A temporary folder; deleted when dropped.
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates an empty folder.
    pub fn new() -> TempDir {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("runtrack-test-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        TempDir(folder)
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file into the folder; returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file for the test");
        path
    }
}

impl Default for TempDir {
    fn default() -> Self {
        TempDir::new()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Sends one HTTP request with a JSON body, or an empty one, on a connection of its own; returns status code and body.
pub async fn http_request(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect(at).await?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    let cut = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(cut)?;
    let code = head.split(' ').nth(1).and_then(|code| code.parse().ok()).ok_or_else(cut)?;
    Ok((code, body.to_owned()))
}

/// Resident memory of a process in KiB; 0 if there is no such process.
pub fn memory_kib(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// A configuration with one pool `p` from the platform's discovery, and a listener with a route to it.
pub fn platform_fleet(discovery: SocketAddr, more: &str) -> String {
    format!(
        r#"
[rules]
warm_within = "0s"

[[class]]
name = "post"
semantics = "unsafe"
deadline = "1s"

[[pool]]
name = "p"
platform = "{discovery}"
{more}

[[listener]]
name = "front"
address = "127.0.0.1:8080"
api = true

[[listener.route]]
name = "all"
class = "post"
pool = "p"
"#
    )
}

/// A running control service; killed when dropped.
pub struct Control {
    binary: PathBuf,
    folder: TempDir,
    child: Option<Child>,
    /// Address for proxies (xDS).
    pub xds: SocketAddr,
    /// Address of the admin API.
    pub admin: SocketAddr,
}

impl Control {
    /// Starts a service with this configuration, additional settings, and with or without a state folder.
    pub async fn start(binary: &str, fleet: &str, settings: &str, disk: bool) -> Control {
        let folder = TempDir::new();
        folder.write("fleet.toml", fleet);
        Self::start_in(binary, folder, "fleet = \"fleet.toml\"\n", settings, disk).await
    }

    /// Starts a service that takes its desired state from the store in this folder.
    pub async fn start_on_store(binary: &str, store: &Path, settings: &str) -> Control {
        let from = format!("store = {:?}\n", store.display().to_string());
        Self::start_in(binary, TempDir::new(), &from, settings, true).await
    }

    async fn start_in(binary: &str, folder: TempDir, from: &str, settings: &str, disk: bool) -> Control {
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let (xds, admin) = (at(free_port()), at(free_port()));
        let state = if disk { "state = \"state\"\n" } else { "" };
        let text = format!("{from}listen = \"{xds}\"\nadmin = \"{admin}\"\n{state}{settings}");
        folder.write("control.toml", &text);
        let mut control = Control { binary: binary.into(), folder, child: None, xds, admin };
        control.launch().await;
        control
    }

    /// Starts the process, also again after [`kill`](Self::kill).
    pub async fn launch(&mut self) {
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.folder.path().join("log"));
        let child = Command::new(&self.binary)
            .args(["serve", "--config"])
            .arg(self.folder.path().join("control.toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("a file for the log"))
            .spawn();
        self.child = Some(child.expect("the control service starts"));
        let end = tokio::time::Instant::now() + crate::WAIT_TIMEOUT;
        while TcpStream::connect(self.admin).await.is_err() || TcpStream::connect(self.xds).await.is_err() {
            assert!(
                tokio::time::Instant::now() < end,
                "the control service did not start:\n{}",
                self.log()
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("it runs").id()
    }

    /// Writes the configuration and sends SIGHUP to the process.
    pub fn reload(&self, fleet: &str) {
        self.folder.write("fleet.toml", fleet);
        let sent = Command::new("kill").arg("-HUP").arg(self.pid().to_string()).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Content of the log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    /// Folder with configuration, state and log.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the response to `GET /status`.
    pub async fn status(&self) -> serde_json::Value {
        serde_json::from_str(&self.ask("GET", "/status").await.1).expect("the status is JSON")
    }

    /// Sends `POST` with an empty body to a path of the admin API; returns the status code.
    pub async fn post(&self, path: &str) -> u16 {
        self.ask("POST", path).await.0
    }

    async fn ask(&self, method: &str, path: &str) -> (u16, String) {
        http_request(self.admin, method, path, "").await.expect("the admin port answers")
    }

    /// Resident memory in KiB.
    pub fn memory_kib(&self) -> u64 {
        memory_kib(self.pid())
    }

    /// Processor time used, in seconds.
    pub fn cpu_s(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        let ticks = |i: usize| fields.get(i).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0 // clock ticks are hundredths of a second on Linux
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.kill();
    }
}
