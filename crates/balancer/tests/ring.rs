//! A zone's ring and the sets to draw from, which the module keeps to itself: their source is part of this test.

#[path = "../src/ring.rs"]
#[allow(dead_code)]
mod ring;

/// What that source takes from its own crate.
mod types {
    pub use runtrack_balancer::EndpointId;
}

use proptest::prelude::*;
use ring::{Pools, Ring};
use runtrack_balancer::EndpointId;
use std::collections::{BTreeMap, BTreeSet};

/// The arc by its meaning: from `start` on, until so many warm endpoints are on it.
fn by_meaning(ring: &BTreeMap<u64, bool>, start: usize, warm: usize) -> BTreeSet<u64> {
    let all: Vec<(u64, bool)> = ring.iter().map(|(&id, &warm)| (id, warm)).collect();
    let mut wanted = warm;
    let mut arc = BTreeSet::new();
    for place in start..start + all.len() {
        let (id, warm) = all[place % all.len()];
        if wanted > 0 {
            arc.insert(id);
            wanted -= usize::from(warm);
        }
    }
    arc
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Whatever comes and goes, what was told adds up to the arc by its meaning.
    #[test]
    fn the_arc_follows_single_changes(
        first in 0..700u64,
        share in 0.005f64..1.2,
        turn in 0.0f64..1.0,
        steps in proptest::collection::vec((any::<u16>(), any::<bool>(), 0..4u8), 1..150),
    ) {
        let (mut ring, mut model) = (Ring::default(), BTreeMap::new());
        let (mut told, mut touched) = (BTreeSet::new(), Vec::new());
        for id in 0..first {
            let id = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 1000;
            ring.insert(EndpointId(id), id % 7 > 0);
            model.insert(id, id % 7 > 0);
            touched.push(EndpointId(id));
        }
        for (id, warm, what) in steps {
            let id = u64::from(id) % 1000;
            if what == 0 {
                ring.remove(EndpointId(id));
                model.remove(&id);
                told.remove(&id);
            } else {
                ring.insert(EndpointId(id), warm);
                model.insert(id, warm);
                touched.push(EndpointId(id));
            }
            prop_assert_eq!(ring.len(), model.len());
            prop_assert_eq!(ring.contains(EndpointId(id)), model.contains_key(&id));
            if what == 3 {
                continue; // several changes before the arc is looked at
            }
            let size = model.len();
            let start = (size as f64 * turn) as usize;
            let wanted = ((size as f64 * share).ceil() as usize).max(4);
            ring.arc(start, wanted, &touched, |id, within| {
                if within { told.insert(id.0) } else { told.remove(&id.0) };
            });
            touched.clear();
            prop_assert_eq!(&told, &by_meaning(&model, start, wanted));
        }
    }

    #[test]
    fn sets_hold_what_was_put_there(steps in proptest::collection::vec((0..4usize, 0..30usize, 0..5u8), 1..300)) {
        let (mut pools, mut names): (Pools, Vec<usize>) = Default::default();
        let mut model: [BTreeSet<usize>; 4] = Default::default();
        let mut next = 0;
        for (set, slot, what) in steps {
            match what {
                0 => {
                    pools.push_slot();
                    names.push(next);
                    next += 1;
                }
                1 if slot < names.len() => {
                    pools.swap_remove_slot(slot);
                    let name = names.swap_remove(slot);
                    for set in &mut model {
                        set.remove(&name);
                    }
                }
                2 | 3 if slot < names.len() => {
                    pools.set(set, slot, what == 2);
                    if what == 2 { model[set].insert(names[slot]) } else { model[set].remove(&names[slot]) };
                }
                _ if pools.len(set) > 1 => drop(pools.swap(set, 0, slot % pools.len(set))),
                _ => {}
            }
            for (set, model) in model.iter().enumerate() {
                let held: BTreeSet<usize> = (0..pools.len(set)).map(|k| names[pools.swap(set, k, k)]).collect();
                prop_assert_eq!(&held, model);
            }
        }
    }
}
