//! Tests of the built sidecar and SIGHUP: new discovery address, invalid files, drains.

#[path = "support/node.rs"]
mod support;

use serde_json::{Value, json};
use std::time::Duration;
use support::*;

/// A sidecar that knows the first peer and watches this discovery server, with its configuration.
fn following(peer: &Peer, discovery: &Discovery, mode: &str) -> (Sidecar, Value) {
    let mut config = config(&[peer]);
    config["discovery"] = json!(discovery.address.to_string());
    config["settings"]["discovery"] = json!(mode);
    (Sidecar::start(&config), config)
}

#[test]
fn a_new_discovery_address_is_followed_at_once_whatever_its_version_and_the_old_one_is_ignored() {
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        let first = Discovery::new(list(900, false, &[]));
        let (sidecar, mut config) = following(&old, &first, mode);
        wait_for("the first watch", || first.calls().len() == 1);
        assert_eq!(sidecar.ask("book", "r1").body, b"old");
        // List versions are per server: a lower one is not an older list.
        let second = Discovery::new(list(3, true, &[target("s-new", new.address, "up")]));
        config["discovery"] = json!(second.address.to_string());
        sidecar.reload(&config.to_string());
        wait_for("the list of the new server", || sidecar.ask("quote", "r2").body == b"new");
        wait_for("the new watch", || second.calls().len() == 2);
        assert_eq!(second.calls(), ["/api/targets", "/api/targets?watch=1&after=3"], "{mode}");
        first.send_line(&list(901, true, &[target("s-0", old.address, "up")]).to_string());
        second.send_line(&list(4, false, &[target("s-new", new.address, "up")]).to_string());
        for n in 0..20 {
            assert_eq!(
                sidecar.ask("book", &format!("s{n}")).body,
                b"new",
                "the late update of the old server"
            );
        }
        assert_eq!(first.calls().len(), 1, "the old server is not called again");
    }
}

#[test]
fn a_discovery_that_is_not_up_yet_is_found_once_it_is() {
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (Peer::serving("old"), Peer::serving("new"));
        let first = Discovery::new(list(8, false, &[]));
        let (sidecar, mut config) = following(&old, &first, mode);
        wait_for("the first watch", || first.calls().len() == 1);
        let address = free_address();
        config["discovery"] = json!(address.to_string());
        sidecar.reload(&config.to_string());
        std::thread::sleep(Duration::from_millis(300));
        assert_eq!(sidecar.ask("book", "r1").body, b"old", "the known list is used until then");
        let _second = Discovery::at(address, list(2, true, &[target("s-new", new.address, "up")]));
        wait_for("the list of the new server", || sidecar.ask("quote", "r2").body == b"new");
    }
}

#[test]
fn repeated_sighups_and_invalid_files_do_not_affect_open_requests() {
    let peer = Peer::new(|_| Reply::Late(Duration::from_millis(700)));
    let discovery = Discovery::new(list(8, false, &[]));
    let (mut sidecar, config) = following(&peer, &discovery, "subscribe");
    wait_for("the first watch", || discovery.calls().len() == 1);
    let mut client = sidecar.client();
    client.send(&request("book", "r1", "20000m"));
    wait_for("the attempt to start", || peer.count() == 1);
    let (mut bad_address, mut bad_class, mut restart) = (config.clone(), config.clone(), config.clone());
    bad_address["discovery"] = json!("somewhere");
    bad_class["settings"]["classes"][1]["worth"] = json!(-1.0);
    restart["limits"]["sockets"] = json!(512);
    for text in [
        "{".to_owned(),
        String::new(),
        bad_address.to_string(),
        bad_class.to_string(),
        restart.to_string(),
        config.to_string(),
    ] {
        sidecar.reload(&text);
    }
    for _ in 0..20 {
        sidecar.signal("-HUP");
    }
    assert_eq!(client.receive().expect("an answer nevertheless").status(), 200);
    assert_eq!((sidecar.ask("book", "r2").status(), peer.count()), (200, 2));
    assert!(sidecar.child.try_wait().unwrap().is_none());
    assert_eq!(discovery.calls().len(), 1, "the watch continues if the address is unchanged");
}

#[test]
fn sighup_during_a_drain_does_not_interrupt_it() {
    let peer = Peer::new(|_| Reply::Late(Duration::from_millis(1000)));
    let mut sidecar = Sidecar::start(&config(&[&peer]));
    let mut client = sidecar.client();
    client.send(&request("book", "r1", "20000m"));
    wait_for("the attempt to start", || peer.count() == 1);
    sidecar.signal("-TERM");
    wait_for("the drain to begin", || sidecar.ready().is_some_and(|status| status != 200));
    sidecar.signal("-HUP");
    assert_eq!(client.receive().expect("an answer despite both signals").status(), 200);
    assert!(sidecar.wait_exit().success());
}
