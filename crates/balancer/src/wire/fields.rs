//! Sequential reader of the fields of a line.

use super::WireError;
use crate::types::Outcome;
use std::str::{FromStr, Split};
use std::time::Duration;

/// Largest time accepted on the wire, in milliseconds (over thirty years).
pub(super) const MAX_MS: f64 = 1e12;

/// The remaining fields of a line, separated by single spaces.
pub(super) struct Fields<'a> {
    line: u64,
    rest: Split<'a, char>,
}

impl<'a> Fields<'a> {
    pub(super) fn new(line: u64, text: &'a str) -> Self {
        Fields { line, rest: text.split(' ') }
    }

    pub(super) fn error(&self, field: &str, problem: impl Into<String>) -> WireError {
        WireError { line: self.line, field: field.to_owned(), problem: problem.into() }
    }

    pub(super) fn text(&mut self, field: &str) -> Result<&'a str, WireError> {
        match self.rest.next() {
            None => Err(self.error(field, "missing")),
            Some("") => Err(self.error(field, "empty")),
            Some(text) => Ok(text),
        }
    }

    pub(super) fn optional(&mut self, field: &str) -> Result<Option<&'a str>, WireError> {
        Ok(Some(self.text(field)?).filter(|text| *text != "-"))
    }

    pub(super) fn parsed<T: FromStr>(&self, field: &str, text: &str, wanted: &str) -> Result<T, WireError> {
        text.parse().map_err(|_| self.error(field, format!("`{text}` is not {wanted}")))
    }

    pub(super) fn integer<T: FromStr>(&mut self, field: &str) -> Result<T, WireError> {
        let text = self.text(field)?;
        self.parsed(field, text, "a whole number in range")
    }

    pub(super) fn index(&mut self, field: &str) -> Result<usize, WireError> {
        match self.optional(field)? {
            None => Ok(0),
            Some(text) => self.parsed::<u32>(field, text, "an index").map(|index| index as usize),
        }
    }

    pub(super) fn flag(&mut self, field: &str) -> Result<bool, WireError> {
        match self.text(field)? {
            "0" => Ok(false),
            "1" => Ok(true),
            other => Err(self.error(field, format!("`{other}` is neither 0 nor 1"))),
        }
    }

    pub(super) fn finite(&self, field: &str, text: &str) -> Result<f64, WireError> {
        let value: f64 = self.parsed(field, text, "a number")?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.error(field, format!("`{text}` is not finite")))
        }
    }

    fn millis(&self, field: &str, text: &str) -> Result<Duration, WireError> {
        let value = self.finite(field, text)?;
        if !(0.0..=MAX_MS).contains(&value) {
            return Err(self.error(field, format!("`{text}` is out of range")));
        }
        Ok(duration(value))
    }

    pub(super) fn time(&mut self, field: &str) -> Result<Duration, WireError> {
        let text = self.text(field)?;
        self.millis(field, text)
    }

    pub(super) fn optional_time(&mut self, field: &str) -> Result<Option<Duration>, WireError> {
        self.optional(field)?.map(|text| self.millis(field, text)).transpose()
    }

    pub(super) fn outcome(&mut self, field: &str) -> Result<Outcome, WireError> {
        Ok(match self.text(field)? {
            "200" => Outcome::Ok,
            "502" => Outcome::Error,
            "429" => Outcome::Rejected,
            "408" => Outcome::TimedOut,
            "521" => Outcome::ConnectFailed,
            "520" => Outcome::Reset,
            "444" => Outcome::Cancelled,
            "409" => Outcome::NotSent,
            other => return Err(self.error(field, format!("`{other}` is no known outcome"))),
        })
    }

    pub(super) fn report(&mut self, field: &str) -> Result<Option<Vec<f64>>, WireError> {
        let Some(text) = self.optional(field)? else { return Ok(None) };
        text.split(',').map(|value| self.finite(field, value)).collect::<Result<_, _>>().map(Some)
    }

    pub(super) fn end(&mut self) -> Result<(), WireError> {
        match self.rest.next() {
            None => Ok(()),
            Some(extra) => Err(self.error("end of line", format!("`{extra}` is too much"))),
        }
    }

    pub(super) fn remainder(&mut self) -> String {
        self.rest.by_ref().collect::<Vec<_>>().join(" ")
    }
}

/// Converts milliseconds to a duration, rounded to whole microseconds.
pub(super) fn duration(ms: f64) -> Duration {
    Duration::from_micros((ms * 1000.0).round() as u64)
}
