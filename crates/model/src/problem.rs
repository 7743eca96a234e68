//! Messages about problems in a configuration file.

use std::fmt;

/// Further problems are only counted.
const MAX_SHOWN: usize = 50;

/// A problem in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// The path concerned, such as `pool.exchange.endpoint.x1.weight`; empty for a syntax error.
    pub path: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{}:{}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(to, "{}: ", self.path)?;
        }
        to.write_str(&self.message)
    }
}

/// All problems of a file in the order of their positions; never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().take(MAX_SHOWN).map(Diagnostic::to_string).collect();
        to.write_str(&lines.join("\n"))?;
        match self.0.len().saturating_sub(MAX_SHOWN) {
            0 => Ok(()),
            more => write!(to, "\nand {more} more"),
        }
    }
}
