//! Changes of the configuration: runs rounds for an operator's request and determines its answer.

use crate::proposer::Proposer;
use crate::proposer::limits::Limits;
use runtrack_message::Value;
use runtrack_net::mutant;
use runtrack_register::{ConfigAnswer, ConfigRequest, Outcome};

/// The outcome of an operator's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigOutcome {
    /// It is certain, and may be answered.
    Definite(ConfigAnswer),
    /// It may or may not come into force: a caller gets no clear answer.
    Indeterminate,
}

impl Proposer {
    /// Proposes an operator's change, in rounds until its outcome is certain or time is up.
    pub async fn change_config(&self, request: &ConfigRequest) -> ConfigOutcome {
        let first = vec![self.first.clone()];
        let mut answer = None;
        let outcome = self
            .rounds(Limits::of_request(), &mut |current| {
                let mutated = mutated_value(current, request);
                let (decision, found) = request.decide(mutated.as_ref().or(current), &first);
                answer = Some(found);
                decision
            })
            .await;
        match (outcome, answer) {
            (_, Some(ConfigAnswer::Indeterminate)) => ConfigOutcome::Indeterminate,
            (Some(Outcome::Empty), Some(answer))
            | (Some(Outcome::Read(..) | Outcome::Committed(..)), Some(answer)) => {
                ConfigOutcome::Definite(answer)
            }
            _ => ConfigOutcome::Indeterminate,
        }
    }
}

/// Mutants: another value than the one that a round found.
fn mutated_value(current: Option<&Value>, request: &ConfigRequest) -> Option<Value> {
    let is_on = ["repeat-forgotten", "base-not-checked", "amendment-loses-items"].into_iter().any(mutant);
    let mut value = current.filter(|_| is_on)?.clone();
    if mutant("repeat-forgotten") {
        value.applied = Vec::new().into();
    } else if mutant("amendment-loses-items") {
        value.config = br#"{"version":1,"routes":[],"services":[{"name":"s"}]}"#.to_vec().into();
    } else if value.version < request.version {
        value.version = request.base;
    }
    Some(value)
}
