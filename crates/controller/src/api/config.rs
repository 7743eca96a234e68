//! The operator's calls: replacing, amending and reading the configuration.

use crate::api::Api;
use crate::api::body::{base_version, read_body};
use crate::api::replies::{Reply, done, json_reply, out_of_contact, refusal, refused_body};
use crate::proposer::{ConfigOutcome, ReadError};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use runtrack_fleetconfig::{Amendment, ConfigError, FleetConfig, MAX_CONFIG};
use runtrack_net::mutant;
use runtrack_register::{ConfigAnswer, ConfigChange, ConfigRequest};
use slog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Operators wait a second for an answer, and longer for one to a large body: before that they get one that is clear.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// So much longer for each byte of a configuration, which has to reach the other members and their disks.
const ANSWER_ALLOWANCE_PER_BYTE: Duration = Duration::from_micros(1);

impl Api {
    /// The newest configuration.
    pub(super) async fn read(&self) -> Reply {
        if !self.contact.is_current() {
            return out_of_contact();
        }
        let Some(found) = self.within(ANSWER_TIMEOUT, self.proposer.read()).await else {
            return out_of_contact();
        };
        match found {
            Ok(Some(value)) if value.version > 0 => {
                json_reply(StatusCode::OK, Bytes::copy_from_slice(value.config.as_slice()))
            }
            Ok(_) => refusal(StatusCode::NOT_FOUND, "there is no configuration yet"),
            Err(ReadError::Indeterminate) => out_of_contact(),
        }
    }

    /// Result of a request to the register; `None` if contact with a majority is lost or the limit passes before.
    async fn within<T>(&self, limit: Duration, request: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            found = request => Some(found),
            () = self.contact.lost() => None,
            () = sleep(limit) => None,
        }
    }

    /// Handles an operator's replacement or amendment of the configuration.
    pub(super) async fn change_config(
        self: Rc<Self>,
        change: ConfigChange,
        request: Request<Incoming>,
    ) -> Reply {
        let (head, body) = request.into_parts();
        let body = match read_body(body, MAX_CONFIG).await {
            Ok(body) => body,
            Err(problem) => return refused_body(&problem),
        };
        let Some(base) = base_version(&head.headers) else {
            return refusal(StatusCode::BAD_REQUEST, "X-Base-Version: is missing or no number");
        };
        match config_request(change, base, &body) {
            Ok(request) => self.propose(change, request).await,
            Err(problem) => {
                info!(self.gossip.logger(), "config_change.invalid";
                    "change" => ?change, "base" => base, "problem" => %problem);
                refusal(StatusCode::BAD_REQUEST, &problem.to_string())
            }
        }
    }

    /// Puts a valid request through, and answers in time whatever has come of it.
    async fn propose(self: Rc<Self>, change: ConfigChange, request: ConfigRequest) -> Reply {
        if !self.contact.is_current() {
            return out_of_contact();
        }
        // The change continues if the caller disconnects or was answered that the outcome is unknown.
        let (this, proposed) = (self.clone(), request.clone());
        let changing = spawn_local(async move { this.proposer.change_config(&proposed).await });
        let limit = ANSWER_TIMEOUT + ANSWER_ALLOWANCE_PER_BYTE * request.body.len() as u32;
        let outcome = match self.within(limit, changing).await {
            Some(Ok(outcome)) => outcome,
            Some(Err(_)) | None => self.outcome_at_timeout(),
        };
        info!(self.gossip.logger(), "config_change.answered";
            "change" => ?change, "base" => request.base, "version" => request.version, "answer" => ?outcome);
        self.config_reply(&request, outcome)
    }

    /// The answer to an outcome.
    fn config_reply(&self, request: &ConfigRequest, outcome: ConfigOutcome) -> Reply {
        match outcome {
            ConfigOutcome::Definite(ConfigAnswer::Applied) => done(),
            ConfigOutcome::Definite(ConfigAnswer::VersionMismatch(current)) => {
                refusal(StatusCode::PRECONDITION_FAILED, &format!("version {current} is current"))
            }
            ConfigOutcome::Definite(ConfigAnswer::VersionNotIncreasing(current)) => {
                let version = request.version;
                refusal(StatusCode::CONFLICT, &format!("version: {version} is not above {current}"))
            }
            ConfigOutcome::Definite(ConfigAnswer::Invalid(base)) => {
                refusal(StatusCode::BAD_REQUEST, &self.findings_on(request, base))
            }
            ConfigOutcome::Definite(ConfigAnswer::Indeterminate) | ConfigOutcome::Indeterminate => {
                refusal(StatusCode::SERVICE_UNAVAILABLE, "it is not known whether it will be taken")
            }
        }
    }

    /// Why an amendment can't be applied to the version that it builds on, as far as that one is still here.
    fn findings_on(&self, request: &ConfigRequest, base: u64) -> String {
        let known = self.proposer.known().filter(|(_, value)| value.version == base);
        let applied = known.map(|(_, value)| {
            Amendment::read(&request.body).and_then(|amendment| amendment.apply(value.config.as_slice()))
        });
        match applied {
            Some(Err(problem)) => problem.to_string(),
            _ => format!("it does not fit version {base}"),
        }
    }

    /// The outcome for a caller whose request has not ended in time.
    fn outcome_at_timeout(&self) -> ConfigOutcome {
        if mutant("answered-before-committed") {
            return ConfigOutcome::Definite(ConfigAnswer::Applied);
        }
        if mutant("unknown-is-refused") {
            let version = self.proposer.known().map_or(0, |(_, value)| value.version);
            return ConfigOutcome::Definite(ConfigAnswer::VersionMismatch(version));
        }
        ConfigOutcome::Indeterminate
    }
}

/// The operator's request, if its body is valid by itself.
fn config_request(change: ConfigChange, base: u64, body: &[u8]) -> Result<ConfigRequest, ConfigError> {
    match change {
        ConfigChange::Replace => {
            let version = FleetConfig::read(body)?.version;
            Ok(ConfigRequest::replace(base, version, body.to_vec()))
        }
        ConfigChange::Amend => {
            let version = Amendment::read(body)?.version();
            Ok(ConfigRequest::amend(base, version, body.to_vec()))
        }
    }
}
