//! The file operations that the store needs, and their implementation on a real folder.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A flat folder of files. Changes are durable only after a sync: a file's content by `sync`, its name by `sync_folder`.
pub trait Files {
    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Writes a whole file, replacing its previous content.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Appends to a file, which is created if it does not exist. On an error, part of the bytes may have been written.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to `length` bytes.
    fn truncate(&self, name: &str, length: u64) -> io::Result<()>;
    /// Makes a file's content durable.
    fn sync(&self, name: &str) -> io::Result<()>;
    /// Atomically renames a file, replacing any file of the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names durable.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A folder in the real file system.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Opens the folder, which is created if it does not exist.
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
