//! Which neighbours' word counts. An agent hears several controllers; one of them may be cut off from the others, and
//! then what it knows is old and what it misses says nothing.

use crate::session::Session;
use runtrack_message::Role;
use runtrack_net::mutant;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// An agent to which no controller in contact with a majority has spoken for so long since its start takes the word of
/// one that is not: it may be all that it can reach.
pub const START_WAIT: Duration = Duration::from_millis(1500);

/// Whether the other side of a link speaks for a majority. Only controllers can be cut off from one; a proxy and its
/// agent are on one machine.
fn is_in_contact(session: &Session) -> bool {
    let role = session.peer.borrow().as_ref().map(|peer| peer.role);
    matches!(role, Some(Role::Agent | Role::Proxy)) || session.in_contact.get()
}

/// The links from which a configuration may be taken by a process that has been awake for so long: those whose other
/// side is in contact; where no controller is, all of them once the wait is over.
pub(crate) fn config_sources(
    me: Role,
    awake: Duration,
    sessions: Vec<Rc<Session>>,
) -> impl Iterator<Item = Rc<Session>> {
    let anyone = me != Role::Agent
        || mutant("agent-takes-the-first-word")
        || awake >= START_WAIT && !sessions.iter().any(|session| session.in_contact.get());
    sessions.into_iter().filter(move |session| anyone || is_in_contact(session))
}

/// The endpoints that all those neighbours name as suspect whose word counts; none where there is no such neighbour.
pub(crate) fn agreed_suspects(sessions: &[Rc<Session>]) -> BTreeSet<u64> {
    let heeded = sessions.iter().filter(|session| is_in_contact(session) || mutant("suspects-of-anyone"));
    let mut told = heeded.map(|session| session.suspects.borrow().clone());
    let first = told.next().unwrap_or_default();
    told.fold(first, |all, next| all.intersection(&next).copied().collect())
}
