//! Attempts in flight, as the module counts them.

use crate::attempt::ResponseStarted;
use crate::state::State;
use std::rc::Rc;
use weirwharf::fleet::Prompt;
use weirwharf::{EndpointId, Outcome};

/// An attempt that counts as in flight at its endpoint until this is dropped, whatever way it ends.
pub(crate) struct InFlight {
    state: Rc<State>,
    pub(crate) key: EndpointId,
    pub(crate) outcome: Outcome,
    /// Tokens that the endpoint has to read before it answers.
    unread: u32,
}

impl InFlight {
    pub(crate) fn new(state: &Rc<State>, key: EndpointId, prompt: Option<Prompt>) -> Self {
        let unread = state.router().sent(key, prompt);
        state.backlog_changed(unread);
        InFlight { state: state.clone(), key, outcome: Outcome::Cancelled, unread }
    }

    /// The endpoint has begun to answer.
    pub(crate) fn answers(&mut self, prompt: Option<Prompt>) {
        self.nothing_more_to_read();
        if let Some(prompt) = prompt {
            self.state.router().record_cached_prefix(self.key, prompt);
        }
    }

    fn nothing_more_to_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.state.router().prefill_finished(self.key, unread);
        self.state.backlog_changed(unread);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.nothing_more_to_read();
        let now = self.state.now();
        self.state.router().ended(now, self.key, self.outcome);
    }
}

/// An answer that is going on to the client.
pub(crate) struct ActiveResponse {
    pub(crate) started: ResponseStarted,
    pub(crate) in_flight: InFlight,
}
