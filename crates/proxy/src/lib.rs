//! The fleet's proxy: accepts clients' requests, sends each to an endpoint that `runtrack_balancer::fleet` selects, and
//! streams the response back.
//!
//! Routes, endpoints and the number of proxies come from the agent of the machine (`runtrack_link::Gossip`). Load
//! balancing is left to `runtrack_balancer::fleet`. The proxy itself guarantees, whichever endpoint is selected, that a
//! request that is not idempotent runs at most once, that a request is refused only if it never ran, and that a
//! truncated response is forwarded as truncated.

mod attempt;
mod attempts;
mod client;
mod complete;
mod events;
mod forward;
mod headers;
mod in_flight;
mod ingress;
mod outgoing;
mod pool;
mod prompt;
mod reply_body;
mod response_class;
mod response_relay;
mod retry;
mod routed;
mod state;
mod streaming;

pub use events::EventTracker;
pub use prompt::parse_prompt;
pub use reply_body::{BodyAborted, ClientDisconnected, Stream, StreamSender, stream};

use crate::forward::Forwarder;
use crate::ingress::IngressServer;
use crate::state::State;
use runtrack_fleetconfig::Node;
use runtrack_link::{Gossip, MessageHandler, Session, Signals, json_logger, maintain_link};
use runtrack_message::{Hello, Member, Message, Role, WIRE_VERSION};
use slog::info;
use std::cell::OnceCell;
use std::rc::Rc;
use tokio::task::spawn_local;

type StateCell = OnceCell<Rc<State>>;

/// Applies the reports of other proxies that the agent relays.
struct ReportHandler(Rc<StateCell>);

impl MessageHandler for ReportHandler {
    fn on_message(&self, _: &Rc<Gossip>, _: &Rc<Session>, message: Message) {
        let Some(state) = self.0.get() else { return };
        match message {
            Message::FleetBacklog(backlog) => state.apply_fleet_backlog(&backlog),
            Message::Placements(placements) => state.apply_placements(&placements),
            Message::PlacementsComplete(true) => state.router().set_all_placements_known(),
            _ => {}
        }
    }
}

/// Runs a proxy until SIGTERM, and then until the requests in progress are answered or the grace period ends. Returns
/// an error if an address in the settings is missing or can't be listened on.
pub async fn run(node: Node, mut signals: Signals) -> Result<(), String> {
    let logger = json_logger("proxy", &node.name);
    let front = node.front.ok_or("listen.front: is missing")?;
    let ready = node.ready.ok_or("listen.ready: is missing")?;
    info!(logger, "proxy.start"; "front" => %front);
    let hello = Hello {
        wire: WIRE_VERSION,
        role: Role::Proxy,
        node: node.name.as_str().into(),
        member: Member::none(),
    };
    let state_cell = Rc::new(StateCell::default());
    let gossip =
        Gossip::new(hello, node.heartbeat, logger.clone(), Box::new(ReportHandler(state_cell.clone())));
    spawn_local(maintain_link(gossip.clone(), node.feed));
    spawn_local(gossip.clone().run());
    let state = State::new(gossip, &node);
    let _ = state_cell.set(state.clone());
    spawn_local(state.clone().run());
    spawn_local(state.clone().report_backlog());
    let forwarder = Forwarder::new(state.clone());
    spawn_local(forwarder.clone().sweep());
    let ingress = IngressServer::new(state, forwarder, node.bounds.grace);
    ingress.clone().serve_readiness(ready).await.map_err(|error| format!("listen: {ready}: {error}"))?;
    ingress.clone().serve_clients(front).await.map_err(|error| format!("listen: {front}: {error}"))?;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => info!(logger, "settings.unchanged"),
        }
    }
    ingress.shut_down().await;
    info!(logger, "proxy.end");
    Ok(())
}
