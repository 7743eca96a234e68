//! Dependencies between the modules of a crate, read from its sources.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// Path of a module relative to the crate root, whose path is empty.
pub type Module = Vec<String>;

/// The modules of a crate with their sources, without comments.
#[derive(Default)]
pub struct Sources(BTreeMap<Module, String>);

impl Sources {
    /// Reads the modules below a crate's `src`. `lib.rs` and `main.rs` are both read as the root.
    pub fn read(src: &Path) -> Self {
        let mut sources = Sources::default();
        sources.read_dir(src, &[]);
        assert!(!sources.0.is_empty(), "no sources in {}", src.display());
        sources
    }

    fn read_dir(&mut self, dir: &Path, parent: &[String]) {
        for entry in fs::read_dir(dir).expect("a dir of sources") {
            let path = entry.expect("an entry").path();
            let stem = path.file_stem().expect("a name").to_string_lossy().into_owned();
            let child = [parent, std::slice::from_ref(&stem)].concat();
            if path.is_dir() {
                self.read_dir(&path, &child);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let is_parent = matches!(stem.as_str(), "mod" | "lib" | "main");
                let text = fs::read_to_string(&path).expect("a source file");
                self.add(if is_parent { parent.to_vec() } else { child }, &text);
            }
        }
    }

    /// Adds the source of a module.
    pub fn add(&mut self, module: Module, text: &str) {
        let code = text.lines().map(|line| line.split("//").next().unwrap_or_default());
        let all = self.0.entry(module).or_default();
        code.for_each(|line| *all += &format!("{line}\n"));
    }

    /// Groups of modules that depend on each other, directly or indirectly. A module and its submodules count as one,
    /// because submodules often share items of the parent module's file.
    pub fn cycles(&self) -> BTreeSet<BTreeSet<String>> {
        let uses: BTreeMap<&Module, BTreeSet<Module>> =
            self.0.keys().map(|module| (module, self.used_by(module))).collect();
        let reached: BTreeMap<&Module, BTreeSet<Module>> =
            uses.keys().map(|module| (*module, reached_from(module, &uses))).collect();
        let in_cycle =
            |one: &Module, other: &Module| reached[one].contains(other) && reached[other].contains(one);
        let cycle_of = |one: &Module| -> BTreeSet<String> {
            let members = self.0.keys().filter(|other| in_cycle(one, other));
            members.map(|module| module.join("::")).collect()
        };
        self.0.keys().map(cycle_of).filter(|cycle| !cycle.is_empty()).collect()
    }

    /// Modules that a module's source refers to, except its ancestors and descendants.
    fn used_by(&self, module: &Module) -> BTreeSet<Module> {
        let paths = paths_in(&self.0[module], module);
        let used = paths.into_iter().filter_map(|path| self.module_of(path));
        used.filter(|used| !used.starts_with(module) && !module.starts_with(used)).collect()
    }

    /// The module that a path leads to: its longest prefix that is a module, or the module that this one imports the
    /// name from.
    fn module_of(&self, path: Vec<String>) -> Option<Module> {
        let length = (0..=path.len()).rev().find(|length| self.0.contains_key(&path[..*length]))?;
        let module = path[..length].to_vec();
        let Some(name) = path.get(length) else { return Some(module) };
        let is_import_of_name =
            |import: &Vec<String>| import.last() == Some(name) && !import.starts_with(&path[..=length]);
        let import = imports_in(&self.0[&module], &module).into_iter().find(is_import_of_name);
        import.map_or(Some(module), |import| self.module_of(import))
    }
}

fn reached_from(module: &Module, uses: &BTreeMap<&Module, BTreeSet<Module>>) -> BTreeSet<Module> {
    let mut reached = BTreeSet::new();
    let mut open = vec![module.clone()];
    while let Some(next) = open.pop() {
        let new = uses[&next].iter().filter(|used| reached.insert((*used).clone()));
        open.extend(new.cloned());
    }
    reached
}

/// All paths in a module's code that lead into its own crate, starting at the crate root.
fn paths_in(code: &str, module: &Module) -> Vec<Vec<String>> {
    let mut paths = Vec::new();
    path_starts(code).for_each(|start| start.expand(module, &mut paths));
    paths
}

/// Like [`paths_in`], for `use` declarations only.
fn imports_in(code: &str, module: &Module) -> Vec<Vec<String>> {
    let mut paths = Vec::new();
    path_starts(code).filter(|start| start.is_import).for_each(|start| start.expand(module, &mut paths));
    paths
}

/// The first segment of a path and the text after its `::`.
struct PathStart<'a> {
    word: &'a str,
    rest: &'a str,
    is_import: bool,
}

fn path_starts(code: &str) -> impl Iterator<Item = PathStart<'_>> {
    code.match_indices("::").filter_map(|(at, _)| {
        let (before, rest) = (&code[..at], &code[at + 2..]);
        let word_at = before.rfind(|letter: char| !is_identifier_char(letter)).map_or(0, |last| last + 1);
        let (before, word) = before.split_at(word_at);
        let is_import = before.ends_with("use ");
        (!before.ends_with("::")).then_some(PathStart { word, rest, is_import })
    })
}

impl PathStart<'_> {
    fn expand(&self, module: &Module, paths: &mut Vec<Vec<String>>) {
        let first = match self.word {
            "crate" => Vec::new(),
            "self" => module.clone(),
            "super" => module[..module.len().saturating_sub(1)].to_vec(),
            // A submodule or another crate; a path into another crate resolves to this module.
            word if self.is_import => [&module[..], &[word.to_owned()]].concat(),
            _ => return,
        };
        expand(first, &mut &*self.rest, paths);
    }
}

fn is_identifier_char(letter: char) -> bool {
    letter.is_alphanumeric() || letter == '_'
}

/// Reads the rest of a path, which may branch: `a::{b, c::d}` is `a::b` and `a::c::d`.
fn expand(mut path: Vec<String>, rest: &mut &str, paths: &mut Vec<Vec<String>>) {
    *rest = rest.trim_start();
    if let Some(branches) = rest.strip_prefix('{') {
        *rest = branches;
        while !rest.is_empty() && !rest.starts_with(['}', ';']) {
            expand(path.clone(), rest, paths);
            *rest = rest.trim_start_matches(|letter: char| letter.is_whitespace() || letter == ',');
        }
        *rest = rest.strip_prefix('}').unwrap_or(rest);
        return;
    }
    let length = rest.find(|letter: char| !is_identifier_char(letter)).unwrap_or(rest.len());
    let (name, behind) = rest.split_at(length);
    match name {
        "super" => drop(path.pop()),
        "self" | "" => {}
        name => path.push(name.to_owned()),
    }
    *rest = behind;
    match behind.strip_prefix("::") {
        Some(further) => {
            *rest = further;
            expand(path, rest, paths);
        }
        None => {
            // `a as b` and `*` end a branch like a name does.
            *rest = behind.trim_start_matches(|letter| !matches!(letter, ',' | '}' | ';' | '\n'));
            paths.push(path);
        }
    }
}
