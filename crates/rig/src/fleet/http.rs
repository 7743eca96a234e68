//! One call over HTTP/1.1 on a connection of its own.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// An answer.
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: String,
}

/// A request.
pub struct Call<'a> {
    /// Its method.
    pub method: &'static str,
    /// Its path.
    pub path: &'a str,
    /// A header line with its end, or nothing.
    pub header: &'a str,
    /// Its body.
    pub body: &'a str,
}

impl Call<'_> {
    /// Sends it; nothing where no whole answer comes within the limit.
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
