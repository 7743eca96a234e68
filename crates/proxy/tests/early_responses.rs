//! Endpoints that respond before they have read a long request body and read on later: the connection must carry only
//! the rest of that body, and later requests must not be affected.

mod support;

use hyper::StatusCode;
use std::net::SocketAddr;
use support::{FakeEndpoint, Fleet, RawClient, reply, request, route, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SEAL: &str = "X-Server-Seal: s1\r\n";

fn routes() -> Vec<String> {
    vec![
        route("once", "non_idempotent", 3, false),
        route("again", "idempotent", 3, false),
        route("stream", "streaming", 3, false),
    ]
}

/// An endpoint whose connections the test handles itself.
struct RawEndpoint {
    listener: TcpListener,
    fleet: Fleet,
}

/// A connection to the endpoint, and the bytes read from it.
struct RequestConnection {
    stream: TcpStream,
    read: Vec<u8>,
}

impl RawEndpoint {
    /// Starts the endpoint and a fleet in which it serves together with these endpoints.
    async fn start(others: &[&FakeEndpoint]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind");
        let SocketAddr::V4(address) = listener.local_addr().expect("no local address") else {
            panic!("not an IPv4 address")
        };
        let mut own = FakeEndpoint::start("i-own", vec![]).await;
        own.address = address;
        let endpoints: Vec<&FakeEndpoint> = std::iter::once(&own).chain(others.iter().copied()).collect();
        let fleet = Fleet::start(&routes(), &endpoints).await;
        let large = support::config(2, &routes()).replace("100000", "50000000");
        fleet.gossip.take_config(2, large.into_bytes());
        fleet.wait_for_log("config.in_force", "\"version\":2").await;
        RawEndpoint { listener, fleet }
    }

    /// Accepts a new connection and reads the head of its first request, and possibly part of the body.
    async fn next_connection(&self) -> RequestConnection {
        let (stream, _) = self.listener.accept().await.expect("failed to accept");
        let mut connection = RequestConnection { stream, read: Vec::new() };
        connection.read_head(0).await;
        connection
    }

    async fn send(&self, path: &str, id: &str, length: usize) -> RawClient {
        let mut client = RawClient::connect(&self.fleet).await;
        client.write(&request(path, id, "", &"b".repeat(length))).await;
        client
    }
}

impl RequestConnection {
    /// Reads up to the end of the head that begins at this offset.
    async fn read_head(&mut self, from: usize) {
        while self.body_at(from).is_none() {
            assert!(
                self.stream.read_buf(&mut self.read).await.expect("failed to read") > 0,
                "the connection ended within a head"
            );
        }
    }

    fn body_at(&self, from: usize) -> Option<usize> {
        self.read[from..].windows(4).position(|four| four == b"\r\n\r\n").map(|end| from + end + 4)
    }

    async fn reply(&mut self, id: &str, status: &str, rest: &str) {
        let response = format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{SEAL}{rest}");
        self.stream.write_all(response.as_bytes()).await.expect("failed to write");
    }

    /// Reads to the end of the connection, and checks that the head is followed only by a body of this length or the
    /// beginning of one.
    async fn check_only_body_of(&mut self, length: usize) {
        let _ = self.stream.read_to_end(&mut self.read).await; // ends by a close or a reset
        let body = self.body_at(0).expect("no end of a head");
        assert!(self.read.len() - body <= length, "{} bytes beyond", self.read.len() - body - length);
        assert!(self.read[body..].iter().all(|byte| *byte == b'b'), "only the request body may follow");
    }
}

/// Larger than the socket buffers of both sides, so that the body can't be sent without being read.
const LONG_BODY_BYTES: usize = 24 << 20;

/// Early responses of each form: path, status, remainder of the response, and the body that the client receives.
fn early_responses() -> Vec<(&'static str, &'static str, &'static str, &'static str)> {
    vec![
        ("/once/x", "200 OK", "Content-Length: 5\r\n\r\nearly", "early"),
        ("/once/x", "200 OK", "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n", "early"),
        ("/stream/x", "200 OK", "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n", "early"),
        ("/once/x", "500 Internal Server Error", "Content-Length: 5\r\n\r\nearly", "early"),
        ("/once/x", "413 Payload Too Large", "Content-Length: 5\r\n\r\nearly", "early"),
    ]
}

#[test]
fn after_an_early_response_only_the_request_body_follows() {
    run(async {
        for (path, status, rest, body) in early_responses() {
            let endpoint = RawEndpoint::start(&[]).await;
            let send_request = async {
                let mut client = endpoint.send(path, "a1", LONG_BODY_BYTES).await;
                client.read_until(body).await;
                assert!(String::from_utf8_lossy(&client.read).starts_with(&format!("HTTP/1.1 {status}")));
                client
            };
            let respond_early = async {
                let mut first = endpoint.next_connection().await;
                first.reply("a1", status, rest).await;
                first
            };
            let (_client, mut first) = tokio::join!(send_request, respond_early);
            // More requests arrive while the rest of the body is outstanding; the endpoint reads on only after them.
            for id in ["a2", "a3"] {
                let _client = endpoint.send("/once/x", id, 6).await;
                let mut next = endpoint.next_connection().await;
                next.reply(id, "200 OK", "Connection: close\r\nContent-Length: 2\r\n\r\nok").await;
            }
            first.check_only_body_of(LONG_BODY_BYTES).await;
        }
    });
}

/// The socket buffers hold the whole body: for the proxy the body is sent, and its connection can be reused.
#[test]
fn after_an_early_response_the_next_request_follows_the_complete_sent_body() {
    const BUFFERED_BODY_BYTES: usize = 64 << 10;
    run(async {
        let endpoint = RawEndpoint::start(&[]).await;
        let send_request = endpoint.send("/once/x", "a1", BUFFERED_BODY_BYTES);
        let (mut client, mut first) = tokio::join!(send_request, endpoint.next_connection());
        first.reply("a1", "200 OK", "Content-Length: 5\r\n\r\nearly").await;
        client.read_until("early").await;
        let mut client = endpoint.send("/once/x", "a2", 6).await;
        // The request may use this connection or a new one; the endpoint reads on in both cases.
        let body = first.body_at(0).expect("no end of a head");
        let read_next_request = async {
            while first.read.len() < body + BUFFERED_BODY_BYTES {
                assert!(
                    first.stream.read_buf(&mut first.read).await.expect("failed to read") > 0,
                    "the connection ended within a body"
                );
            }
            first.read_head(body + BUFFERED_BODY_BYTES).await;
        };
        tokio::select! {
            () = read_next_request => {
                assert!(first.read[body..][..BUFFERED_BODY_BYTES].iter().all(|byte| *byte == b'b'));
                assert!(first.read[body + BUFFERED_BODY_BYTES..].starts_with(b"POST /once/x HTTP/1.1\r\n"));
                first.reply("a2", "200 OK", "Content-Length: 6\r\n\r\nsecond").await;
            }
            mut next = endpoint.next_connection() => {
                next.reply("a2", "200 OK", "Content-Length: 6\r\n\r\nsecond").await;
            }
        }
        client.read_until("second").await;
    });
}

/// If an endpoint refuses a request whose body it has not read, another endpoint gets the complete body.
#[test]
fn after_an_early_refusal_another_endpoint_gets_the_complete_body() {
    run(async {
        let other = FakeEndpoint::start("i-other", vec![vec![reply("200 OK", "fine")]; 8]).await;
        let endpoint = RawEndpoint::start(&[&other]).await;
        let refusal = "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        // The first endpoint is selected at random.
        loop {
            let before = other.received.borrow().len();
            let send_request = async {
                let mut client = endpoint.send("/once/x", "a1", LONG_BODY_BYTES).await;
                client.read_until("fine").await;
            };
            let refuse = async {
                let mut first = endpoint.next_connection().await;
                first.reply("a1", "503 Service Unavailable", refusal).await;
                first
            };
            let mut send_request = std::pin::pin!(send_request);
            tokio::select! {
                mut first = refuse => {
                    send_request.await;
                    first.check_only_body_of(LONG_BODY_BYTES).await;
                    let received = other.received.borrow();
                    assert_eq!(received.len(), before + 1);
                    assert_eq!(received[before].body.len(), LONG_BODY_BYTES);
                    assert!(received[before].body.iter().all(|byte| *byte == b'b'));
                    return;
                }
                () = send_request.as_mut() => {}
            }
        }
    });
}

#[test]
fn a_truncated_early_response_is_a_failure() {
    run(async {
        let endpoint = RawEndpoint::start(&[]).await;
        let send_request = async {
            let mut client = endpoint.send("/once/x", "a1", LONG_BODY_BYTES).await;
            client.read_until("HTTP/1.1 502").await;
        };
        let respond_early = async {
            let mut first = endpoint.next_connection().await;
            first.reply("a1", "200 OK", "Content-Length: 500\r\n\r\nearly").await;
        };
        tokio::join!(send_request, respond_early);
        assert_eq!(endpoint.fleet.send("/none/x", "a2", &[], "").await.status, StatusCode::NOT_FOUND);
    });
}
