//! The modules of each crate of the fleet depend on each other without cycles. The check reads the sources, so that it
//! finds cycles through `use`, `super::` and paths in code alike.

mod support;

use std::collections::BTreeSet;
use std::path::Path;
use support::Sources;

/// The crates of the fleet as listed in docs/ARCHITECTURE.md, and its simulator.
const FLEET_CRATES: [&str; 14] = [
    "message",
    "config_delta",
    "failure_detector",
    "fleetconfig",
    "register",
    "hash_ring",
    "registry",
    "record_store",
    "link",
    "proxy",
    "agent",
    "controller",
    "scale",
    "sim",
];

type Cycle = BTreeSet<String>;

fn cycle(modules: &[&str]) -> Cycle {
    modules.iter().map(|module| (*module).to_owned()).collect()
}

fn sources_of(modules: &[(&str, &str)]) -> Sources {
    let mut sources = Sources::default();
    for (module, text) in modules {
        let path = module.split("::").filter(|name| !name.is_empty()).map(str::to_owned);
        sources.add(path.collect(), text);
    }
    sources
}

fn cycles_in(modules: &[(&str, &str)]) -> BTreeSet<Cycle> {
    sources_of(modules).cycles()
}

#[test]
fn no_modules_of_the_fleet_form_a_cycle() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for name in FLEET_CRATES {
        let found = Sources::read(&crates.join(name).join("src")).cycles();
        assert!(found.is_empty(), "crate {name}: {found:?}");
    }
}

#[test]
fn two_modules_that_import_each_other_are_a_cycle() {
    let modules =
        [("one", "use crate::two::Two;"), ("two", "use crate::{one::One, three};"), ("three", "")];
    assert_eq!(cycles_in(&modules), [cycle(&["one", "two"])].into());
}

#[test]
fn a_cycle_through_super_and_paths_in_the_code_is_seen() {
    let modules = [
        ("", "mod one; mod two; mod three;"),
        ("one", "use super::two::Two;"),
        ("two", "fn make() { crate::three::make() }"),
        ("three", "use super::{\n    four::Four,\n    one::{self, One},\n};"),
        ("four", ""),
    ];
    assert_eq!(cycles_in(&modules), [cycle(&["one", "two", "three"])].into());
}

#[test]
fn a_cycle_through_a_name_that_the_root_exports_is_seen() {
    let modules = [
        ("", "mod one;\nmod two;\npub use one::{First, One};\npub use std::io;"),
        ("one", "use crate::two::Two;"),
        ("two", "use crate::{One, io};"),
    ];
    assert_eq!(cycles_in(&modules), [cycle(&["one", "two"])].into());
}

#[test]
fn acyclic_modules_are_not_reported() {
    let straight = [
        ("", "mod one;\npub use one::One;\npub struct Shared;"),
        ("one", "use crate::Shared;\nuse crate::two::Two;\n// as crate::three::Three does"),
        ("two", "mod part;\nuse part::Part;\nuse std::one::One;"),
        ("two::part", "use super::Two;\nuse crate::Shared;"),
        ("three", "use crate::{one::One, two::part::Part as Piece, two::*};"),
    ];
    assert_eq!(cycles_in(&straight), BTreeSet::new());
}

/// The check finds a cycle in the sources of a real crate when one line is added to them.
#[test]
fn a_cycle_planted_in_real_sources_is_seen() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("../link/src");
    let mut sources = Sources::read(&src);
    assert_eq!(sources.cycles(), BTreeSet::new());
    sources.add(vec!["session".into()], "use crate::gossip::Gossip;");
    assert_eq!(sources.cycles(), [cycle(&["config_exchange", "gossip", "session", "trust"])].into());
}
