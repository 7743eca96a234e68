//! Record format of the log file, and recovery from a truncated or damaged file.

use prost::Message;
use sha2::{Digest, Sha256};

/// Magic bytes at the start of a record.
const MAGIC: [u8; 4] = *b"rtL1";
/// Size of a record's header: magic, body length, number of bytes known to be durable, and a hash over these.
const HEAD: usize = 4 + 4 + 8 + 8;
/// Size of the hash that follows the body, in bytes.
const SUM: usize = 16;
/// Maximum size of a body, in bytes: the text of a fleet, with some headroom.
const BODY_MOST: usize = 96 << 20;

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
    pub promise: Option<HardStateRecord>,
}

fn sum<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let digest = Sha256::digest(bytes);
    std::array::from_fn(|place| digest[place])
}

/// Encodes a record; `durable` is the number of bytes of the file that are known to be durable.
pub fn write(record: &Record, durable: u64) -> Vec<u8> {
    let body = record.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEAD + body.len() + SUM);
    bytes.extend(MAGIC);
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(durable.to_le_bytes());
    bytes.extend(sum::<8>(&bytes));
    bytes.extend(&body);
    bytes.extend(sum::<SUM>(&body));
    bytes
}

/// Decodes a record's header: the length of the body and the number of durable bytes; `None` if it is not intact.
fn head(bytes: &[u8]) -> Option<(usize, u64)> {
    let head = bytes.get(..HEAD)?;
    if head[..4] != MAGIC || head[16..] != sum::<8>(&head[..16]) {
        return None;
    }
    let length = u32::from_le_bytes(head[4..8].try_into().ok()?) as usize;
    let durable = u64::from_le_bytes(head[8..16].try_into().ok()?);
    (length <= BODY_MOST).then_some((length, durable))
}

/// Decodes the record at offset `at`: the record, the number of durable bytes, and the offset of the next record.
fn record(bytes: &[u8], at: usize) -> Option<(Record, u64, usize)> {
    let (length, durable) = head(&bytes[at..])?;
    let body = bytes.get(at + HEAD..at + HEAD + length)?;
    let end = at + HEAD + length + SUM;
    if bytes.get(at + HEAD + length..end)? != sum::<SUM>(body) {
        return None;
    }
    Some((Record::decode(body).ok()?, durable, end))
}

/// Returns a file's records and the length of its intact part. The rest is a torn tail, which was never acknowledged.
///
/// # Errors
///
/// The offset of a broken record, if an intact record behind it states that it was durable: then the file is damaged.
pub fn read(bytes: &[u8]) -> Result<(Vec<Record>, usize), usize> {
    let (mut records, mut at) = (Vec::new(), 0);
    while let Some((found, durable, end)) = record(bytes, at) {
        if durable > at as u64 {
            return Err(at); // it claims bytes beyond its own offset as durable, so it was written for another place
        }
        records.push(found);
        at = end;
    }
    let behind = at..bytes.len().saturating_sub(HEAD - 1);
    let damaged = behind.into_iter().any(|place| {
        bytes[place..].starts_with(&MAGIC)
            && record(bytes, place).is_some_and(|(_, durable, _)| durable > at as u64)
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
            promise: index.is_multiple_of(2).then_some(HardStateRecord { term: 1, vote: 2, commit: index }),
        }
    }

    /// A file of this many records, each synced before the next, optionally with a marker after each.
    fn file(records: u64, marks: bool) -> (Vec<u8>, Vec<usize>) {
        let (mut bytes, mut ends) = (Vec::new(), vec![0]);
        for index in 1..=records {
            bytes.extend(write(&entry(index), bytes.len() as u64));
            if marks {
                bytes.extend(write(&Record::default(), bytes.len() as u64));
            }
            ends.push(bytes.len());
        }
        (bytes, ends)
    }

    #[test]
    fn what_was_written_is_read() {
        let (bytes, _) = file(9, false);
        let (records, sound) = read(&bytes).expect("sound");
        assert_eq!(records, (1..=9).map(entry).collect::<Vec<_>>());
        assert_eq!(sound, bytes.len());
        assert_eq!(read(&[]), Ok((Vec::new(), 0)));
    }

    #[test]
    fn a_cut_anywhere_leaves_the_records_before_it() {
        let (bytes, ends) = file(9, false);
        for cut in 0..bytes.len() {
            let (records, sound) = read(&bytes[..cut]).expect("a torn tail is no damage");
            let whole = ends.iter().filter(|&&end| end <= cut).count() - 1;
            assert_eq!((records.len(), sound), (whole, ends[whole]), "cut at {cut}");
        }
    }

    #[test]
    fn a_flipped_byte_in_what_a_mark_covers_is_damage_wherever_it_is() {
        let (bytes, ends) = file(6, true);
        let last_mark = ends[6] - write(&Record::default(), 0).len();
        for at in 0..bytes.len() {
            for flip in [0x01, 0x80] {
                let mut spoilt = bytes.clone();
                spoilt[at] ^= flip;
                match read(&spoilt) {
                    Err(_) => assert!(at < last_mark, "byte {at}"),
                    // No later record confirms the last marker, and the marker itself carries no data.
                    Ok((records, _)) => assert!(at >= last_mark && records.len() == 11, "byte {at}"),
                }
            }
        }
    }

    #[test]
    fn of_a_torn_append_nothing_is_taken_for_damage() {
        let (durable, _) = file(4, false);
        let mut bytes = durable.clone();
        // One append of three records, of which the middle one did not reach the disk.
        for index in 5..=7 {
            let written = write(&entry(index), durable.len() as u64);
            match index {
                6 => bytes.extend(vec![0; written.len()]),
                _ => bytes.extend(written),
            }
        }
        let (records, _) = read(&bytes).expect("torn");
        assert_eq!(records.len(), 5);
    }
}
