//! Endpoints: they beat, drain, deregister or crash.

use crate::fleet::call::{Sending, call};
use crate::fleet::facts::Asked;
use crate::fleet::script::{EndpointPlan, Leaving};
use crate::fleet::world::{HEARTBEAT, World};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Addresses of endpoints come behind those of operators.
const FIRST_CALLER: u32 = 100;
/// From the acknowledgement that it drains to its end.
const DRAIN: Duration = Duration::from_millis(500);
/// One that leaves asks for so long.
const PATIENCE: Duration = Duration::from_millis(12_000);
/// Wait before the next member is asked.
const PAUSE: Duration = Duration::from_millis(60);

/// An endpoint's name.
pub fn name(endpoint: usize) -> String {
    format!("e{endpoint}")
}

struct Endpoint {
    world: Rc<World>,
    number: usize,
    member: u32,
    /// It calls no other member.
    stays: bool,
    /// It says nothing from one moment to another.
    pauses: Option<(Instant, Instant)>,
    call_seq: u64,
}

impl Endpoint {
    /// Calls; whether it was acknowledged. After any other outcome the next call goes to the next member.
    async fn call(&mut self, asked: Asked, verb: &str, state: &str) -> bool {
        self.call_seq += 1;
        let (number, call_seq) = (self.number, self.call_seq);
        let sending = Sending {
            caller: FIRST_CALLER + number as u32,
            core: self.world.core(self.member),
            asked,
            first_line: format!("POST /runtrack/instances/{}/{verb}", name(number)),
            base: None,
            body: format!(
                r#"{{"service":"s","address":"10.1.0.{}:8080","zone":"a","capacity":4,"state":"{state}","coldLeftMs":0,"callSeq":{call_seq}}}"#,
                number + 1
            ),
            leaves_after: None,
        };
        let acknowledged = call(&self.world, sending).await.is_some_and(|answer| answer.status == 200);
        if !acknowledged && !self.stays {
            self.member += 1;
        }
        acknowledged
    }

    async fn insist(&mut self, asked: Asked, verb: &str, state: &str) {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until && !self.call(asked, verb, state).await {
            sleep(PAUSE).await;
        }
    }

    async fn beat(&mut self, until: Option<Instant>) {
        let mut next = Instant::now();
        loop {
            if until.is_some_and(|until| next >= until) {
                break;
            }
            sleep_until(next).await;
            if let Some((_, goes_on)) = self.pauses.filter(|(from, to)| (*from..*to).contains(&next)) {
                next = goes_on;
                continue;
            }
            self.call(Asked::Heartbeat(self.number), "heartbeat", "ready").await;
            next = (next + HEARTBEAT).max(Instant::now());
        }
        if let Some(until) = until {
            sleep_until(until).await;
        }
    }
}

/// Plays an endpoint's life.
pub async fn play(world: Rc<World>, number: usize, plan: EndpointPlan) {
    sleep_until(world.at(plan.at)).await;
    let pauses = plan.pauses.map(|(at, lasts)| (world.at(at), world.at(at + lasts)));
    let EndpointPlan { member, stays, .. } = plan;
    let mut endpoint = Endpoint { world: world.clone(), number, member, stays, pauses, call_seq: 0 };
    endpoint.beat(plan.leaves.map(|(at, _)| world.at(at))).await;
    match plan.leaves {
        Some((_, Leaving::Drains)) => {
            endpoint.insist(Asked::Drain(number), "heartbeat", "draining").await;
            sleep(DRAIN).await;
            endpoint.insist(Asked::Deregister(number), "deregister", "draining").await;
        }
        Some((_, Leaving::Deregisters)) => {
            endpoint.insist(Asked::Deregister(number), "deregister", "ready").await;
        }
        Some((_, Leaving::Crashes)) => {
            let now = world.now();
            world.facts.borrow_mut().silent_since.insert(number, now);
        }
        None => {}
    }
}
