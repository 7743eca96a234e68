//! The four rules as PROTOCOL-runtrack.md words them, decided on the world's facts alone. It shares no code and no state
//! with what it judges.

use crate::facts::{Asked, Attempt, Facts};
use crate::script::{Class, Manner, Script};
use crate::world;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Each time limit is this much longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// Bad clients are owed an error or a close within this.
const BAD_TOLD: Duration = Duration::from_secs(3);
/// For a client that has left nothing is sent on later than this.
const GONE: Duration = Duration::from_millis(300);
/// What discovery has to tell counts as told this much later, whether or not it was asked.
const TOLD_MOST: Duration = Duration::from_secs(6);
/// Over the budget of a cold endpoint: chance, and a last call that was under way.
const COLD_SLACK: f64 = 1.25;
const COLD_SPARE: Duration = Duration::from_millis(200);

/// Which rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer, in time.
    Lost,
    /// No effect twice, and no refusal of what may have run.
    Twice,
    /// Nothing new to an endpoint later than the grace after being told.
    Drain,
    /// No cold endpoint pushed over.
    Cold,
    /// An answer belongs to its request, and is one that an endpoint made for it.
    Answer,
    /// For a client that has left nothing is sent on later than a moment after.
    Gone,
    /// Who keeps to no protocol is told so, and passes nothing on.
    Bad,
    /// Nothing is left open, and nothing crashes.
    Left,
}

/// A broken rule: which request or endpoint, when, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// When it was broken.
    pub at: Duration,
    /// Whom it is about: a request's id, or an endpoint or a sidecar.
    pub about: String,
    /// What happened.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:>9.3} s  rule {:?}: {}: {}", self.at.as_secs_f64(), self.rule, self.about, self.what)
    }
}

fn ms(time: Duration) -> String {
    format!("{:.3} s", time.as_secs_f64())
}

/// Everything that breaks a rule, in the order of time.
pub fn judge(script: &Script, facts: &Facts) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut of_request: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &facts.attempts {
        of_request.entry(&attempt.id).or_default().push(attempt);
    }
    for asked in &facts.asked {
        let attempts = of_request.get(asked.id.as_str()).map_or(&[][..], Vec::as_slice);
        if asked.manner.is_good() {
            answered(facts, asked, attempts.is_empty(), &mut breaches);
        } else {
            bad(asked, &of_request, &mut breaches);
        }
        repeated(script, asked, attempts, &mut breaches);
        gone(facts, asked, attempts, &mut breaches);
    }
    let known = |id: &str| facts.asked.iter().any(|asked| asked.id == id);
    for attempt in facts.attempts.iter().filter(|attempt| !known(&attempt.id)) {
        let what = format!("sent to endpoint {}, and no client asked it", attempt.endpoint);
        breaches.push(breach(Rule::Answer, attempt.first, &attempt.id, what));
    }
    drains(facts, &mut breaches);
    cold(script, facts, &mut breaches);
    for what in &facts.open {
        breaches.push(breach(Rule::Left, Duration::MAX, "the end", what.clone()));
    }
    for (sidecar, at, what) in &facts.crashed {
        breaches.push(breach(Rule::Left, *at, &format!("sidecar {sidecar}"), what.clone()));
    }
    breaches.sort_by(|a, b| (a.at, a.rule, &a.about).cmp(&(b.at, b.rule, &b.about)));
    breaches
}

fn breach(rule: Rule, at: Duration, about: &str, what: impl Into<String>) -> Breach {
    Breach { rule, at, about: about.to_owned(), what: what.into() }
}

/// When a sidecar has had so much time since a moment: pauses do not count.
fn by(facts: &Facts, sidecar: u32, from: Duration, time: Duration) -> Duration {
    let mut pauses: Vec<_> = facts.pauses.iter().filter(|(paused, ..)| *paused == sidecar).collect();
    pauses.sort_unstable();
    let mut end = from + time;
    for (_, begin, until) in pauses {
        if *begin < end && *until > from {
            end += until.saturating_sub((*begin).max(from));
        }
    }
    end
}

/// Rule one, and whose answer it is.
fn answered(facts: &Facts, asked: &Asked, unsent: bool, breaches: &mut Vec<Breach>) {
    let Some(taken) = asked.taken.filter(|taken| *taken < Duration::from_secs(1 << 20)) else { return };
    let id = &asked.id;
    for answer in &asked.answers {
        let made = facts.effects.iter().any(|e| e.id == *id && e.body == answer.body && e.answers);
        if answer.status == 200 && !made {
            let what = format!("served with {:?}, which no endpoint made for it", answer.body);
            breaches.push(breach(Rule::Answer, answer.wrote, id, what));
        }
        let blamed = (400..500).contains(&answer.status) && answer.status != 429;
        if blamed || !matches!(answer.status, 200 | 400..600) {
            let what =
                format!("answered {} {:?}, though it keeps to the protocol", answer.status, answer.body);
            breaches.push(breach(Rule::Answer, answer.wrote, id, what));
        }
    }
    if let [_, second, ..] = &asked.answers[..] {
        breaches.push(breach(Rule::Lost, second.wrote, id, "a second final answer"));
    }
    let due = by(facts, asked.sidecar, taken, asked.wait + SLACK);
    match asked.answers.first() {
        Some(answer) if answer.wrote > due => {
            let what =
                format!("taken at {}, due by {}, answered at {}", ms(taken), ms(due), ms(answer.wrote));
            breaches.push(breach(Rule::Lost, answer.wrote, id, what));
        }
        Some(_) => {}
        None => {
            // A machine on which no such process runs takes nothing.
            let life = facts.lives.iter().find(|life| {
                life.sidecar == asked.sidecar
                    && life.from <= taken
                    && life.until.is_none_or(|until| taken <= until)
            });
            let Some(life) = life else { return };
            let killed = life.until.is_some_and(|until| {
                // Who had no processor after SIGTERM did not have the time that is promised until SIGKILL.
                let robbed = life
                    .told
                    .is_some_and(|told| by(facts, life.sidecar, told, until.saturating_sub(told)) > until);
                (life.killed || robbed) && until <= due
            });
            let left = asked.left.is_some_and(|left| left < due);
            let new_while_draining = facts.lives.iter().any(|life| {
                let told = life.told.unwrap_or(Duration::MAX);
                life.sidecar == asked.sidecar
                    && told.saturating_add(Duration::from_millis(400)) < taken
                    && !asked.read
            });
            // The first request on a connection that is closed with nothing sent on for it has failed and is not lost.
            let crossed = asked.broke.is_some() && !asked.read && unsent;
            if crossed || killed || left || new_while_draining {
                return;
            }
            let what = match asked.broke {
                Some(broke) => {
                    format!("taken at {}, its connection ended at {} with no answer", ms(taken), ms(broke))
                }
                None => format!("taken at {}, no answer by {}", ms(taken), ms(due)),
            };
            breaches.push(breach(Rule::Lost, asked.broke.unwrap_or(due), id, what));
        }
    }
}

/// Nothing is sent on for who has left.
fn gone(facts: &Facts, asked: &Asked, attempts: &[&Attempt], breaches: &mut Vec<Breach>) {
    let Some(left) = asked.left else { return };
    let limit = by(facts, asked.sidecar, left, GONE + SLACK);
    if let Some(late) = attempts.iter().find(|attempt| attempt.first > limit) {
        let what = format!(
            "its client left at {}, sent to endpoint {} at {}",
            ms(left),
            late.endpoint,
            ms(late.first)
        );
        breaches.push(breach(Rule::Gone, late.first, &asked.id, what));
    }
}

fn bad(asked: &Asked, attempts: &BTreeMap<&str, Vec<&Attempt>>, breaches: &mut Vec<Breach>) {
    let Some(sent) = asked.sent else { return };
    let id = &asked.id;
    if let Some(hidden) =
        attempts.get(format!("{id}-hidden").as_str()).and_then(|attempts| attempts.first())
    {
        let what = format!("what it hid went on to endpoint {}", hidden.endpoint);
        breaches.push(breach(Rule::Bad, hidden.first, id, what));
    }
    if asked.manner == Manner::HalfCloses {
        // It has gone away: no answer is owed, but its connection must not stay.
        if asked.broke.is_none_or(|broke| broke > sent + BAD_TOLD + SLACK) {
            let what = format!("it ended its sending at {}, and its connection stays open", ms(sent));
            breaches.push(breach(Rule::Bad, sent + BAD_TOLD, id, what));
        }
        return;
    }
    let told = asked.answers.iter().map(|answer| answer.wrote).chain(asked.broke).min();
    if told.is_none_or(|told| told > sent + BAD_TOLD + SLACK + Duration::from_secs(2)) {
        let what = format!(
            "{:?} at {}, told at {}",
            asked.manner,
            ms(sent),
            told.map_or("no time".to_owned(), ms)
        );
        breaches.push(breach(Rule::Bad, sent + BAD_TOLD, id, what));
    }
    if let Some(answer) =
        asked.answers.iter().find(|a| a.status == 200 && asked.manner != Manner::Pipelines)
    {
        let what = format!("{:?} was served", asked.manner);
        breaches.push(breach(Rule::Bad, answer.wrote, id, what));
    }
}

/// Rule two.
fn repeated(script: &Script, asked: &Asked, attempts: &[&Attempt], breaches: &mut Vec<Breach>) {
    let id = &asked.id;
    let window = Duration::from_millis(script.window_ms.into());
    if attempts.len() > world::ATTEMPTS {
        let what = format!("{} attempts", attempts.len());
        breaches.push(breach(Rule::Twice, attempts[world::ATTEMPTS].first, id, what));
    }
    // Until its endpoint says that it has turned it away, what was written whole may have run.
    let may_have_run = |attempt: &Attempt, by: Duration| {
        attempt.whole.is_some_and(|whole| whole <= by) && attempt.turned_away.is_none_or(|at| at > by)
    };
    let told = |earlier: &Attempt| {
        let whole = earlier.whole.map_or(String::new(), ms);
        format!("sent to endpoint {} whole at {whole}, may have run", earlier.endpoint)
    };
    for (n, later) in attempts.iter().enumerate() {
        let earlier = attempts[..n].iter().find(|earlier| may_have_run(earlier, later.first));
        let Some(earlier) = earlier else { continue };
        let again = format!("sent again to endpoint {} at {}", later.endpoint, ms(later.first));
        match asked.class {
            Class::Quote => {}
            Class::Book => {
                breaches.push(breach(Rule::Twice, later.first, id, format!("{}, {again}", told(earlier))));
            }
            Class::Pay => {
                let elsewhere = earlier.endpoint % 2 != later.endpoint % 2;
                let whole = earlier.whole.unwrap_or(later.first);
                if elsewhere || later.first > whole + window + SLACK {
                    let why = if elsewhere { "in another group" } else { "beyond the window" };
                    let what = format!("{}, {again}, {why}", told(earlier));
                    breaches.push(breach(Rule::Twice, later.first, id, what));
                }
            }
        }
    }
    let Some(answer) = asked.answers.first() else { return };
    if matches!(answer.status, 429 | 503)
        && asked.class != Class::Quote
        && let Some(ran) = attempts.iter().find(|attempt| may_have_run(attempt, answer.wrote))
    {
        let what = format!("{}, refused at {}", told(ran), ms(answer.wrote));
        breaches.push(breach(Rule::Twice, answer.wrote, id, what));
    }
    if let Some(late) = attempts.iter().find(|attempt| attempt.first > answer.wrote) {
        let what = format!(
            "answered at {}, sent to endpoint {} at {}",
            ms(answer.wrote),
            late.endpoint,
            ms(late.first)
        );
        breaches.push(breach(Rule::Lost, late.first, id, what));
    }
}

/// Rule three.
fn drains(facts: &Facts, breaches: &mut Vec<Breach>) {
    for attempt in &facts.attempts {
        let (sidecar, endpoint) = (attempt.sidecar, attempt.endpoint);
        let told = facts
            .told
            .iter()
            .filter(|t| t.sidecar == sidecar && t.endpoint == endpoint && t.at <= attempt.first);
        // Of two that came at once the one that was written later counts.
        let told = told.max_by_key(|told| told.at);
        let heard = told.filter(|told| !told.ready).map(|told| told.at);
        let fact = facts
            .known
            .iter()
            .filter(|(e, at, _)| *e == endpoint && *at <= attempt.first)
            .max_by_key(|k| k.1);
        // Not heard, it counts as told once it could have been.
        let could =
            fact.filter(|(.., ready)| !ready).and_then(|(_, at, _)| could_hear(facts, sidecar, *at));
        let since = first_told(facts, sidecar, endpoint, heard);
        let told = [since, could].into_iter().flatten().min();
        let Some(told) = told else { continue };
        let limit = by(facts, sidecar, told, world::DRAIN_GRACE + SLACK);
        if attempt.first > limit {
            let what = format!(
                "told at {} that it drains, {} sent at {}",
                ms(told),
                attempt.id,
                ms(attempt.first)
            );
            breaches.push(breach(Rule::Drain, attempt.first, &format!("endpoint {endpoint}"), what));
        }
    }
}

/// When the telling began that stands at a moment: the first of those that say the same.
fn first_told(facts: &Facts, sidecar: u32, endpoint: u32, heard: Option<Duration>) -> Option<Duration> {
    let heard = heard?;
    let mut told: Vec<_> = facts
        .told
        .iter()
        .filter(|t| t.sidecar == sidecar && t.endpoint == endpoint && t.at <= heard)
        .collect();
    told.sort_by_key(|told| told.at);
    let since = told.iter().rev().take_while(|told| !told.ready).last().map(|told| told.at)?;
    // A sidecar that has started since has heard of it since then at the earliest.
    let started =
        facts.lives.iter().filter(|l| l.sidecar == sidecar && l.from <= heard).map(|l| l.from).max();
    if started.is_some_and(|from| from > since) {
        return told.iter().filter(|t| Some(t.at) >= started && !t.ready).map(|t| t.at).min();
    }
    Some(since)
}

/// When a sidecar must have heard what discovery has known since a moment: six seconds in which both were there.
fn could_hear(facts: &Facts, sidecar: u32, at: Duration) -> Option<Duration> {
    let lives = facts.lives.iter().filter(|life| life.sidecar == sidecar);
    let mut holes: Vec<(Duration, Duration)> = facts.dark.clone();
    holes.extend(facts.pauses.iter().filter(|p| p.0 == sidecar).map(|(_, from, until)| (*from, *until)));
    let mut end = Duration::ZERO;
    for life in lives {
        holes.push((end, life.from));
        end = life.until.unwrap_or(Duration::MAX);
    }
    holes.push((end, Duration::MAX));
    holes.sort_unstable();
    let mut begin = at;
    for (from, until) in holes {
        if from < begin.saturating_add(TOLD_MOST) && until > begin {
            begin = until;
        }
        if begin == Duration::MAX {
            return None;
        }
    }
    Some(begin.saturating_add(TOLD_MOST))
}

/// Rule four: the work that was sent to a cold endpoint within any window, by all sidecars, against what it could do.
fn cold(script: &Script, facts: &Facts, breaches: &mut Vec<Breach>) {
    let multiple = f64::from(script.fall_tenths) / 10.0;
    for (endpoint, started) in &facts.started {
        let warm = *started + world::WARM_WITHIN;
        let class = |id: &str| facts.asked.iter().find(|asked| asked.id == id).map(|asked| asked.class);
        let sent = facts
            .attempts
            .iter()
            .filter(|a| a.endpoint == *endpoint)
            .filter_map(|a| Some((a.whole?, &a.id)));
        let mut sent: Vec<(Duration, Duration)> = sent
            .filter(|(at, _)| *at >= *started && *at < warm)
            .filter_map(|(at, id)| Some((at, world::mean_work(class(id)?))))
            .collect();
        sent.sort_unstable();
        for (n, (at, _)) in sent.iter().enumerate() {
            let work: Duration = sent[..=n]
                .iter()
                .filter(|(other, _)| *other + world::FALL > *at)
                .map(|(_, work)| *work)
                .sum();
            let age = at.saturating_sub(*started).as_secs_f64() / world::WARM_WITHIN.as_secs_f64();
            let share = (world::COLD_SHARE + (1.0 - world::COLD_SHARE) * age).min(1.0);
            let can = share * world::CORES * world::FALL.as_secs_f64() * multiple;
            if work.as_secs_f64() > can * COLD_SLACK + COLD_SPARE.as_secs_f64() {
                let what = format!(
                    "{} of work in {} up to {}, it can do {can:.3} s with the multiple of {multiple}",
                    ms(work),
                    ms(world::FALL),
                    ms(*at)
                );
                breaches.push(breach(Rule::Cold, *at, &format!("endpoint {endpoint}"), what));
                break;
            }
        }
    }
}
