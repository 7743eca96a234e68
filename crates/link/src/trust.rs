//! Which peers an agent or proxy trusts. An agent is linked to several controllers; one of them may be cut off from the
//! others, and then its configuration may be outdated and its missing heartbeats prove nothing.

use crate::session::Session;
use runtrack_message::{Member, Role};
use runtrack_net::mutant;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// An agent that has reached no controller in contact with a majority for this long since its start takes a configuration
/// from any controller: no other may be reachable.
pub const START_WAIT: Duration = Duration::from_millis(1500);

/// Whether a peer's reports count. A controller must be in contact with a majority; a proxy and its agent share a machine
/// and always count.
fn is_in_contact(session: &Session) -> bool {
    let role = session.peer.borrow().as_ref().map(|peer| peer.role);
    matches!(role, Some(Role::Agent | Role::Proxy)) || session.in_contact.get()
}

/// The links from which a process of the role `me`, started or resumed `running_for` ago, may take a configuration: those
/// to trusted peers, or all where no controller is in contact with a majority after [`START_WAIT`].
pub(crate) fn config_sources(
    me: Role,
    running_for: Duration,
    sessions: Vec<Rc<Session>>,
) -> impl Iterator<Item = Rc<Session>> {
    let any_controller = me != Role::Agent
        || mutant("agent-takes-the-first-word")
        || running_for >= START_WAIT && !sessions.iter().any(|session| session.in_contact.get());
    sessions.into_iter().filter(move |session| any_controller || is_in_contact(session))
}

/// Whether a peer is relayed all heartbeats that members receive: any but a controller that is no member. Before members are
/// known every controller counts.
fn receives_all_heartbeats(session: &Session, members: &BTreeSet<Member>) -> bool {
    let Some(controller) = session.dialled_member() else { return true };
    members.is_empty() || members.contains(&controller) || mutant("suspects-of-non-members")
}

/// Keys of the endpoints that every trusted peer reports as suspect; none where no peer is trusted. Two core machines that are
/// no members yet have no link to each other, so a heartbeat that one of them has not received proves nothing.
pub(crate) fn agreed_suspects(sessions: &[Rc<Session>], members: &BTreeSet<Member>) -> BTreeSet<u64> {
    let trusted = sessions
        .iter()
        .filter(|session| is_in_contact(session) || mutant("suspects-of-anyone"))
        .filter(|session| receives_all_heartbeats(session, members));
    let mut reported = trusted.map(|session| session.suspects.borrow().clone());
    let first = reported.next().unwrap_or_default();
    reported.fold(first, |all, next| all.intersection(&next).copied().collect())
}
