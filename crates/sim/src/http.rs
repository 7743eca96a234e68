//! HTTP/1.1 message parser that also reports stream offsets, for the simulated peers and the traffic observer.

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its first line.
    pub first: String,
    /// Its headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body, by `Content-Length`.
    pub body: Vec<u8>,
    /// Stream offsets of its first byte and of the byte after its last.
    pub at: (u64, u64),
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Incremental parser.
#[derive(Default)]
pub struct Reader {
    bytes: Vec<u8>,
    /// Stream offset of the first buffered byte.
    offset: u64,
}

/// The bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedMessage;

impl Reader {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether a part of a message is buffered.
    pub fn has_partial_message(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// The head of the buffered message and its length, if complete; the body is empty.
    pub fn peek_head(&self) -> Result<Option<(Message, usize)>, MalformedMessage> {
        let Some(end) = self.bytes.windows(4).position(|four| four == b"\r\n\r\n") else { return Ok(None) };
        let text = std::str::from_utf8(&self.bytes[..end]).map_err(|_| MalformedMessage)?;
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let pair = |line: &str| {
            let (name, value) = line.split_once(':').ok_or(MalformedMessage)?;
            Ok((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers = lines.map(pair).collect::<Result<Vec<_>, _>>()?;
        let at = (self.offset, self.offset + end as u64 + 4);
        Ok(Some((Message { first, headers, body: Vec::new(), at }, end + 4)))
    }

    /// Removes and returns the next message, if complete.
    pub fn next_message(&mut self) -> Result<Option<Message>, MalformedMessage> {
        let Some((mut message, head)) = self.peek_head()? else { return Ok(None) };
        let length = message.header("content-length").map_or(Ok(0), |text| text.parse::<usize>());
        let end = head + length.map_err(|_| MalformedMessage)?;
        if self.bytes.len() < end {
            return Ok(None);
        }
        message.body = self.bytes[head..end].to_vec();
        message.at.1 = self.offset + end as u64;
        self.bytes.drain(..end);
        self.offset += end as u64;
        Ok(Some(message))
    }
}
