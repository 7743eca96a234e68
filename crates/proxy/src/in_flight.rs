//! Reports the start and the end of attempts to `runtrack-balancer`.

use crate::attempt::ResponseStarted;
use crate::state::State;
use runtrack_balancer::fleet::Prompt;
use runtrack_balancer::{EndpointId, Outcome};
use std::rc::Rc;

/// An attempt in flight. It counts as load of its endpoint until it is dropped, which reports `outcome`.
pub(crate) struct InFlight {
    state: Rc<State>,
    pub(crate) key: EndpointId,
    pub(crate) outcome: Outcome,
    prompt: Option<Prompt>,
    /// Prompt tokens that the endpoint has to prefill before its response starts; zero once it has started.
    pending_prefill: u32,
}

impl InFlight {
    pub(crate) fn new(state: &Rc<State>, key: EndpointId, prompt: Option<Prompt>) -> Self {
        let pending_prefill = state.router().on_sent(state.now(), key, prompt);
        state.backlog_changed(pending_prefill);
        InFlight { state: state.clone(), key, outcome: Outcome::Cancelled, prompt, pending_prefill }
    }

    /// Called when the endpoint has started its response, so that it has finished the prefill.
    pub(crate) fn on_response_started(&mut self) {
        self.clear_pending_prefill();
    }

    fn clear_pending_prefill(&mut self) {
        let pending = std::mem::take(&mut self.pending_prefill);
        self.state.router().prefill_finished(self.key, pending);
        self.state.backlog_changed(pending);
    }

    /// The prompt, if the endpoint may not have prefilled it and was assumed not to have cached its prefixes before.
    fn may_lack_prefixes(&self) -> Option<Prompt> {
        let prompt = self.prompt.filter(|prompt| self.pending_prefill > prompt.own_tokens())?;
        (self.outcome != Outcome::Ok).then_some(prompt)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(prompt) = self.may_lack_prefixes() {
            self.state.router().prefill_failed(self.key, &prompt);
        }
        self.clear_pending_prefill();
        let now = self.state.now();
        self.state.router().on_ended(now, self.key, self.outcome);
    }
}

/// A response that is being forwarded, and its accounting.
pub(crate) struct ActiveResponse {
    pub(crate) started: ResponseStarted,
    pub(crate) in_flight: InFlight,
}
