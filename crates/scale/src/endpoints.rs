//! Simulated endpoints that send heartbeats and respond with event streams.

use crate::operator::{connect, post};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval of heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Number of events of a stream, and the interval between them.
const EVENTS_PER_STREAM: usize = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// Body of a heartbeat.
pub fn heartbeat(address: SocketAddrV4, state: &str, call_seq: u64) -> String {
    format!(
        r#"{{"service":"llm","address":"{address}","zone":"here","version":"v1","capacity":64,"state":"{state}","coldLeftMs":0,"stage":"hybrid","models":[{{"name":"m","version":1,"adapters":[]}}],"callSeq":{call_seq}}}"#
    )
}

/// Path for the heartbeats of an endpoint.
pub fn heartbeat_path(id: &str) -> String {
    format!("/runtrack/instances/{id}/heartbeat")
}

/// Starts an endpoint that serves streams and sends heartbeats to the first member that accepts them.
pub async fn start_endpoint(id: String, members: Vec<SocketAddrV4>) -> Result<(), String> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.map_err(|error| error.to_string())?;
    let std::net::SocketAddr::V4(address) = listener.local_addr().map_err(|error| error.to_string())?
    else {
        return Err("the listener has no IPv4 address".to_owned());
    };
    let own = id.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let id = own.clone();
            spawn_local(async move {
                let _ = answer_streams(stream, &id).await; // the client may have disconnected
            });
        }
    });
    spawn_local(async move {
        for call_seq in 1.. {
            for member in &members {
                if let Some(mut sender) = connect(*member).await
                    && post(&mut sender, &heartbeat_path(&id), None, heartbeat(address, "ready", call_seq))
                        .await
                        .is_some_and(|status| status.is_success())
                {
                    break;
                }
            }
            sleep(HEARTBEAT).await;
        }
    });
    Ok(())
}

async fn answer_streams(mut stream: TcpStream, id: &str) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut read = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = read.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            if stream.read_buf(&mut read).await? == 0 {
                return Ok(());
            }
        };
        let head = String::from_utf8_lossy(&read[..end]).to_ascii_lowercase();
        let value = |name: &str| {
            head.lines().find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
        };
        let length: usize = value("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
        while read.len() < end + length {
            if stream.read_buf(&mut read).await? == 0 {
                return Ok(());
            }
        }
        read.drain(..end + length);
        let attempt = value("x-attempt-id:").unwrap_or_default();
        let after: usize = value("last-event-id:").and_then(|last| last.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {id}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for event in after + 1..=EVENTS_PER_STREAM {
            sleep(EVENT_INTERVAL).await;
            let event = format!("id: {event}\ndata: piece {event} of {id}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
        }
        stream.write_all(b"0\r\n\r\n").await?;
    }
}
