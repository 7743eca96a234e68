//! Crash safety on a real file system: an `apply` killed at any time leaves either the old state or the new one.

mod common;

use runtrack_testkit::TempDir;

#[test]
fn an_apply_killed_at_random_times_leaves_the_old_state_or_the_new() {
    let folder = TempDir::new();
    // `cargo bench -p runtrack-cli --bench kills` performs 500 kills, also on larger states.
    let (_, inconsistent) = common::kill_applies(folder.path(), 40, 50, 7);
    assert_eq!(inconsistent, 0);
}
