//! Cuts of links that are in force: several may harm the same link, which is whole once all of them are over.

use crate::link::{Links, Rule, Way, locked};
use std::collections::BTreeMap;
use std::sync::Mutex;

/// One link, by the names of who connects and who is connected to.
pub type Pair = (String, String);

/// Cuts that are in force.
#[derive(Default)]
pub struct Cuts(Mutex<InForce>);

#[derive(Default)]
struct InForce {
    next: u64,
    cuts: BTreeMap<u64, Vec<(Pair, Rule)>>,
}

impl Cuts {
    /// A cut begins; gives its number.
    pub fn begin(&self, links: &Links, cut: Vec<(Pair, Rule)>) -> u64 {
        let mut in_force = locked(&self.0);
        in_force.next += 1;
        let number = in_force.next;
        let pairs: Vec<Pair> = cut.iter().map(|(pair, _)| pair.clone()).collect();
        in_force.cuts.insert(number, cut);
        in_force.apply(links, &pairs);
        number
    }

    /// The cut of this number is over.
    pub fn end(&self, links: &Links, number: u64) {
        let mut in_force = locked(&self.0);
        let cut = in_force.cuts.remove(&number).unwrap_or_default();
        let pairs: Vec<Pair> = cut.into_iter().map(|(pair, _)| pair).collect();
        in_force.apply(links, &pairs);
    }
}

impl InForce {
    /// Sets links to what all cuts together make of them.
    fn apply(&self, links: &Links, pairs: &[Pair]) {
        for pair in pairs {
            let of_pair = self.cuts.values().flatten().filter(|(other, _)| other == pair);
            let all = of_pair.fold(Rule::default(), |all, (_, rule)| both(all, *rule));
            links.set(&pair.0, &pair.1, |rule| {
                let resets = rule.resets + u32::from(all.refused);
                *rule = Rule { resets, ..all };
            });
        }
    }
}

fn both(one: Rule, other: Rule) -> Rule {
    let held = |one: Way, other: Way| Way { held: one.held || other.held, ..one };
    Rule {
        there: held(one.there, other.there),
        back: held(one.back, other.back),
        refused: one.refused || other.refused,
        resets: 0,
    }
}
