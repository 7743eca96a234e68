//! Each port is allocated once, and nothing listens on it before its owner does.

use runtrack_testkit::{free_address, is_listening, listener, reserve_port};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, TcpStream};

#[test]
fn nothing_listens_at_a_reserved_port_while_a_copy_of_its_socket_is_open() {
    // The reservation stays open, like the copy in a child process that has not executed its program yet.
    let reserved = reserve_port();
    assert!(!is_listening(reserved.address));
    assert!(TcpStream::connect(reserved.address).is_err(), "nobody is there");
    let owner = TcpListener::bind(reserved.address).expect("its owner can listen");
    assert!(is_listening(reserved.address));
    TcpStream::connect(reserved.address).expect("its owner is there");
    drop(owner);
}

#[test]
fn a_copy_of_a_listener_goes_on_listening_and_the_check_sees_it() {
    let probe = listener();
    let address = probe.local_addr().expect("its address");
    let copy = probe.try_clone().expect("a copy");
    drop(probe);
    assert!(is_listening(address), "what a listener that looks for a free port leaves behind");
    assert!(TcpListener::bind(address).is_err(), "its owner can't listen");
    drop(copy);
}

#[test]
fn no_port_is_given_twice() {
    let given: BTreeSet<SocketAddr> = (0..200).map(|_| free_address()).collect();
    assert_eq!(given.len(), 200);
}
