//! Sealed texts: a header line with the kind, the format and the hash of the text, which reveals damage anywhere in
//! the file.

use sha2::{Digest, Sha256};
use thiserror::Error;

/// Why a sealed text can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SealError {
    /// The header line is missing, malformed, or of another kind of file.
    #[error("its header line is not valid")]
    BadHeader,
    /// A newer version wrote it.
    #[error("format {found}, this version reads up to {known}")]
    Newer {
        /// Its format.
        found: u32,
        /// The newest format that this version reads.
        known: u32,
    },
    /// A format number that no version writes.
    #[error("format {0} does not exist")]
    UnknownFormat(u32),
    /// The text does not match its hash: bytes are missing, added or changed.
    #[error("its hash does not match")]
    HashMismatch,
    /// Not UTF-8.
    #[error("it is not valid UTF-8")]
    NotUtf8,
}

/// SHA-256 of a text, in hex.
pub fn hash(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Prefixes a text with its header line.
pub fn seal(magic: &str, format: u32, text: &str) -> Vec<u8> {
    format!("{magic} {format} {}\n{text}", hash(text)).into_bytes()
}

/// Checks a sealed text, and returns its format and the text. Formats above `known` are refused.
pub fn open<'b>(magic: &str, known: u32, bytes: &'b [u8]) -> Result<(u32, &'b str), SealError> {
    let text = std::str::from_utf8(bytes).map_err(|_| SealError::NotUtf8)?;
    let (header, rest) = text.split_once('\n').ok_or(SealError::BadHeader)?;
    let parts: Vec<&str> = header.split(' ').collect();
    let &[found_magic, format, hash_hex] = &parts[..] else { return Err(SealError::BadHeader) };
    let format: u32 = format.parse().map_err(|_| SealError::BadHeader)?;
    match () {
        () if found_magic != magic => Err(SealError::BadHeader),
        () if format > known => Err(SealError::Newer { found: format, known }),
        () if format == 0 => Err(SealError::UnknownFormat(format)),
        () if hash(rest) != hash_hex => Err(SealError::HashMismatch),
        () => Ok((format, rest)),
    }
}
