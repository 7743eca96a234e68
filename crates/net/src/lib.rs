//! Transport abstraction: traits for networks, listeners and connections, and their TCP implementation. The same code
//! runs on sockets and, in tests, on a simulated network.
//!
//! Time and random numbers need no such abstraction: tests can pause tokio's clock, and random number generators are
//! seeded by their callers.
//!
//! The crate also holds the switch for mutants (deliberate faults for mutation testing) and a logger that writes to
//! standard error.

mod tcp;

pub use tcp::Tcp;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite};

/// What the next read of a connection would find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeekStatus {
    /// No bytes are waiting.
    Empty,
    /// Bytes are waiting.
    Data,
    /// The connection has ended.
    Eof,
}

/// A byte stream to a peer. Dropping it closes it.
pub trait Connection: AsyncRead + AsyncWrite + Unpin {
    /// The state of the receive buffer as the operating system reports it now, regardless of the runtime's cached
    /// readiness.
    fn peek_status(&self) -> PeekStatus;

    /// Whether small writes are sent immediately (`TCP_NODELAY`); true for transports without Nagle's algorithm.
    fn is_nodelay(&self) -> bool {
        true
    }
}

/// A listening endpoint. Dropping it resets connections that were not accepted.
pub trait Listener {
    /// Polls for the next incoming connection.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn Connection>>>;
}

/// A connection being established; dropping it cancels the attempt.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<Box<dyn Connection>>>>>;

/// Opens connections and listeners.
pub trait Network {
    /// Connects to an address, with `TCP_NODELAY` set. No timeout other than the operating system's applies.
    fn connect(&self, address: SocketAddr) -> Connecting;
    /// Listens on an address.
    fn listen(&self, address: SocketAddr) -> io::Result<Box<dyn Listener>>;
}

/// Whether the mutant with this name is active. Always false without the feature `mutants`.
#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub const fn mutant(_: &str) -> bool {
    false
}

#[cfg(feature = "mutants")]
pub use mutants::{mutant, set_mutant};

#[cfg(feature = "mutants")]
mod mutants {
    use std::cell::RefCell;
    use std::sync::LazyLock;

    thread_local! {
        static THREAD_MUTANT: RefCell<Option<String>> = const { RefCell::new(None) };
    }

    /// The mutant that the environment variable `RUNTRACK_MUTANT` activates for the whole process.
    static PROCESS_MUTANT: LazyLock<Option<String>> =
        LazyLock::new(|| std::env::var("RUNTRACK_MUTANT").ok());

    /// Whether the mutant with this name is active for this thread or this process.
    pub fn mutant(name: &str) -> bool {
        THREAD_MUTANT.with_borrow(|active| active.as_deref() == Some(name))
            || PROCESS_MUTANT.as_deref() == Some(name)
    }

    /// Activates the mutant with this name for this thread and deactivates any other; `None` deactivates all.
    pub fn set_mutant(name: Option<&str>) {
        THREAD_MUTANT.set(name.map(str::to_owned));
    }
}

struct StderrLogger;

impl log::Log for StderrLogger {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        eprintln!("{}", record.args());
    }

    fn flush(&self) {}
}

/// Installs a logger that writes each record up to level `Info` to standard error as one line, without a prefix.
pub fn log_to_stderr() {
    if log::set_logger(&StderrLogger).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}
