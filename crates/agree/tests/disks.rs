//! Members whose disks fail, lose power or are damaged: nothing that was acknowledged is lost.

mod support;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_agree::{Node, NodeError};
use runtrack_store::Files;
use runtrack_testkit::Disk;
use std::collections::BTreeSet;
use support::*;

/// Writes to a single-member cluster until its disk fails. Returns the ids of the acknowledged writes, and whether all
/// writes succeeded.
fn write_until_failure(node: &mut Node<Disk>, count: u64, size: usize) -> (BTreeSet<String>, bool) {
    let mut acknowledged = BTreeSet::new();
    for n in 0..count {
        node.tick();
        let text = format!("{n} {}", "x".repeat(size));
        let id = format!("w{n}");
        let command = node.state().map(|state| commit(state, &text)).expect("it has a state");
        let _ = node.propose(&proposal(&id, command));
        match node.drive() {
            Ok(output) => acknowledged.extend(output.applied.into_iter().map(|applied| applied.id)),
            Err(_) => return (acknowledged, false),
        }
    }
    (acknowledged, true)
}

fn single_member(disk: &Disk) -> Node<Disk> {
    let mut node = Node::open(disk.clone(), TUNING, 1).expect("a sound folder");
    for _ in 0..40 {
        node.tick();
        node.drive().expect("a sound disk");
    }
    assert!(node.is_leader());
    node
}

#[test]
fn a_power_cut_at_any_operation_loses_no_acknowledged_write() {
    // Large texts, so that the log is compacted behind a snapshot during the run.
    let new_disk = || {
        let disk = Disk::default();
        let state = runtrack_agree::State::new("lineage-1", 7, "m1", "a1", "folder-1");
        Node::bootstrap(disk.clone(), identity(1), &state).expect("made");
        disk
    };
    let (count, size) = (8, 4_000);
    let steps = {
        let disk = new_disk();
        let mut node = single_member(&disk);
        let before = disk.operations();
        let (all, _) = write_until_failure(&mut node, count, size);
        assert!(
            all.len() as u64 + 1 >= count && node.snapshot().index > 1,
            "no snapshot was made during the run"
        );
        disk.operations() - before
    };
    let mut kept = 0;
    for cut in 0..steps {
        for seed in 0..4 {
            let disk = new_disk();
            let mut node = single_member(&disk);
            disk.fail_at(Some((disk.operations() + cut, true)));
            let (acknowledged, _) = write_until_failure(&mut node, count, size);
            drop(node);
            let disk_after_cut = disk.after_power_loss(&mut Pcg32::seed_from_u64(seed));
            let node = single_member(&disk_after_cut);
            let state = node.state().expect("it has a state");
            for id in &acknowledged {
                assert!(state.outcome(id).is_some(), "cut {cut}, seed {seed}: {id} is lost");
            }
            kept += acknowledged.len();
        }
    }
    assert!(kept > 100, "{kept} writes were acknowledged before a cut");
}

#[test]
fn power_cuts_of_all_members_lose_no_write_and_elect_one_leader_per_term() {
    for seed in 0..40 {
        let mut cluster = Cluster::with_members(3, 1_000 + seed);
        let mut written = Vec::new();
        for n in 0..12 {
            let victim = 1 + u64::from(cluster.rng.next_u32() % 3);
            // The power fails in the middle of an iteration, at one of the disk's next operations.
            let disk = cluster.disks[&victim].clone();
            let at = disk.operations() + cluster.rng.next_u32() as usize % 6;
            disk.fail_at(Some((at, true)));
            if n % 4 == 3 {
                (1..=3).for_each(|member| cluster.power_off(member));
                (1..=3).for_each(|member| cluster.start(member));
            }
            let id = format!("w{n}");
            cluster.write(&id, hold(n));
            written.push(id);
            cluster.power_cycle(victim);
        }
        cluster.wait_for_equal_states();
        for id in written {
            assert!(
                (1..=3).all(|member| cluster.state(member).outcome(&id).is_some()),
                "seed {seed}: {id}"
            );
        }
    }
}

#[test]
fn a_flipped_byte_anywhere_in_a_members_folder_is_refused_or_harmless() {
    let mut cluster = Cluster::with_members(3, 20);
    for n in 0..4 {
        cluster.write("", hold(n));
    }
    cluster.wait_for_equal_states();
    let applied = cluster.state(2).index;
    let disk = cluster.disks[&2].clone();
    drop(cluster);
    let (mut refused, mut harmless) = (0, 0);
    for name in disk.names() {
        let good = disk.read(&name).expect("there");
        for at in 0..good.len() {
            let mut bad = good.clone();
            bad[at] ^= 0x04;
            disk.overwrite(&name, &bad);
            match Node::open(disk.clone(), TUNING, 1) {
                Err(NodeError::Disk(_)) => refused += 1,
                Err(other) => panic!("{name}, byte {at}: {other}"),
                Ok(mut node) => {
                    node.drive().expect("a sound disk");
                    let status = node.status();
                    assert!(status.committed >= applied, "{name}, byte {at}: committed entries are lost");
                    harmless += 1;
                }
            }
            disk.overwrite(&name, &good);
        }
    }
    assert!(refused > 20 * harmless, "{refused} refused, {harmless} harmless");
}

#[test]
fn a_leader_with_a_full_disk_stops_and_rejoins_after_a_restart() {
    let mut cluster = Cluster::with_members(3, 21);
    for n in 0..5 {
        cluster.write("", hold(n));
    }
    let leader = cluster.leader().expect("somebody");
    let disk = cluster.disks[&leader].clone();
    disk.fail_at(Some((disk.operations(), false)));
    cluster.write("", hold(5));
    assert!(matches!(&cluster.errors[..], [(member, NodeError::Disk(_))] if *member == leader));
    let index = cluster.write("", hold(6));
    cluster.start(leader);
    cluster.wait_for_equal_states();
    assert!(cluster.state(leader).index >= index);
    assert_eq!(cluster.state(leader).held.len(), 7);
}

#[test]
fn a_lagging_member_receives_a_snapshot_and_the_log_stays_bounded() {
    let mut cluster = Cluster::with_members(3, 22);
    let behind = (1..=3).find(|member| Some(*member) != cluster.leader()).expect("one of the others");
    cluster.set_partitioned(behind, true);
    let mut index = 0;
    for n in 0..30 {
        let leader = cluster.leader().expect("somebody");
        let command = commit(cluster.state(leader), &format!("{n} {}", "y".repeat(4_000)));
        index = cluster.write(&format!("v{n}"), command);
    }
    let leader = cluster.leader().expect("somebody");
    let bytes = cluster.nodes[&leader].log_bytes();
    let snapshot = cluster.nodes[&leader].snapshot().clone();
    assert!(snapshot.index > 10 && bytes < 300_000, "snapshot {}, log of {bytes} bytes", snapshot.index);
    cluster.set_partitioned(behind, false);
    cluster.wait_for_equal_states();
    assert!(cluster.state(behind).index >= index);
    // A repeat of a write from before the snapshot is answered and not applied again.
    let serial = cluster.state(behind).serial();
    let again = cluster.applied.values().filter(|applied| applied.id == "v3").count();
    assert_eq!(again, 1);
    let repeat = commit(cluster.state(behind), "again");
    let leader = cluster.leader().expect("somebody");
    cluster.nodes.get_mut(&leader).expect("it runs").propose(&proposal("v3", repeat)).expect("taken");
    for _ in 0..20 {
        cluster.tick_all();
    }
    assert_eq!(cluster.state(leader).serial(), serial);
}
