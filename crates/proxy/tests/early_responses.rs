//! Endpoints that answer before they have read a long body, hold the connection and read on later: only the rest of that
//! body stands in its place, and the requests behind it are not harmed.

mod support;

use hyper::StatusCode;
use std::net::SocketAddr;
use support::{Fleet, RawClient, Stand, answer, request, route, run};
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

/// An endpoint that the test plays itself, connection by connection.
struct Endpoint {
    listener: TcpListener,
    fleet: Fleet,
}

/// A request that is being read: its connection, and what has been read of it.
struct Reading {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Endpoint {
    /// Beside these endpoints.
    async fn start(beside: &[&Stand]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else { panic!("IPv4") };
        let mut own = Stand::start("i-own", vec![]).await;
        own.address = address;
        let stands: Vec<&Stand> = std::iter::once(&own).chain(beside.iter().copied()).collect();
        let fleet = Fleet::start(&routes(), &stands).await;
        let large = support::config(2, &routes()).replace("100000", "50000000");
        fleet.gossip.take_config(2, large.into_bytes());
        fleet.logged("config.in_force", "\"version\":2").await;
        Endpoint { listener, fleet }
    }

    /// Reads the head of the next request on a new connection, and a little of its body.
    async fn next_connection(&self) -> Reading {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        let mut reading = Reading { stream, read: Vec::new() };
        reading.read_head(0).await;
        reading
    }

    async fn ask(&self, path: &str, id: &str, length: usize) -> RawClient {
        let mut client = RawClient::connect(&self.fleet).await;
        client.write(&request(path, id, "", &"b".repeat(length))).await;
        client
    }
}

impl Reading {
    /// Reads up to the end of a head that begins at this offset.
    async fn read_head(&mut self, from: usize) {
        while self.body_at(from).is_none() {
            assert!(self.stream.read_buf(&mut self.read).await.expect("it is sent") > 0, "a head comes");
        }
    }

    fn body_at(&self, from: usize) -> Option<usize> {
        self.read[from..].windows(4).position(|four| four == b"\r\n\r\n").map(|end| from + end + 4)
    }

    async fn answer(&mut self, id: &str, status: &str, rest: &str) {
        let answer = format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{SEAL}{rest}");
        self.stream.write_all(answer.as_bytes()).await.expect("it is read");
    }

    /// Reads on to the end of the connection: a body of this length, or the beginning of one, and nothing else.
    async fn holds_only_a_body_of(&mut self, length: usize) {
        let _ = self.stream.read_to_end(&mut self.read).await; // by a reset or by an end
        let body = self.body_at(0).expect("a head");
        assert!(self.read.len() - body <= length, "{} bytes beyond", self.read.len() - body - length);
        assert!(self.read[body..].iter().all(|byte| *byte == b'b'), "only the body stands in its place");
    }
}

/// Longer than what the two machines hold between them for a connection that is not read.
const LONG: usize = 24 << 20;

/// Early answers of each form, with what the client reads of them.
fn early_answers() -> Vec<(&'static str, &'static str, &'static str, &'static str)> {
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
        for (path, status, rest, body) in early_answers() {
            let endpoint = Endpoint::start(&[]).await;
            let asking = async {
                let mut client = endpoint.ask(path, "a1", LONG).await;
                client.read_until(body).await;
                assert!(String::from_utf8_lossy(&client.read).starts_with(&format!("HTTP/1.1 {status}")));
                client
            };
            let answering = async {
                let mut first = endpoint.next_connection().await;
                first.answer("a1", status, rest).await;
                first
            };
            let (_client, mut first) = tokio::join!(asking, answering);
            // While the rest of that body is due, more requests come; the endpoint reads on only behind them.
            for id in ["a2", "a3"] {
                let _client = endpoint.ask("/once/x", id, 6).await;
                let mut next = endpoint.next_connection().await;
                next.answer(id, "200 OK", "Connection: close\r\nContent-Length: 2\r\n\r\nok").await;
            }
            first.holds_only_a_body_of(LONG).await;
        }
    });
}

/// A body that the two machines hold for the endpoint: for the proxy it is sent, and its connection is free.
#[test]
fn after_an_early_response_the_next_request_follows_the_complete_sent_body() {
    const ON_ITS_WAY: usize = 64 << 10;
    run(async {
        let endpoint = Endpoint::start(&[]).await;
        let asking = endpoint.ask("/once/x", "a1", ON_ITS_WAY);
        let (mut client, mut first) = tokio::join!(asking, endpoint.next_connection());
        first.answer("a1", "200 OK", "Content-Length: 5\r\n\r\nearly").await;
        client.read_until("early").await;
        let mut client = endpoint.ask("/once/x", "a2", 6).await;
        // It comes on this connection or on a new one; the endpoint reads on either way.
        let body = first.body_at(0).expect("a head");
        let reading_on = async {
            while first.read.len() < body + ON_ITS_WAY {
                assert!(first.stream.read_buf(&mut first.read).await.expect("it is sent") > 0, "a body");
            }
            first.read_head(body + ON_ITS_WAY).await;
        };
        tokio::select! {
            () = reading_on => {
                assert!(first.read[body..][..ON_ITS_WAY].iter().all(|byte| *byte == b'b'));
                assert!(first.read[body + ON_ITS_WAY..].starts_with(b"POST /once/x HTTP/1.1\r\n"));
                first.answer("a2", "200 OK", "Content-Length: 6\r\n\r\nsecond").await;
            }
            mut next = endpoint.next_connection() => {
                next.answer("a2", "200 OK", "Content-Length: 6\r\n\r\nsecond").await;
            }
        }
        client.read_until("second").await;
    });
}

/// An endpoint refuses a request whose body it has not read: another one gets the complete body.
#[test]
fn after_an_early_refusal_another_endpoint_gets_the_complete_body() {
    run(async {
        let other = Stand::start("i-other", vec![vec![answer("200 OK", "fine")]; 8]).await;
        let endpoint = Endpoint::start(&[&other]).await;
        let refusal = "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        // Which one is asked first is drawn.
        loop {
            let before = other.seen.borrow().len();
            let asking = async {
                let mut client = endpoint.ask("/once/x", "a1", LONG).await;
                client.read_until("fine").await;
            };
            let refusing = async {
                let mut first = endpoint.next_connection().await;
                first.answer("a1", "503 Service Unavailable", refusal).await;
                first
            };
            let mut asking = std::pin::pin!(asking);
            tokio::select! {
                mut first = refusing => {
                    asking.await;
                    first.holds_only_a_body_of(LONG).await;
                    let seen = other.seen.borrow();
                    assert_eq!(seen.len(), before + 1);
                    assert_eq!(seen[before].body.len(), LONG);
                    assert!(seen[before].body.iter().all(|byte| *byte == b'b'));
                    return;
                }
                () = asking.as_mut() => {}
            }
        }
    });
}

#[test]
fn a_truncated_early_response_is_a_failure() {
    run(async {
        let endpoint = Endpoint::start(&[]).await;
        let asking = async {
            let mut client = endpoint.ask("/once/x", "a1", LONG).await;
            client.read_until("HTTP/1.1 502").await;
        };
        let answering = async {
            let mut first = endpoint.next_connection().await;
            first.answer("a1", "200 OK", "Content-Length: 500\r\n\r\nearly").await;
        };
        tokio::join!(asking, answering);
        assert_eq!(endpoint.fleet.ask("/none/x", "a2", &[], "").await.status, StatusCode::NOT_FOUND);
    });
}
