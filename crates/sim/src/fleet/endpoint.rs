//! Simulated endpoints, which send heartbeats and then drain, deregister or crash.

use crate::fleet::call::{CallRequest, call};
use crate::fleet::facts::CallKind;
use crate::fleet::script::{Departure, EndpointPlan};
use crate::fleet::world::{HEARTBEAT_INTERVAL, World};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Caller numbers of endpoints start here; lower numbers belong to operators.
const FIRST_ENDPOINT_CALLER: u32 = 100;
/// Time from the acknowledgement of draining until the endpoint deregisters.
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// Time for which a leaving endpoint retries its call.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(12_000);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The instance name of an endpoint.
pub fn name(endpoint: usize) -> String {
    format!("e{endpoint}")
}

struct Endpoint {
    world: Rc<World>,
    number: usize,
    member: u32,
    /// It always calls the same member.
    stays: bool,
    /// Start and end of a time during which it sends nothing.
    pauses: Option<(Instant, Instant)>,
    call_seq: u64,
}

impl Endpoint {
    /// Makes a call and returns whether it was acknowledged. If not, the next call goes to the next member,
    /// unless the endpoint always calls the same one.
    async fn call(&mut self, asked: CallKind, verb: &str, state: &str) -> bool {
        self.call_seq += 1;
        let (number, call_seq) = (self.number, self.call_seq);
        let call_request = CallRequest {
            caller: FIRST_ENDPOINT_CALLER + number as u32,
            core: self.world.nth_core(self.member),
            asked,
            method_and_path: format!("POST /runtrack/instances/{}/{verb}", name(number)),
            base: None,
            body: format!(
                r#"{{"service":"s","address":"10.1.0.{}:8080","zone":"a","capacity":4,"state":"{state}","coldLeftMs":0,"callSeq":{call_seq}}}"#,
                number + 1
            ),
            disconnect_after: None,
        };
        let acknowledged = call(&self.world, call_request).await.is_some_and(|answer| answer.status == 200);
        if !acknowledged && !self.stays {
            self.member += 1;
        }
        acknowledged
    }

    async fn call_until_acknowledged(&mut self, asked: CallKind, verb: &str, state: &str) {
        let until = Instant::now() + LEAVE_TIMEOUT;
        while Instant::now() < until && !self.call(asked, verb, state).await {
            sleep(RETRY_DELAY).await;
        }
    }

    async fn send_heartbeats(&mut self, until: Option<Instant>) {
        let mut next = Instant::now();
        loop {
            if until.is_some_and(|until| next >= until) {
                break;
            }
            sleep_until(next).await;
            if let Some((_, resumes_at)) = self.pauses.filter(|(from, to)| (*from..*to).contains(&next)) {
                next = resumes_at;
                continue;
            }
            self.call(CallKind::Heartbeat(self.number), "heartbeat", "ready").await;
            next = (next + HEARTBEAT_INTERVAL).max(Instant::now());
        }
        if let Some(until) = until {
            sleep_until(until).await;
        }
    }
}

/// Runs an endpoint from its start to its departure.
pub async fn run(world: Rc<World>, number: usize, plan: EndpointPlan) {
    sleep_until(world.instant_at(plan.at)).await;
    let pauses = plan.pauses.map(|(at, lasts)| (world.instant_at(at), world.instant_at(at + lasts)));
    let EndpointPlan { member, stays, .. } = plan;
    let mut endpoint = Endpoint { world: world.clone(), number, member, stays, pauses, call_seq: 0 };
    endpoint.send_heartbeats(plan.leaves.map(|(at, _)| world.instant_at(at))).await;
    match plan.leaves {
        Some((_, Departure::Drains)) => {
            endpoint.call_until_acknowledged(CallKind::Drain(number), "heartbeat", "draining").await;
            sleep(DRAIN_TIME).await;
            endpoint.call_until_acknowledged(CallKind::Deregister(number), "deregister", "draining").await;
        }
        Some((_, Departure::Deregisters)) => {
            endpoint.call_until_acknowledged(CallKind::Deregister(number), "deregister", "ready").await;
        }
        Some((_, Departure::Crashes)) => {
            let now = world.now();
            world.facts.borrow_mut().crashed_at.insert(number, now);
        }
        None => {}
    }
}
