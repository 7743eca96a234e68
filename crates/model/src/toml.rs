//! A TOML table reader that records source positions and collects all problems instead of stopping at the first.

use crate::check::suggest;
use crate::problem::Diagnostic;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Units of durations, in microseconds.
const DURATION_UNITS_US: [(&str, u64); 5] =
    [("us", 1), ("ms", 1_000), ("s", 1_000_000), ("m", 60_000_000), ("h", 3_600_000_000)];

/// A source text with the problems found in it and the offset of each path.
pub(crate) struct SourceText<'t> {
    text: &'t str,
    problems: RefCell<Vec<Diagnostic>>,
    offsets: RefCell<BTreeMap<String, usize>>,
}

impl<'t> SourceText<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        SourceText { text, problems: RefCell::default(), offsets: RefCell::default() }
    }

    /// Reports a problem at a byte offset.
    pub(crate) fn problem(&self, at: usize, path: &str, what: impl Into<String>) {
        let before = &self.text[..self.text.floor_char_boundary(at)];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
        let problem = Diagnostic { line, column, path: path.to_owned(), message: what.into() };
        self.problems.borrow_mut().push(problem);
    }

    /// Records the byte offset of a path. Returns the earlier offset if the path is already recorded.
    pub(crate) fn record_offset(&self, path: &str, at: usize) -> Option<usize> {
        let mut offsets = self.offsets.borrow_mut();
        let before = offsets.get(path).copied();
        offsets.entry(path.to_owned()).or_insert(at);
        before
    }

    /// Line number of a byte offset, from 1.
    pub(crate) fn line(&self, at: usize) -> usize {
        self.text[..self.text.floor_char_boundary(at)].matches('\n').count() + 1
    }

    /// Byte offset of a path, or of its closest recorded ancestor; 0 if there is none.
    pub(crate) fn offset_of(&self, mut path: &str) -> usize {
        let offsets = self.offsets.borrow();
        loop {
            if let Some(&at) = offsets.get(path) {
                return at;
            }
            match path.rfind('.') {
                Some(end) => path = &path[..end],
                None => return 0,
            }
        }
    }

    pub(crate) fn into_problems(self) -> Vec<Diagnostic> {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|p| (p.line, p.column));
        problems.dedup();
        problems
    }
}

/// A table being read. It tracks the keys that were read, so that the others can be reported as unknown.
pub(crate) struct Table<'r, 't> {
    pub(crate) text: &'r SourceText<'t>,
    table: &'r DeTable<'t>,
    pub(crate) path: String,
    pub(crate) at: usize,
    read_keys: RefCell<Vec<String>>,
}

impl<'r, 't> Table<'r, 't> {
    pub(crate) fn new(text: &'r SourceText<'t>, table: &'r DeTable<'t>, path: String, at: usize) -> Self {
        text.record_offset(&path, at);
        Table { text, table, path, at, read_keys: RefCell::default() }
    }

    /// The path of a key in this table.
    pub(crate) fn join(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Whether the table has this key.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    fn problem(&self, key: &str, at: usize, what: impl Into<String>) {
        self.text.problem(at, &self.join(key), what);
    }

    /// Marks a key as known without reading its value.
    pub(crate) fn mark_known(&self, key: &str) {
        self.read_keys.borrow_mut().push(key.to_owned());
    }

    fn get(&self, key: &str) -> Option<&'r Spanned<DeValue<'t>>> {
        self.mark_known(key);
        let value = self.table.get(key)?;
        self.text.record_offset(&self.join(key), value.span().start);
        Some(value)
    }

    fn read<T>(
        &self,
        key: &str,
        wanted: &str,
        with: impl FnOnce(&'r DeValue<'t>) -> Result<T, Option<String>>,
    ) -> Option<T> {
        let value = self.get(key)?;
        match with(value.get_ref()) {
            Ok(read) => Some(read),
            Err(what) => {
                let kind = value.get_ref().type_str();
                let what = what.unwrap_or_else(|| format!("must be {wanted}, not a TOML {kind}"));
                self.problem(key, value.span().start, what);
                None
            }
        }
    }

    /// Returns the value read for a required key. Reports a missing key and returns the default for it.
    pub(crate) fn required<T: Default>(&self, key: &str, read: Option<T>) -> T {
        if read.is_none() && !self.has(key) {
            self.problem(key, self.at, format!("`{key}` is missing"));
        }
        read.unwrap_or_default()
    }

    pub(crate) fn string(&self, key: &str) -> Option<String> {
        self.read(key, "a string", |v| v.as_str().map(str::to_owned).ok_or(None))
    }

    pub(crate) fn bool(&self, key: &str) -> Option<bool> {
        self.read(key, "true or false", |v| v.as_bool().ok_or(None))
    }

    pub(crate) fn float(&self, key: &str) -> Option<f64> {
        self.read(key, "a number", |v| {
            let text = match v {
                DeValue::Float(float) => float.as_str(),
                DeValue::Integer(integer) => integer.as_str(),
                _ => return Err(None),
            };
            let number: Option<f64> = text.replace('_', "").parse().ok();
            number.filter(|n| n.is_finite()).ok_or_else(|| Some(format!("{text} is no finite number")))
        })
    }

    pub(crate) fn u32(&self, key: &str) -> Option<u32> {
        self.u64(key).and_then(|n| match u32::try_from(n) {
            Ok(n) => Some(n),
            Err(_) => {
                self.problem(
                    key,
                    self.text.offset_of(&self.join(key)),
                    format!("{n} is more than {}", u32::MAX),
                );
                None
            }
        })
    }

    pub(crate) fn u64(&self, key: &str) -> Option<u64> {
        self.read(key, "a whole number", |v| {
            let integer = v.as_integer().ok_or(None)?;
            u64::from_str_radix(&integer.as_str().replace('_', ""), integer.radix())
                .map_err(|_| Some(format!("{} is no whole number from 0 on", integer.as_str())))
        })
    }

    pub(crate) fn duration(&self, key: &str) -> Option<Duration> {
        self.read(key, "a time such as \"250ms\" or \"2s\"", |v| match v {
            DeValue::String(text) => parse_duration(text).map_err(Some),
            DeValue::Integer(n) => {
                Err(Some(format!("{0} of what? Write the unit: \"{0}ms\" or \"{0}s\"", n.as_str())))
            }
            _ => Err(None),
        })
    }

    pub(crate) fn address(&self, key: &str) -> Option<SocketAddr> {
        self.read(key, "an address and port such as \"127.0.0.1:8080\"", |v| {
            let text = v.as_str().ok_or(None)?;
            text.parse()
                .map_err(|_| Some(format!("`{text}` is no address and port such as 127.0.0.1:8080")))
        })
    }

    /// Reads a string that must be one of the given names and returns its value.
    pub(crate) fn one_of<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Option<T> {
        self.read(key, "a string", |v| {
            let text = v.as_str().ok_or(None)?;
            let known: Vec<String> = words.iter().map(|(word, _)| (*word).to_owned()).collect();
            words.iter().find(|(word, _)| *word == text).map(|&(_, value)| value).ok_or_else(|| {
                Some(format!("`{text}` is none of {}{}", known.join(", "), suggest(text, &known)))
            })
        })
    }

    pub(crate) fn strings(&self, key: &str) -> Option<Vec<String>> {
        self.read(key, "a list of strings", |v| {
            let list = v.as_array().ok_or(None)?;
            list.iter().map(|v| v.get_ref().as_str().map(str::to_owned).ok_or(None)).collect()
        })
    }

    pub(crate) fn table(&self, key: &str) -> Option<Table<'r, 't>> {
        let value = self.get(key)?;
        match value.get_ref() {
            DeValue::Table(table) => Some(Table::new(self.text, table, self.join(key), value.span().start)),
            other => {
                let what = format!("must be a table, not a TOML {}", other.type_str());
                self.problem(key, value.span().start, what);
                None
            }
        }
    }

    /// The tables of an array. The path of each holds its `name`, or its position if it has none.
    pub(crate) fn tables(&self, key: &str) -> Vec<Table<'r, 't>> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(list) = value.get_ref().as_array() else {
            let what = format!("must be a list: write [[{}]]", self.join(key));
            self.problem(key, value.span().start, what);
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (number, entry) in list.iter().enumerate() {
            let Some(table) = entry.get_ref().as_table() else {
                self.problem(key, entry.span().start, "must hold tables");
                continue;
            };
            let name = table.get("name").and_then(|name| name.get_ref().as_str());
            let name = name.map_or_else(|| format!("#{}", number + 1), str::to_owned);
            let path = format!("{}.{name}", self.join(key));
            if let Some(before) = self.text.record_offset(&path, entry.span().start) {
                let what =
                    format!("has its name in use: line {} has another `{name}`", self.text.line(before));
                self.text.problem(entry.span().start, &path, what);
            }
            tables.push(Table::new(self.text, table, path, entry.span().start));
        }
        tables
    }

    /// All keys, for tables whose keys are names chosen by the user.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.table.keys().map(|key| key.get_ref().to_string()).collect()
    }

    /// Reports all keys that were not read as unknown.
    pub(crate) fn report_unknown_keys(&self) {
        let read_keys = self.read_keys.borrow();
        for key in self.table.keys().filter(|key| !read_keys.iter().any(|a| *a == key.get_ref().as_ref())) {
            let name = key.get_ref().to_string();
            let hint = match suggest(&name, read_keys.iter()) {
                hint if hint.is_empty() => format!(": it may have {}", read_keys.join(", ")),
                hint => hint,
            };
            self.text.problem(
                key.span().start,
                &self.join(&name),
                format!("there is no setting `{name}`{hint}"),
            );
        }
    }
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let units = "us, ms, s, m or h";
    let Some(&(_, micros)) = DURATION_UNITS_US.iter().find(|(name, _)| *name == unit) else {
        return Err(match unit {
            "" => format!("`{text}` has no unit: {units}"),
            _ => format!("`{text}` is no time: a number and one of {units}"),
        });
    };
    let number: f64 =
        number.parse().map_err(|_| format!("`{text}` is no time: a number and one of {units}"))?;
    Ok(Duration::from_micros((number * micros as f64).round() as u64))
}
