//! Looks on at an agent as its proxy does, by the fleet's own messages, and notes each word.

use crate::fleet::config_body::config_of;
use crate::fleet::endpoint;
use crate::fleet::facts::Told;
use crate::fleet::host::Host;
use crate::fleet::world::{World, agent_ip, feed};
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

/// Wait before an agent is dialled again.
const REDIAL: Duration = Duration::from_millis(50);
/// An agent that says nothing for so long is dialled again.
const SILENCE: Duration = Duration::from_millis(1500);

type Stream = crate::net::Stream;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).little_endian().new_codec()
}

struct Writer {
    stream: WriteHalf<Stream>,
    codec: LengthDelimitedCodec,
}

impl Writer {
    /// Sends; whether the connection is still there.
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
    /// The next message; none at the end.
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
    life: u32,
    /// The newest version whose configuration has come.
    version: u64,
    /// Endpoints by their short names.
    names: BTreeMap<u64, usize>,
}

/// Looks on at an agent for the whole run.
pub async fn play(world: Rc<World>, agent: u32, host: Rc<Host>) {
    let endpoints = 0..world.script.endpoints.len();
    let names = endpoints.map(|number| (key_of(&endpoint::name(number)), number)).collect();
    let mut observer = Observer { world: world.clone(), agent, life: 0, version: 0, names };
    loop {
        if let Ok(stream) = world.wires.connect(agent_ip(agent).into(), feed(agent)).await {
            observer.life = host.life();
            observer.version = 0;
            observer.look(stream).await;
        }
        sleep(REDIAL).await;
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

    async fn look(&mut self, stream: Stream) {
        let (reader, writer) = split(stream);
        let mut reader = Reader { stream: reader, codec: codec(), buffer: BytesMut::new() };
        let mut writer = Writer { stream: writer, codec: codec() };
        // Nothing is there yet: the agent answers with what it has.
        let empty = Message::Digest(Digest { version: 0, digest: 0 });
        if !writer.send(&self.hello()).await || !writer.send(&empty).await {
            return;
        }
        let mut quiet = Duration::ZERO;
        while quiet < SILENCE {
            let next = timeout(PING_INTERVAL, reader.next()).await;
            let answer = match next {
                Ok(Some(message)) => {
                    quiet = Duration::ZERO;
                    self.note(message)
                }
                Ok(None) => return,
                Err(_) => {
                    quiet += PING_INTERVAL;
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

    fn tell(&self, told: Told) {
        self.world.told(self.agent, self.life, told);
    }

    /// Notes a word; what it is answered with.
    fn note(&mut self, message: Message) -> Option<Message> {
        match message {
            Message::StateSummary(summary) => {
                self.tell(Told::Version(summary.version));
                (summary.version > self.version).then_some(Message::Fetch(self.version))
            }
            Message::Config(config) => {
                self.version = self.version.max(config.version);
                if let Some((version, marker)) = config_of(config.body.as_slice()) {
                    self.tell(Told::Config(version, marker));
                    self.world.saw_config(config.body.as_slice());
                }
                None
            }
            Message::RangeDigests(_) => Some(Message::RangeDigests(Vec::new().into())),
            Message::Entries(records) => {
                records.into_vec().iter().for_each(|record| self.note_endpoint(record));
                None
            }
            Message::Suspects(keys) => {
                let silent = keys.items().iter().filter_map(|key| self.names.get(key).copied());
                self.tell(Told::Suspects(silent.collect()));
                None
            }
            Message::Ping => Some(Message::Ping),
            _ => None,
        }
    }

    fn note_endpoint(&self, record: &Endpoint) {
        if let Some(number) = self.names.get(&key_of(&record.id.as_string())) {
            self.tell(Told::Endpoint(*number, record.state as u8));
        }
    }
}
