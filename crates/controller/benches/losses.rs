//! Measures changes and copies while a member is lost. It runs in virtual time, so that the machine's load has no effect:
//! `cargo bench -p runtrack-controller --bench losses -- [members] [bytes] [write in ms] [every how many ms] [up to] [losses] [uneven]`.

#[path = "../tests/loss_measurement/mod.rs"]
mod loss_measurement;
#[path = "../tests/virtual_time/mod.rs"]
mod virtual_time;

use loss_measurement::{Figures, LOSSES, Loss, Row, Trial, run_trial};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use virtual_time::run;

/// Small, since the machine is shared.
const THREADS: usize = 3;

fn figures(trial: Trial) -> Figures {
    let figures = Rc::new(Cell::new(Figures::default()));
    let out = figures.clone();
    run(async move { out.set(run_trial(trial).await) });
    figures.get()
}

/// Measures the losses whose name contains `wanted` and returns the formatted rows.
fn rows(wanted: &str, row: impl Fn(Loss) -> Row + Sync) -> Vec<String> {
    let losses: Vec<Loss> =
        LOSSES.into_iter().filter(|loss| format!("{loss:?}").contains(wanted)).collect();
    let (next, rows) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((at, loss)) = take(&losses, &next) {
                    let line = row(loss).to_string();
                    rows.lock().expect("the lock is not poisoned").insert(at, line);
                }
            });
        }
    });
    rows.into_inner().expect("the lock is not poisoned").into_values().collect()
}

fn take(losses: &[Loss], next: &AtomicUsize) -> Option<(usize, Loss)> {
    let at = next.fetch_add(1, Ordering::Relaxed);
    losses.get(at).map(|loss| (at, *loss))
}

fn main() {
    let arguments: Vec<String> =
        std::env::args().skip(1).filter(|argument| argument != "--bench").collect();
    let number = |at: usize, default: usize| -> usize {
        arguments.get(at).map_or(default, |text| text.parse().expect("a number"))
    };
    let least = number(2, 2);
    let trial = Trial {
        bytes: number(1, 0),
        write: Duration::from_millis(least as u64),
        uneven: arguments.get(6).is_some_and(|word| word == "uneven"),
        ..Trial::of(number(0, 3), Loss::Killed)
    };
    let moments = (0..number(4, 1000) as u64).step_by(number(3, 13));
    let moments: Vec<Duration> = moments.map(Duration::from_millis).collect();
    println!("{trial:?} and others, at {} moments; median and maximum in ms", moments.len());
    println!("{:14} without changes  one change   all copies     the same at rest", "");
    let wanted = arguments.get(5).map(String::as_str).unwrap_or_default();
    let row = |loss| Row::measure(Trial { loss, ..trial }, &moments, figures);
    rows(wanted, row).iter().for_each(|line| println!("{line}"));
}
