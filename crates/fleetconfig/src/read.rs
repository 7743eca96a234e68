//! Parses and checks a configuration, with bounds on its size.

use crate::check::check;
use crate::wire::ConfigWire;
use crate::{Finding, FleetConfig, MAX_CONFIG};
use miniserde::json;
use quick_error::quick_error;

quick_error! {
    /// An invalid configuration.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ConfigError {
        /// It is larger than [`MAX_CONFIG`].
        TooLarge(bytes: usize) {
            display("the configuration has {bytes} bytes; {MAX_CONFIG} is the most")
        }
        /// It is not valid JSON of the expected form.
        Unreadable {
            display("the configuration can't be read: it is cut short, or a field is missing or of another type")
        }
        /// Its content is invalid; all findings.
        Invalid(findings: Vec<Finding>) {
            display("{}", findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("; "))
        }
    }
}

impl FleetConfig {
    /// Parses and checks the JSON that the operator sends.
    pub fn read(body: &[u8]) -> Result<Self, ConfigError> {
        if body.len() > MAX_CONFIG {
            return Err(ConfigError::TooLarge(body.len()));
        }
        let text = std::str::from_utf8(body).map_err(|_| ConfigError::Unreadable)?;
        let wire: ConfigWire = json::from_str(text).map_err(|_| ConfigError::Unreadable)?;
        check(wire)
    }
}
