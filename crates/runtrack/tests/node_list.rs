//! Tests of the built sidecar's endpoint list: known at startup, watched, drained.

#[path = "support/node.rs"]
mod support;

use serde_json::json;
use std::thread;
use support::*;

/// A sidecar that knows the first peer and watches this discovery server.
fn following(peer: &Peer, discovery: &Discovery, mode: &str) -> Sidecar {
    let mut config = config(&[peer]);
    config["discovery"] = json!(discovery.address.to_string());
    config["settings"]["discovery"] = json!(mode);
    Sidecar::start(&config)
}

#[test]
fn the_known_list_serves_while_discovery_is_down() {
    let peer = Peer::serving("ok");
    let sidecar = Sidecar::start(&config(&[&peer])); // its discovery refuses connections
    assert_eq!(sidecar.ask("book", "r1").status(), 200);
}

#[test]
fn a_draining_endpoint_gets_no_new_requests_and_its_idle_connections_are_closed() {
    for (mode, state) in [("subscribe", "draining"), ("automatic", "removed")] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        let discovery = Discovery::new(list(8, false, &[]));
        let sidecar = following(&old, &discovery, mode);
        assert_eq!(sidecar.ask("book", "r1").body, b"old");
        discovery.send_line(&list(9, false, &[target("s-new", new.address, "up")]).to_string());
        discovery.send_line(&list(10, false, &[target("s-0", old.address, state)]).to_string());
        wait_for("the idle connection to close", || old.closed() == 1);
        let before = old.count();
        for n in 0..20 {
            assert_eq!(sidecar.ask("book", &format!("s{n}")).body, b"new");
        }
        assert_eq!(old.count(), before, "no new request was sent there");
    }
}

#[test]
fn an_endpoint_at_a_new_address_is_found_there() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = following(&old, &discovery, "subscribe");
    assert_eq!(sidecar.ask("book", "r1").body, b"old");
    discovery.send_line(&list(9, false, &[target("s-0", new.address, "up")]).to_string());
    wait_for("the connection to the old address to close", || old.closed() == 1);
    assert_eq!(sidecar.ask("book", "r2").body, b"new");
}

#[test]
fn an_endpoint_missing_from_a_full_list_is_removed() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let discovery = Discovery::new(list(8, true, &[target("s-new", new.address, "up")]));
    let sidecar = following(&old, &discovery, "subscribe");
    wait_for("the new list", || sidecar.ask("quote", "r").body == b"new");
    for n in 0..10 {
        assert_eq!(sidecar.ask("book", &format!("r{n}")).body, b"new");
    }
}

#[test]
fn a_silent_watch_is_dropped_and_followed_from_the_last_version() {
    for mode in ["subscribe", "automatic"] {
        let peer = Peer::serving("ok");
        let discovery = Discovery::new(list(8, false, &[])); // never sends keep-alive lines
        let sidecar = following(&peer, &discovery, mode);
        wait_for("the first watch", || discovery.calls().len() == 1);
        assert_eq!(discovery.calls()[0], "/api/targets?watch=1&after=7", "from the known version");
        discovery.send_line(&list(12, false, &[]).to_string());
        wait_for("a second watch", || discovery.calls().len() == 2);
        assert_eq!(discovery.calls()[1], "/api/targets?watch=1&after=12");
        assert_eq!(sidecar.ask("quote", "r").status(), 200);
    }
}

#[test]
fn a_watch_with_an_undecodable_line_begins_again() {
    for mode in ["subscribe", "automatic"] {
        let peer = Peer::serving("ok");
        let discovery = Discovery::new(list(8, false, &[]));
        let sidecar = following(&peer, &discovery, mode);
        wait_for("the first watch", || discovery.calls().len() == 1);
        discovery.send_line("{\"rev\":9,\"all\":false,\"targets\":[{\"uid\":7}]}");
        wait_for("a second watch", || discovery.calls().len() == 2);
        assert_eq!(discovery.calls()[1], "/api/targets?watch=1&after=8", "the change was not skipped");
        assert_eq!(sidecar.ask("quote", "r").status(), 200);
    }
}

#[test]
fn a_watch_kept_alive_by_empty_lines_is_not_dropped() {
    let peer = Peer::serving("ok");
    let discovery = Discovery::new(list(8, false, &[]));
    let _sidecar = following(&peer, &discovery, "subscribe");
    wait_for("the first watch", || discovery.calls().len() == 1);
    for _ in 0..14 {
        thread::sleep(std::time::Duration::from_millis(500));
        discovery.send_line("");
    }
    assert_eq!(discovery.calls().len(), 1);
}

#[test]
fn no_state_is_kept_of_replaced_endpoints() {
    let peer = Peer::serving("ok");
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = following(&peer, &discovery, "subscribe");
    wait_for("the first watch", || discovery.calls().len() == 1);
    let mut old = "s-0".to_owned();
    for n in 0..200 {
        // Each new endpoint has the address of the removed one.
        let new = format!("n-{n}");
        let change = [target(&new, peer.address, "up"), target(&old, peer.address, "removed")];
        discovery.send_line(&list(9 + n, false, &change).to_string());
        assert_eq!(sidecar.ask("book", &format!("r{n}")).status(), 200);
        old = new;
    }
    wait_for("all of them to be replaced", || sidecar.log().contains("n-198 is gone"));
    let sizes = "listed 1, names 1, idle connections ";
    wait_for("a summary", || sidecar.log().lines().last().is_some_and(|line| line.contains(sizes)));
}

#[test]
fn a_new_endpoint_at_an_old_address_gets_connections_of_its_own() {
    let peer = Peer::serving("ok");
    let discovery = Discovery::new(list(8, false, &[]));
    let sidecar = following(&peer, &discovery, "subscribe");
    wait_for("the first watch", || discovery.calls().len() == 1);
    assert_eq!(sidecar.ask("book", "r1").status(), 200);
    let change = [target("s-new", peer.address, "up"), target("s-0", peer.address, "removed")];
    discovery.send_line(&list(9, false, &change).to_string());
    wait_for("the connection of the old endpoint to close", || peer.closed() == 1);
    assert_eq!(sidecar.ask("book", "r2").status(), 200);
    assert_eq!(peer.connections.load(std::sync::atomic::Ordering::SeqCst), 2);
}
