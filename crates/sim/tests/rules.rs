//! The oracle on facts made by hand: each rule kept by a hair, and broken by one.

use runtrack_sim::facts::{Answered, Asked, Attempt, Effect, Facts, Life, Told};
use runtrack_sim::oracle::{Rule, judge};
use runtrack_sim::script::{Class, Manner, Script};
use std::time::Duration;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn script() -> Script {
    let (asks, faults) = Default::default();
    Script {
        seed: 1,
        sidecars: 1,
        latency_ms: (1, 1),
        split: 0,
        fall_tenths: 20,
        endpoints: 2,
        connect_ms: 250,
        window_ms: 400,
        uncancelled: false,
        asks,
        faults,
    }
}

/// A request of this class, taken at 1 s with a second's time, sent to endpoint 0, run and served.
fn served(class: Class) -> Facts {
    let answer = Answered { wrote: ms(1100), status: 200, body: "made".to_owned() };
    let asked = Asked {
        id: "r0".to_owned(),
        class,
        sidecar: 0,
        manner: Manner::Plain,
        began: ms(998),
        sent: Some(ms(999)),
        taken: Some(ms(1000)),
        read: true,
        wait: ms(1000),
        left: None,
        broke: None,
        on: Some((1, 0)),
        answers: vec![answer],
    };
    let effect =
        Effect { id: "r0".to_owned(), endpoint: 0, at: ms(1010), body: "made".to_owned(), answers: true };
    let life = Life { sidecar: 0, from: ms(0), until: None, told: None, killed: false };
    let attempts = vec![attempt(0, 1005)];
    Facts { asked: vec![asked], attempts, effects: vec![effect], lives: vec![life], ..Facts::default() }
}

fn attempt(endpoint: u32, first: u64) -> Attempt {
    let (whole, turned_away) = (Some(ms(first + 1)), None);
    Attempt { id: "r0".to_owned(), sidecar: 0, endpoint, link: 2, first: ms(first), whole, turned_away }
}

fn broken(facts: &Facts) -> Vec<Rule> {
    judge(&script(), facts).into_iter().map(|breach| breach.rule).collect()
}

/// These facts, changed.
fn with(class: Class, change: impl Fn(&mut Facts)) -> Vec<Rule> {
    let mut facts = served(class);
    change(&mut facts);
    broken(&facts)
}

#[test]
fn rule_one_is_one_answer_in_time() {
    assert_eq!(with(Class::Book, |_| {}), []);
    assert_eq!(with(Class::Book, |f| f.asked[0].answers[0].wrote = ms(2050)), [], "with the slack");
    assert_eq!(with(Class::Book, |f| f.asked[0].answers[0].wrote = ms(2051)), [Rule::Lost]);
    assert_eq!(with(Class::Book, |f| f.asked[0].answers.clear()), [Rule::Lost]);
    let twice = |f: &mut Facts| {
        let answer = f.asked[0].answers[0].clone();
        f.asked[0].answers.push(answer);
    };
    assert_eq!(with(Class::Book, twice), [Rule::Lost]);
    assert_eq!(
        with(Class::Quote, |f| f.attempts.push(attempt(1, 1101))),
        [Rule::Lost],
        "sent after its answer"
    );
}

#[test]
fn who_left_was_killed_or_paused_loses_nothing() {
    let none = |f: &mut Facts| f.asked[0].answers.clear();
    assert_eq!(with(Class::Book, |f| (none(f), f.asked[0].left = Some(ms(1200))).0), []);
    let killed = |f: &mut Facts, killed| {
        none(f);
        (f.lives[0].until, f.lives[0].killed) = (Some(ms(1500)), killed);
    };
    assert_eq!(with(Class::Book, |f| killed(f, true)), []);
    assert_eq!(with(Class::Book, |f| killed(f, false)), [Rule::Lost], "it ended by itself");
    let paused = |f: &mut Facts, wrote| {
        f.pauses.push((0, ms(1500), ms(1700)));
        f.asked[0].answers[0].wrote = ms(wrote);
    };
    assert_eq!(with(Class::Book, |f| paused(f, 2250)), []);
    assert_eq!(with(Class::Book, |f| paused(f, 2251)), [Rule::Lost]);
}

#[test]
fn for_who_has_left_nothing_is_sent_on_later_than_a_moment_after() {
    let left = |f: &mut Facts, first| {
        f.asked[0].answers.clear();
        f.asked[0].left = Some(ms(1200));
        f.attempts = vec![attempt(0, first)];
    };
    assert_eq!(with(Class::Quote, |f| left(f, 1550)), [], "with the slack");
    assert_eq!(with(Class::Quote, |f| left(f, 1551)), [Rule::Gone]);
    let paused = |f: &mut Facts, first| (left(f, first), f.pauses.push((0, ms(1210), ms(1310)))).0;
    assert_eq!(with(Class::Quote, |f| paused(f, 1650)), [], "without a processor nobody acts");
    assert_eq!(with(Class::Quote, |f| paused(f, 1651)), [Rule::Gone]);
}

#[test]
fn rule_two_is_no_effect_twice() {
    let again = |f: &mut Facts| f.attempts.push(attempt(1, 1050));
    assert_eq!(with(Class::Book, again), [Rule::Twice]);
    assert_eq!(with(Class::Quote, again), [], "it may be repeated");
    assert_eq!(with(Class::Book, |f| (again(f), f.attempts[0].whole = None).0), [], "never written whole");
    assert_eq!(with(Class::Book, |f| (again(f), f.attempts[0].turned_away = Some(ms(1020))).0), []);
    let late = |f: &mut Facts| (again(f), f.attempts[0].turned_away = Some(ms(1051))).0;
    assert_eq!(with(Class::Book, late), [Rule::Twice], "said after it was sent again");
}

#[test]
fn keyed_requests_are_repeated_in_their_group_and_window_alone() {
    let to = |endpoint, first| {
        move |f: &mut Facts| {
            f.attempts.push(attempt(endpoint, first));
            f.asked[0].answers[0].wrote = ms(1900);
        }
    };
    assert_eq!(with(Class::Pay, to(2, 1300)), []);
    assert_eq!(with(Class::Pay, to(1, 1300)), [Rule::Twice], "another zone");
    assert_eq!(with(Class::Pay, to(2, 1457)), [Rule::Twice], "beyond its window");
}

#[test]
fn a_refusal_of_what_may_have_run_breaks_rule_two() {
    let refused =
        |f: &mut Facts| (f.asked[0].answers[0].status, f.asked[0].answers[0].body) = (503, String::new());
    assert_eq!(with(Class::Book, refused), [Rule::Twice]);
    assert_eq!(with(Class::Quote, refused), []);
    let failed = |f: &mut Facts| f.asked[0].answers[0].status = 502;
    assert_eq!(with(Class::Book, failed), [], "a failure promises nothing");
}

#[test]
fn answers_are_those_that_endpoints_made_for_the_request() {
    assert_eq!(with(Class::Book, |f| f.asked[0].answers[0].body = "other".to_owned()), [Rule::Answer]);
    assert_eq!(with(Class::Book, |f| f.effects.clear()), [Rule::Answer], "served, and never ran");
    assert_eq!(with(Class::Book, |f| f.effects[0].answers = false), [Rule::Answer], "it was spoilt");
}

#[test]
fn rule_three_counts_from_the_first_telling() {
    let told = |at, ready| Told { sidecar: 0, endpoint: 0, at: ms(at), ready };
    let at = |first: u64, told: Vec<Told>| {
        with(Class::Quote, |f| {
            f.told = told.clone();
            f.attempts[0] = attempt(0, first);
            let asked = &mut f.asked[0];
            asked.taken = Some(ms(first));
            asked.answers[0].wrote = ms(first + 100);
        })
    };
    assert_eq!(at(5050, vec![told(3000, false)]), []);
    assert_eq!(at(5051, vec![told(3000, false)]), [Rule::Drain]);
    assert_eq!(at(5051, vec![told(3000, false), told(4000, false)]), [Rule::Drain], "told again");
    assert_eq!(at(5051, vec![told(3000, false), told(4000, true)]), [], "it is up again");
}

#[test]
fn a_drain_that_was_never_heard_counts_once_it_could_have_been() {
    let sent = |first: u64, dark: Option<(u64, u64)>| {
        with(Class::Quote, |f| {
            f.known = vec![(0, ms(1000), false)];
            f.dark = dark.iter().map(|(from, until)| (ms(*from), ms(*until))).collect();
            f.attempts[0] = attempt(0, first);
            let asked = &mut f.asked[0];
            asked.taken = Some(ms(first));
            asked.answers[0].wrote = ms(first + 100);
        })
    };
    assert_eq!(sent(9050, None), []);
    assert_eq!(sent(9051, None), [Rule::Drain]);
    assert_eq!(sent(9051, Some((3000, 4000))), [], "discovery was down meanwhile");
    assert_eq!(sent(12_051, Some((3000, 4000))), [Rule::Drain]);
}

#[test]
fn rule_four_sums_the_work_of_a_window() {
    // 40% of two cores, twice that, over 1.5 s, with a quarter and 0.2 s of slack: 3.2 s of work at the start.
    let flood = |count: u64, gap: u64| {
        with(Class::Quote, |f| {
            f.started = vec![(0, ms(0))];
            let one = f.asked[0].clone();
            f.attempts.clear();
            f.asked.clear();
            for n in 0..count {
                let id = format!("r{n}");
                f.attempts.push(Attempt { id: id.clone(), ..attempt(0, 1 + n * gap) });
                let mut asked = Asked { id, taken: None, ..one.clone() };
                asked.answers.clear();
                f.asked.push(asked);
            }
        })
    };
    assert_eq!(flood(80, 0), []);
    assert_eq!(flood(81, 0), [Rule::Cold]);
    assert_eq!(flood(200, 20), [], "spread over 4 s");
}

#[test]
fn bad_clients_are_told_and_served_nothing() {
    let bad = |manner, change: &dyn Fn(&mut Asked)| {
        with(Class::Quote, |f| {
            f.attempts.clear();
            f.asked[0].manner = manner;
            f.asked[0].answers[0].status = 400;
            change(&mut f.asked[0]);
        })
    };
    assert_eq!(bad(Manner::Rubbish, &|_| {}), []);
    assert_eq!(bad(Manner::Rubbish, &|asked| asked.answers.clear()), [Rule::Bad]);
    assert_eq!(bad(Manner::Rubbish, &|asked| asked.answers[0].status = 200), [Rule::Bad]);
    let hidden = with(Class::Quote, |f| {
        f.asked[0].manner = Manner::Smuggles;
        f.asked[0].answers[0].status = 411;
        f.attempts[0].id = "r0-hidden".to_owned();
    });
    assert_eq!(hidden, [Rule::Answer, Rule::Bad]);
}

#[test]
fn what_is_left_open_is_told() {
    assert_eq!(with(Class::Book, |f| f.open.push("1 request".to_owned())), [Rule::Left]);
    assert_eq!(with(Class::Book, |f| f.crashed.push((0, ms(1), "a panic".to_owned()))), [Rule::Left]);
}
