//! Hard case 1 on the real file system: an apply killed at any time leaves the old state or the new.

mod common;

use runtrack_testkit::TempDir;

#[test]
fn an_apply_killed_at_random_times_leaves_the_old_state_or_the_new() {
    let folder = TempDir::new();
    // `cargo bench -p runtrack-cli --bench kills` does 500, on larger states.
    let (_, mixes) = common::kills(folder.path(), 40, 50, 7);
    assert_eq!(mixes, 0);
}
