//! A call over HTTP to a controller.

use crate::fleet::config_body::config_of;
use crate::fleet::facts::{Answer, Asked, Call};
use crate::fleet::world::{World, caller_ip, control};
use crate::http::{Message, Reader};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A caller waits so long for its answer.
const GIVE_UP: Duration = Duration::from_millis(1200);
/// More that comes behind an answer is waited for.
const SURPLUS: Duration = Duration::from_millis(20);

/// What is sent.
pub struct Sending {
    /// Who calls, by the number of its address.
    pub caller: u32,
    /// Which core machine.
    pub core: u32,
    /// What is asked.
    pub asked: Asked,
    /// Path and method.
    pub first_line: String,
    /// The version that a configuration builds on.
    pub base: Option<u64>,
    /// The body.
    pub body: String,
    /// The connection is closed so long after the request was sent, whatever has come by then.
    pub leaves_after: Option<Duration>,
}

impl Sending {
    fn bytes(&self) -> Vec<u8> {
        let base = self.base.map(|base| format!("X-Base-Version: {base}\r\n")).unwrap_or_default();
        let Sending { first_line, body, .. } = self;
        format!(
            "{first_line} HTTP/1.1\r\nHost: control\r\nContent-Length: {}\r\n{base}\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

/// The current version, as a refusal for another base names it: the last number in its reason.
fn named(message: &Message) -> Option<u64> {
    let text = String::from_utf8_lossy(&message.body);
    text.split(|c: char| !c.is_ascii_digit()).filter_map(|digits| digits.parse().ok()).next_back()
}

fn answer_of(message: &Message) -> Answer {
    let status = message.status();
    Answer { status, config: config_of(&message.body), named: named(message).filter(|_| status == 412) }
}

/// Calls, notes all of it, and gives the answer.
pub async fn call(world: &World, sending: Sending) -> Option<Answer> {
    let began = world.now();
    let number = world.call_begins(Call {
        asked: sending.asked,
        core: sending.core,
        began,
        ended: None,
        connected: false,
        left: sending.leaves_after.is_some(),
        answer: None,
        surplus: false,
    });
    let until = Instant::now() + GIVE_UP;
    let answer = timeout_at(until, exchange(world, number, &sending)).await;
    if let Ok(Ok(answer)) = answer {
        return answer;
    }
    let now = world.now();
    world.call(number, |call| call.ended = call.ended.or(Some(now)));
    None
}

async fn exchange(world: &World, number: usize, sending: &Sending) -> io::Result<Option<Answer>> {
    let mut stream = world.wires.connect(caller_ip(sending.caller).into(), control(sending.core)).await?;
    world.call(number, |call| call.connected = true);
    stream.write_all(&sending.bytes()).await?;
    if let Some(leaves_after) = sending.leaves_after {
        sleep(leaves_after).await;
        return Ok(None);
    }
    let mut reader = Reader::default();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        reader.feed(&buffer[..count]);
        if let Ok(Some(message)) = reader.next_message() {
            let answer = answer_of(&message);
            if answer.config.is_some() {
                world.saw_config(&message.body);
            }
            let (now, told) = (world.now(), answer.clone());
            world.call(number, |call| (call.ended, call.answer) = (Some(now), Some(told)));
            let more = timeout(SURPLUS, stream.read(&mut buffer)).await;
            if reader.has_partial_message() || matches!(more, Ok(Ok(1..))) {
                world.call(number, |call| call.surplus = true);
            }
            return Ok(Some(answer));
        }
    }
}
