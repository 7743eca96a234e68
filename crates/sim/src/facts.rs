//! Events of a run as the simulation recorded them. Only the gauges at the end come from the code under test.

use crate::script::{Class, ClientBehavior};
use std::time::Duration;

/// A client's request to a sidecar. Times are since the start of the run.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// The sidecar.
    pub sidecar: u32,
    /// How the client sends it.
    pub behavior: ClientBehavior,
    /// When its client started to connect.
    pub started: Duration,
    /// When its last byte was sent.
    pub sent: Option<Duration>,
    /// When its last byte arrived at the sidecar's host; `None` if it never did.
    pub arrived: Option<Duration>,
    /// Whether the sidecar has read all of it.
    pub read: bool,
    /// How long the client waits after the arrival.
    pub timeout: Duration,
    /// When the client gave up and disconnected.
    pub disconnected: Option<Duration>,
    /// When the connection ended without a complete response.
    pub connection_lost: Option<Duration>,
    /// Its connection, and the offset in the response stream before its response.
    pub connection: Option<(u64, u64)>,
    /// The responses that were written for it.
    pub responses: Vec<Response>,
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// When the sidecar wrote its last byte.
    pub completed: Duration,
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: String,
}

/// An attempt at a request, as written to an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the request.
    pub id: String,
    /// The sidecar that sent it.
    pub sidecar: u32,
    /// The endpoint.
    pub endpoint: u32,
    /// The connection.
    pub connection: u64,
    /// When its first byte was written.
    pub first_byte: Duration,
    /// When its last byte was written; `None` if it was not.
    pub last_byte: Option<Duration>,
    /// When the endpoint wrote that it rejected the request without running it.
    pub rejected: Option<Duration>,
}

/// One execution of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Id of the request.
    pub id: String,
    /// The endpoint.
    pub endpoint: u32,
    /// When it began.
    pub at: Duration,
    /// The body of its response.
    pub body: String,
    /// Whether the endpoint sends that body in a valid response.
    pub response_valid: bool,
}

/// Notice to a sidecar of an endpoint's state.
#[derive(Clone, Debug)]
pub struct EndpointNotice {
    /// The sidecar.
    pub sidecar: u32,
    /// The endpoint.
    pub endpoint: u32,
    /// When it arrived.
    pub at: Duration,
    /// Whether the endpoint accepts new requests.
    pub ready: bool,
}

/// One run of a sidecar process.
#[derive(Clone, Debug)]
pub struct ProcessRun {
    /// The sidecar.
    pub sidecar: u32,
    /// When it started.
    pub started: Duration,
    /// When it exited or was killed.
    pub ended: Option<Duration>,
    /// When it received the order to drain (SIGTERM).
    pub drain_requested: Option<Duration>,
    /// Whether it was killed without warning.
    pub killed: bool,
}

/// A response as written to a client's connection.
#[derive(Clone, Debug)]
pub struct WrittenResponse {
    /// The connection, and the offset of the response's first byte.
    pub position: (u64, u64),
    /// The response.
    pub response: Response,
}

/// All facts of a run.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Requests.
    pub requests: Vec<RequestRecord>,
    /// Attempts.
    pub attempts: Vec<Attempt>,
    /// Responses that sidecars wrote to clients.
    pub written_responses: Vec<WrittenResponse>,
    /// Executions at endpoints.
    pub executions: Vec<Execution>,
    /// Notices to sidecars.
    pub notices: Vec<EndpointNotice>,
    /// State changes known to discovery: endpoint, time, ready.
    pub discovery_states: Vec<(u32, Duration, bool)>,
    /// Periods in which discovery was down or lagged.
    pub discovery_outages: Vec<(Duration, Duration)>,
    /// Endpoint starts during the run.
    pub endpoint_starts: Vec<(u32, Duration)>,
    /// Runs of the sidecar processes.
    pub process_runs: Vec<ProcessRun>,
    /// Periods in which a sidecar was paused.
    pub pauses: Vec<(u32, Duration, Duration)>,
    /// Descriptions of what was still open at the end.
    pub leftovers: Vec<String>,
    /// Sidecars that ended with an error: number, time, message.
    pub crashes: Vec<(u32, Duration, String)>,
}

impl Facts {
    /// Assigns each valid request the responses that were written on its connection between it and the next request.
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
