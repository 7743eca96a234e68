//! Errors of a member's disk.

use quick_error::quick_error;
use runtrack_record_store::StoreError;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// The member's disk can't be opened.
    #[derive(Debug)]
    pub enum DiskError {
        /// The settings name no folder.
        NoFolder {
            display("dataDir: is missing")
        }
        /// The rings in the folder can't be read or made.
        Open(folder: PathBuf, error: StoreError) {
            source(error)
            display("{}: {error}", folder.display())
        }
        /// The thread that writes can't be started.
        Thread(error: io::Error) {
            source(error)
            display("thread: {error}")
        }
    }
}

quick_error! {
    /// A record was not written, or it is not known whether it was.
    #[derive(Debug)]
    pub enum WriteError {
        /// The rings could not take it.
        Store(error: StoreError) {
            from()
            source(error)
            display("{error}")
        }
        /// The disk takes no such record now.
        Refused(reason: &'static str) {
            display("{reason}")
        }
        /// The thread that writes has ended.
        ThreadEnded {
            display("the thread that writes has ended")
        }
    }
}
