//! TOML with places: a table reader that gathers every problem instead of stopping at the first.

use crate::check::nearest;
use crate::problem::Diagnostic;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The units of a time.
const UNITS: [(&str, u64); 5] =
    [("us", 1), ("ms", 1_000), ("s", 1_000_000), ("m", 60_000_000), ("h", 3_600_000_000)];

/// A text, what is wrong with it, and where the things that it names are.
pub(crate) struct Text<'t> {
    text: &'t str,
    problems: RefCell<Vec<Diagnostic>>,
    places: RefCell<BTreeMap<String, usize>>,
}

impl<'t> Text<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        Text { text, problems: RefCell::default(), places: RefCell::default() }
    }

    /// Reports a problem at a byte of the text.
    pub(crate) fn problem(&self, at: usize, path: &str, what: impl Into<String>) {
        let before = &self.text[..self.text.floor_char_boundary(at)];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
        let problem = Diagnostic { line, column, path: path.to_owned(), message: what.into() };
        self.problems.borrow_mut().push(problem);
    }

    /// Remembers where something is written; gives the earlier place if it was written before.
    pub(crate) fn place(&self, path: &str, at: usize) -> Option<usize> {
        let mut places = self.places.borrow_mut();
        let before = places.get(path).copied();
        places.entry(path.to_owned()).or_insert(at);
        before
    }

    pub(crate) fn line(&self, at: usize) -> usize {
        self.text[..self.text.floor_char_boundary(at)].matches('\n').count() + 1
    }

    /// Where a path is written, or the nearest one round it.
    pub(crate) fn find(&self, mut path: &str) -> usize {
        let places = self.places.borrow();
        loop {
            if let Some(&at) = places.get(path) {
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

/// A table being read: what isn't asked for is unknown.
pub(crate) struct Table<'r, 't> {
    pub(crate) text: &'r Text<'t>,
    table: &'r DeTable<'t>,
    pub(crate) path: String,
    pub(crate) at: usize,
    asked: RefCell<Vec<String>>,
}

impl<'r, 't> Table<'r, 't> {
    pub(crate) fn new(text: &'r Text<'t>, table: &'r DeTable<'t>, path: String, at: usize) -> Self {
        text.place(&path, at);
        Table { text, table, path, at, asked: RefCell::default() }
    }

    pub(crate) fn join(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Whether the table has this key.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    fn wrong(&self, key: &str, at: usize, what: impl Into<String>) {
        self.text.problem(at, &self.join(key), what);
    }

    /// Says that a key is known, whatever it holds.
    pub(crate) fn know(&self, key: &str) {
        self.asked.borrow_mut().push(key.to_owned());
    }

    fn get(&self, key: &str) -> Option<&'r Spanned<DeValue<'t>>> {
        self.know(key);
        let value = self.table.get(key)?;
        self.text.place(&self.join(key), value.span().start);
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
                self.wrong(key, value.span().start, what);
                None
            }
        }
    }

    /// What a key must have; says so where it has nothing.
    pub(crate) fn required<T: Default>(&self, key: &str, read: Option<T>) -> T {
        if read.is_none() && !self.has(key) {
            self.wrong(key, self.at, format!("`{key}` is missing"));
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
        self.whole(key).and_then(|n| match u32::try_from(n) {
            Ok(n) => Some(n),
            Err(_) => {
                self.wrong(key, self.text.find(&self.join(key)), format!("{n} is more than {}", u32::MAX));
                None
            }
        })
    }

    pub(crate) fn whole(&self, key: &str) -> Option<u64> {
        self.read(key, "a whole number", |v| {
            let integer = v.as_integer().ok_or(None)?;
            u64::from_str_radix(&integer.as_str().replace('_', ""), integer.radix())
                .map_err(|_| Some(format!("{} is no whole number from 0 on", integer.as_str())))
        })
    }

    pub(crate) fn time(&self, key: &str) -> Option<Duration> {
        self.read(key, "a time such as \"250ms\" or \"2s\"", |v| match v {
            DeValue::String(text) => parse_time(text).map_err(Some),
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

    /// One of some words.
    pub(crate) fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Option<T> {
        self.read(key, "a string", |v| {
            let text = v.as_str().ok_or(None)?;
            let known: Vec<String> = words.iter().map(|(word, _)| (*word).to_owned()).collect();
            words.iter().find(|(word, _)| *word == text).map(|&(_, value)| value).ok_or_else(|| {
                Some(format!("`{text}` is none of {}{}", known.join(", "), nearest(text, &known)))
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
                self.wrong(key, value.span().start, what);
                None
            }
        }
    }

    /// The tables of a list. Each goes by the name that it gives itself, else by its number.
    pub(crate) fn tables(&self, key: &str) -> Vec<Table<'r, 't>> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(list) = value.get_ref().as_array() else {
            let what = format!("must be a list: write [[{}]]", self.join(key));
            self.wrong(key, value.span().start, what);
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (number, entry) in list.iter().enumerate() {
            let Some(table) = entry.get_ref().as_table() else {
                self.wrong(key, entry.span().start, "must hold tables");
                continue;
            };
            let name = table.get("name").and_then(|name| name.get_ref().as_str());
            let name = name.map_or_else(|| format!("#{}", number + 1), str::to_owned);
            let path = format!("{}.{name}", self.join(key));
            if let Some(before) = self.text.place(&path, entry.span().start) {
                let what =
                    format!("has its name in use: line {} has another `{name}`", self.text.line(before));
                self.text.problem(entry.span().start, &path, what);
            }
            tables.push(Table::new(self.text, table, path, entry.span().start));
        }
        tables
    }

    /// All keys, for tables whose keys are names.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.table.keys().map(|key| key.get_ref().to_string()).collect()
    }

    /// Reports the keys that nobody asked for.
    pub(crate) fn done(&self) {
        let asked = self.asked.borrow();
        for key in self.table.keys().filter(|key| !asked.iter().any(|a| *a == key.get_ref().as_ref())) {
            let name = key.get_ref().to_string();
            let hint = match nearest(&name, asked.iter()) {
                hint if hint.is_empty() => format!(": it may have {}", asked.join(", ")),
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

fn parse_time(text: &str) -> Result<Duration, String> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let units = "us, ms, s, m or h";
    let Some(&(_, micros)) = UNITS.iter().find(|(name, _)| *name == unit) else {
        return Err(match unit {
            "" => format!("`{text}` has no unit: {units}"),
            _ => format!("`{text}` is no time: a number and one of {units}"),
        });
    };
    let number: f64 =
        number.parse().map_err(|_| format!("`{text}` is no time: a number and one of {units}"))?;
    Ok(Duration::from_micros((number * micros as f64).round() as u64))
}
