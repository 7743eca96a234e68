//! An observer of an agent: connects as the agent's proxy does, speaks the same protocol, and records the
//! agent's messages.

use crate::fleet::config_body::parse_config;
use crate::fleet::endpoint;
use crate::fleet::facts::Report;
use crate::fleet::host::Host;
use crate::fleet::world::{World, agent_ip, feed_address};
use bytes::{Bytes, BytesMut};
use runtrack_link::PING_INTERVAL;
use runtrack_message::{
    Digest, Endpoint, Hello, MAX_FRAME, Member, Message, PLACEMENT_WIRE_VERSION, Role, decode, encode,
};
use runtrack_registry::key_of;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Delay before the observer connects again.
const REDIAL_DELAY: Duration = Duration::from_millis(50);
/// Time without a message after which the observer connects again.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

type Stream = crate::net::Stream;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).little_endian().new_codec()
}

struct Writer {
    stream: WriteHalf<Stream>,
    codec: LengthDelimitedCodec,
}

impl Writer {
    /// Sends a message; returns whether the connection is still open.
    async fn send(&mut self, message: &Message) -> bool {
        let Ok(payload) = encode(message) else { return false };
        let mut buffer = BytesMut::new();
        let framed = self.codec.encode(Bytes::from(payload), &mut buffer).is_ok();
        framed && self.stream.write_all_buf(&mut buffer).await.is_ok()
    }
}

struct Reader {
    stream: ReadHalf<Stream>,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Reader {
    /// The next message; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Message> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.buffer).ok()? {
                return decode(&frame).ok();
            }
            if self.stream.read_buf(&mut self.buffer).await.ok()? == 0 {
                return None;
            }
        }
    }
}

struct Observer {
    world: Rc<World>,
    agent: u32,
    start_number: u32,
    /// The newest version whose configuration has been received.
    newest_version: u64,
    /// Numbers of the endpoints, by the keys that agents use for them.
    endpoints_by_key: BTreeMap<u64, usize>,
}

/// Observes an agent for the whole run.
pub async fn run(world: Rc<World>, agent: u32, host: Rc<Host>) {
    let endpoints = 0..world.script.endpoints.len();
    let endpoints_by_key = endpoints.map(|number| (key_of(&endpoint::name(number)), number)).collect();
    let mut observer =
        Observer { world: world.clone(), agent, start_number: 0, newest_version: 0, endpoints_by_key };
    loop {
        if let Ok(stream) = world.network.connect(agent_ip(agent).into(), feed_address(agent)).await {
            observer.start_number = host.start_number();
            observer.newest_version = 0;
            observer.observe(stream).await;
        }
        sleep(REDIAL_DELAY).await;
    }
}

impl Observer {
    fn hello(&self) -> Message {
        Message::Hello(Hello {
            wire: PLACEMENT_WIRE_VERSION,
            role: Role::Proxy,
            node: format!("edge-{}", self.agent).as_str().into(),
            member: Member::none(),
        })
    }

    async fn observe(&mut self, stream: Stream) {
        let (reader, writer) = split(stream);
        let mut reader = Reader { stream: reader, codec: codec(), buffer: BytesMut::new() };
        let mut writer = Writer { stream: writer, codec: codec() };
        // An empty digest makes the agent send everything that it has.
        let empty = Message::Digest(Digest { version: 0, digest: 0 });
        if !writer.send(&self.hello()).await || !writer.send(&empty).await {
            return;
        }
        let mut idle = Duration::ZERO;
        while idle < IDLE_TIMEOUT {
            let next = timeout(PING_INTERVAL, reader.next()).await;
            let answer = match next {
                Ok(Some(message)) => {
                    idle = Duration::ZERO;
                    self.handle(message)
                }
                Ok(None) => return,
                Err(_) => {
                    idle += PING_INTERVAL;
                    Some(Message::Ping)
                }
            };
            if let Some(answer) = answer
                && !writer.send(&answer).await
            {
                return;
            }
        }
    }

    fn record(&self, report: Report) {
        self.world.record_report(self.agent, self.start_number, report);
    }

    /// Records a message; returns the reply to it, if any.
    fn handle(&mut self, message: Message) -> Option<Message> {
        match message {
            Message::StateSummary(summary) => {
                self.record(Report::Version(summary.version));
                (summary.version > self.newest_version).then_some(Message::Fetch(self.newest_version))
            }
            Message::Config(config) => {
                self.newest_version = self.newest_version.max(config.version);
                if let Some((version, marker)) = parse_config(config.body.as_slice()) {
                    self.record(Report::Config(version, marker));
                    self.world.record_lineage(config.body.as_slice());
                }
                None
            }
            Message::RangeDigests(_) => Some(Message::RangeDigests(Vec::new().into())),
            Message::Entries(records) => {
                records.into_vec().iter().for_each(|record| self.record_endpoint(record));
                None
            }
            Message::Suspects(keys) => {
                let suspects =
                    keys.items().iter().filter_map(|key| self.endpoints_by_key.get(key).copied());
                self.record(Report::Suspects(suspects.collect()));
                None
            }
            Message::Ping => Some(Message::Ping),
            _ => None,
        }
    }

    fn record_endpoint(&self, record: &Endpoint) {
        if let Some(number) = self.endpoints_by_key.get(&key_of(&record.id.as_string())) {
            self.record(Report::Endpoint(*number, record.state as u8));
        }
    }
}
