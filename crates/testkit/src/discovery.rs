//! A fake of the platform's discovery service with complete lists, watches, changes and outages.

use runtrack_discovery::{List, State, Target};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Bound on the changes that are kept for watches; a watch that starts before them gets the complete list.
const MAX_LOGGED_CHANGES: usize = 4096;

#[derive(Default)]
struct Registry {
    rev: u64,
    targets: BTreeMap<String, Target>,
    log: VecDeque<(u64, Target)>,
    /// A list that is returned instead of the actual one.
    list_override: Option<Vec<Target>>,
}

/// A fake discovery service; stops when dropped.
pub struct Discovery {
    /// Address, unchanged while the service is stopped.
    pub address: SocketAddr,
    registry: Arc<Mutex<Registry>>,
    changed: watch::Sender<u64>,
    up: watch::Sender<bool>,
    _task: JoinSet<()>,
}

/// A target in state `Up` that booted long ago.
pub fn target(uid: &str, endpoint: SocketAddr, az: &str) -> Target {
    let (model, pod_group, capacity_hint, boot_ms) = (String::new(), 0, 1.0, 0.0);
    let (uid, az) = (uid.to_owned(), az.to_owned());
    Target { uid, endpoint, az, model, pod_group, state: State::Up, capacity_hint, boot_ms }
}

impl Discovery {
    /// Starts the service with these targets.
    pub async fn start(targets: Vec<Target>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port on loopback");
        let address = listener.local_addr().expect("a bound port");
        drop(listener); // only the port is needed; `run` listens on it
        let registry = Registry {
            rev: 1,
            targets: targets.into_iter().map(|t| (t.uid.clone(), t)).collect(),
            ..Registry::default()
        };
        let (registry, changed, up) =
            (Arc::new(Mutex::new(registry)), watch::Sender::new(1), watch::Sender::new(true));
        let mut task = JoinSet::new();
        task.spawn(run(address, registry.clone(), changed.clone(), up.subscribe()));
        let discovery = Discovery { address, registry, changed, up, _task: task };
        discovery.wait_up().await;
        discovery
    }

    async fn wait_up(&self) {
        let end = tokio::time::Instant::now() + crate::WAIT_TIMEOUT;
        while TcpStream::connect(self.address).await.is_err() {
            assert!(tokio::time::Instant::now() < end, "the fake discovery service did not start");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Stops serving: connections are closed and new ones refused. Changes are still recorded.
    pub fn stop_serving(&self) {
        self.up.send_replace(false);
    }

    /// Serves again, including the changes made meanwhile.
    pub async fn resume_serving(&self) {
        self.up.send_replace(true);
        self.wait_up().await;
    }

    /// Changes one target; a removed one is left out of complete lists.
    pub fn change(&self, target: Target) {
        self.change_all([target]);
    }

    /// Changes several targets in one revision.
    pub fn change_all(&self, targets: impl IntoIterator<Item = Target>) {
        let mut registry = self.registry.lock().expect("the lock is not poisoned");
        registry.rev += 1;
        let rev = registry.rev;
        for target in targets {
            match target.state {
                State::Removed => drop(registry.targets.remove(&target.uid)),
                _ => drop(registry.targets.insert(target.uid.clone(), target.clone())),
            }
            registry.log.push_back((rev, target));
        }
        while registry.log.len() > MAX_LOGGED_CHANGES {
            registry.log.pop_front();
        }
        drop(registry);
        self.changed.send_replace(rev);
    }

    /// Marks a target as draining.
    pub fn drain(&self, uid: &str) {
        let old = self.registry.lock().expect("the lock is not poisoned").targets[uid].clone();
        self.change(Target { state: State::Draining, ..old });
    }

    /// Makes complete lists return this list, or the actual one again for `None`. All watches then get a complete
    /// list. `rev` sets the revision, which may also go back; without it the revision increases.
    pub fn override_list(&self, list_override: Option<Vec<Target>>, rev: Option<u64>) {
        let mut registry = self.registry.lock().expect("the lock is not poisoned");
        registry.list_override = list_override;
        registry.rev = rev.unwrap_or(registry.rev + 1);
        registry.log.clear();
    }
}

async fn run(
    address: SocketAddr,
    registry: Arc<Mutex<Registry>>,
    changed: watch::Sender<u64>,
    mut up: watch::Receiver<bool>,
) {
    loop {
        if up.wait_for(|up| *up).await.is_err() {
            return;
        }
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("SO_REUSEADDR is supported");
        if socket.bind(address).is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        }
        let listener = socket.listen(64).expect("a bound port");
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections.spawn(serve(stream, registry.clone(), changed.subscribe()));
                    }
                }
                Some(_) = connections.join_next() => {}
                ended = up.wait_for(|up| !*up) => match ended {
                    Ok(_) => break,
                    Err(_) => return,
                },
            }
        }
    }
}

async fn serve(mut stream: TcpStream, registry: Arc<Mutex<Registry>>, mut changed: watch::Receiver<u64>) {
    let mut head = Vec::new();
    let mut bytes = [0; 4096];
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut bytes).await {
            Ok(n) if n > 0 => head.extend_from_slice(&bytes[..n]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let path = head.split(' ').nth(1).unwrap_or_default();
    if !path.contains("watch=1") {
        let body = serde_json::to_string(&registry.lock().expect("unpoisoned").complete_list())
            .expect("a list is JSON");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let _ = stream.write_all(answer.as_bytes()).await;
        return;
    }
    let after = path.rsplit("after=").next().and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut sent_rev: u64 = after;
    if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
        return;
    }
    let mut first = true;
    loop {
        changed.mark_unchanged();
        let update = registry.lock().expect("unpoisoned").changes_since(sent_rev);
        let line = match update {
            Some(list) if first || !list.targets.is_empty() => {
                sent_rev = list.rev;
                serde_json::to_string(&list).expect("a list is JSON") + "\n"
            }
            _ => "\n".to_owned(),
        };
        first = false;
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
        // An empty line is sent every 2 s while nothing changes.
        if let Ok(Err(_)) = timeout(Duration::from_secs(2), changed.changed()).await {
            return;
        }
    }
}

impl Registry {
    fn complete_list(&self) -> List {
        let targets =
            self.list_override.clone().unwrap_or_else(|| self.targets.values().cloned().collect());
        List { rev: self.rev, all: true, targets }
    }

    /// Changes after a revision, or the complete list if they are no longer kept.
    fn changes_since(&self, rev: u64) -> Option<List> {
        if rev > self.rev || self.log.front().is_none_or(|(first, _)| *first > rev + 1) && rev < self.rev {
            return Some(self.complete_list());
        }
        let targets = self.log.iter().filter(|(at, _)| *at > rev).map(|(_, t)| t.clone()).collect();
        Some(List { rev: self.rev, all: false, targets })
    }
}
