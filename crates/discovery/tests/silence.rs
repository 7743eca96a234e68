//! A watch that falls silent at any point of its opening is opened anew soon enough, on a paused clock, and what it brings
//! is understood in whatever pieces it comes.

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

/// What a silent watch misses counts as told so long after it fell silent.
const TOLD: Duration = Duration::from_secs(6);

struct Wire(DuplexStream);

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Wire {
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

impl Connection for Wire {
    fn peek_status(&self) -> PeekStatus {
        PeekStatus::Empty
    }
}

/// What a connection to discovery does.
#[derive(Clone, Debug)]
enum Does {
    /// It never comes up.
    Hangs,
    /// No answer comes.
    Mute,
    /// The head comes, and nothing behind it.
    HeadAlone,
    /// These pieces come as the body, and then nothing.
    Body(Vec<String>),
    /// The same, and an empty line every two seconds.
    Alive(Vec<String>),
    /// The head comes after so long, with the first half of this.
    LateAndHalf(Duration, String),
    /// This comes as the whole body.
    Whole(String),
}

/// Answers one connection after the other as the script says, the last one for ever.
struct Scripted(RefCell<Vec<Does>>, UnboundedSender<String>);

impl Network for Scripted {
    fn connect(&self, _: SocketAddr) -> Connecting {
        let mut script = self.0.borrow_mut();
        let does = if script.len() > 1 { script.remove(0) } else { script[0].clone() };
        let asked = self.1.clone();
        Box::pin(async move {
            if matches!(does, Does::Hangs) {
                std::future::pending::<()>().await;
            }
            let (ours, theirs) = duplex(1 << 16);
            spawn_local(play(theirs, does, asked));
            Ok(Box::new(Wire(ours)) as Box<dyn Connection>)
        })
    }

    fn listen(&self, _: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

async fn play(mut stream: DuplexStream, does: Does, asked: UnboundedSender<String>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    let line = String::from_utf8_lossy(&head).lines().next().unwrap_or_default().to_owned();
    let _ = asked.send(line);
    let (pieces, alive) = match does {
        Does::Hangs | Does::Mute => return std::future::pending().await,
        Does::Whole(text) => {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            let _ = stream.write_all(answer.as_bytes()).await;
            return;
        }
        Does::LateAndHalf(wait, text) => {
            sleep(wait).await;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            let _ = stream.write_all(format!("{head}{}", &text[..text.len() / 2]).as_bytes()).await;
            return std::future::pending().await;
        }
        Does::HeadAlone => (Vec::new(), false),
        Does::Body(pieces) => (pieces, false),
        Does::Alive(pieces) => (pieces, true),
    };
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
    for piece in pieces {
        let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
        let _ = stream.write_all(chunk.as_bytes()).await;
        tokio::task::yield_now().await;
    }
    if !alive {
        return std::future::pending().await;
    }
    loop {
        sleep(Duration::from_secs(2)).await;
        if stream.write_all(b"1\r\n\n\r\n").await.is_err() {
            return;
        }
    }
}

/// Lists as they were told, and when, and what was asked. A caller that has to ask does so at once after a failure.
fn told(
    mode: WatchMode,
    script: Vec<Does>,
    seed: u64,
    lasts: Duration,
) -> (Vec<(Duration, List)>, Vec<String>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        let (asked, mut questions) = unbounded_channel();
        let network = Rc::new(Scripted(RefCell::new(script), asked));
        let (calls, taken) = unbounded_channel();
        let (start, lists) = (Instant::now(), Rc::<RefCell<Vec<(Duration, List)>>>::default());
        let (noted, again) = (lists.clone(), calls.clone());
        let client = Client::new(network, ([127, 0, 0, 1], 1).into(), mode, seed, move |told| match told {
            Update::List(list) => noted.borrow_mut().push((start.elapsed(), list)),
            Update::Failed(_) if mode == WatchMode::OnRequest => {
                drop(again.send(ClientCommand::Watch(true)))
            }
            Update::Failed(_) | Update::Unchanged => {}
        });
        client.resume_from(7);
        let _ = calls.send(ClientCommand::Watch(true));
        spawn_local(client.run(taken));
        sleep(lasts).await;
        let questions = std::iter::from_fn(|| questions.try_recv().ok()).collect();
        let lists = lists.borrow().clone();
        (lists, questions)
    })
}

fn target() -> &'static str {
    "{\"uid\":\"s-1\",\"endpoint\":\"10.0.0.1:7070\",\"az\":\"a\",\"state\":\"draining\"}"
}

fn line(rev: u64, all: bool) -> String {
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}\n", target())
}

fn changes(rev: u64) -> Does {
    Does::Alive(vec![line(rev, false)])
}

#[test]
fn wherever_a_watch_falls_silent_what_it_misses_is_told_within_its_time() {
    for mode in [WatchMode::LocalAgent, WatchMode::OnRequest] {
        for seed in 0..50 {
            let quiet = [
                Does::HeadAlone,
                Does::Body(vec![line(8, false)]),
                Does::Body(vec![line(8, false), "{\"rev\":9,\"all\":fal".to_owned()]),
                Does::Body(vec![line(8, false), "\n".to_owned()]),
            ];
            for first in quiet {
                // It falls silent at the start of this world, and what is opened after it tells.
                let (lists, _) = told(mode, vec![first.clone(), changes(9)], seed, TOLD);
                let nine = lists.iter().find(|(_, list)| list.rev == 9);
                assert!(nine.is_some(), "{mode:?} {seed} {first:?}: {lists:?}");
            }
        }
    }
}

#[test]
fn with_an_agent_the_first_silence_may_be_mended_in_vain_once() {
    for seed in 0..50 {
        for second in [Does::Hangs, Does::Mute] {
            let script = vec![Does::Body(vec![line(8, false)]), second.clone(), changes(9)];
            let (lists, _) = told(WatchMode::LocalAgent, script, seed, TOLD);
            assert!(lists.iter().any(|(_, list)| list.rev == 9), "{seed} {second:?}: {lists:?}");
        }
    }
}

#[test]
fn an_agent_that_was_silent_for_long_is_heard_as_soon_as_it_speaks() {
    for seed in 0..20 {
        let mut script = vec![Does::Mute; 20];
        script.push(changes(9));
        let (lists, asked) = told(WatchMode::LocalAgent, script, seed, Duration::from_secs(60));
        assert!(lists.len() == 1 && asked.len() == 21);
        let longest = Duration::from_millis(20 * (1000 + 375));
        assert!(lists[0].0 <= longest, "{seed}: the waits do not grow: {:?}", lists[0].0);
    }
}

#[test]
fn lists_are_understood_laid_out_over_lines_several_in_one_and_in_any_pieces() {
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
        let script = vec![Does::Alive(pieces.clone())];
        let (lists, asked) = told(WatchMode::LocalAgent, script, 1, Duration::from_secs(1));
        let revs: Vec<u64> = lists.iter().map(|(_, list)| list.rev).collect();
        assert_eq!((revs, asked.len()), (expected.clone(), 1), "{pieces:?}");
        assert!(lists.iter().all(|(_, list)| list.targets.len() == 1));
    }
}

#[test]
fn a_list_that_breaks_off_does_not_hold_up_those_behind_it() {
    // Empty lines keep the watch alive: nobody else would ever look at what came before them.
    let all = [
        "{\"rev\":9,\"all\":false,\"targets\":[\n",
        "{\"rev\":9,\n  \"all\": fal",
        "nonsense\n",
        "{}\n",
        "7\n",
    ];
    for broken in all {
        let script = vec![Does::Alive(vec![line(8, false), broken.to_owned()]), changes(10)];
        let (lists, asked) = told(WatchMode::LocalAgent, script, 3, TOLD);
        assert_eq!(lists.last().map(|(_, list)| list.rev), Some(10), "{broken:?}: {lists:?}");
        assert_eq!(asked[1], "GET /api/targets?watch=1&after=8 HTTP/1.1", "nothing was skipped");
    }
}

#[test]
fn versions_that_go_back_are_another_servers_and_the_whole_list_is_asked_for() {
    let (lists, asked) = told(WatchMode::LocalAgent, vec![changes(3)], 5, Duration::from_secs(1));
    assert_eq!(asked[0], "GET /api/targets?watch=1&after=7 HTTP/1.1");
    assert_eq!(asked[1], "GET /api/targets HTTP/1.1", "{lists:?}");
}

/// With a new configuration discovery is at another address, where the whole list is asked for first. What that has to
/// tell counts as told 4 s later, also where its first answer falls silent in the middle.
#[test]
fn a_whole_list_that_falls_silent_in_the_middle_is_asked_for_anew_in_time() {
    for seed in 0..20 {
        let half = Does::LateAndHalf(Duration::from_millis(900), line(9, true));
        let script = vec![changes(3), half, Does::Whole(line(9, true)), Does::Alive(Vec::new())];
        let (lists, asked) = told(WatchMode::LocalAgent, script, seed, TOLD);
        let nine = lists.iter().find(|(_, list)| list.rev == 9).expect("the whole list");
        assert!(nine.0 < Duration::from_secs(4), "{seed}: {:?}", nine.0);
        assert_eq!(asked[1..3], ["GET /api/targets HTTP/1.1", "GET /api/targets HTTP/1.1"]);
    }
}
