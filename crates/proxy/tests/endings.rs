//! Ends of responses: at the timeout of their route, by a reset, and during changes of the fleet.

mod support;

use hyper::StatusCode;
use runtrack_message::EndpointState;
use std::rc::Rc;
use support::{
    Action, ClientResponse, FakeEndpoint, Fleet, ID_LINE, RawClient, chunk, event, last_chunk, reply,
    reply_with, request, route, run, stream_head, with_timeout,
};
use tokio::sync::Notify;

/// Timeout of the routes in these tests, in milliseconds.
const TIMEOUT_MS: u32 = 500;
/// Time in milliseconds by which a request that has reached its route's timeout must have a response; the timeout of
/// the route `clock`.
const MAX_RESPONSE_MS: u32 = TIMEOUT_MS + 250;

fn short_routes() -> Vec<String> {
    vec![
        with_timeout(&route("once", "non_idempotent", 3, false), TIMEOUT_MS),
        with_timeout(&route("again", "idempotent", 3, false), TIMEOUT_MS),
        with_timeout(&route("stream", "streaming", 3, false), TIMEOUT_MS),
        with_timeout(&route("resumed", "streaming", 3, true), TIMEOUT_MS),
        with_timeout(&route("clock", "non_idempotent", 1, false), MAX_RESPONSE_MS),
    ]
}

/// The response that a client with a large time budget gets within [`MAX_RESPONSE_MS`].
async fn answered_in_time(fleet: &Fleet, path: &str) -> Option<ClientResponse> {
    let time_limit = async {
        fleet.wait_out_timeout("/clock/x").await;
        // If the proxy was paused until then, it has processed everything that was due before by the time of this
        // response.
        fleet.send("/none/x", "a2", &[], "").await;
    };
    tokio::select! {
        biased;
        response = fleet.send(path, "a1", &[("x-time-budget-ms", "60000")], "x") => Some(response),
        () = time_limit => None,
    }
}

fn routes() -> Vec<String> {
    vec![
        route("once", "non_idempotent", 3, false),
        route("again", "idempotent", 3, false),
        route("stream", "streaming", 3, false),
        route("resumed", "streaming", 3, true),
    ]
}

/// A response with status 200 and a seal, up to and including `rest`.
fn sealed(rest: &str) -> Action {
    Action::Send(format!("HTTP/1.1 200 OK\r\n{ID_LINE}X-Server-Seal: s1\r\n{rest}"))
}

#[test]
fn a_late_endpoint_is_reported_to_the_client_at_the_route_timeout() {
    let never = Rc::new(Notify::new());
    let large = "x".repeat(300 << 10);
    let late: Vec<(&str, Vec<Action>)> = vec![
        ("all", vec![]),
        ("the end of the head", vec![Action::Send("HTTP/1.1 200 OK\r\nX-At".into())]),
        ("the final head", vec![Action::Send("HTTP/1.1 103 Early Hints\r\n\r\n".into())]),
        ("the body", vec![sealed("Content-Length: 4\r\n\r\n")]),
        ("the end of the body", vec![sealed("Content-Length: 4\r\n\r\nbod")]),
        ("the end of a large body", vec![sealed("Content-Length: 900000\r\n\r\n"), Action::Send(large)]),
        ("the end of the connection", vec![sealed("\r\nbody")]),
        ("the first event", vec![stream_head("s1")]),
        ("the second event", vec![stream_head("s1"), chunk(&event(1))]),
        ("the last chunk", vec![stream_head("s1"), chunk(&event(1)), chunk(&event(2))]),
    ];
    run(async move {
        let mut wrong = Vec::new();
        for (name, mut actions) in late {
            actions.push(Action::Wait(never.clone()));
            let endpoints = [
                FakeEndpoint::start("i-1", vec![actions.clone(); 4]).await,
                FakeEndpoint::start("i-2", vec![actions; 4]).await,
            ];
            let fleet = Fleet::start(&short_routes(), &[&endpoints[0], &endpoints[1]]).await;
            for path in ["/once/x", "/again/x", "/stream/x", "/resumed/x"] {
                let response = answered_in_time(&fleet, path).await;
                let fails =
                    |got: &ClientResponse| got.status == StatusCode::GATEWAY_TIMEOUT || !got.complete;
                wrong.extend((!response.as_ref().is_some_and(fails)).then_some((name, path, response)));
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

#[test]
fn an_endpoint_that_accepts_no_connection_delays_a_request_until_the_route_timeout_at_most() {
    run(async {
        // One connection fills the accept queue; further connection attempts time out.
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("failed to create the socket");
        let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("invalid address");
        socket.bind(&any.into()).expect("failed to bind");
        socket.listen(0).expect("failed to listen");
        let address =
            socket.local_addr().expect("no local address").as_socket_ipv4().expect("not an IPv4 address");
        let _queued = std::net::TcpStream::connect(address).expect("failed to connect");
        let mut endpoint = FakeEndpoint::start("i-1", vec![]).await;
        endpoint.address = address;
        let fleet = Fleet::start(&short_routes(), &[&endpoint]).await;
        let response = answered_in_time(&fleet, "/once/x").await.expect("no response in time");
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "the request has not run");
    });
}

#[test]
fn a_response_without_a_length_that_is_reset_is_truncated() {
    let large = "x".repeat(300 << 10);
    let events = event(1) + &event(2);
    run(async move {
        for (path, body) in [
            ("/once/x", "short"),
            ("/once/x", &large),
            ("/stream/x", &events),
            ("/resumed/x", &events),
            ("/stream/x", "no event"),
        ] {
            let proceed = Rc::new(Notify::new());
            let actions =
                vec![sealed(&format!("\r\n{body}")), Action::Wait(proceed.clone()), Action::Reset];
            let endpoint = FakeEndpoint::start("i-1", vec![actions]).await;
            let fleet = Fleet::start(&routes(), &[&endpoint]).await;
            let resetting = async {
                endpoint.request_received().await;
                // Once another request has been answered, the proxy has received the bytes sent before.
                assert_eq!(fleet.send("/again/x", "a2", &[], "x").await.status, StatusCode::OK);
                proceed.notify_one();
            };
            let (response, ()) = tokio::join!(fleet.send(path, "a1", &[], "x"), resetting);
            assert!(
                response.status == StatusCode::BAD_GATEWAY || !response.complete,
                "{path} {response:?}"
            );
        }
    });
}

/// Checks that requests of each kind complete if this change is made while they are in progress.
async fn check_requests_during(change: impl AsyncFn(&Fleet, &FakeEndpoint)) {
    for path in ["/once/x", "/again/x", "/stream/x", "/resumed/x"] {
        let proceed = Rc::new(Notify::new());
        let actions = vec![
            stream_head("s1"),
            chunk(&event(1)),
            Action::Wait(proceed.clone()),
            chunk(&event(2)),
            last_chunk(),
        ];
        let endpoint = FakeEndpoint::start("i-1", vec![actions]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request(path, "a1", "", "x")).await;
        endpoint.request_received().await;
        change(&fleet, &endpoint).await;
        proceed.notify_one();
        client.read_until("piece 2").await;
        assert!(String::from_utf8_lossy(&client.read).starts_with("HTTP/1.1 200 OK"), "{path}");
        assert_eq!(endpoint.received.borrow().len(), 1, "{path}");
    }
}

#[test]
fn sighup_interrupts_no_request() {
    run(check_requests_during(async |fleet, _| {
        fleet.send_sighup();
        fleet.wait_for_log("settings.unchanged", "").await;
        assert_eq!(
            fleet.send("/none/x", "a2", &[], "").await.status,
            StatusCode::NOT_FOUND,
            "the proxy continues to serve"
        );
    }));
}

#[test]
fn removing_a_route_interrupts_no_request() {
    run(check_requests_during(async |fleet, _| {
        fleet.configure(2, &[route("other", "idempotent", 1, false)]).await;
    }));
}

#[test]
fn draining_an_endpoint_interrupts_no_request() {
    run(check_requests_during(async |fleet, endpoint| {
        fleet.gossip.merge(vec![endpoint.record(EndpointState::Draining, 2)], None);
        fleet.wait_for_log("endpoints.ready", "\"count\":0").await;
    }));
}

#[test]
fn a_graceful_shutdown_interrupts_no_request() {
    run(check_requests_during(async |fleet, _| {
        fleet.terminate();
        fleet.wait_for_log("proxy.terminate", "").await;
        assert!(!fleet.is_ready().await);
    }));
}

#[test]
fn model_weight_versions_are_forwarded_unchanged() {
    run(async {
        let versioned = "versions: 8\nid: 1\ndata: piece 1\n\n";
        for (version, path) in [("7", "/stream/x"), ("7", "/resumed/x"), ("seven, or none", "/resumed/x")] {
            let head = sealed(&format!("Versions: {version}\r\nTransfer-Encoding: chunked\r\n\r\n"));
            let actions = vec![head, chunk(versioned), chunk(&event(2)), last_chunk()];
            let endpoint = FakeEndpoint::start("i-1", vec![actions]).await;
            let fleet = Fleet::start(&routes(), &[&endpoint]).await;
            let response = fleet.send(path, "a1", &[], "x").await;
            assert_eq!((response.status, response.complete), (StatusCode::OK, true));
            assert_eq!(response.headers["versions"], version);
            assert_eq!(response.body, format!("{versioned}{}", event(2)));
        }
    });
}

/// The proxy neither follows redirects nor creates any; the client gets the endpoint's redirect.
#[test]
fn a_redirect_is_forwarded_and_not_followed() {
    run(async {
        let redirect = || vec![reply_with("307 Temporary Redirect", "Location: /again/x\r\n", "")];
        let endpoint = FakeEndpoint::start("i-1", vec![redirect(), redirect()]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let response = fleet.send("/again/x", "a1", &[], "x").await;
        assert_eq!(
            (response.status, &response.headers["location"]),
            (StatusCode::TEMPORARY_REDIRECT, &"/again/x".parse().expect("invalid header value"))
        );
        assert_eq!(endpoint.received.borrow().len(), 1);
    });
}

/// Rule DENIED: the proxy responds with 404 only if a configuration has no route for the request.
#[test]
fn a_proxy_without_a_configuration_refuses_requests_until_it_gets_one() {
    run(async {
        let endpoint = FakeEndpoint::start("i-1", vec![vec![reply("200 OK", "fine")]]).await;
        let fleet = Fleet::start_unconfigured("bounds.retrySlack=56\n", None).await;
        fleet.wait_until_listening().await;
        fleet.gossip.merge(vec![endpoint.record(EndpointState::Ready, 1)], None);
        fleet.wait_for_log("endpoints.ready", "\"count\":1").await;
        assert!(!fleet.is_ready().await);
        for path in ["/once/x", "/none/x"] {
            let response = fleet.send(path, "a1", &[], "x").await;
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            assert!(response.headers.contains_key("retry-after"));
        }
        fleet.configure(1, &routes()).await;
        assert_eq!(fleet.send("/none/x", "a2", &[], "x").await.status, StatusCode::NOT_FOUND);
        assert_eq!(fleet.send("/once/x", "a3", &[], "x").await.body, "fine");
    });
}
