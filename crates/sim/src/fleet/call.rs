//! HTTP calls to a controller, as operators and endpoints make them.

use crate::fleet::config_body::parse_config;
use crate::fleet::facts::{Answer, Call, CallKind};
use crate::fleet::world::{World, caller_ip, control_address};
use crate::http::{Message, Reader};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Time after which a caller gives up waiting for its answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for which a caller watches for bytes that follow its answer.
const SURPLUS_WAIT: Duration = Duration::from_millis(20);

/// An HTTP request to a controller and how the caller behaves.
pub struct CallRequest {
    /// Number of the caller, which determines its address.
    pub caller: u32,
    /// Number of the core machine that is called.
    pub core: u32,
    /// What the request asks for, as recorded in the facts.
    pub asked: CallKind,
    /// Method and path of the request line.
    pub method_and_path: String,
    /// The version that a configuration builds on, sent as `X-Base-Version`.
    pub base: Option<u64>,
    /// The request body.
    pub body: String,
    /// If set, the caller closes the connection this long after it sent the request, without reading an
    /// answer.
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

/// The current version that a refusal (412) names: the last number in its reason.
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

/// Sends a request, records it in the facts, and returns the answer if one arrived in time.
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
        .network
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
        if let Ok(Some(message)) = reader.next_message() {
            let answer = parse_answer(&message);
            if answer.config.is_some() {
                world.record_lineage(&message.body);
            }
            let (now, received) = (world.now(), answer.clone());
            world.update_call(number, |call| (call.ended, call.answer) = (Some(now), Some(received)));
            let more = timeout(SURPLUS_WAIT, stream.read(&mut buffer)).await;
            if reader.has_partial_message() || matches!(more, Ok(Ok(1..))) {
                world.update_call(number, |call| call.surplus = true);
            }
            return Ok(Some(answer));
        }
    }
}
