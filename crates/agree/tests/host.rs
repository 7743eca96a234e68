//! Members as a service has them: threads, folders, gRPC on loopback.

mod support;

use runtrack_agree::command::Attribution;
use runtrack_agree::host::{self, Handle, RequestError, Settings};
use runtrack_agree::{Command, Identity, MemberChange, Node, Outcome, State, Tuning};
use runtrack_store::Folder;
use runtrack_testkit::{Folder as Place, free_port, until};
use std::net::SocketAddr;
use std::time::Duration;
use support::hold;
use tokio::task::JoinHandle;

const WITHIN: Duration = Duration::from_secs(15);

/// A member that runs, and the port that it listens at.
struct Member {
    _place: Place,
    at: SocketAddr,
    handle: Handle,
    server: JoinHandle<()>,
}

fn settings() -> Settings {
    let tuning = Tuning { heartbeat_ticks: 1, election_ticks: 10, log_bytes: 40_000 };
    Settings { tick: Duration::from_millis(20), tuning, ..Settings::default() }
}

fn run(place: &Place, at: SocketAddr) -> (Handle, JoinHandle<()>) {
    let folder = Folder::new(place.path()).expect("a folder");
    let (handle, peers) = host::start(folder, settings()).expect("a member");
    let server = tonic::transport::Server::builder().add_service(peers).serve(at);
    (handle, tokio::spawn(async move { server.await.expect("a free port") }))
}

impl Member {
    fn first() -> Member {
        let (place, at) = (Place::new(), SocketAddr::from(([127, 0, 0, 1], free_port())));
        let state = State::new("lineage-1", 7, "m1", &at.to_string(), "folder-1");
        Node::bootstrap(Folder::new(place.path()).expect("a folder"), support::identity(1), &state)
            .expect("made");
        let (handle, server) = run(&place, at);
        Member { _place: place, at, handle, server }
    }

    /// Adds one to a cluster, by an invitation of this member's.
    async fn invite(&self, member: u64) -> Member {
        let (place, at) = (Place::new(), SocketAddr::from(([127, 0, 0, 1], free_port())));
        let (name, ticket) = (format!("m{member}"), format!("ticket-{member}"));
        let change = MemberChange::Add { member, name, address: at.to_string(), ticket };
        self.handle.change(&format!("add-{member}"), change, WITHIN).await.expect("added");
        let identity = Identity { others: vec![(1, self.at.to_string())], ..support::identity(member) };
        Node::join(Folder::new(place.path()).expect("a folder"), identity).expect("made");
        let (handle, server) = run(&place, at);
        let told = || handle.view().state.as_ref().is_some_and(|state| state.members.contains_key(&member));
        until("it has heard of itself", told).await;
        Member { _place: place, at, handle, server }
    }

    async fn promote(&self, member: u64) {
        let change = MemberChange::Promote { member };
        for n in 0.. {
            match self.handle.change(&format!("promote-{member}-{n}"), change.clone(), WITHIN).await {
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
        let written = self.handle.write(&format!("hold-{n}"), hold(n), WITHIN).await.expect("written");
        assert_eq!(written.1, Outcome::Done);
    }

    fn held(&self) -> usize {
        self.handle.view().state.as_ref().map_or(0, |state| state.held.len())
    }
}

async fn three() -> [Member; 3] {
    let first = Member::first();
    let second = first.invite(2).await;
    let third = first.invite(3).await;
    first.promote(2).await;
    first.promote(3).await;
    [first, second, third]
}

#[tokio::test(flavor = "multi_thread")]
async fn three_members_decide_as_one_over_their_links() {
    let members = three().await;
    for (n, member) in members.iter().enumerate() {
        member.hold(n as u64).await; // through whichever member
    }
    // A repeat is answered at any member, and not run again.
    for member in &members {
        member.hold(0).await;
        let read = member.handle.read(WITHIN).await.expect("a majority");
        assert_eq!(read.held.len(), 3, "a read sees what was written before it");
    }
    until("all have it", || members.iter().all(|member| member.held() == 3)).await;
    let stranger =
        Command::Hold { pool: "p".into(), uid: "e".into(), held: false, by: Attribution::default() };
    let too_long = members[0].handle.write(&"x".repeat(100), stranger, WITHIN).await;
    assert!(matches!(too_long, Err(RequestError::Refused(_))), "{too_long:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn leadership_is_handed_over_and_a_lost_leader_is_replaced() {
    let members = three().await;
    members[1].handle.transfer(3, WITHIN).await.expect("handed over");
    until("it is known", || {
        members.iter().all(|m| m.handle.view().status.as_ref().is_some_and(|s| s.leader == 3))
    })
    .await;
    members[2].handle.stop();
    members[2].server.abort();
    members[0].hold(7).await;
    assert!(members[0].handle.has_majority());
    // The last one alone decides nothing, and says so.
    members[1].handle.stop();
    members[1].server.abort();
    until("it has noticed", || !members[0].handle.has_majority()).await;
    let alone = members[0].handle.write("alone", hold(8), Duration::from_millis(300)).await;
    assert_eq!(alone, Err(RequestError::OutcomeUnknown));
    assert!(members[0].handle.read(Duration::from_millis(300)).await.is_err());
    assert_eq!(members[0].held(), 1, "what was agreed is there");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_far_behind_fetches_a_snapshot_and_a_removed_one_is_told() {
    let members = three().await;
    let text = "z".repeat(20_000);
    for n in 0..8_u64 {
        let state = members[0].handle.read(WITHIN).await.expect("a majority");
        let command = support::commit(&state, &format!("{n}{text}"));
        let written = members[0].handle.write(&format!("v{n}"), command, WITHIN).await.expect("written");
        assert_eq!(written.1, Outcome::Committed(n + 1));
    }
    let late = members[0].invite(4).await;
    until("it has all", || late.handle.view().state.as_ref().is_some_and(|state| state.serial() == 8))
        .await;
    assert!(late.handle.view().status.as_ref().is_some_and(|status| status.snapshot > 1));
    members[0]
        .handle
        .change("remove-4", MemberChange::Remove { member: 4 }, WITHIN)
        .await
        .expect("removed");
    until("it is told", || {
        late.handle.view().removed.as_ref().is_some_and(|why| why.contains("was removed"))
    })
    .await;
    assert!(!late.handle.has_majority());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_folder_under_one_number_and_another_lineage_are_told_why_not() {
    let members = three().await;
    // The third one's folder is lost, and the invitation used again.
    members[2].handle.stop();
    members[2].server.abort();
    let problem_of = |handle: &Handle| {
        let view = handle.view();
        view.links.get(&1).and_then(|link| link.problem.clone()).unwrap_or_default()
    };
    let (place, at) = (Place::new(), SocketAddr::from(([127, 0, 0, 1], free_port())));
    let others = vec![(1, members[0].at.to_string())];
    let again = Identity { folder: "another".to_owned(), others: others.clone(), ..support::identity(3) };
    Node::join(Folder::new(place.path()).expect("a folder"), again).expect("made");
    let (handle, _server) = run(&place, at);
    until("it is refused", || problem_of(&handle).contains("belongs to another folder")).await;
    let place = Place::new();
    let foreign = Identity { lineage: "lineage-2".to_owned(), others, ..support::identity(5) };
    Node::join(Folder::new(place.path()).expect("a folder"), foreign).expect("made");
    let at = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let (handle, _server) = run(&place, at);
    until("it is refused", || problem_of(&handle).contains("two clusters")).await;
    // And the cluster goes on.
    members[0].hold(1).await;
}
