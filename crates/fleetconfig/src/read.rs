//! Reading a configuration: within its bounds, whole, and checked.

use crate::check::check;
use crate::wire::ConfigWire;
use crate::{Finding, FleetConfig, MAX_CONFIG};
use miniserde::json;
use quick_error::quick_error;

quick_error! {
    /// A configuration that is refused.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ConfigError {
        /// It is larger than [`MAX_CONFIG`].
        TooLarge(bytes: usize) {
            display("the configuration has {bytes} bytes; {MAX_CONFIG} is the most")
        }
        /// It can't be read whole.
        Unreadable {
            display("the configuration can't be read: it is cut short, or a field is missing or of another type")
        }
        /// It makes no sense; all that was found.
        Invalid(findings: Vec<Finding>) {
            display("{}", findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("; "))
        }
    }
}

impl FleetConfig {
    /// Reads and checks a configuration as the operator sends it.
    pub fn read(body: &[u8]) -> Result<Self, ConfigError> {
        if body.len() > MAX_CONFIG {
            return Err(ConfigError::TooLarge(body.len()));
        }
        let text = std::str::from_utf8(body).map_err(|_| ConfigError::Unreadable)?;
        let wire: ConfigWire = json::from_str(text).map_err(|_| ConfigError::Unreadable)?;
        check(wire).map_err(ConfigError::Invalid)
    }
}
