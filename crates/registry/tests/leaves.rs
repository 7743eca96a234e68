//! The table of leaves: batches to write, eviction, and bounds.

use deku::DekuContainerWrite;
use runtrack_message::{Endpoint, EndpointState, MAX_TEXT};
use runtrack_registry::{LEAVE_GENERATIONS, LeaveRecord, LeaveTable, MAX_LEAVE_RECORD, Registry, key_of};

/// Endpoints of the largest supported fleet, and endpoints replaced in the days after a release of all.
const ENDPOINTS: usize = 12_000;
const REPLACED: usize = 3_000;

fn leaving(id: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "llm".into(),
        ip: 10,
        port: 8000,
        zone: "a".into(),
        capacity: 64,
        state,
        warmup_left_ms: 0,
        call_seq: 7,
        models: Vec::new().into(),
    }
}

/// An id of typical length.
fn id(number: usize) -> String {
    format!("llm-7f9c-zone-a-0123456789abcdef-{number:08}")
}

/// Writes the pending batch to a simulated disk, by slot; returns the number of records.
fn write(table: &mut LeaveTable, disk: &mut [Option<LeaveRecord>]) -> usize {
    let Some(batch) = table.batch() else { return 0 };
    let count = batch.records.len();
    for record in batch.records {
        let slot = record.slot();
        disk[slot] = Some(record);
    }
    table.written(batch.change);
    count
}

fn empty_disk() -> Vec<Option<LeaveRecord>> {
    vec![None; LEAVE_GENERATIONS as usize]
}

fn on_disk(disk: &[Option<LeaveRecord>]) -> Registry {
    let mut registry = Registry::default();
    for record in disk.iter().flatten() {
        let bytes = record.to_bytes().expect("a record");
        assert!(bytes.len() <= MAX_LEAVE_RECORD, "{}", bytes.len());
        let read = LeaveRecord::read(&bytes).expect("the same record");
        read.endpoints().for_each(|endpoint| {
            registry.merge(endpoint);
        });
    }
    registry
}

fn state(registry: &Registry, id: &str) -> Option<EndpointState> {
    registry.get(key_of(id)).map(|record| record.state)
}

#[test]
fn only_leaves_are_recorded_and_their_state_only_advances() {
    let mut table = LeaveTable::default();
    assert!(!table.note(&leaving("one", EndpointState::Ready)));
    assert!(table.batch().is_none());
    assert!(table.note(&leaving("one", EndpointState::Draining)));
    assert!(!table.note(&leaving("one", EndpointState::Draining)), "it is no news");
    assert!(table.note(&leaving("one", EndpointState::Gone)));
    assert!(!table.note(&leaving("one", EndpointState::Draining)));
    let mut disk = empty_disk();
    write(&mut table, &mut disk);
    assert_eq!(state(&on_disk(&disk), "one"), Some(EndpointState::Gone));
    assert_eq!(table.len(), 1);
}

#[test]
fn a_leave_is_durable_once_the_batch_that_has_it_is_written() {
    let mut table = LeaveTable::default();
    let (one, two) = (leaving("one", EndpointState::Gone), leaving("two", EndpointState::Gone));
    table.note(&one);
    let batch = table.batch().expect("something to write");
    table.note(&two);
    assert!(!table.is_durable(table.change_of(&one)));
    table.written(batch.change);
    assert!(table.is_durable(table.change_of(&one)));
    assert!(!table.is_durable(table.change_of(&two)), "it came while the batch was being written");
    let batch = table.batch().expect("the second");
    table.written(batch.change);
    assert!(table.is_durable(table.change_of(&two)) && table.batch().is_none());
}

#[test]
fn a_state_advanced_after_the_batch_is_not_durable() {
    let mut table = LeaveTable::default();
    table.note(&leaving("one", EndpointState::Draining));
    write(&mut table, &mut empty_disk());
    let gone = leaving("one", EndpointState::Gone);
    table.note(&gone);
    assert!(!table.is_durable(table.change_of(&gone)));
}

#[test]
fn recovered_leaves_are_durable_and_stay_in_their_generation() {
    let mut table = LeaveTable::default();
    let mut disk = empty_disk();
    for number in 0..2_000 {
        table.note(&leaving(&id(number), EndpointState::Draining));
    }
    assert_eq!(write(&mut table, &mut disk), 2);
    let records: Vec<LeaveRecord> = disk.iter().flatten().cloned().collect();
    let mut again = LeaveTable::recover(&records);
    assert_eq!(again.len(), 2_000);
    assert!(again.batch().is_none());
    assert!(!again.note(&leaving(&id(0), EndpointState::Draining)));
    assert!(again.note(&leaving(&id(0), EndpointState::Gone)));
    assert_eq!(write(&mut again, &mut disk), 1, "it rises where it is");
    let registry = on_disk(&disk);
    assert_eq!(state(&registry, &id(0)), Some(EndpointState::Gone));
    assert_eq!(registry.len(), 2_000);
}

#[test]
fn the_table_holds_a_release_of_all_endpoints_and_the_days_after() {
    let mut table = LeaveTable::default();
    let mut disk = empty_disk();
    for number in 0..ENDPOINTS + REPLACED {
        table.note(&leaving(&id(number), EndpointState::Draining));
        table.note(&leaving(&id(number), EndpointState::Gone));
    }
    write(&mut table, &mut disk);
    let registry = on_disk(&disk);
    assert_eq!(registry.len(), ENDPOINTS + REPLACED);
    assert!(
        (0..ENDPOINTS + REPLACED).all(|number| state(&registry, &id(number)) == Some(EndpointState::Gone))
    );
}

#[test]
fn the_oldest_leaves_are_evicted_first() {
    let mut table = LeaveTable::default();
    let mut disk = empty_disk();
    let count = 3 * (ENDPOINTS + REPLACED);
    for number in 0..count {
        table.note(&leaving(&id(number), EndpointState::Gone));
        if number % 100 == 0 {
            write(&mut table, &mut disk);
        }
    }
    write(&mut table, &mut disk);
    let registry = on_disk(&disk);
    let kept: Vec<usize> = (0..count).filter(|number| state(&registry, &id(*number)).is_some()).collect();
    assert_eq!(kept, (count - table.len()..count).collect::<Vec<_>>(), "the last ones, without a gap");
    assert!(table.len() >= ENDPOINTS + REPLACED, "{}", table.len());
}

#[test]
fn the_longest_ids_stay_within_the_bounds() {
    let mut table = LeaveTable::default();
    let mut disk = empty_disk();
    let long = |number: usize| format!("{number:0width$}", width = MAX_TEXT as usize + 9);
    for number in 0..1_000 {
        // Texts are truncated at their bound, so the number comes first.
        let id: String = long(number).chars().rev().collect();
        table.note(&leaving(&id, EndpointState::Gone));
        write(&mut table, &mut disk);
    }
    assert!(table.len() >= 15 * LEAVE_GENERATIONS as usize - 15, "{}", table.len());
    assert_eq!(on_disk(&disk).len(), table.len());
}
