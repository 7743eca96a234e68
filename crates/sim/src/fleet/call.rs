//! A call over HTTP to a controller.

use crate::fleet::config_body::parse_config;
use crate::fleet::facts::{Answer, Call, CallKind};
use crate::fleet::world::{World, caller_ip, control_address};
use crate::http::{Message, Reader};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A caller waits so long for its answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// More that comes behind an answer is waited for.
const SURPLUS_WAIT: Duration = Duration::from_millis(20);

/// What is sent.
pub struct CallRequest {
    /// Who calls, by the number of its address.
    pub caller: u32,
    /// Which core machine.
    pub core: u32,
    /// What is asked.
    pub asked: CallKind,
    /// Path and method.
    pub method_and_path: String,
    /// The version that a configuration builds on.
    pub base: Option<u64>,
    /// The body.
    pub body: String,
    /// The connection is closed so long after the request was sent, whatever has come by then.
    pub disconnect_after: Option<Duration>,
}

impl CallRequest {
    fn bytes(&self) -> Vec<u8> {
        let base = self.base.map(|base| format!("X-Base-Version: {base}\r\n")).unwrap_or_default();
        let CallRequest { method_and_path, body, .. } = self;
        format!(
            "{method_and_path} HTTP/1.1\r\nHost: control\r\nContent-Length: {}\r\n{base}\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

/// The current version, as a refusal for another base names it: the last number in its reason.
fn version_in_refusal(message: &Message) -> Option<u64> {
    let text = String::from_utf8_lossy(&message.body);
    text.split(|c: char| !c.is_ascii_digit()).filter_map(|digits| digits.parse().ok()).next_back()
}

fn parse_answer(message: &Message) -> Answer {
    let status = message.status();
    Answer {
        status,
        config: parse_config(&message.body),
        named: version_in_refusal(message).filter(|_| status == 412),
    }
}

/// Calls, notes all of it, and gives the answer.
pub async fn call(world: &World, call_request: CallRequest) -> Option<Answer> {
    let began = world.now();
    let number = world.record_call_start(Call {
        asked: call_request.asked,
        core: call_request.core,
        began,
        ended: None,
        connected: false,
        left: call_request.disconnect_after.is_some(),
        answer: None,
        surplus: false,
    });
    let until = Instant::now() + CALL_TIMEOUT;
    let answer = timeout_at(until, exchange(world, number, &call_request)).await;
    if let Ok(Ok(answer)) = answer {
        return answer;
    }
    let now = world.now();
    world.update_call(number, |call| call.ended = call.ended.or(Some(now)));
    None
}

async fn exchange(world: &World, number: usize, call_request: &CallRequest) -> io::Result<Option<Answer>> {
    let mut stream = world
        .wires
        .connect(caller_ip(call_request.caller).into(), control_address(call_request.core))
        .await?;
    world.update_call(number, |call| call.connected = true);
    stream.write_all(&call_request.bytes()).await?;
    if let Some(disconnect_after) = call_request.disconnect_after {
        sleep(disconnect_after).await;
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
        if let Ok(Some(message)) = reader.take() {
            let answer = parse_answer(&message);
            if answer.config.is_some() {
                world.record_lineage(&message.body);
            }
            let (now, received) = (world.now(), answer.clone());
            world.update_call(number, |call| (call.ended, call.answer) = (Some(now), Some(received)));
            let more = timeout(SURPLUS_WAIT, stream.read(&mut buffer)).await;
            if reader.begun() || matches!(more, Ok(Ok(1..))) {
                world.update_call(number, |call| call.surplus = true);
            }
            return Ok(Some(answer));
        }
    }
}
