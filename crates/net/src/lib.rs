//! The seam between the network code and the world: byte streams by a narrow trait, so that the same code runs on
//! sockets and, for tests, in a world of its own. Time needs no seam: it is tokio's, which a test can pause; random
//! numbers need none: whoever draws is given a seed.

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

/// A connection. Dropping it closes it.
pub trait Connection: AsyncRead + AsyncWrite + Unpin {
    /// What this machine holds unread, whatever the runtime knows of it.
    fn peek_status(&self) -> PeekStatus;

    /// Whether small writes go out at once, and wait for no other (`TCP_NODELAY`); as a matter of course where there is
    /// no such thing.
    fn is_nodelay(&self) -> bool {
        true
    }
}

/// Where connections come in. Dropping it resets those that were not accepted.
pub trait Listener {
    /// The next connection that has come.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn Connection>>>;
}

/// A connection that is being made; dropping it gives it up.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<Box<dyn Connection>>>>>;

/// Who makes connections.
pub trait Network {
    /// Connects; small writes go out at once. There is no time limit but the system's.
    fn connect(&self, to: SocketAddr) -> Connecting;
    /// Listens at an address.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;
}

/// Whether an error that was planted under this name is switched on, for this thread. Without the feature `mutants`
/// there are none.
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

    /// For a whole process, by its environment.
    static PROCESS_MUTANT: LazyLock<Option<String>> =
        LazyLock::new(|| std::env::var("RUNTRACK_MUTANT").ok());

    /// Whether an error that was planted under this name is switched on, for this thread or this process.
    pub fn mutant(name: &str) -> bool {
        THREAD_MUTANT.with_borrow(|active| active.as_deref() == Some(name))
            || PROCESS_MUTANT.as_deref() == Some(name)
    }

    /// Switches the error of this name on, and any other off, for this thread.
    pub fn set_mutant(name: Option<&str>) {
        THREAD_MUTANT.set(name.map(str::to_owned));
    }
}

struct Stderr;

impl log::Log for Stderr {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        eprintln!("{}", record.args());
    }

    fn flush(&self) {}
}

/// Has everything that is logged written to standard error, a line each, with nothing before it.
pub fn log_to_stderr() {
    if log::set_logger(&Stderr).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}
