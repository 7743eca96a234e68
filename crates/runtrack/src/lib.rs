//! The sidecar: its network code round the module, on whatever network and clock it is given. The binary gives it
//! sockets and signals; tests give it a world of their own.

pub mod net {
    //! The network code. It decides nothing that the module decides.
    pub mod budget;
    pub mod config;
    pub mod driver;
    pub mod inbound;
    pub mod listing;
    pub mod outbound;
    pub mod rest;
    pub mod socket;
    pub mod spans;
    pub mod window;
}
pub mod sidecar;
