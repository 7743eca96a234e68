//! Files in a folder: the implementation used in production.

use crate::Files;
use std::fs::{File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::PathBuf;

/// Bytes by which a file grows at a time: bounds the memory that growth takes.
const GROWTH: usize = 64 << 10;

/// A folder on a disk, which must exist.
#[derive(Clone, Debug)]
pub struct Folder(pub PathBuf);

impl Files for Folder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.0.join(name)) {
            Ok(content) => Ok(Some(content)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&self, name: &str, bytes: &[u8], preallocated: usize) -> io::Result<()> {
        let path = self.0.join(name);
        let mut file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        grow(&mut file, preallocated.max(bytes.len()) as u64)?;
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}

/// Makes a file at least this long, and seeks to its start.
fn grow(file: &mut File, length: u64) -> io::Result<()> {
    let before = file.seek(SeekFrom::End(0))?;
    let zeros = vec![0; GROWTH];
    let mut missing = length.saturating_sub(before);
    while missing > 0 {
        let step = missing.min(GROWTH as u64);
        file.write_all(&zeros[..step as usize])?;
        missing -= step;
    }
    file.rewind()
}
