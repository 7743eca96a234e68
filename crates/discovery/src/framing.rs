//! Parses the stream of lists on a watch: consecutive JSON values, each on one or several lines, in arbitrary chunks.
//! No I/O.

use crate::list::List;

/// Parses the complete lists at the beginning of `text`; returns them and the number of bytes that remain.
///
/// # Errors
/// Fails on invalid JSON, and on a truncated list: an empty line, sent as keepalive, never occurs inside a list.
pub fn parse_lists(text: &[u8]) -> Result<(Vec<List>, usize), String> {
    let mut lists = Vec::new();
    let mut read = serde_json::Deserializer::from_slice(text).into_iter::<List>();
    loop {
        let before = read.byte_offset();
        match read.next() {
            None => return Ok((lists, 0)),
            Some(Ok(list)) => lists.push(list),
            Some(Err(e)) if e.is_eof() => {
                let rest = text[before..].trim_ascii_start();
                let mut lines = rest.split(|&byte| byte == b'\n').rev().skip(1);
                return match lines.any(|line| line.trim_ascii().is_empty()) {
                    true => Err("a list is truncated".to_owned()),
                    false => Ok((lists, rest.len())),
                };
            }
            Some(Err(e)) => return Err(e.to_string()),
        }
    }
}
