//! How answers end: at the time limit of their route, by a reset, and while the fleet changes round them.

mod support;

use hyper::StatusCode;
use runtrack_message::EndpointState;
use std::rc::Rc;
use support::{
    Act, Fleet, Got, ID_LINE, RawClient, Stand, answer, answer_with, chunk, event, last_chunk, request,
    route, run, stream_head, with_timeout,
};
use tokio::sync::Notify;

/// Time limit of the routes here, in milliseconds.
const TIMEOUT: u32 = 500;
/// When a request that has reached its route's time limit must have been answered: the time limit of the route `clock`.
const LATEST: u32 = TIMEOUT + 250;

fn short_routes() -> Vec<String> {
    vec![
        with_timeout(&route("once", "non_idempotent", 3, false), TIMEOUT),
        with_timeout(&route("again", "idempotent", 3, false), TIMEOUT),
        with_timeout(&route("stream", "streaming", 3, false), TIMEOUT),
        with_timeout(&route("resumed", "streaming", 3, true), TIMEOUT),
        with_timeout(&route("clock", "non_idempotent", 1, false), LATEST),
    ]
}

/// What a client with much time gets by then.
async fn answered_in_time(fleet: &Fleet, path: &str) -> Option<Got> {
    let too_late = async {
        fleet.outlast("/clock/x").await;
        // Where the proxy stood still until then, it has now done what was due before.
        fleet.ask("/none/x", "a2", &[], "").await;
    };
    tokio::select! {
        biased;
        got = fleet.ask(path, "a1", &[("x-time-budget-ms", "60000")], "x") => Some(got),
        () = too_late => None,
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

/// The head of a success, and what follows it.
fn sealed(rest: &str) -> Act {
    Act::Send(format!("HTTP/1.1 200 OK\r\n{ID_LINE}X-Server-Seal: s1\r\n{rest}"))
}

#[test]
fn a_late_endpoint_is_reported_to_the_client_at_the_route_timeout() {
    let never = Rc::new(Notify::new());
    let large = "x".repeat(300 << 10);
    let late: Vec<(&str, Vec<Act>)> = vec![
        ("all", vec![]),
        ("the end of the head", vec![Act::Send("HTTP/1.1 200 OK\r\nX-At".into())]),
        ("the final head", vec![Act::Send("HTTP/1.1 103 Early Hints\r\n\r\n".into())]),
        ("the body", vec![sealed("Content-Length: 4\r\n\r\n")]),
        ("the end of the body", vec![sealed("Content-Length: 4\r\n\r\nbod")]),
        ("the end of a large body", vec![sealed("Content-Length: 900000\r\n\r\n"), Act::Send(large)]),
        ("the end of the connection", vec![sealed("\r\nbody")]),
        ("the first event", vec![stream_head("s1")]),
        ("the second event", vec![stream_head("s1"), chunk(&event(1))]),
        ("the last chunk", vec![stream_head("s1"), chunk(&event(1)), chunk(&event(2))]),
    ];
    run(async move {
        let mut wrong = Vec::new();
        for (name, mut acts) in late {
            acts.push(Act::Wait(never.clone()));
            let stands = [
                Stand::start("i-1", vec![acts.clone(); 4]).await,
                Stand::start("i-2", vec![acts; 4]).await,
            ];
            let fleet = Fleet::start(&short_routes(), &[&stands[0], &stands[1]]).await;
            for path in ["/once/x", "/again/x", "/stream/x", "/resumed/x"] {
                let got = answered_in_time(&fleet, path).await;
                let fails = |got: &Got| got.status == StatusCode::GATEWAY_TIMEOUT || !got.whole;
                wrong.extend((!got.as_ref().is_some_and(fails)).then_some((name, path, got)));
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

#[test]
fn an_endpoint_that_accepts_no_connection_delays_a_request_until_the_route_timeout_at_most() {
    run(async {
        // One connection fills its queue; the next ones are not answered.
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("it listens");
        let address = socket.local_addr().expect("an address").as_socket_ipv4().expect("IPv4");
        let _queued = std::net::TcpStream::connect(address).expect("a connection");
        let mut stand = Stand::start("i-1", vec![]).await;
        stand.address = address;
        let fleet = Fleet::start(&short_routes(), &[&stand]).await;
        let got = answered_in_time(&fleet, "/once/x").await.expect("it is answered in time");
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "it has not run");
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
            let go_on = Rc::new(Notify::new());
            let acts = vec![sealed(&format!("\r\n{body}")), Act::Wait(go_on.clone()), Act::Reset];
            let stand = Stand::start("i-1", vec![acts]).await;
            let fleet = Fleet::start(&routes(), &[&stand]).await;
            let resetting = async {
                stand.came().await;
                // An answer to another request comes after what was sent before it.
                assert_eq!(fleet.ask("/again/x", "a2", &[], "x").await.status, StatusCode::OK);
                go_on.notify_one();
            };
            let (got, ()) = tokio::join!(fleet.ask(path, "a1", &[], "x"), resetting);
            assert!(got.status == StatusCode::BAD_GATEWAY || !got.whole, "{path} {got:?}");
        }
    });
}

/// Requests of each kind that are under way while this is done to the fleet come to their end.
async fn under_way_while(change: impl AsyncFn(&Fleet, &Stand)) {
    for path in ["/once/x", "/again/x", "/stream/x", "/resumed/x"] {
        let go_on = Rc::new(Notify::new());
        let acts = vec![
            stream_head("s1"),
            chunk(&event(1)),
            Act::Wait(go_on.clone()),
            chunk(&event(2)),
            last_chunk(),
        ];
        let stand = Stand::start("i-1", vec![acts]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let mut client = RawClient::connect(&fleet).await;
        client.write(&request(path, "a1", "", "x")).await;
        stand.came().await;
        change(&fleet, &stand).await;
        go_on.notify_one();
        client.read_until("piece 2").await;
        assert!(String::from_utf8_lossy(&client.read).starts_with("HTTP/1.1 200 OK"), "{path}");
        assert_eq!(stand.seen.borrow().len(), 1, "{path}");
    }
}

#[test]
fn sighup_interrupts_no_request() {
    run(under_way_while(async |fleet, _| {
        fleet.hang_up();
        fleet.logged("settings.unchanged", "").await;
        assert_eq!(fleet.ask("/none/x", "a2", &[], "").await.status, StatusCode::NOT_FOUND, "it serves on");
    }));
}

#[test]
fn removing_a_route_interrupts_no_request() {
    run(under_way_while(async |fleet, _| {
        fleet.configure(2, &[route("other", "idempotent", 1, false)]).await;
    }));
}

#[test]
fn draining_an_endpoint_interrupts_no_request() {
    run(under_way_while(async |fleet, stand| {
        fleet.gossip.merge(vec![stand.record(EndpointState::Draining, 2)], None);
        fleet.logged("endpoints.ready", "\"count\":0").await;
    }));
}

#[test]
fn a_graceful_shutdown_interrupts_no_request() {
    run(under_way_while(async |fleet, _| {
        fleet.terminate();
        fleet.logged("proxy.terminate", "").await;
        assert!(!fleet.is_ready().await);
    }));
}

#[test]
fn model_weight_versions_are_forwarded_unchanged() {
    run(async {
        let versioned = "versions: 8\nid: 1\ndata: piece 1\n\n";
        for (version, path) in [("7", "/stream/x"), ("7", "/resumed/x"), ("seven, or none", "/resumed/x")] {
            let head = sealed(&format!("Versions: {version}\r\nTransfer-Encoding: chunked\r\n\r\n"));
            let acts = vec![head, chunk(versioned), chunk(&event(2)), last_chunk()];
            let stand = Stand::start("i-1", vec![acts]).await;
            let fleet = Fleet::start(&routes(), &[&stand]).await;
            let got = fleet.ask(path, "a1", &[], "x").await;
            assert_eq!((got.status, got.whole), (StatusCode::OK, true));
            assert_eq!(got.headers["versions"], version);
            assert_eq!(got.body, format!("{versioned}{}", event(2)));
        }
    });
}

/// The proxy follows no redirection and gives none: what an endpoint says is the client's.
#[test]
fn a_redirect_is_forwarded_and_not_followed() {
    run(async {
        let circle = || vec![answer_with("307 Temporary Redirect", "Location: /again/x\r\n", "")];
        let stand = Stand::start("i-1", vec![circle(), circle()]).await;
        let fleet = Fleet::start(&routes(), &[&stand]).await;
        let got = fleet.ask("/again/x", "a1", &[], "x").await;
        assert_eq!(
            (got.status, &got.headers["location"]),
            (StatusCode::TEMPORARY_REDIRECT, &"/again/x".parse().expect("a value"))
        );
        assert_eq!(stand.seen.borrow().len(), 1);
    });
}

/// Rule DENIED: only what no configuration allows is not found.
#[test]
fn a_proxy_without_a_configuration_refuses_requests_until_it_gets_one() {
    run(async {
        let stand = Stand::start("i-1", vec![vec![answer("200 OK", "fine")]]).await;
        let fleet = Fleet::start_unconfigured("bounds.retrySlack=56\n", None).await;
        fleet.listens().await;
        fleet.gossip.merge(vec![stand.record(EndpointState::Ready, 1)], None);
        fleet.logged("endpoints.ready", "\"count\":1").await;
        assert!(!fleet.is_ready().await);
        for path in ["/once/x", "/none/x"] {
            let got = fleet.ask(path, "a1", &[], "x").await;
            assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            assert!(got.headers.contains_key("retry-after"));
        }
        fleet.configure(1, &routes()).await;
        assert_eq!(fleet.ask("/none/x", "a2", &[], "x").await.status, StatusCode::NOT_FOUND);
        assert_eq!(fleet.ask("/once/x", "a3", &[], "x").await.body, "fine");
    });
}
