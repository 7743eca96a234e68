//! A listener at an agent's feed: it says that it is a proxy, asks for what the agent has, and notes what it is told.

use super::cluster::Cluster;
use super::history::{Did, State};
use super::operator::version_of;
use runtrack_message::{
    Endpoint, EndpointState, Hello, MAX_FRAME, Member, Message, PLACEMENT_WIRE_VERSION, Role, decode,
    encode,
};
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

/// Wait before an agent that is down is dialled again.
const REDIAL: Duration = Duration::from_millis(50);
/// A sign of life goes out this often.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Ranges of endpoint records: digests that match none ask for all of them.
const RANGES: usize = 256;

/// Listens to an agent until the round is over.
pub async fn listen(cluster: Arc<Cluster>, agent: usize) {
    while !cluster.is_over() {
        let life = cluster.life(agent);
        if let Ok(stream) = TcpStream::connect(cluster.feed(agent)).await {
            let (reader, writer) = stream.into_split();
            let (asks, asked) = tokio::sync::mpsc::unbounded_channel();
            let mut tasks = JoinSet::new();
            tasks.spawn(speak(writer, asked));
            let listener = Listener {
                cluster: cluster.clone(),
                agent,
                life,
                version: 0,
                heard: BTreeSet::new(),
                asks,
            };
            let _ = listener.hear(reader).await; // the agent is down, or the round is over
        }
        sleep(REDIAL).await;
    }
}

async fn write(writer: &mut OwnedWriteHalf, message: &Message) -> io::Result<()> {
    let payload = encode(message).map_err(io::Error::other)?;
    writer.write_u32_le(payload.len() as u32).await?;
    writer.write_all(&payload).await
}

/// Says who listens, sends signs of life, and asks for configurations newer than those versions.
async fn speak(
    mut writer: OwnedWriteHalf,
    mut asked: tokio::sync::mpsc::UnboundedReceiver<u64>,
) -> io::Result<()> {
    let hello = Hello {
        wire: PLACEMENT_WIRE_VERSION,
        role: Role::Proxy,
        node: "rig".into(),
        member: Member::none(),
    };
    write(&mut writer, &Message::Hello(hello)).await?;
    let mut ticks = interval(PING_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                write(&mut writer, &Message::Ping).await?;
                write(&mut writer, &Message::RangeDigests(vec![0; RANGES].into())).await?;
            }
            version = asked.recv() => match version {
                Some(version) => write(&mut writer, &Message::Fetch(version)).await?,
                None => return Ok(()),
            },
        }
    }
}

struct Listener {
    cluster: Arc<Cluster>,
    agent: usize,
    life: u64,
    version: u64,
    heard: BTreeSet<(String, State)>,
    asks: tokio::sync::mpsc::UnboundedSender<u64>,
}

impl Listener {
    async fn hear(mut self, mut reader: OwnedReadHalf) -> io::Result<()> {
        while !self.cluster.is_over() {
            let length = reader.read_u32_le().await? as usize;
            if length > MAX_FRAME {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let mut frame = vec![0; length];
            reader.read_exact(&mut frame).await?;
            // Kinds that this listener does not know are none of its business.
            if let Ok(message) = decode(&frame) {
                self.take(message);
            }
        }
        Ok(())
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::StateSummary(summary) if summary.version > self.version => {
                let _ = self.asks.send(self.version);
            }
            Message::Config(config) => {
                let version = version_of(&String::from_utf8_lossy(config.body.as_slice()));
                self.version = config.version;
                self.note(Did::Told { agent: self.agent, life: self.life, version });
            }
            Message::Entries(records) => records.items().iter().for_each(|record| self.take_record(record)),
            _ => {}
        }
    }

    fn take_record(&mut self, record: &Endpoint) {
        let state = match record.state {
            EndpointState::Ready => return,
            EndpointState::Draining => State::Draining,
            EndpointState::Gone => State::Gone,
        };
        let endpoint = record.id.as_string();
        if self.heard.insert((endpoint.clone(), state)) {
            self.note(Did::Heard { agent: self.agent, life: self.life, endpoint, state });
        }
    }

    fn note(&self, did: Did) {
        self.cluster.history.now_that(&format!("a{}", self.agent), did);
    }
}
