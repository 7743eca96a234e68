//! Simulated endpoints that send heartbeats, drain, deregister and return under another id.

use super::cluster::{Cluster, HEARTBEAT};
use super::history::{EventKind, State};
use super::http::Call;
use super::operator::RESPONSE_TIMEOUT;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Delay before an unacknowledged call is retried at another member.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of heartbeats before an endpoint drains.
const MAX_HEARTBEATS: u32 = 8;

/// One endpoint through all its incarnations.
pub struct SimulatedEndpoint {
    cluster: Arc<Cluster>,
    number: u64,
    incarnation: u32,
    call_seq: u64,
    member: usize,
    rng: Pcg32,
}

impl SimulatedEndpoint {
    /// Creates the endpoint with this number.
    pub fn new(cluster: Arc<Cluster>, number: u64) -> SimulatedEndpoint {
        let seed = cluster.script.seed.wrapping_mul(37).wrapping_add(number);
        let member = number as usize % cluster.script.members;
        SimulatedEndpoint {
            cluster,
            number,
            incarnation: 0,
            call_seq: 0,
            member,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    fn id(&self) -> String {
        format!("e{}-{}", self.number, self.incarnation)
    }

    /// Sends calls until all faults are to be ended.
    pub async fn run(mut self) {
        while !self.cluster.is_healing() {
            for _ in 0..1 + self.rng.next_u32() % MAX_HEARTBEATS {
                self.call(State::Ready).await;
                sleep(HEARTBEAT).await;
            }
            self.until_acknowledged(State::Draining).await;
            sleep(HEARTBEAT).await;
            self.until_acknowledged(State::Gone).await;
            self.incarnation += 1;
        }
    }

    async fn until_acknowledged(&mut self, state: State) {
        while !self.cluster.is_healing() && !self.call(state).await {
            sleep(RETRY_DELAY).await;
        }
    }

    fn heartbeat(&self, state: &str) -> String {
        let (seq, port) = (self.call_seq, 9_000 + self.number);
        format!(
            r#"{{"service":"s","address":"10.0.0.1:{port}","zone":"a","version":"v1","capacity":4,"state":"{state}","coldLeftMs":0,"callSeq":{seq}}}"#
        )
    }

    /// Calls a member and returns whether it acknowledged; if not, the next call goes to the next member.
    async fn call(&mut self, state: State) -> bool {
        self.call_seq += 1;
        let (verb, body) = match state {
            State::Ready => ("heartbeat", self.heartbeat("ready")),
            State::Draining => ("heartbeat", self.heartbeat("draining")),
            State::Gone => ("deregister", format!(r#"{{"callSeq":{}}}"#, self.call_seq)),
        };
        let path = format!("/runtrack/instances/{}/{verb}", self.id());
        let call =
            Call { method: "POST", path: &path, header: "Content-Type: application/json\r\n", body: &body };
        let member = self.member;
        let began = self.cluster.history.now_micros();
        let status = call
            .send(self.cluster.control_address(member), RESPONSE_TIMEOUT)
            .await
            .map(|answer| answer.status);
        let ended = status.map(|_| self.cluster.history.now_micros());
        let observation = EventKind::Call { member, endpoint: self.id(), state, status };
        self.cluster.history.record(&self.id(), began, ended, observation);
        if status != Some(200) {
            self.member = (member + 1) % self.cluster.script.members;
        }
        status == Some(200)
    }
}
