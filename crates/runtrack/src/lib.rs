//! The load-balancing sidecar: network code around the decision module `runtrack-balancer`, generic over the
//! network and the clock. The binary runs it on system sockets and signals, tests on a simulated network.

pub mod net {
    //! Network code of the sidecar. All load-balancing decisions are made by the decision module.
    pub mod budget;
    pub mod config;
    pub mod driver;
    pub mod inbound;
    pub mod membership;
    pub mod outbound;
    pub mod reuse_delay;
    pub mod socket;
    pub mod spans;
    pub mod window;
}
pub mod sidecar;
