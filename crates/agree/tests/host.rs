//! Members running as in production: on threads, with real folders and gRPC over loopback.

mod support;

use runtrack_agree::command::Attribution;
use runtrack_agree::host::{self, Handle, RequestError, Settings};
use runtrack_agree::{Command, Identity, MemberChange, Node, Outcome, State, Tuning};
use runtrack_store::Folder;
use runtrack_testkit::{TempDir, free_port, until};
use std::net::SocketAddr;
use std::time::Duration;
use support::hold;
use tokio::task::JoinHandle;

const TIMEOUT: Duration = Duration::from_secs(15);

/// A running member and the address that it listens on.
struct Member {
    _folder: TempDir,
    address: SocketAddr,
    handle: Handle,
    server: JoinHandle<()>,
}

fn settings() -> Settings {
    let tuning = Tuning { heartbeat_ticks: 1, election_ticks: 10, log_bytes: 40_000 };
    Settings { tick: Duration::from_millis(20), tuning, ..Settings::default() }
}

fn run(folder: &TempDir, address: SocketAddr) -> (Handle, JoinHandle<()>) {
    let folder = Folder::new(folder.path()).expect("a folder");
    let (handle, peers) = host::start(folder, settings()).expect("a member");
    let server = tonic::transport::Server::builder().add_service(peers).serve(address);
    (handle, tokio::spawn(async move { server.await.expect("a free port") }))
}

impl Member {
    fn first() -> Member {
        let (folder, address) = (TempDir::new(), SocketAddr::from(([127, 0, 0, 1], free_port())));
        let state = State::new("lineage-1", 7, "m1", &address.to_string(), "folder-1");
        Node::bootstrap(Folder::new(folder.path()).expect("a folder"), support::identity(1), &state)
            .expect("made");
        let (handle, server) = run(&folder, address);
        Member { _folder: folder, address, handle, server }
    }

    /// Adds a member to the cluster, by an invitation from this member.
    async fn invite(&self, member: u64) -> Member {
        let (folder, address) = (TempDir::new(), SocketAddr::from(([127, 0, 0, 1], free_port())));
        let (name, ticket) = (format!("m{member}"), format!("ticket-{member}"));
        let change = MemberChange::Add { member, name, address: address.to_string(), ticket };
        self.handle.change(&format!("add-{member}"), change, TIMEOUT).await.expect("added");
        let identity =
            Identity { others: vec![(1, self.address.to_string())], ..support::identity(member) };
        Node::join(Folder::new(folder.path()).expect("a folder"), identity).expect("made");
        let (handle, server) = run(&folder, address);
        let has_joined =
            || handle.view().state.as_ref().is_some_and(|state| state.members.contains_key(&member));
        until("it has heard of itself", has_joined).await;
        Member { _folder: folder, address, handle, server }
    }

    async fn promote(&self, member: u64) {
        let change = MemberChange::Promote { member };
        for n in 0.. {
            match self.handle.change(&format!("promote-{member}-{n}"), change.clone(), TIMEOUT).await {
                Ok(()) => return,
                Err(RequestError::Refused(why))
                    if why.contains("caught up") || why.contains("shown itself") =>
                {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                Err(why) => panic!("{why}"),
            }
        }
    }

    async fn hold(&self, n: u64) {
        let written = self.handle.write(&format!("hold-{n}"), hold(n), TIMEOUT).await.expect("written");
        assert_eq!(written.1, Outcome::Done);
    }

    fn held(&self) -> usize {
        self.handle.view().state.as_ref().map_or(0, |state| state.held.len())
    }
}

async fn three_members() -> [Member; 3] {
    let first = Member::first();
    let second = first.invite(2).await;
    let third = first.invite(3).await;
    first.promote(2).await;
    first.promote(3).await;
    [first, second, third]
}

#[tokio::test(flavor = "multi_thread")]
async fn three_members_replicate_writes_over_grpc() {
    let members = three_members().await;
    for (n, member) in members.iter().enumerate() {
        member.hold(n as u64).await; // any member accepts writes
    }
    // A repeat is answered at any member and not applied again.
    for member in &members {
        member.hold(0).await;
        let read = member.handle.read(TIMEOUT).await.expect("a majority");
        assert_eq!(read.held.len(), 3, "a read sees what was written before it");
    }
    until("all have it", || members.iter().all(|member| member.held() == 3)).await;
    let command =
        Command::Hold { pool: "p".into(), uid: "e".into(), held: false, by: Attribution::default() };
    let too_long = members[0].handle.write(&"x".repeat(100), command, TIMEOUT).await;
    assert!(matches!(too_long, Err(RequestError::Refused(_))), "{too_long:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn leadership_is_transferred_and_a_failed_leader_is_replaced() {
    let members = three_members().await;
    members[1].handle.transfer(3, TIMEOUT).await.expect("handed over");
    until("it is known", || {
        members.iter().all(|m| m.handle.view().status.as_ref().is_some_and(|s| s.leader == 3))
    })
    .await;
    members[2].handle.stop();
    members[2].server.abort();
    members[0].hold(7).await;
    assert!(members[0].handle.has_majority());
    // A single remaining member commits nothing, and reports that it has no majority.
    members[1].handle.stop();
    members[1].server.abort();
    until("it has noticed", || !members[0].handle.has_majority()).await;
    let alone = members[0].handle.write("alone", hold(8), Duration::from_millis(300)).await;
    assert_eq!(alone, Err(RequestError::OutcomeUnknown));
    assert!(members[0].handle.read(Duration::from_millis(300)).await.is_err());
    assert_eq!(members[0].held(), 1, "what was agreed is there");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lagging_member_fetches_a_snapshot_and_a_removed_member_is_notified() {
    let members = three_members().await;
    let text = "z".repeat(20_000);
    for n in 0..8_u64 {
        let state = members[0].handle.read(TIMEOUT).await.expect("a majority");
        let command = support::commit(&state, &format!("{n}{text}"));
        let written = members[0].handle.write(&format!("v{n}"), command, TIMEOUT).await.expect("written");
        assert_eq!(written.1, Outcome::Committed(n + 1));
    }
    let late = members[0].invite(4).await;
    until("it has all", || late.handle.view().state.as_ref().is_some_and(|state| state.serial() == 8))
        .await;
    assert!(late.handle.view().status.as_ref().is_some_and(|status| status.snapshot > 1));
    members[0]
        .handle
        .change("remove-4", MemberChange::Remove { member: 4 }, TIMEOUT)
        .await
        .expect("removed");
    until("it is told", || {
        late.handle.view().removed.as_ref().is_some_and(|why| why.contains("was removed"))
    })
    .await;
    assert!(!late.handle.has_majority());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_folder_with_the_same_id_and_a_foreign_lineage_are_refused_with_a_reason() {
    let members = three_members().await;
    // The third member's folder is lost, and its invitation is used again.
    members[2].handle.stop();
    members[2].server.abort();
    let problem_of = |handle: &Handle| {
        let view = handle.view();
        view.links.get(&1).and_then(|link| link.problem.clone()).unwrap_or_default()
    };
    let (folder, address) = (TempDir::new(), SocketAddr::from(([127, 0, 0, 1], free_port())));
    let others = vec![(1, members[0].address.to_string())];
    let again = Identity { folder: "another".to_owned(), others: others.clone(), ..support::identity(3) };
    Node::join(Folder::new(folder.path()).expect("a folder"), again).expect("made");
    let (handle, _server) = run(&folder, address);
    until("it is refused", || problem_of(&handle).contains("belongs to another folder")).await;
    let folder = TempDir::new();
    let foreign = Identity { lineage: "lineage-2".to_owned(), others, ..support::identity(5) };
    Node::join(Folder::new(folder.path()).expect("a folder"), foreign).expect("made");
    let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let (handle, _server) = run(&folder, address);
    until("it is refused", || problem_of(&handle).contains("two clusters")).await;
    // The cluster still accepts writes.
    members[0].hold(1).await;
}
