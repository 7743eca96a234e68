//! Why a control member ends other than by being asked to.

use crate::disk::DiskError;
use quick_error::quick_error;
use std::io;
use std::net::SocketAddrV4;

quick_error! {
    /// A control member can't run, or can't go on.
    #[derive(Debug)]
    pub enum ControllerError {
        /// The settings name no address for operators and endpoints.
        NoControlAddress {
            display("listen.control: is missing")
        }
        /// Agents and other controllers can't be listened for at this address.
        ListenPeer(address: SocketAddrV4, error: io::Error) {
            source(error)
            display("listen.peer: {address}: {error}")
        }
        /// Operators and endpoints can't be listened for at this address.
        ListenControl(address: SocketAddrV4, error: io::Error) {
            source(error)
            display("listen: {address}: {error}")
        }
        /// Its disk can't be opened.
        Disk(error: DiskError) {
            from()
            source(error)
            display("{error}")
        }
        /// Its disk was found to be an older copy; a new incarnation is on it now.
        OlderDisk {
            display("the disk was an older copy; its next start is as another member")
        }
    }
}
