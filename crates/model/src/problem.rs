//! What is wrong in a file, for the person who wrote it.

use std::fmt;

/// A file with more problems than this shows the first so many.
const SHOWN: usize = 50;

/// Something wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What it concerns, such as `pool.exchange.endpoint.x1.weight`; empty for the file's form.
    pub path: String,
    /// What is wrong, and the way out.
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

/// All that is wrong in a file, in the file's order; never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().take(SHOWN).map(Diagnostic::to_string).collect();
        to.write_str(&lines.join("\n"))?;
        match self.0.len().saturating_sub(SHOWN) {
            0 => Ok(()),
            more => write!(to, "\nand {more} more"),
        }
    }
}
