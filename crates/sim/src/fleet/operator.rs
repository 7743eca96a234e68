//! Operators, which send the requests of a script; several may be in progress at once.

use crate::fleet::call::{CallRequest, call};
use crate::fleet::config_body::config_body;
use crate::fleet::facts::{Answer, CallKind, ConfigChange};
use crate::fleet::script::{Request, RequestKind, SendMode};
use crate::fleet::world::World;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time for which a request is retried.
const RETRY_TIMEOUT: Duration = Duration::from_millis(7_000);
const REPLACE_PATH: &str = "/runtrack/config/replace";
const AMEND_PATH: &str = "/runtrack/config/amend";
/// Delay before the next member is asked.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Sends a request of the script at its time.
pub async fn run(world: Rc<World>, request: Request) {
    sleep_until(world.instant_at(request.at)).await;
    match request.what {
        RequestKind::Read => {
            read(&world, request.operator, world.nth_core(request.member)).await;
        }
        RequestKind::Replace { step, manner } => {
            let base = world.newest_known.get();
            let change = new_change(&world, base, base + u64::from(step), true);
            send_request(&world, &request, change, manner).await;
        }
        RequestKind::ReplaceStale { behind } => {
            let newest_known = world.newest_known.get();
            let base = newest_known.saturating_add_signed(-i64::from(behind));
            let change = new_change(&world, base, newest_known.max(base) + 1, true);
            send_request(&world, &request, change, SendMode::Once).await;
        }
        RequestKind::ReplaceInvalid => {
            let base = world.newest_known.get();
            let change = new_change(&world, base, base + 1, false);
            send_request(&world, &request, change, SendMode::Once).await;
        }
        RequestKind::Repeat { back } => {
            let count = world.facts.borrow().changes.len();
            if let Some(change) = count.checked_sub(1 + back as usize) {
                send_request(&world, &request, change, SendMode::Once).await;
            }
        }
    }
}

/// Reads the configuration from a member; returns whether the answer was definite (200 or 404).
pub async fn read(world: &World, operator: u32, core: u32) -> bool {
    let call_request = CallRequest {
        caller: operator,
        core,
        asked: CallKind::Read,
        method_and_path: "GET /runtrack/config/read".to_owned(),
        base: None,
        body: String::new(),
        disconnect_after: None,
    };
    let answer = call(world, call_request).await;
    if let Some((version, _)) = answer.as_ref().and_then(|answer| answer.config) {
        world.newest_known.set(world.newest_known.get().max(version));
    }
    answer.is_some_and(|answer| matches!(answer.status, 200 | 404))
}

fn new_change(world: &World, base: u64, version: u64, valid: bool) -> usize {
    let changes = &mut world.facts.borrow_mut().changes;
    let marker = changes.len() as u64;
    changes.push(ConfigChange { base, version, marker, valid });
    changes.len() - 1
}

async fn send_change(
    world: &World,
    operator: u32,
    core: u32,
    index: usize,
    disconnect_after: Option<Duration>,
) -> Option<Answer> {
    let change = world.facts.borrow().changes[index].clone();
    let call_request = CallRequest {
        caller: operator,
        core,
        asked: CallKind::Replace(index),
        method_and_path: format!("POST {}", if change.is_amendment() { AMEND_PATH } else { REPLACE_PATH }),
        base: Some(change.base),
        body: config_body(&change),
        disconnect_after,
    };
    let answer = call(world, call_request).await?;
    let newest = match answer.status {
        200 => change.version,
        _ => answer.named.unwrap_or(0),
    };
    world.newest_known.set(world.newest_known.get().max(newest));
    Some(answer)
}

async fn send_request(world: &World, request: &Request, change: usize, manner: SendMode) {
    let until = Instant::now() + RETRY_TIMEOUT;
    let mut member = request.member;
    if let SendMode::AnswerLost(after) = manner {
        let after = Duration::from_millis(after.into());
        send_change(world, request.operator, world.nth_core(member), change, Some(after)).await;
        member += 1;
    }
    while Instant::now() < until {
        let answer = send_change(world, request.operator, world.nth_core(member), change, None).await;
        let is_definite = answer.is_some_and(|answer| answer.status != 503);
        if is_definite || manner == SendMode::Once {
            return;
        }
        member += 1;
        sleep(RETRY_DELAY).await;
    }
}

/// Makes a change at the end of a run, on top of the newest known version, and retries it until it is
/// acknowledged; returns whether it was.
pub async fn final_change(world: &World, member: u32) -> bool {
    let until = Instant::now() + RETRY_TIMEOUT;
    let mut member = member;
    while Instant::now() < until {
        let base = world.newest_known.get();
        let change = new_change(world, base, base + 1, true);
        while Instant::now() < until {
            let answer = send_change(world, 0, world.nth_core(member), change, None).await;
            member += 1;
            match answer.map(|answer| answer.status) {
                Some(200) => return true,
                Some(409 | 412) => break,
                _ => sleep(RETRY_DELAY).await,
            }
        }
    }
    false
}
