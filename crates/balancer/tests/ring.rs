//! Tests of the private module `ring`, whose source is included here.

#[path = "../src/ring.rs"]
#[allow(dead_code)]
mod ring;

/// Stands in for the crate module that the included source uses.
mod types {
    pub use runtrack_balancer::EndpointId;
}

use proptest::prelude::*;
use ring::{Ring, SlotSets};
use runtrack_balancer::EndpointId;
use std::collections::{BTreeMap, BTreeSet};

/// The expected arc: endpoints from rank `start` on, until it holds `warm` warm ones.
fn expected_arc(ring: &BTreeMap<u64, bool>, start: usize, warm: usize) -> BTreeSet<u64> {
    let all: Vec<(u64, bool)> = ring.iter().map(|(&id, &warm)| (id, warm)).collect();
    let mut wanted = warm;
    let mut arc = BTreeSet::new();
    for position in start..start + all.len() {
        let (id, warm) = all[position % all.len()];
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

    /// After any changes, the reported memberships add up to the expected arc.
    #[test]
    fn arc_follows_single_changes(
        first in 0..700u64,
        fraction in 0.005f64..1.2,
        turn in 0.0f64..1.0,
        steps in proptest::collection::vec((any::<u16>(), any::<bool>(), 0..4u8), 1..150),
    ) {
        let (mut ring, mut model) = (Ring::default(), BTreeMap::new());
        let (mut reported, mut updated) = (BTreeSet::new(), Vec::new());
        for id in 0..first {
            let id = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 1000;
            ring.insert(EndpointId(id), id % 7 > 0);
            model.insert(id, id % 7 > 0);
            updated.push(EndpointId(id));
        }
        for (id, warm, action) in steps {
            let id = u64::from(id) % 1000;
            if action == 0 {
                ring.remove(EndpointId(id));
                model.remove(&id);
                reported.remove(&id);
            } else {
                ring.insert(EndpointId(id), warm);
                model.insert(id, warm);
                updated.push(EndpointId(id));
            }
            prop_assert_eq!(ring.len(), model.len());
            prop_assert_eq!(ring.contains(EndpointId(id)), model.contains_key(&id));
            if action == 3 {
                continue; // several changes before the arc is updated
            }
            let size = model.len();
            let start = (size as f64 * turn) as usize;
            let wanted = ((size as f64 * fraction).ceil() as usize).max(4);
            ring.set_arc(start, wanted, &updated, |id, inside| {
                if inside { reported.insert(id.0) } else { reported.remove(&id.0) };
            });
            updated.clear();
            prop_assert_eq!(&reported, &expected_arc(&model, start, wanted));
        }
    }

    #[test]
    fn slot_sets_match_model(steps in proptest::collection::vec((0..4usize, 0..30usize, 0..5u8), 1..300)) {
        let (mut slot_sets, mut names): (SlotSets, Vec<usize>) = Default::default();
        let mut model: [BTreeSet<usize>; 4] = Default::default();
        let mut next = 0;
        for (set, slot, action) in steps {
            match action {
                0 => {
                    slot_sets.push_slot();
                    names.push(next);
                    next += 1;
                }
                1 if slot < names.len() => {
                    slot_sets.swap_remove_slot(slot);
                    let name = names.swap_remove(slot);
                    for set in &mut model {
                        set.remove(&name);
                    }
                }
                2 | 3 if slot < names.len() => {
                    slot_sets.set(set, slot, action == 2);
                    if action == 2 { model[set].insert(names[slot]) } else { model[set].remove(&names[slot]) };
                }
                _ if slot_sets.len(set) > 1 => drop(slot_sets.swap(set, 0, slot % slot_sets.len(set))),
                _ => {}
            }
            for (set, model) in model.iter().enumerate() {
                let held: BTreeSet<usize> = (0..slot_sets.len(set)).map(|k| names[slot_sets.swap(set, k, k)]).collect();
                prop_assert_eq!(&held, model);
            }
        }
    }
}
