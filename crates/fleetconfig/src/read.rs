//! Parses and checks a configuration, with bounds on its size.

use crate::check::check;
use crate::error::ConfigError;
use crate::wire::ConfigWire;
use crate::{FleetConfig, MAX_CONFIG};
use miniserde::{Deserialize, json};

impl FleetConfig {
    /// Parses and checks the JSON that the operator sends.
    pub fn read(body: &[u8]) -> Result<Self, ConfigError> {
        check(parse::<ConfigWire>(body)?)
    }
}

/// Parses JSON of at most [`MAX_CONFIG`] bytes.
pub(crate) fn parse<T: Deserialize>(body: &[u8]) -> Result<T, ConfigError> {
    if body.len() > MAX_CONFIG {
        return Err(ConfigError::TooLarge(body.len()));
    }
    let text = std::str::from_utf8(body).map_err(|_| ConfigError::Unreadable)?;
    json::from_str(text).map_err(|_| ConfigError::Unreadable)
}
