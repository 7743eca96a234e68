//! How long changes and copies take while a member is lost, in virtual time and at a few moments each; the bench `losses`
//! plays many.

mod loss_measurement;
mod virtual_time;

use loss_measurement::{Figures, Loss, Trial, play};
use std::time::Duration;
use virtual_time::run;

/// Moments of a loss, in milliseconds, one for each of three members.
const MOMENTS: [u64; 3] = [100, 413, 806];
/// The longest that a change may take at a member that nothing befalls.
const MAX_CHANGE: Duration = Duration::from_millis(250);

fn check(loss: Loss, goes_on: bool, within: fn(&Figures) -> bool) {
    for moment in MOMENTS.map(Duration::from_millis) {
        run(async move {
            let trial = Trial { members: 3, bytes: 0, loss, moment, goes_on };
            let figures = play(trial).await;
            assert!(within(&figures), "{trial:?}: {figures:?}");
        });
    }
}

#[test]
fn a_round_that_a_member_refused_does_not_wait_for_one_that_is_lost() {
    for loss in [Loss::CutFromOne, Loss::MutedToOne, Loss::Wiped, Loss::Replaced, Loss::Stalled, Loss::Full]
    {
        check(loss, true, |figures| figures.change <= MAX_CHANGE);
    }
}
