//! Active cuts of links. Several cuts may affect the same link, which works again once all of them have ended.

use crate::link::{DirectionState, LinkState, Links, locked};
use std::collections::BTreeMap;
use std::sync::Mutex;

/// A link: the name of the connecting process and of its target.
pub type Pair = (String, String);

/// The active cuts.
#[derive(Default)]
pub struct Cuts(Mutex<ActiveCuts>);

#[derive(Default)]
struct ActiveCuts {
    next: u64,
    cuts: BTreeMap<u64, Vec<(Pair, LinkState)>>,
}

impl Cuts {
    /// Starts a cut; returns its number.
    pub fn begin(&self, links: &Links, cut: Vec<(Pair, LinkState)>) -> u64 {
        let mut active = locked(&self.0);
        active.next += 1;
        let number = active.next;
        let pairs: Vec<Pair> = cut.iter().map(|(pair, _)| pair.clone()).collect();
        active.cuts.insert(number, cut);
        active.apply(links, &pairs);
        number
    }

    /// Ends the cut with this number.
    pub fn end(&self, links: &Links, number: u64) {
        let mut active = locked(&self.0);
        let cut = active.cuts.remove(&number).unwrap_or_default();
        let pairs: Vec<Pair> = cut.into_iter().map(|(pair, _)| pair).collect();
        active.apply(links, &pairs);
    }
}

impl ActiveCuts {
    /// Sets links to the combined state of all active cuts.
    fn apply(&self, links: &Links, pairs: &[Pair]) {
        for pair in pairs {
            let of_pair = self.cuts.values().flatten().filter(|(other, _)| other == pair);
            let all = of_pair.fold(LinkState::default(), |all, (_, state)| combine(all, *state));
            links.set(&pair.0, &pair.1, |state| {
                let resets = state.resets + u32::from(all.refused);
                *state = LinkState { resets, ..all };
            });
        }
    }
}

fn combine(one: LinkState, other: LinkState) -> LinkState {
    let blocked = |one: DirectionState, other: DirectionState| DirectionState {
        blocked: one.blocked || other.blocked,
        ..one
    };
    LinkState {
        to_target: blocked(one.to_target, other.to_target),
        to_source: blocked(one.to_source, other.to_source),
        refused: one.refused || other.refused,
        resets: 0,
    }
}
