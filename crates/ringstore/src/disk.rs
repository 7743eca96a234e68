//! Files in a folder.

use crate::Files;
use std::fs::{File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::PathBuf;

/// A folder on a disk.
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

    fn write(&self, name: &str, bytes: &[u8], room: usize) -> io::Result<()> {
        let path = self.0.join(name);
        let mut file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        let length = file.metadata()?.len();
        let new = length == 0;
        if length < room.max(bytes.len()) as u64 {
            file.seek(SeekFrom::Start(length))?;
            file.write_all(&vec![0; room.max(bytes.len()) - length as usize])?;
            file.seek(SeekFrom::Start(0))?;
        }
        file.write_all(bytes)?;
        file.sync_data()?;
        if new {
            File::open(&self.0)?.sync_all()?;
        }
        Ok(())
    }
}
