//! A text under one line that says what it is, in which format, and its hash: damage shows wherever it is.

use sha2::{Digest, Sha256};
use thiserror::Error;

/// Why a sealed text can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SealError {
    /// The first line is not one of ours.
    #[error("its first line is not ours")]
    BadHeader,
    /// A newer version wrote it.
    #[error("format {found}, this version reads up to {known}")]
    Newer {
        /// Its format.
        found: u32,
        /// The newest that is read.
        known: u32,
    },
    /// A format that nobody ever wrote.
    #[error("there never was a format {0}")]
    UnknownFormat(u32),
    /// Bytes are missing, added or changed.
    #[error("its hash does not fit")]
    HashMismatch,
    /// Not UTF-8.
    #[error("it is no text")]
    NotUtf8,
}

/// SHA-256 of a text, in hex.
pub fn hash(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The text under its line.
pub fn seal(magic: &str, format: u32, text: &str) -> Vec<u8> {
    format!("{magic} {format} {}\n{text}", hash(text)).into_bytes()
}

/// What was sealed, and in which of the formats up to the newest that is known.
pub fn open<'b>(magic: &str, known: u32, bytes: &'b [u8]) -> Result<(u32, &'b str), SealError> {
    let text = std::str::from_utf8(bytes).map_err(|_| SealError::NotUtf8)?;
    let (first, rest) = text.split_once('\n').ok_or(SealError::BadHeader)?;
    let parts: Vec<&str> = first.split(' ').collect();
    let &[found, format, sum] = &parts[..] else { return Err(SealError::BadHeader) };
    let format: u32 = format.parse().map_err(|_| SealError::BadHeader)?;
    match () {
        () if found != magic => Err(SealError::BadHeader),
        () if format > known => Err(SealError::Newer { found: format, known }),
        () if format == 0 => Err(SealError::UnknownFormat(format)),
        () if hash(rest) != sum => Err(SealError::HashMismatch),
        () => Ok((format, rest)),
    }
}
