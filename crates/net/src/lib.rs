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

/// What has come unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// Nothing.
    Nothing,
    /// Bytes.
    Bytes,
    /// The connection's end.
    End,
}

/// A connection. Dropping it closes it.
pub trait Connection: AsyncRead + AsyncWrite + Unpin {
    /// What this machine holds unread, whatever the runtime knows of it.
    fn came(&self) -> Came;

    /// Whether small writes go out at once, and wait for no other (`TCP_NODELAY`); as a matter of course where there is
    /// no such thing.
    fn sends_at_once(&self) -> bool {
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
pub use mutants::{mutant, plant};

#[cfg(feature = "mutants")]
mod mutants {
    use std::cell::RefCell;
    use std::sync::LazyLock;

    thread_local! {
        static PLANTED: RefCell<Option<String>> = const { RefCell::new(None) };
    }

    /// For a whole process, by its environment.
    static OF_PROCESS: LazyLock<Option<String>> = LazyLock::new(|| std::env::var("RUNTRACK_MUTANT").ok());

    /// Whether an error that was planted under this name is switched on, for this thread or this process.
    pub fn mutant(name: &str) -> bool {
        PLANTED.with_borrow(|planted| planted.as_deref() == Some(name))
            || OF_PROCESS.as_deref() == Some(name)
    }

    /// Switches the error of this name on, and any other off, for this thread.
    pub fn plant(name: Option<&str>) {
        PLANTED.set(name.map(str::to_owned));
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
