//! The client reopens a watch that goes silent at any point, within the deadline (on a paused clock), and parses lists
//! in arbitrary chunks.

use runtrack_discovery::{Client, ClientCommand, List, Update, WatchMode};
use runtrack_net::{Connecting, Connection, Listener, Network, PeekStatus};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf, duplex};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// Changes must arrive within this time after a watch has gone silent.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);

struct DuplexConnection(DuplexStream);

impl AsyncRead for DuplexConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for DuplexConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl Connection for DuplexConnection {
    fn peek_status(&self) -> PeekStatus {
        PeekStatus::Empty
    }
}

/// How the server behaves on one connection.
#[derive(Clone, Debug)]
enum ServerBehavior {
    /// The connection is never established.
    NeverConnects,
    /// No response is sent.
    NoResponse,
    /// Only the response head is sent.
    HeadersOnly,
    /// These chunks are sent as the body, and then nothing.
    Body(Vec<String>),
    /// These chunks are sent, and then an empty line every two seconds.
    BodyWithKeepalive(Vec<String>),
    /// The head is sent after this delay, with the first half of this text.
    LatePartialBody(Duration, String),
    /// This text is sent as the complete body.
    FullBody(String),
}

/// Handles each connection by the next entry of the script, and repeats the last one.
struct ScriptedServer(RefCell<Vec<ServerBehavior>>, UnboundedSender<String>);

impl Network for ScriptedServer {
    fn connect(&self, _: SocketAddr) -> Connecting {
        let mut script = self.0.borrow_mut();
        let behavior = if script.len() > 1 { script.remove(0) } else { script[0].clone() };
        let requests = self.1.clone();
        Box::pin(async move {
            if matches!(behavior, ServerBehavior::NeverConnects) {
                std::future::pending::<()>().await;
            }
            let (ours, theirs) = duplex(1 << 16);
            spawn_local(serve(theirs, behavior, requests));
            Ok(Box::new(DuplexConnection(ours)) as Box<dyn Connection>)
        })
    }

    fn listen(&self, _: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

async fn serve(mut stream: DuplexStream, behavior: ServerBehavior, requests: UnboundedSender<String>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    let line = String::from_utf8_lossy(&head).lines().next().unwrap_or_default().to_owned();
    let _ = requests.send(line);
    let (pieces, keepalive) = match behavior {
        ServerBehavior::NeverConnects | ServerBehavior::NoResponse => return std::future::pending().await,
        ServerBehavior::FullBody(text) => {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            let _ = stream.write_all(answer.as_bytes()).await;
            return;
        }
        ServerBehavior::LatePartialBody(wait, text) => {
            sleep(wait).await;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            let _ = stream.write_all(format!("{head}{}", &text[..text.len() / 2]).as_bytes()).await;
            return std::future::pending().await;
        }
        ServerBehavior::HeadersOnly => (Vec::new(), false),
        ServerBehavior::Body(pieces) => (pieces, false),
        ServerBehavior::BodyWithKeepalive(pieces) => (pieces, true),
    };
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
    for piece in pieces {
        let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
        let _ = stream.write_all(chunk.as_bytes()).await;
        tokio::task::yield_now().await;
    }
    if !keepalive {
        return std::future::pending().await;
    }
    loop {
        sleep(Duration::from_secs(2)).await;
        if stream.write_all(b"1\r\n\n\r\n").await.is_err() {
            return;
        }
    }
}

/// Runs a client; returns the lists with the times of their arrival, and the request lines. With
/// `WatchMode::OnRequest` the caller retries at once after a failure.
fn run_client(
    mode: WatchMode,
    script: Vec<ServerBehavior>,
    seed: u64,
    duration: Duration,
) -> (Vec<(Duration, List)>, Vec<String>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        let (requests, mut requested) = unbounded_channel();
        let network = Rc::new(ScriptedServer(RefCell::new(script), requests));
        let (commands, command_receiver) = unbounded_channel();
        let (start, lists) = (Instant::now(), Rc::<RefCell<Vec<(Duration, List)>>>::default());
        let (recorded, retry) = (lists.clone(), commands.clone());
        let client =
            Client::new(network, ([127, 0, 0, 1], 1).into(), mode, seed, move |update| match update {
                Update::List(list) => recorded.borrow_mut().push((start.elapsed(), list)),
                Update::Failed(_) if mode == WatchMode::OnRequest => {
                    drop(retry.send(ClientCommand::Watch(true)))
                }
                Update::Failed(_) | Update::Unchanged => {}
            });
        client.resume_from(7);
        let _ = commands.send(ClientCommand::Watch(true));
        spawn_local(client.run(command_receiver));
        sleep(duration).await;
        let requested = std::iter::from_fn(|| requested.try_recv().ok()).collect();
        let lists = lists.borrow().clone();
        (lists, requested)
    })
}

fn target() -> &'static str {
    "{\"uid\":\"s-1\",\"endpoint\":\"10.0.0.1:7070\",\"az\":\"a\",\"state\":\"draining\"}"
}

fn line(rev: u64, all: bool) -> String {
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}\n", target())
}

fn changes(rev: u64) -> ServerBehavior {
    ServerBehavior::BodyWithKeepalive(vec![line(rev, false)])
}

#[test]
fn changes_missed_by_a_silent_watch_arrive_within_the_deadline() {
    for mode in [WatchMode::LocalAgent, WatchMode::OnRequest] {
        for seed in 0..50 {
            let silent_behaviors = [
                ServerBehavior::HeadersOnly,
                ServerBehavior::Body(vec![line(8, false)]),
                ServerBehavior::Body(vec![line(8, false), "{\"rev\":9,\"all\":fal".to_owned()]),
                ServerBehavior::Body(vec![line(8, false), "\n".to_owned()]),
            ];
            for first in silent_behaviors {
                // The watch goes silent at time 0; the next one delivers version 9.
                let (lists, _) = run_client(mode, vec![first.clone(), changes(9)], seed, DELIVERY_DEADLINE);
                let list_9 = lists.iter().find(|(_, list)| list.rev == 9);
                assert!(list_9.is_some(), "{mode:?} {seed} {first:?}: {lists:?}");
            }
        }
    }
}

#[test]
fn a_watch_of_the_agent_tolerates_one_failed_reopening_within_the_deadline() {
    for seed in 0..50 {
        for second in [ServerBehavior::NeverConnects, ServerBehavior::NoResponse] {
            let script = vec![ServerBehavior::Body(vec![line(8, false)]), second.clone(), changes(9)];
            let (lists, _) = run_client(WatchMode::LocalAgent, script, seed, DELIVERY_DEADLINE);
            assert!(lists.iter().any(|(_, list)| list.rev == 9), "{seed} {second:?}: {lists:?}");
        }
    }
}

#[test]
fn retries_against_a_silent_agent_have_no_growing_backoff() {
    for seed in 0..20 {
        let mut script = vec![ServerBehavior::NoResponse; 20];
        script.push(changes(9));
        let (lists, requests) = run_client(WatchMode::LocalAgent, script, seed, Duration::from_secs(60));
        assert!(lists.len() == 1 && requests.len() == 21);
        let longest = Duration::from_millis(20 * (1000 + 375));
        assert!(lists[0].0 <= longest, "{seed}: the backoff must not grow: {:?}", lists[0].0);
    }
}

#[test]
fn lists_are_parsed_across_lines_and_in_arbitrary_chunks() {
    let laid_out =
        format!("{{\n  \"rev\": 8,\n  \"all\": false,\n  \"targets\": [\n    {}\n  ]\n}}\n", target());
    let together = format!("  {}{}\t{}", line(9, false).trim_end(), line(10, false), line(11, false));
    let text = format!("\n{laid_out}\n\r\n{together}\n{}", line(12, true));
    let expected: Vec<u64> = (8..13).collect();
    let mut cuts: Vec<Vec<String>> =
        (1..text.len()).map(|at| vec![text[..at].to_owned(), text[at..].to_owned()]).collect();
    cuts.push(text.chars().map(String::from).collect());
    cuts.push(vec![text.clone()]);
    for pieces in cuts {
        let script = vec![ServerBehavior::BodyWithKeepalive(pieces.clone())];
        let (lists, requests) = run_client(WatchMode::LocalAgent, script, 1, Duration::from_secs(1));
        let revs: Vec<u64> = lists.iter().map(|(_, list)| list.rev).collect();
        assert_eq!((revs, requests.len()), (expected.clone(), 1), "{pieces:?}");
        assert!(lists.iter().all(|(_, list)| list.targets.len() == 1));
    }
}

#[test]
fn a_truncated_or_malformed_list_reopens_the_watch() {
    // Empty lines keep the watch from timing out, so the truncated list itself must end it.
    let all = [
        "{\"rev\":9,\"all\":false,\"targets\":[\n",
        "{\"rev\":9,\n  \"all\": fal",
        "nonsense\n",
        "{}\n",
        "7\n",
    ];
    for broken in all {
        let script =
            vec![ServerBehavior::BodyWithKeepalive(vec![line(8, false), broken.to_owned()]), changes(10)];
        let (lists, requests) = run_client(WatchMode::LocalAgent, script, 3, DELIVERY_DEADLINE);
        assert_eq!(lists.last().map(|(_, list)| list.rev), Some(10), "{broken:?}: {lists:?}");
        assert_eq!(requests[1], "GET /api/targets?watch=1&after=8 HTTP/1.1", "no version is skipped");
    }
}

#[test]
fn a_decreasing_version_causes_a_fetch_of_the_full_list() {
    let (lists, requests) = run_client(WatchMode::LocalAgent, vec![changes(3)], 5, Duration::from_secs(1));
    assert_eq!(requests[0], "GET /api/targets?watch=1&after=7 HTTP/1.1");
    assert_eq!(requests[1], "GET /api/targets HTTP/1.1", "{lists:?}");
}

/// After a change of discovery's address the client fetches the full list first. It must arrive within 4 s, even if the
/// first response stalls midway.
#[test]
fn a_full_list_that_stalls_midway_is_fetched_again_within_the_deadline() {
    for seed in 0..20 {
        let half = ServerBehavior::LatePartialBody(Duration::from_millis(900), line(9, true));
        let script = vec![
            changes(3),
            half,
            ServerBehavior::FullBody(line(9, true)),
            ServerBehavior::BodyWithKeepalive(Vec::new()),
        ];
        let (lists, requests) = run_client(WatchMode::LocalAgent, script, seed, DELIVERY_DEADLINE);
        let list_9 = lists.iter().find(|(_, list)| list.rev == 9).expect("the full list");
        assert!(list_9.0 < Duration::from_secs(4), "{seed}: {:?}", list_9.0);
        assert_eq!(requests[1..3], ["GET /api/targets HTTP/1.1", "GET /api/targets HTTP/1.1"]);
    }
}
