//! A client of an agent's feed: it connects as a proxy, fetches configurations and records what the agent reports.

use super::cluster::Cluster;
use super::history::{EventKind, State};
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

/// Delay before reconnecting to an agent.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Interval of pings.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Ranges of endpoint records; digests that match none request all records.
const DIGEST_RANGES: usize = 256;

/// Follows an agent's feed until the round is over.
pub async fn listen(cluster: Arc<Cluster>, agent: usize) {
    while !cluster.is_stopping() {
        let incarnation = cluster.incarnation(agent);
        if let Ok(stream) = TcpStream::connect(cluster.feed_address(agent)).await {
            let (reader, writer) = stream.into_split();
            let (fetch_sender, fetches) = tokio::sync::mpsc::unbounded_channel();
            let mut tasks = JoinSet::new();
            tasks.spawn(send_requests(writer, fetches));
            let listener = Listener {
                cluster: cluster.clone(),
                agent,
                incarnation,
                version: 0,
                reported: BTreeSet::new(),
                fetch_sender,
            };
            let _ = listener.receive(reader).await; // the agent is down, or the round is over
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn write(writer: &mut OwnedWriteHalf, message: &Message) -> io::Result<()> {
    let payload = encode(message).map_err(io::Error::other)?;
    writer.write_u32_le(payload.len() as u32).await?;
    writer.write_all(&payload).await
}

/// Sends the hello, periodic pings, and requests for configurations newer than the versions received from `fetches`.
async fn send_requests(
    mut writer: OwnedWriteHalf,
    mut fetches: tokio::sync::mpsc::UnboundedReceiver<u64>,
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
                write(&mut writer, &Message::RangeDigests(vec![0; DIGEST_RANGES].into())).await?;
            }
            version = fetches.recv() => match version {
                Some(version) => write(&mut writer, &Message::Fetch(version)).await?,
                None => return Ok(()),
            },
        }
    }
}

struct Listener {
    cluster: Arc<Cluster>,
    agent: usize,
    incarnation: u64,
    version: u64,
    reported: BTreeSet<(String, State)>,
    fetch_sender: tokio::sync::mpsc::UnboundedSender<u64>,
}

impl Listener {
    async fn receive(mut self, mut reader: OwnedReadHalf) -> io::Result<()> {
        while !self.cluster.is_stopping() {
            let length = reader.read_u32_le().await? as usize;
            if length > MAX_FRAME {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let mut frame = vec![0; length];
            reader.read_exact(&mut frame).await?;
            // Messages of kinds unknown to this client are ignored.
            if let Ok(message) = decode(&frame) {
                self.handle(message);
            }
        }
        Ok(())
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::StateSummary(summary) if summary.version > self.version => {
                let _ = self.fetch_sender.send(self.version);
            }
            Message::Config(config) => {
                let version = version_of(&String::from_utf8_lossy(config.body.as_slice()));
                self.version = config.version;
                self.record(EventKind::Told { agent: self.agent, life: self.incarnation, version });
            }
            Message::Entries(records) => {
                records.items().iter().for_each(|record| self.handle_record(record))
            }
            _ => {}
        }
    }

    fn handle_record(&mut self, record: &Endpoint) {
        let state = match record.state {
            EndpointState::Ready => return,
            EndpointState::Draining => State::Draining,
            EndpointState::Gone => State::Gone,
        };
        let endpoint = record.id.as_string();
        if self.reported.insert((endpoint.clone(), state)) {
            self.record(EventKind::Heard { agent: self.agent, life: self.incarnation, endpoint, state });
        }
    }

    fn record(&self, observation: EventKind) {
        self.cluster.history.record_now(&format!("a{}", self.agent), observation);
    }
}
