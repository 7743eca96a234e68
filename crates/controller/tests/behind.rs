//! A controller whose peer has a value under a higher ballot finds out what is chosen, once. The peer is played by the
//! test, in virtual time.

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

const PLAYED: usize = 2;
/// Long enough in virtual time for a controller to settle down.
const LONG: Duration = Duration::from_secs(10);
/// Rounds that a controller may take until it is on a ballot above the peer's.
const MAX_ROUNDS: u32 = 4;

/// What the played member says and sees.
#[derive(Default)]
struct Played {
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

/// Answers probes, and promises nothing.
async fn serve(me: Member, played: Rc<Played>, connection: Box<dyn Connection>) -> io::Result<()> {
    let (mut reader, mut writer) = split(connection);
    let hello = Hello { wire: WIRE_VERSION, role: Role::Controller, node: "played".into(), member: me };
    write(&mut writer, &Message::Hello(hello)).await?;
    loop {
        match read(&mut reader).await? {
            Message::Probe(number) => {
                let (accepted, unreachable) = (played.accepted.get(), Vec::new().into());
                write(&mut writer, &Message::ProbeReply(ProbeReply { number, accepted, unreachable }))
                    .await?;
            }
            Message::Request(_, RegisterRequest::Prepare { .. }) => {
                played.prepares.set(played.prepares.get() + 1);
            }
            _ => {}
        }
    }
}

async fn play(listener: Box<dyn Listener>, me: Member, played: Rc<Played>) {
    while let Ok(connection) = poll_fn(|cx| listener.poll_accept(cx)).await {
        spawn_local(serve(me, played.clone(), connection));
    }
}

#[test]
fn a_value_under_a_higher_ballot_elsewhere_is_looked_into_once() {
    run(async {
        let mut world = World::new(3, 4.0);
        let played = Rc::new(Played::default());
        let me = Member::new(world.link_address(PLAYED), 0);
        spawn_local(play(world.listen_for_links(PLAYED), me, played.clone()));
        for machine in 0..PLAYED {
            world.start(machine, true);
        }
        for machine in 0..PLAYED {
            world.logged(machine, "contact.majority", "").await;
        }
        world.replace_config(0, 0, 1).await;
        sleep(LONG).await;

        played.prepares.set(0);
        sleep(LONG).await;
        assert_eq!(played.prepares.get(), 0, "all is known: no rounds");

        played.accepted.set(Ballot { round: 1000, boot: 7 });
        sleep(LONG).await;
        let rounds = played.prepares.get();
        assert!((1..=2 * MAX_ROUNDS).contains(&rounds), "{rounds} rounds of two controllers");

        played.prepares.set(0);
        sleep(LONG).await;
        assert_eq!(played.prepares.get(), 0, "it was looked into");
    });
}
