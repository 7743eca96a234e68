//! Changes of the configuration: an operator's request put through rounds, and what may be answered of it.

use crate::proposer::Proposer;
use crate::proposer::limits::Limits;
use runtrack_message::Value;
use runtrack_net::mutant;
use runtrack_register::{ConfigAnswer, ConfigRequest, Outcome};

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigOutcome {
    /// It is certain.
    Definite(ConfigAnswer),
    /// It may or may not come into force.
    Indeterminate,
}

impl Proposer {
    /// Puts an operator's order through.
    pub async fn change_config(&self, order: &ConfigRequest) -> ConfigOutcome {
        let first = vec![self.first.clone()];
        let mut answer = None;
        let outcome = self
            .rounds(Limits::of_request(), &mut |current| {
                let planted = planted_value(current, order);
                let (decision, found) = order.decide(planted.as_ref().or(current), &first);
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

/// Planted errors: what a round makes of the value that it found.
fn planted_value(current: Option<&Value>, order: &ConfigRequest) -> Option<Value> {
    let is_planted =
        ["repeat-forgotten", "base-not-checked", "amendment-loses-items"].into_iter().any(mutant);
    let mut value = current.filter(|_| is_planted)?.clone();
    if mutant("repeat-forgotten") {
        value.applied = Vec::new().into();
    } else if mutant("amendment-loses-items") {
        value.config = br#"{"version":1,"routes":[],"services":[{"name":"s"}]}"#.to_vec().into();
    } else if value.version < order.version {
        value.version = order.base;
    }
    Some(value)
}
