//! The platform's discovery, scripted: whole lists, watches, changes, outages.

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

/// Changes remembered for watches that begin behind; older ones are answered with the whole list.
const LOG_MOST: usize = 4096;

#[derive(Default)]
struct Held {
    rev: u64,
    targets: BTreeMap<String, Target>,
    log: VecDeque<(u64, Target)>,
    /// A whole list to give instead of the true one.
    list_override: Option<Vec<Target>>,
}

/// A stand-in for discovery; ends with its holder.
pub struct Discovery {
    /// Where it listens, also while it is down.
    pub address: SocketAddr,
    held: Arc<Mutex<Held>>,
    changed: watch::Sender<u64>,
    up: watch::Sender<bool>,
    _task: JoinSet<()>,
}

/// An endpoint that is up and old.
pub fn target(uid: &str, endpoint: SocketAddr, az: &str) -> Target {
    let (model, pod_group, capacity_hint, boot_ms) = (String::new(), 0, 1.0, 0.0);
    let (uid, az) = (uid.to_owned(), az.to_owned());
    Target { uid, endpoint, az, model, pod_group, state: State::Up, capacity_hint, boot_ms }
}

impl Discovery {
    /// Starts with these endpoints.
    pub async fn start(targets: Vec<Target>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port on loopback");
        let address = listener.local_addr().expect("a bound port");
        drop(listener); // down until brought up
        let held = Held {
            rev: 1,
            targets: targets.into_iter().map(|t| (t.uid.clone(), t)).collect(),
            ..Held::default()
        };
        let (held, changed, up) =
            (Arc::new(Mutex::new(held)), watch::Sender::new(1), watch::Sender::new(true));
        let mut task = JoinSet::new();
        task.spawn(run(address, held.clone(), changed.clone(), up.subscribe()));
        let discovery = Discovery { address, held, changed, up, _task: task };
        discovery.wait_up().await;
        discovery
    }

    async fn wait_up(&self) {
        let end = tokio::time::Instant::now() + crate::WAIT_TIMEOUT;
        while TcpStream::connect(self.address).await.is_err() {
            assert!(tokio::time::Instant::now() < end, "the stand-in for discovery never came up");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Goes down: connections break, new ones are refused. Changes go on being made, unheard.
    pub fn stop_serving(&self) {
        self.up.send_replace(false);
    }

    /// Is back, with all that changed meanwhile.
    pub async fn resume_serving(&self) {
        self.up.send_replace(true);
        self.wait_up().await;
    }

    /// Changes one endpoint; a removed one is gone from whole lists.
    pub fn change(&self, target: Target) {
        self.change_all([target]);
    }

    /// Changes several endpoints at once.
    pub fn change_all(&self, targets: impl IntoIterator<Item = Target>) {
        let mut held = self.held.lock().expect("no test panics while it holds this");
        held.rev += 1;
        let rev = held.rev;
        for target in targets {
            match target.state {
                State::Removed => drop(held.targets.remove(&target.uid)),
                _ => drop(held.targets.insert(target.uid.clone(), target.clone())),
            }
            held.log.push_back((rev, target));
        }
        while held.log.len() > LOG_MOST {
            held.log.pop_front();
        }
        drop(held);
        self.changed.send_replace(rev);
    }

    /// Marks an endpoint as draining.
    pub fn drain(&self, uid: &str) {
        let old = self.held.lock().expect("no test panics while it holds this").targets[uid].clone();
        self.change(Target { state: State::Draining, ..old });
    }

    /// From now on whole lists say this, and every watch is broken so that a whole list is asked for again; none:
    /// the truth again. With `rev` the version goes to that, even back.
    pub fn override_list(&self, list_override: Option<Vec<Target>>, rev: Option<u64>) {
        let mut held = self.held.lock().expect("no test panics while it holds this");
        held.list_override = list_override;
        held.rev = rev.unwrap_or(held.rev + 1);
        held.log.clear();
    }
}

async fn run(
    address: SocketAddr,
    held: Arc<Mutex<Held>>,
    changed: watch::Sender<u64>,
    mut up: watch::Receiver<bool>,
) {
    loop {
        if up.wait_for(|up| *up).await.is_err() {
            return;
        }
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an option that every system has");
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
                        connections.spawn(serve(stream, held.clone(), changed.subscribe()));
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

async fn serve(mut stream: TcpStream, held: Arc<Mutex<Held>>, mut changed: watch::Receiver<u64>) {
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
        let body =
            serde_json::to_string(&held.lock().expect("unpoisoned").whole()).expect("a list is JSON");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let _ = stream.write_all(answer.as_bytes()).await;
        return;
    }
    let after = path.rsplit("after=").next().and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut told: u64 = after;
    if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
        return;
    }
    let mut first = true;
    loop {
        changed.mark_unchanged();
        let news = held.lock().expect("unpoisoned").since(told);
        let line = match news {
            Some(list) if first || !list.targets.is_empty() => {
                told = list.rev;
                serde_json::to_string(&list).expect("a list is JSON") + "\n"
            }
            _ => "\n".to_owned(),
        };
        first = false;
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
        // An empty line every 2 s while nothing changes.
        if let Ok(Err(_)) = timeout(Duration::from_secs(2), changed.changed()).await {
            return;
        }
    }
}

impl Held {
    fn whole(&self) -> List {
        let targets =
            self.list_override.clone().unwrap_or_else(|| self.targets.values().cloned().collect());
        List { rev: self.rev, all: true, targets }
    }

    /// What changed after a version; the whole list where that is forgotten.
    fn since(&self, rev: u64) -> Option<List> {
        if rev > self.rev || self.log.front().is_none_or(|(first, _)| *first > rev + 1) && rev < self.rev {
            return Some(self.whole());
        }
        let targets = self.log.iter().filter(|(at, _)| *at > rev).map(|(_, t)| t.clone()).collect();
        Some(List { rev: self.rev, all: false, targets })
    }
}
