//! Forwarding of request headers to an endpoint and of response headers to a client.

mod support;

use hyper::StatusCode;
use support::{FakeEndpoint, Fleet, RawClient, reply_with, route, run};

fn routes() -> Vec<String> {
    vec![route("once", "non_idempotent", 3, false)]
}

/// The request that an endpoint receives if a client sends these headers, each ending with CRLF, and a body of five
/// bytes.
async fn forwarded(headers: &str) -> support::ReceivedRequest {
    let endpoint = FakeEndpoint::start("i-1", vec![]).await;
    let fleet = Fleet::start(&routes(), &[&endpoint]).await;
    let mut client = RawClient::connect(&fleet).await;
    client.write(&support::request("/once/x", "a1", headers, "bytes")).await;
    client.read_until("unscripted").await;
    endpoint.received.take().swap_remove(0)
}

#[test]
fn client_values_of_fleet_headers_are_replaced() {
    run(async {
        let headers = "Priority: 0\r\nPriority: 9\r\nX-Target-Instance: i-9\r\nX-Target-Instance: i-8\r\n\
                       X-Time-Budget-Ms: 5000\r\nX-Time-Budget-Ms: 9000000\r\n";
        let received = forwarded(headers).await;
        assert_eq!(received.all("priority"), ["1"]);
        assert_eq!(received.all("x-target-instance"), ["i-1"]);
        let budgets = received.all("x-time-budget-ms");
        assert_eq!(budgets.len(), 1);
        assert!(budgets[0].parse::<u64>().is_ok_and(|budget| budget <= 5000), "{budgets:?}");
    });
}

#[test]
fn client_headers_are_forwarded_unchanged_and_in_order() {
    run(async {
        let headers = "X-Model: m\r\nX-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n\
                       X-Many: one\r\nX-Many: two,three\r\nX-Many: one\r\nExpect-Version: 7\r\nLast-Event-Id: 5\r\n";
        let received = forwarded(headers).await;
        assert_eq!(received.all("x-model"), ["m"]);
        assert_eq!(received.all("x-token-count"), ["1460,80"]);
        assert_eq!(received.all("x-prompt-prefix"), ["5c1e07a2:800,91bd3f06:410"]);
        assert_eq!(received.all("x-many"), ["one", "two,three", "one"]);
        assert_eq!(received.all("expect-version"), ["7"], "the fleet does not set this header");
        assert_eq!(received.all("last-event-id"), ["5"]);
        assert_eq!(received.body, b"bytes");
    });
}

#[test]
fn only_hop_by_hop_headers_are_removed() {
    run(async {
        let headers = "Connection: keep-alive, X-Hop, X-Model, X-Prompt-Prefix, X-Token-Count\r\n\
                       Connection: X-Attempt-Id, Host, Last-Event-Id, X-Time-Budget-Ms\r\nX-Hop: 1\r\nX-Model: m\r\n\
                       X-Prompt-Prefix: a:1\r\nX-Token-Count: 1,1\r\nLast-Event-Id: 5\r\nKeep-Alive: timeout=5\r\n\
                       Proxy-Connection: keep-alive\r\nTE: trailers\r\nUpgrade: other\r\n";
        let received = forwarded(headers).await;
        for name in ["x-hop", "keep-alive", "proxy-connection", "te", "upgrade", "connection"] {
            assert_eq!(received.all(name), Vec::<&str>::new(), "{name}");
        }
        for (name, value) in [
            ("x-model", "m"),
            ("x-prompt-prefix", "a:1"),
            ("x-token-count", "1,1"),
            ("last-event-id", "5"),
            ("x-attempt-id", "a1"),
            ("host", "h.example"),
        ] {
            assert_eq!(received.all(name), [value], "{name}");
        }
    });
}

#[test]
fn the_connection_header_of_a_response_removes_no_end_to_end_headers() {
    run(async {
        let headers = "Connection: X-Server-Seal, X-Attempt-Id, Versions, X-Hop\r\nVersions: 3\r\nX-Hop: 1\r\n\
                      X-Attempt-Id: {id}\r\n";
        let endpoint = FakeEndpoint::start("i-1", vec![vec![reply_with("200 OK", headers, "fine")]]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let response = fleet.send("/once/x", "a1", &[], "x").await;
        assert_eq!((response.status, response.body.as_str()), (StatusCode::OK, "fine"));
        assert_eq!(response.headers["x-server-seal"], "s1");
        assert_eq!(response.headers["x-attempt-id"], "a1");
        assert_eq!(response.headers["versions"], "3");
        assert_eq!(response.headers.get("x-hop"), None);
    });
}

#[test]
fn chunked_encoding_takes_precedence_over_content_length() {
    run(async {
        let endpoint = FakeEndpoint::start("i-1", vec![]).await;
        let fleet = Fleet::start(&routes(), &[&endpoint]).await;
        let mut client = RawClient::connect(&fleet).await;
        let hidden = support::request("/once/x", "hidden", "", "x");
        let outer = format!(
            "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nContent-Length: {}\r\n\
             Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
            hidden.len() + 5
        );
        client.write(&outer).await;
        client.read_until("HTTP/1.1 ").await;
        assert!(fleet.send("/once/x", "a2", &[], "x").await.status.is_success());
        let received = endpoint.received.borrow();
        let in_body =
            received.iter().any(|received| String::from_utf8_lossy(&received.body).contains("hidden"));
        assert!(!in_body, "bytes after the last chunk are not part of the body");
        assert!(received.iter().all(|received| received.all("transfer-encoding").is_empty()));
    });
}
