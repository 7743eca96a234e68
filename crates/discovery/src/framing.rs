//! Lists as they come on a watch: one after another, each on a line of its own or laid out over several, in pieces that
//! end anywhere. Free of I/O.

use crate::list::List;

/// The whole lists that this text begins with, and how many bytes are left behind them.
///
/// # Errors
/// What is no list, or one that broke off: an empty line, which says that the watch is alive, never stands inside a list.
pub fn whole(text: &[u8]) -> Result<(Vec<List>, usize), String> {
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
                    true => Err("a list broke off".to_owned()),
                    false => Ok((lists, rest.len())),
                };
            }
            Some(Err(e)) => return Err(e.to_string()),
        }
    }
}
