//! A small HTTP/1.1 client and the endpoints' server, as far as the pages use them.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// An answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// A connection that is kept for several requests.
pub struct Client {
    address: String,
    timeout: Duration,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: &str, timeout: Duration) -> Self {
        Client { address: address.to_owned(), timeout, stream: None }
    }

    fn connect(&mut self) -> io::Result<&mut BufReader<TcpStream>> {
        if self.stream.is_none() {
            let address: SocketAddr = self.address.parse().map_err(io::Error::other)?;
            let stream = TcpStream::connect_timeout(&address, self.timeout)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(self.timeout))?;
            stream.set_write_timeout(Some(self.timeout))?;
            self.stream = Some(BufReader::new(stream));
        }
        self.stream.as_mut().ok_or_else(|| io::Error::other("not connected"))
    }

    /// Sends a request and reads its answer; after a failure the next request has a new connection.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Answer> {
        let answer = self.try_call(method, path, headers, body);
        let closes = answer
            .as_ref()
            .map_or(true, |a| a.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")));
        if closes {
            self.stream = None;
        }
        answer
    }

    fn try_call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Answer> {
        let host = self.address.clone();
        let stream = self.connect()?;
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
            head += &format!("Host: {host}\r\n");
        }
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        if method == "POST" || !body.is_empty() {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.get_mut().write_all(&bytes)?;
        read_answer(stream)
    }
}

fn read_line(stream: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(stream: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn value<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
}

fn read_body(stream: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if value(headers, "transfer-encoding").is_some() {
        loop {
            let size = read_line(stream)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = value(headers, "content-length") {
        body.resize(length.parse().map_err(io::Error::other)?, 0);
        stream.read_exact(&mut body)?;
    }
    Ok(body)
}

fn read_answer(stream: &mut impl BufRead) -> io::Result<Answer> {
    let first = read_line(stream)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other(format!("no answer: {first}")))?;
    let headers = read_headers(stream)?;
    let body = read_body(stream, &headers)?;
    Ok(Answer { status, headers, body })
}

/// A request as an endpoint receives it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        value(&self.headers, name)
    }
}

/// Reads the next request of a connection.
pub fn read_request(stream: &mut impl BufRead) -> io::Result<Request> {
    let first = read_line(stream)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
    let headers = read_headers(stream)?;
    let body = read_body(stream, &headers)?;
    Ok(Request { method, path, headers, body })
}

/// Accepts connections for as long as the process runs; each is served by a thread of its own.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Request, &mut TcpStream) -> io::Result<()> + Clone + Send + 'static,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(request) = read_request(&mut reader) {
                    if handle(&request, &mut writer).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
