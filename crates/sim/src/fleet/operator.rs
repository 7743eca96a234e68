//! Operators: requests of a script, several under way at a time.

use crate::fleet::call::{Sending, call};
use crate::fleet::config_body::config_body;
use crate::fleet::facts::{Answer, Asked, Order};
use crate::fleet::script::{Manner, Request, RequestKind};
use crate::fleet::world::World;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// A patient operator asks for so long.
const PATIENCE: Duration = Duration::from_millis(7_000);
const REPLACE: &str = "/runtrack/config/replace";
const AMEND: &str = "/runtrack/config/amend";
/// Wait before the next member is asked.
const PAUSE: Duration = Duration::from_millis(60);

/// Carries a request of the script out.
pub async fn play(world: Rc<World>, request: Request) {
    sleep_until(world.at(request.at)).await;
    match request.what {
        RequestKind::Read => {
            read(&world, request.operator, world.core(request.member)).await;
        }
        RequestKind::Replace { step, manner } => {
            let base = world.known.get();
            let order = new_order(&world, base, base + u64::from(step), true);
            send(&world, &request, order, manner).await;
        }
        RequestKind::ReplaceStale { behind } => {
            let known = world.known.get();
            let base = known.saturating_add_signed(-i64::from(behind));
            let order = new_order(&world, base, known.max(base) + 1, true);
            send(&world, &request, order, Manner::Once).await;
        }
        RequestKind::ReplaceInvalid => {
            let base = world.known.get();
            let order = new_order(&world, base, base + 1, false);
            send(&world, &request, order, Manner::Once).await;
        }
        RequestKind::Repeat { back } => {
            let count = world.facts.borrow().orders.len();
            if let Some(order) = count.checked_sub(1 + back as usize) {
                send(&world, &request, order, Manner::Once).await;
            }
        }
    }
}

/// Reads from a member; whether there was a clear answer.
pub async fn read(world: &World, operator: u32, core: u32) -> bool {
    let sending = Sending {
        caller: operator,
        core,
        asked: Asked::Read,
        first_line: "GET /runtrack/config/read".to_owned(),
        base: None,
        body: String::new(),
        leaves_after: None,
    };
    let answer = call(world, sending).await;
    if let Some((version, _)) = answer.as_ref().and_then(|answer| answer.config) {
        world.known.set(world.known.get().max(version));
    }
    answer.is_some_and(|answer| matches!(answer.status, 200 | 404))
}

fn new_order(world: &World, base: u64, version: u64, valid: bool) -> usize {
    let orders = &mut world.facts.borrow_mut().orders;
    let marker = orders.len() as u64;
    orders.push(Order { base, version, marker, valid });
    orders.len() - 1
}

async fn send_to(
    world: &World,
    operator: u32,
    core: u32,
    number: usize,
    leaves_after: Option<Duration>,
) -> Option<Answer> {
    let order = world.facts.borrow().orders[number].clone();
    let sending = Sending {
        caller: operator,
        core,
        asked: Asked::Replace(number),
        first_line: format!("POST {}", if order.is_amendment() { AMEND } else { REPLACE }),
        base: Some(order.base),
        body: config_body(&order),
        leaves_after,
    };
    let answer = call(world, sending).await?;
    let newest = match answer.status {
        200 => order.version,
        _ => answer.named.unwrap_or(0),
    };
    world.known.set(world.known.get().max(newest));
    Some(answer)
}

async fn send(world: &World, request: &Request, order: usize, manner: Manner) {
    let until = Instant::now() + PATIENCE;
    let mut member = request.member;
    if let Manner::AnswerLost(after) = manner {
        let after = Duration::from_millis(after.into());
        send_to(world, request.operator, world.core(member), order, Some(after)).await;
        member += 1;
    }
    while Instant::now() < until {
        let answer = send_to(world, request.operator, world.core(member), order, None).await;
        let clear = answer.is_some_and(|answer| answer.status != 503);
        if clear || manner == Manner::Once {
            return;
        }
        member += 1;
        sleep(PAUSE).await;
    }
}

/// A patient replacement on top of what is known at the end of a run; whether it was acknowledged.
pub async fn last_replace(world: &World, member: u32) -> bool {
    let until = Instant::now() + PATIENCE;
    let mut member = member;
    while Instant::now() < until {
        let base = world.known.get();
        let order = new_order(world, base, base + 1, true);
        while Instant::now() < until {
            let answer = send_to(world, 0, world.core(member), order, None).await;
            member += 1;
            match answer.map(|answer| answer.status) {
                Some(200) => return true,
                Some(409 | 412) => break,
                _ => sleep(PAUSE).await,
            }
        }
    }
    false
}
