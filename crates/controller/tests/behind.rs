//! A controller whose peer reports a value under a higher ballot runs one catch-up, and no further rounds. The test
//! simulates the peer, in virtual time.

mod virtual_time;

use runtrack_message::{
    Ballot, Hello, Member, Message, ProbeReply, RegisterRequest, Role, WIRE_VERSION, decode, encode,
};
use runtrack_net::{Connection, Listener};
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, split};
use tokio::task::spawn_local;
use tokio::time::sleep;
use virtual_time::{World, run};

const FAKE_PEER: usize = 2;
/// Virtual time after which a controller has become idle.
const SETTLE_WAIT: Duration = Duration::from_secs(10);
/// Maximum number of rounds until a controller's ballot is above the peer's.
const MAX_ROUNDS: u32 = 4;

/// State of the simulated member.
#[derive(Default)]
struct FakePeer {
    accepted: Cell<Ballot>,
    prepares: Cell<u32>,
}

async fn write(writer: &mut (impl AsyncWriteExt + Unpin), message: &Message) -> io::Result<()> {
    let payload = encode(message).expect("a message");
    writer.write_u32_le(payload.len() as u32).await?;
    writer.write_all(&payload).await
}

async fn read(reader: &mut (impl AsyncReadExt + Unpin)) -> io::Result<Message> {
    let length = reader.read_u32_le().await?;
    let mut payload = vec![0; length as usize];
    reader.read_exact(&mut payload).await?;
    Ok(decode(&payload).expect("a message"))
}

/// Answers probes and counts prepares without replying to them.
async fn serve(me: Member, peer: Rc<FakePeer>, connection: Box<dyn Connection>) -> io::Result<()> {
    let (mut reader, mut writer) = split(connection);
    let hello = Hello { wire: WIRE_VERSION, role: Role::Controller, node: "played".into(), member: me };
    write(&mut writer, &Message::Hello(hello)).await?;
    loop {
        match read(&mut reader).await? {
            Message::Probe(number) => {
                let (accepted, unreachable) = (peer.accepted.get(), Vec::new().into());
                write(&mut writer, &Message::ProbeReply(ProbeReply { number, accepted, unreachable }))
                    .await?;
            }
            Message::Request(_, RegisterRequest::Prepare { .. }) => {
                peer.prepares.set(peer.prepares.get() + 1);
            }
            _ => {}
        }
    }
}

async fn accept_links(listener: Box<dyn Listener>, me: Member, peer: Rc<FakePeer>) {
    while let Ok(connection) = poll_fn(|cx| listener.poll_accept(cx)).await {
        spawn_local(serve(me, peer.clone(), connection));
    }
}

#[test]
fn a_higher_ballot_at_a_peer_triggers_one_catch_up() {
    run(async {
        let mut world = World::new(3, 4.0);
        let peer = Rc::new(FakePeer::default());
        let me = Member::new(world.link_address(FAKE_PEER), 0);
        spawn_local(accept_links(world.listen_for_links(FAKE_PEER), me, peer.clone()));
        for machine in 0..FAKE_PEER {
            world.start(machine, true);
        }
        for machine in 0..FAKE_PEER {
            world.wait_for_event(machine, "contact.majority", "").await;
        }
        world.replace_config(0, 0, 1).await;
        sleep(SETTLE_WAIT).await;

        peer.prepares.set(0);
        sleep(SETTLE_WAIT).await;
        assert_eq!(peer.prepares.get(), 0, "no rounds while nothing is new");

        peer.accepted.set(Ballot { round: 1000, boot: 7 });
        sleep(SETTLE_WAIT).await;
        let rounds = peer.prepares.get();
        assert!((1..=2 * MAX_ROUNDS).contains(&rounds), "{rounds} rounds of two controllers");

        peer.prepares.set(0);
        sleep(SETTLE_WAIT).await;
        assert_eq!(peer.prepares.get(), 0, "the higher ballot was resolved before");
    });
}
