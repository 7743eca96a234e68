//! What happened in a run, as the world saw it. Nothing here comes from the code under test but the gauges at the end.

use crate::script::{Class, ClientBehavior};
use std::time::Duration;

/// A request at a sidecar. Times are from the run's start.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// The sidecar.
    pub sidecar: u32,
    /// How the client goes about it.
    pub behavior: ClientBehavior,
    /// When its client began, for those who owe no request.
    pub started: Duration,
    /// When its last byte was sent.
    pub sent: Option<Duration>,
    /// When its last byte was at the sidecar's machine; none: it never came.
    pub arrived: Option<Duration>,
    /// Whether the sidecar has read it whole.
    pub read: bool,
    /// For how long its client waits from then.
    pub timeout: Duration,
    /// When the client left by itself.
    pub disconnected: Option<Duration>,
    /// When the connection ended with no whole answer.
    pub connection_lost: Option<Duration>,
    /// The connection that it went on, and how much had been answered on that before.
    pub connection: Option<(u64, u64)>,
    /// The answers that were written for it.
    pub responses: Vec<Response>,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// When the sidecar wrote its last byte.
    pub completed: Duration,
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: String,
}

/// An attempt, as it is written to an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub id: String,
    /// Who sent it.
    pub sidecar: u32,
    /// The endpoint.
    pub endpoint: u32,
    /// The connection.
    pub connection: u64,
    /// When its first byte was written.
    pub first_byte: Duration,
    /// When its last byte was written; none: it never was.
    pub last_byte: Option<Duration>,
    /// When the endpoint wrote that it has turned it away.
    pub rejected: Option<Duration>,
}

/// A request that has run at an endpoint.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The request.
    pub id: String,
    /// Where.
    pub endpoint: u32,
    /// When it began.
    pub at: Duration,
    /// The body of its answer.
    pub body: String,
    /// Whether that was or will be sent as a good answer.
    pub response_valid: bool,
}

/// What a sidecar was told of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointNotice {
    /// The sidecar.
    pub sidecar: u32,
    /// The endpoint.
    pub endpoint: u32,
    /// When it had come.
    pub at: Duration,
    /// Whether new requests may go there.
    pub ready: bool,
}

/// A span of a sidecar's life.
#[derive(Clone, Debug)]
pub struct ProcessRun {
    /// The sidecar.
    pub sidecar: u32,
    /// When it was ready.
    pub started: Duration,
    /// When it ended, or was killed.
    pub ended: Option<Duration>,
    /// When it was told to drain.
    pub drain_requested: Option<Duration>,
    /// Whether it was killed.
    pub killed: bool,
}

/// An answer as it was written to a client's connection.
#[derive(Clone, Debug)]
pub struct WrittenResponse {
    /// The connection, and the offset of the answer's first byte.
    pub position: (u64, u64),
    /// The answer.
    pub response: Response,
}

/// All facts of a run.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Requests.
    pub requests: Vec<RequestRecord>,
    /// Attempts.
    pub attempts: Vec<Attempt>,
    /// What sidecars wrote to clients.
    pub written_responses: Vec<WrittenResponse>,
    /// What ran.
    pub executions: Vec<Execution>,
    /// What was told.
    pub notices: Vec<EndpointNotice>,
    /// What discovery knew: endpoint, when, ready.
    pub discovery_states: Vec<(u32, Duration, bool)>,
    /// When discovery answered nobody, or not with what it knew.
    pub discovery_outages: Vec<(Duration, Duration)>,
    /// When endpoints started, those that did so during the run.
    pub endpoint_starts: Vec<(u32, Duration)>,
    /// The sidecars' lives.
    pub process_runs: Vec<ProcessRun>,
    /// When sidecars had no processor.
    pub pauses: Vec<(u32, Duration, Duration)>,
    /// What was still open at the end, in words.
    pub leftovers: Vec<String>,
    /// Sidecars that ended with a problem of their own.
    pub crashes: Vec<(u32, Duration, String)>,
}

impl Facts {
    /// Gives each request that keeps to the protocol the answers that were written behind it on its connection, and
    /// before those of the next one there.
    pub fn assign_responses(&mut self) {
        let connections: Vec<(u64, u64)> =
            self.requests.iter().filter_map(|request| request.connection).collect();
        for request in &mut self.requests {
            let Some((link, from)) = request.connection else { continue };
            let next = connections
                .iter()
                .filter(|(other, at)| *other == link && *at > from)
                .map(|(_, at)| *at)
                .min();
            let until = next.unwrap_or(u64::MAX);
            let here = self
                .written_responses
                .iter()
                .filter(|w| w.position.0 == link && w.position.1 >= from && w.position.1 < until);
            request.responses = here.map(|written| written.response.clone()).collect();
        }
    }
}
