//! One HTTP/1.1 request on a connection of its own.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A response.
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: String,
}

/// A request.
pub struct Call<'a> {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: &'a str,
    /// Complete header line including its line end, or empty.
    pub header: &'a str,
    /// Body.
    pub body: &'a str,
}

impl Call<'_> {
    /// Sends the request; `None` without a complete response within the limit.
    pub async fn send(&self, to: SocketAddr, limit: Duration) -> Option<Answer> {
        timeout(limit, self.exchange(to)).await.ok()?.ok()
    }

    async fn exchange(&self, to: SocketAddr) -> io::Result<Answer> {
        let mut stream = TcpStream::connect(to).await?;
        let Call { method, path, header, body } = self;
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n{header}Content-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        let malformed = || io::Error::from(io::ErrorKind::InvalidData);
        let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(malformed)?;
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(malformed)?;
        Ok(Answer { status, body: body.to_owned() })
    }
}
