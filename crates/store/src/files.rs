//! What the store asks of a file system, and a folder of the real one.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A flat folder. Nothing is durable before it was synced: a file's bytes by `sync`, names by `sync_folder`.
pub trait Files {
    /// A file's bytes.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes a file of these bytes, in place of what it held.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Adds bytes behind those of a file, which is made if it is not there. Where it fails part of them may be there.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Leaves only so many bytes of a file.
    fn truncate(&self, name: &str, length: u64) -> io::Result<()>;
    /// Makes a file's bytes durable.
    fn sync(&self, name: &str) -> io::Result<()>;
    /// Gives a file another name, in place of whoever had that: at once or not at all.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes names durable.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// This folder, made if it is not there.
    pub fn new(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Folder(path.to_owned()))
    }
}

impl Files for Folder {
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.0.join(name))
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.0.join(name))?.write_all(bytes)
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new().create(true).append(true).open(self.0.join(name))?.write_all(bytes)
    }

    fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.0.join(name))?.set_len(length)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        File::open(self.0.join(name))?.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
