//! Why a configuration or an amendment is refused.

use crate::{Finding, MAX_CONFIG};
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
