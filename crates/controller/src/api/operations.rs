//! The operations of the outer interfaces, and which of them a path means.

use hyper::Method;
use runtrack_register::ConfigChange;

/// What an operation does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// The operator changes the configuration.
    ChangeConfig(ConfigChange),
    /// The operator reads the configuration.
    ReadConfig,
    /// An endpoint's heartbeat.
    Heartbeat,
    /// An endpoint has ended.
    Deregister,
}

/// An operation of the outer interfaces, as `api/*.yaml` describe it. Every answer is held against this table where
/// debug assertions are on, and the table against the files by a test.
pub struct Operation {
    /// What it does.
    pub kind: OperationKind,
    /// Method (RFC 9110, section 9).
    pub method: Method,
    /// Path, with `{id}` for an endpoint's id, which is not empty and has no slash.
    pub path: &'static str,
    /// The statuses that it answers (RFC 9110, section 15).
    pub statuses: &'static [u16],
}

/// All operations of the outer interfaces.
pub const OPERATIONS: [Operation; 5] = [
    Operation {
        kind: OperationKind::ChangeConfig(ConfigChange::Replace),
        method: Method::POST,
        path: "/runtrack/config/replace",
        statuses: CHANGE_STATUSES,
    },
    Operation {
        kind: OperationKind::ChangeConfig(ConfigChange::Amend),
        method: Method::POST,
        path: "/runtrack/config/amend",
        statuses: CHANGE_STATUSES,
    },
    Operation {
        kind: OperationKind::ReadConfig,
        method: Method::GET,
        path: "/runtrack/config/read",
        statuses: &[200, 404, 503],
    },
    Operation {
        kind: OperationKind::Heartbeat,
        method: Method::POST,
        path: "/runtrack/instances/{id}/heartbeat",
        statuses: &[200, 400, 408, 413, 503],
    },
    Operation {
        kind: OperationKind::Deregister,
        method: Method::POST,
        path: "/runtrack/instances/{id}/deregister",
        statuses: &[200, 408, 413, 503],
    },
];

/// The statuses of a change of the configuration.
const CHANGE_STATUSES: &[u16] = &[200, 400, 408, 409, 412, 413, 503];
/// Path prefix of endpoints' calls.
const INSTANCES: &str = "/runtrack/instances/";

impl Operation {
    /// Whether a request to this path means this operation.
    pub(super) fn serves(&self, path: &str) -> bool {
        match endpoint_call(path) {
            Some((_, call)) => self
                .path
                .strip_prefix(INSTANCES)
                .and_then(|rest| rest.split_once('/'))
                .is_some_and(|(_, own)| own == call),
            None => self.path == path,
        }
    }
}

/// An endpoint's id and the operation, parsed from the path.
pub(super) fn endpoint_call(path: &str) -> Option<(&str, &str)> {
    path.strip_prefix(INSTANCES)?.split_once('/').filter(|(id, _)| !id.is_empty())
}
