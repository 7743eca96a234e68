//! Record format of the log file, and recovery from a truncated or damaged file.

use prost::Message;
use sha2::{Digest, Sha256};

/// Magic bytes at the start of a record.
const MAGIC: [u8; 4] = *b"rtL1";
/// Size of a record's header: magic, body length, number of bytes known to be durable, and a hash over these.
const HEADER_BYTES: usize = 4 + 4 + 8 + 8;
/// Size of the hash that follows the body, in bytes.
const HASH_BYTES: usize = 16;
/// Maximum size of a body, in bytes: the text of a fleet, with some headroom.
const MAX_BODY_BYTES: usize = 96 << 20;

/// A log entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Entry {
    /// Position in the log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that proposed it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// 0 for a command, 1 for a membership change.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
    /// The encoded command.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: bytes::Bytes,
    /// The encoded membership change.
    #[prost(bytes = "bytes", tag = "5")]
    pub context: bytes::Bytes,
}

/// Raft's hard state: what a member must not forget across restarts, besides the log.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct HardStateRecord {
    /// Current term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The member voted for in this term; 0 for none.
    #[prost(uint64, tag = "2")]
    pub vote: u64,
    /// Commit index.
    #[prost(uint64, tag = "3")]
    pub commit: u64,
}

/// Content of one append. An entry replaces the entry of the same index and all later ones.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Record {
    /// Entries, in order of their indexes.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// The hard state, if it has changed. A record with neither is a marker that all bytes before it are durable.
    #[prost(message, optional, tag = "2")]
    pub hard_state: Option<HardStateRecord>,
}

fn truncated_hash<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let digest = Sha256::digest(bytes);
    std::array::from_fn(|offset| digest[offset])
}

/// Encodes a record; `durable` is the number of bytes of the file that are known to be durable.
pub fn encode(record: &Record, durable: u64) -> Vec<u8> {
    let body = record.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len() + HASH_BYTES);
    bytes.extend(MAGIC);
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(durable.to_le_bytes());
    bytes.extend(truncated_hash::<8>(&bytes));
    bytes.extend(&body);
    bytes.extend(truncated_hash::<HASH_BYTES>(&body));
    bytes
}

/// Decodes a record's header: the length of the body and the number of durable bytes; `None` if it is not intact.
fn decode_header(bytes: &[u8]) -> Option<(usize, u64)> {
    let header = bytes.get(..HEADER_BYTES)?;
    if header[..4] != MAGIC || header[16..] != truncated_hash::<8>(&header[..16]) {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let durable = u64::from_le_bytes(header[8..16].try_into().ok()?);
    (length <= MAX_BODY_BYTES).then_some((length, durable))
}

/// Decodes the record at offset `at`: the record, the number of durable bytes, and the offset of the next record.
fn decode_record(bytes: &[u8], at: usize) -> Option<(Record, u64, usize)> {
    let (length, durable) = decode_header(&bytes[at..])?;
    let body = bytes.get(at + HEADER_BYTES..at + HEADER_BYTES + length)?;
    let end = at + HEADER_BYTES + length + HASH_BYTES;
    if bytes.get(at + HEADER_BYTES + length..end)? != truncated_hash::<HASH_BYTES>(body) {
        return None;
    }
    Some((Record::decode(body).ok()?, durable, end))
}

/// Returns a file's records and the length of its intact part. The rest is a torn tail, which was never acknowledged.
///
/// # Errors
///
/// The offset of a broken record, if an intact record behind it states that it was durable: then the file is damaged.
pub fn decode_all(bytes: &[u8]) -> Result<(Vec<Record>, usize), usize> {
    let (mut records, mut at) = (Vec::new(), 0);
    while let Some((record, durable, end)) = decode_record(bytes, at) {
        if durable > at as u64 {
            // It claims bytes beyond its own offset as durable, so it was written for another offset.
            return Err(at);
        }
        records.push(record);
        at = end;
    }
    let rest = at..bytes.len().saturating_sub(HEADER_BYTES - 1);
    let damaged = rest.into_iter().any(|offset| {
        bytes[offset..].starts_with(&MAGIC)
            && decode_record(bytes, offset).is_some_and(|(_, durable, _)| durable > at as u64)
    });
    if damaged { Err(at) } else { Ok((records, at)) }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(index: u64) -> Record {
        let data = vec![index as u8; index as usize * 7 % 40].into();
        let entries =
            vec![Entry { index, term: 1 + index / 3, kind: 0, data, context: Default::default() }];
        Record {
            entries,
            hard_state: index.is_multiple_of(2).then_some(HardStateRecord {
                term: 1,
                vote: 2,
                commit: index,
            }),
        }
    }

    /// A file of this many records, each synced before the next, optionally with a marker after each.
    fn file(records: u64, marks: bool) -> (Vec<u8>, Vec<usize>) {
        let (mut bytes, mut ends) = (Vec::new(), vec![0]);
        for index in 1..=records {
            bytes.extend(encode(&entry(index), bytes.len() as u64));
            if marks {
                bytes.extend(encode(&Record::default(), bytes.len() as u64));
            }
            ends.push(bytes.len());
        }
        (bytes, ends)
    }

    #[test]
    fn encoded_records_are_decoded() {
        let (bytes, _) = file(9, false);
        let (records, intact) = decode_all(&bytes).expect("sound");
        assert_eq!(records, (1..=9).map(entry).collect::<Vec<_>>());
        assert_eq!(intact, bytes.len());
        assert_eq!(decode_all(&[]), Ok((Vec::new(), 0)));
    }

    #[test]
    fn a_truncated_file_keeps_the_records_before_the_cut() {
        let (bytes, ends) = file(9, false);
        for cut in 0..bytes.len() {
            let (records, intact) = decode_all(&bytes[..cut]).expect("a torn tail is no damage");
            let complete = ends.iter().filter(|&&end| end <= cut).count() - 1;
            assert_eq!((records.len(), intact), (complete, ends[complete]), "cut at {cut}");
        }
    }

    #[test]
    fn a_flipped_byte_before_a_marker_is_reported_as_damage() {
        let (bytes, ends) = file(6, true);
        let last_mark = ends[6] - encode(&Record::default(), 0).len();
        for at in 0..bytes.len() {
            for flip in [0x01, 0x80] {
                let mut corrupted = bytes.clone();
                corrupted[at] ^= flip;
                match decode_all(&corrupted) {
                    Err(_) => assert!(at < last_mark, "byte {at}"),
                    // No later record confirms the last marker, and the marker itself carries no data.
                    Ok((records, _)) => assert!(at >= last_mark && records.len() == 11, "byte {at}"),
                }
            }
        }
    }

    #[test]
    fn a_torn_append_is_not_reported_as_damage() {
        let (durable, _) = file(4, false);
        let mut bytes = durable.clone();
        // One append of three records, of which the middle one did not reach the disk.
        for index in 5..=7 {
            let written = encode(&entry(index), durable.len() as u64);
            match index {
                6 => bytes.extend(vec![0; written.len()]),
                _ => bytes.extend(written),
            }
        }
        let (records, _) = decode_all(&bytes).expect("torn");
        assert_eq!(records.len(), 5);
    }
}
