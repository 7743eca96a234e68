//! The operations of the outer interfaces, and which of them a path means.

use hyper::Method;
use runtrack_register::ConfigChange;

/// An operation of the outer interfaces, as `api/*.yaml` describe it. Every answer is held against this table where
/// debug assertions are on, and the table against the files by a test.
pub struct Operation {
    /// Method.
    pub method: Method,
    /// Path, with `{id}` for an endpoint's id.
    pub path: &'static str,
    /// The statuses that it answers.
    pub statuses: &'static [u16],
}

/// All operations of the outer interfaces.
pub const OPERATIONS: [Operation; 5] = [
    Operation { method: Method::POST, path: REPLACE, statuses: &[200, 400, 408, 409, 412, 413, 503] },
    Operation { method: Method::POST, path: AMEND, statuses: &[200, 400, 408, 409, 412, 413, 503] },
    Operation { method: Method::GET, path: READ, statuses: &[200, 404, 503] },
    Operation {
        method: Method::POST,
        path: "/runtrack/instances/{id}/heartbeat",
        statuses: &[200, 400, 408, 413, 503],
    },
    Operation {
        method: Method::POST,
        path: "/runtrack/instances/{id}/deregister",
        statuses: &[200, 408, 413, 503],
    },
];

const INSTANCES: &str = "/runtrack/instances/";
const REPLACE: &str = "/runtrack/config/replace";
const AMEND: &str = "/runtrack/config/amend";
pub(super) const READ: &str = "/runtrack/config/read";

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

/// What a path changes in the configuration.
pub(super) fn config_change(path: &str) -> Option<ConfigChange> {
    match path {
        REPLACE => Some(ConfigChange::Replace),
        AMEND => Some(ConfigChange::Amend),
        _ => None,
    }
}

/// An endpoint's id and what it calls for.
pub(super) fn endpoint_call(path: &str) -> Option<(&str, &str)> {
    path.strip_prefix(INSTANCES)?.split_once('/').filter(|(id, _)| !id.is_empty())
}
