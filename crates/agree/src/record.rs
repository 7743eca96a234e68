//! Records of the log's file: how they are written, and what a file that was cut off or damaged still says.

use prost::Message;
use sha2::{Digest, Sha256};

/// What a record begins with.
const MAGIC: [u8; 4] = *b"rtL1";
/// Magic, length, bytes that were durable, and a hash over these.
const HEAD: usize = 4 + 4 + 8 + 8;
/// Bytes of the hash behind a body.
const SUM: usize = 16;
/// Longest body: a fleet's text and some room.
const BODY_MOST: usize = 96 << 20;

/// An entry of the log.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Entry {
    /// Its place.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that put it there.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// 0: a command; 1: a change of members.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
    /// The command.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: bytes::Bytes,
    /// The change of members.
    #[prost(bytes = "bytes", tag = "5")]
    pub context: bytes::Bytes,
}

/// What a member has promised.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct HardStateRecord {
    /// The term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Who got its vote in it; 0: nobody.
    #[prost(uint64, tag = "2")]
    pub vote: u64,
    /// Up to where the log is known to be agreed.
    #[prost(uint64, tag = "3")]
    pub commit: u64,
}

/// What one append holds. An entry replaces all that stood at its place and behind it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Record {
    /// Entries, in order.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// A promise, if it has changed. A record with neither is a mark: what is before it is durable.
    #[prost(message, optional, tag = "2")]
    pub promise: Option<HardStateRecord>,
}

fn sum<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let digest = Sha256::digest(bytes);
    std::array::from_fn(|place| digest[place])
}

/// A record's bytes, for a file of which so many were durable before.
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

/// A record's length and what was durable before it, if its head is sound.
fn head(bytes: &[u8]) -> Option<(usize, u64)> {
    let head = bytes.get(..HEAD)?;
    if head[..4] != MAGIC || head[16..] != sum::<8>(&head[..16]) {
        return None;
    }
    let length = u32::from_le_bytes(head[4..8].try_into().ok()?) as usize;
    let durable = u64::from_le_bytes(head[8..16].try_into().ok()?);
    (length <= BODY_MOST).then_some((length, durable))
}

/// The record at a file's place, and where the next one begins.
fn record(bytes: &[u8], at: usize) -> Option<(Record, u64, usize)> {
    let (length, durable) = head(&bytes[at..])?;
    let body = bytes.get(at + HEAD..at + HEAD + length)?;
    let end = at + HEAD + length + SUM;
    if bytes.get(at + HEAD + length..end)? != sum::<SUM>(body) {
        return None;
    }
    Some((Record::decode(body).ok()?, durable, end))
}

/// A file's records and how many of its bytes are sound. Where a record is broken that was durable, because a sound
/// one behind it says so, that is damage, and its place is given. Else it is a torn tail, which nobody was told of.
pub fn read(bytes: &[u8]) -> Result<(Vec<Record>, usize), usize> {
    let (mut records, mut at) = (Vec::new(), 0);
    while let Some((found, durable, end)) = record(bytes, at) {
        if durable > at as u64 {
            return Err(at); // its own place was not there yet: it belongs elsewhere
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

    /// A file of so many records, each synced before the next, with a mark behind each or not.
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
                    // Nothing vouches for the last mark, and nothing was said in it.
                    Ok((records, _)) => assert!(at >= last_mark && records.len() == 11, "byte {at}"),
                }
            }
        }
    }

    #[test]
    fn of_a_torn_append_nothing_is_taken_for_damage() {
        let (durable, _) = file(4, false);
        let mut bytes = durable.clone();
        // One append of three records, of which the middle one never reached the disk.
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
