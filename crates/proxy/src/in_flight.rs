//! Accounting of attempts in flight with `weirwharf`.

use crate::attempt::ResponseStarted;
use crate::state::State;
use std::rc::Rc;
use weirwharf::fleet::Prompt;
use weirwharf::{EndpointId, Outcome};

/// An attempt that counts as in flight at its endpoint until this is dropped.
pub(crate) struct InFlight {
    state: Rc<State>,
    pub(crate) key: EndpointId,
    pub(crate) outcome: Outcome,
    /// Prompt tokens that the endpoint processes before its response starts.
    unread: u32,
}

impl InFlight {
    pub(crate) fn new(state: &Rc<State>, key: EndpointId, prompt: Option<Prompt>) -> Self {
        let unread = state.router().sent(key, prompt);
        state.backlog_changed(unread);
        InFlight { state: state.clone(), key, outcome: Outcome::Cancelled, unread }
    }

    /// The endpoint has started its response.
    pub(crate) fn on_response_started(&mut self, prompt: Option<Prompt>) {
        self.clear_unread_tokens();
        if let Some(prompt) = prompt {
            self.state.router().record_cached_prefix(self.key, prompt);
        }
    }

    fn clear_unread_tokens(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.state.router().prefill_finished(self.key, unread);
        self.state.backlog_changed(unread);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.clear_unread_tokens();
        let now = self.state.now();
        self.state.router().ended(now, self.key, self.outcome);
    }
}

/// A response that is being passed on, and its accounting.
pub(crate) struct ActiveResponse {
    pub(crate) started: ResponseStarted,
    pub(crate) in_flight: InFlight,
}
