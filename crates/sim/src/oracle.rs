//! Checks the four rules of PROTOCOL-runtrack.md on the recorded facts alone. Shares no code and no state with the code
//! under test.

use crate::facts::{Attempt, Facts, RequestRecord};
use crate::script::{Class, ClientBehavior, Script};
use crate::world;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Tolerance on each time limit, for the network.
const TIME_SLACK: Duration = Duration::from_millis(50);
/// A client that violates the protocol must get an error or a close within this time.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Latest forward of a request after its client has disconnected.
const ABANDONED_GRACE: Duration = Duration::from_millis(300);
/// A change known to discovery counts as delivered after this time, whether or not the sidecar asked.
const MAX_DISCOVERY_DELAY: Duration = Duration::from_secs(6);
/// Tolerance on the work budget of a cold endpoint, for random variation (factor) and a last request in flight (allowance).
const COLD_WORK_FACTOR: f64 = 1.25;
const COLD_WORK_ALLOWANCE: Duration = Duration::from_millis(200);

/// A rule that a run can violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final response, in time.
    Lost,
    /// No unsafe request runs twice, and none that may have run is refused.
    Twice,
    /// No new request goes to a draining endpoint after the drain grace.
    Drain,
    /// No cold endpoint is overloaded.
    Cold,
    /// A response belongs to its request and was produced for it by an endpoint.
    Answer,
    /// Nothing is forwarded for a client that has disconnected, after a short grace.
    Gone,
    /// A client that violates the protocol gets an error and nothing of it is forwarded.
    Bad,
    /// Nothing stays open at the end and no sidecar crashes.
    Left,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// When it was violated.
    pub at: Duration,
    /// The request id, endpoint or sidecar concerned.
    pub subject: String,
    /// What happened.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{:>9.3} s  rule {:?}: {}: {}",
            self.at.as_secs_f64(),
            self.rule,
            self.subject,
            self.detail
        )
    }
}

fn format_seconds(time: Duration) -> String {
    format!("{:.3} s", time.as_secs_f64())
}

/// All violations in order of time.
pub fn judge(script: &Script, facts: &Facts) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut attempts_by_request: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &facts.attempts {
        attempts_by_request.entry(&attempt.id).or_default().push(attempt);
    }
    for request in &facts.requests {
        let attempts = attempts_by_request.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        if request.behavior.follows_protocol() {
            check_answered(facts, request, attempts.is_empty(), &mut violations);
        } else {
            check_malformed_client(request, &attempts_by_request, &mut violations);
        }
        check_repeats(script, request, attempts, &mut violations);
        check_abandoned(facts, request, attempts, &mut violations);
    }
    let known = |id: &str| facts.requests.iter().any(|request| request.id == id);
    for attempt in facts.attempts.iter().filter(|attempt| !known(&attempt.id)) {
        let detail = format!("sent to endpoint {}, and no client asked it", attempt.endpoint);
        violations.push(violation(Rule::Answer, attempt.first_byte, &attempt.id, detail));
    }
    check_drains(facts, &mut violations);
    check_cold_starts(script, facts, &mut violations);
    for detail in &facts.leftovers {
        violations.push(violation(Rule::Left, Duration::MAX, "the end", detail.clone()));
    }
    for (sidecar, at, detail) in &facts.crashes {
        violations.push(violation(Rule::Left, *at, &format!("sidecar {sidecar}"), detail.clone()));
    }
    violations.sort_by(|a, b| (a.at, a.rule, &a.subject).cmp(&(b.at, b.rule, &b.subject)));
    violations
}

fn violation(rule: Rule, at: Duration, subject: &str, detail: impl Into<String>) -> Violation {
    Violation { rule, at, subject: subject.to_owned(), detail: detail.into() }
}

/// The instant at which a sidecar has had `time` since `from`, not counting its pauses.
fn deadline_excluding_pauses(facts: &Facts, sidecar: u32, from: Duration, time: Duration) -> Duration {
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

/// Checks rule one, and that the response belongs to the request.
fn check_answered(facts: &Facts, request: &RequestRecord, unsent: bool, violations: &mut Vec<Violation>) {
    let Some(arrived) = request.arrived.filter(|arrived| *arrived < Duration::from_secs(1 << 20)) else {
        return;
    };
    let id = &request.id;
    for answer in &request.responses {
        let executed =
            facts.executions.iter().any(|e| e.id == *id && e.body == answer.body && e.response_valid);
        if answer.status == 200 && !executed {
            let detail = format!("served with {:?}, which no endpoint made for it", answer.body);
            violations.push(violation(Rule::Answer, answer.completed, id, detail));
        }
        let blamed = (400..500).contains(&answer.status) && answer.status != 429;
        if blamed || !matches!(answer.status, 200 | 400..600) {
            let detail =
                format!("answered {} {:?}, though it keeps to the protocol", answer.status, answer.body);
            violations.push(violation(Rule::Answer, answer.completed, id, detail));
        }
    }
    if let [_, second, ..] = &request.responses[..] {
        violations.push(violation(Rule::Lost, second.completed, id, "a second final answer"));
    }
    let due = deadline_excluding_pauses(facts, request.sidecar, arrived, request.timeout + TIME_SLACK);
    match request.responses.first() {
        Some(answer) if answer.completed > due => {
            let detail = format!(
                "taken at {}, due by {}, answered at {}",
                format_seconds(arrived),
                format_seconds(due),
                format_seconds(answer.completed)
            );
            violations.push(violation(Rule::Lost, answer.completed, id, detail));
        }
        Some(_) => {}
        None => {
            // Without a running process the host accepts nothing.
            let process_run = facts.process_runs.iter().find(|process_run| {
                process_run.sidecar == request.sidecar
                    && process_run.started <= arrived
                    && process_run.ended.is_none_or(|until| arrived <= until)
            });
            let Some(process_run) = process_run else { return };
            let killed = process_run.ended.is_some_and(|until| {
                // A sidecar that was paused after SIGTERM did not have the promised time until SIGKILL.
                let paused_in_grace = process_run.drain_requested.is_some_and(|drain_requested| {
                    deadline_excluding_pauses(
                        facts,
                        process_run.sidecar,
                        drain_requested,
                        until.saturating_sub(drain_requested),
                    ) > until
                });
                (process_run.killed || paused_in_grace) && until <= due
            });
            let disconnected = request.disconnected.is_some_and(|disconnected| disconnected < due);
            let ignored_while_draining = facts.process_runs.iter().any(|process_run| {
                let drain_requested = process_run.drain_requested.unwrap_or(Duration::MAX);
                process_run.sidecar == request.sidecar
                    && drain_requested.saturating_add(Duration::from_millis(400)) < arrived
                    && !request.read
            });
            // An unread request whose connection closed with nothing forwarded has failed cleanly and is not lost.
            let closed_unread = request.connection_lost.is_some() && !request.read && unsent;
            if closed_unread || killed || disconnected || ignored_while_draining {
                return;
            }
            let detail = match request.connection_lost {
                Some(connection_lost) => {
                    format!(
                        "taken at {}, its connection ended at {} with no answer",
                        format_seconds(arrived),
                        format_seconds(connection_lost)
                    )
                }
                None => {
                    format!("taken at {}, no answer by {}", format_seconds(arrived), format_seconds(due))
                }
            };
            violations.push(violation(Rule::Lost, request.connection_lost.unwrap_or(due), id, detail));
        }
    }
}

/// Checks that nothing is forwarded for a client that has disconnected.
fn check_abandoned(
    facts: &Facts,
    request: &RequestRecord,
    attempts: &[&Attempt],
    violations: &mut Vec<Violation>,
) {
    let Some(disconnected) = request.disconnected else { return };
    let limit =
        deadline_excluding_pauses(facts, request.sidecar, disconnected, ABANDONED_GRACE + TIME_SLACK);
    if let Some(late) = attempts.iter().find(|attempt| attempt.first_byte > limit) {
        let detail = format!(
            "its client left at {}, sent to endpoint {} at {}",
            format_seconds(disconnected),
            late.endpoint,
            format_seconds(late.first_byte)
        );
        violations.push(violation(Rule::Gone, late.first_byte, &request.id, detail));
    }
}

fn check_malformed_client(
    request: &RequestRecord,
    attempts: &BTreeMap<&str, Vec<&Attempt>>,
    violations: &mut Vec<Violation>,
) {
    let Some(sent) = request.sent else { return };
    let id = &request.id;
    if let Some(hidden) =
        attempts.get(format!("{id}-hidden").as_str()).and_then(|attempts| attempts.first())
    {
        let detail = format!("what it hid went on to endpoint {}", hidden.endpoint);
        violations.push(violation(Rule::Bad, hidden.first_byte, id, detail));
    }
    if request.behavior == ClientBehavior::HalfCloses {
        // After a half-close no response is owed, but the connection must close.
        if request
            .connection_lost
            .is_none_or(|connection_lost| connection_lost > sent + BAD_CLIENT_TIMEOUT + TIME_SLACK)
        {
            let detail =
                format!("it ended its sending at {}, and its connection stays open", format_seconds(sent));
            violations.push(violation(Rule::Bad, sent + BAD_CLIENT_TIMEOUT, id, detail));
        }
        return;
    }
    let notified =
        request.responses.iter().map(|answer| answer.completed).chain(request.connection_lost).min();
    if notified
        .is_none_or(|notified| notified > sent + BAD_CLIENT_TIMEOUT + TIME_SLACK + Duration::from_secs(2))
    {
        let detail = format!(
            "{:?} at {}, error or close at {}",
            request.behavior,
            format_seconds(sent),
            notified.map_or("no time".to_owned(), format_seconds)
        );
        violations.push(violation(Rule::Bad, sent + BAD_CLIENT_TIMEOUT, id, detail));
    }
    if let Some(answer) =
        request.responses.iter().find(|a| a.status == 200 && request.behavior != ClientBehavior::Pipelines)
    {
        let detail = format!("{:?} was served", request.behavior);
        violations.push(violation(Rule::Bad, answer.completed, id, detail));
    }
}

/// Checks rule two.
fn check_repeats(
    script: &Script,
    request: &RequestRecord,
    attempts: &[&Attempt],
    violations: &mut Vec<Violation>,
) {
    let id = &request.id;
    let window = Duration::from_millis(script.window_ms.into());
    if attempts.len() > world::MAX_ATTEMPTS {
        let detail = format!("{} attempts", attempts.len());
        violations.push(violation(Rule::Twice, attempts[world::MAX_ATTEMPTS].first_byte, id, detail));
    }
    // A completely written request may have run until its endpoint reports that it rejected it.
    let may_have_run = |attempt: &Attempt, by: Duration| {
        attempt.last_byte.is_some_and(|last_byte| last_byte <= by)
            && attempt.rejected.is_none_or(|at| at > by)
    };
    let describe_earlier = |earlier: &Attempt| {
        let last_byte = earlier.last_byte.map_or(String::new(), format_seconds);
        format!("sent completely to endpoint {} at {last_byte}, may have run", earlier.endpoint)
    };
    for (n, later) in attempts.iter().enumerate() {
        let earlier = attempts[..n].iter().find(|earlier| may_have_run(earlier, later.first_byte));
        let Some(earlier) = earlier else { continue };
        let again =
            format!("sent again to endpoint {} at {}", later.endpoint, format_seconds(later.first_byte));
        match request.class {
            Class::Quote => {}
            Class::Book => {
                violations.push(violation(
                    Rule::Twice,
                    later.first_byte,
                    id,
                    format!("{}, {again}", describe_earlier(earlier)),
                ));
            }
            Class::Pay => {
                let elsewhere = earlier.endpoint % 2 != later.endpoint % 2;
                let last_byte = earlier.last_byte.unwrap_or(later.first_byte);
                if elsewhere || later.first_byte > last_byte + window + TIME_SLACK {
                    let why = if elsewhere { "in another group" } else { "beyond the window" };
                    let detail = format!("{}, {again}, {why}", describe_earlier(earlier));
                    violations.push(violation(Rule::Twice, later.first_byte, id, detail));
                }
            }
        }
    }
    let Some(answer) = request.responses.first() else { return };
    if matches!(answer.status, 429 | 503)
        && request.class != Class::Quote
        && let Some(ran) = attempts.iter().find(|attempt| may_have_run(attempt, answer.completed))
    {
        let detail = format!("{}, refused at {}", describe_earlier(ran), format_seconds(answer.completed));
        violations.push(violation(Rule::Twice, answer.completed, id, detail));
    }
    if let Some(late) = attempts.iter().find(|attempt| attempt.first_byte > answer.completed) {
        let detail = format!(
            "answered at {}, sent to endpoint {} at {}",
            format_seconds(answer.completed),
            late.endpoint,
            format_seconds(late.first_byte)
        );
        violations.push(violation(Rule::Lost, late.first_byte, id, detail));
    }
}

/// Checks rule three.
fn check_drains(facts: &Facts, violations: &mut Vec<Violation>) {
    for attempt in &facts.attempts {
        let (sidecar, endpoint) = (attempt.sidecar, attempt.endpoint);
        let notice = facts
            .notices
            .iter()
            .filter(|t| t.sidecar == sidecar && t.endpoint == endpoint && t.at <= attempt.first_byte);
        // Of two notices with the same arrival time the later written one counts.
        let notice = notice.max_by_key(|notice| notice.at);
        let last_drain_notice = notice.filter(|notice| !notice.ready).map(|notice| notice.at);
        let fact = facts
            .discovery_states
            .iter()
            .filter(|(e, at, _)| *e == endpoint && *at <= attempt.first_byte)
            .max_by_key(|k| k.1);
        // A drain that was not received counts as known once it could have been.
        let notice_due =
            fact.filter(|(.., ready)| !ready).and_then(|(_, at, _)| notice_deadline(facts, sidecar, *at));
        let since = first_notice(facts, sidecar, endpoint, last_drain_notice);
        let known_since = [since, notice_due].into_iter().flatten().min();
        let Some(known_since) = known_since else { continue };
        let limit = deadline_excluding_pauses(facts, sidecar, known_since, world::DRAIN_GRACE + TIME_SLACK);
        if attempt.first_byte > limit {
            let detail = format!(
                "sidecar knew at {} that it drains, {} sent at {}",
                format_seconds(known_since),
                attempt.id,
                format_seconds(attempt.first_byte)
            );
            violations.push(violation(
                Rule::Drain,
                attempt.first_byte,
                &format!("endpoint {endpoint}"),
                detail,
            ));
        }
    }
}

/// The first of the consecutive drain notices that are in effect at this time.
fn first_notice(
    facts: &Facts,
    sidecar: u32,
    endpoint: u32,
    last_drain_notice: Option<Duration>,
) -> Option<Duration> {
    let last_drain_notice = last_drain_notice?;
    let mut notices: Vec<_> = facts
        .notices
        .iter()
        .filter(|t| t.sidecar == sidecar && t.endpoint == endpoint && t.at <= last_drain_notice)
        .collect();
    notices.sort_by_key(|notices| notices.at);
    let since =
        notices.iter().rev().take_while(|notices| !notices.ready).last().map(|notices| notices.at)?;
    // A sidecar that restarted since can have learned of it only after the restart.
    let started = facts
        .process_runs
        .iter()
        .filter(|l| l.sidecar == sidecar && l.started <= last_drain_notice)
        .map(|l| l.started)
        .max();
    if started.is_some_and(|from| from > since) {
        return notices.iter().filter(|t| Some(t.at) >= started && !t.ready).map(|t| t.at).min();
    }
    Some(since)
}

/// When a sidecar must know a change that discovery has had since `at`: after six seconds in which both were available.
fn notice_deadline(facts: &Facts, sidecar: u32, at: Duration) -> Option<Duration> {
    let lives = facts.process_runs.iter().filter(|process_run| process_run.sidecar == sidecar);
    let mut unavailable: Vec<(Duration, Duration)> = facts.discovery_outages.clone();
    unavailable
        .extend(facts.pauses.iter().filter(|p| p.0 == sidecar).map(|(_, from, until)| (*from, *until)));
    let mut end = Duration::ZERO;
    for process_run in lives {
        unavailable.push((end, process_run.started));
        end = process_run.ended.unwrap_or(Duration::MAX);
    }
    unavailable.push((end, Duration::MAX));
    unavailable.sort_unstable();
    let mut begin = at;
    for (from, until) in unavailable {
        if from < begin.saturating_add(MAX_DISCOVERY_DELAY) && until > begin {
            begin = until;
        }
        if begin == Duration::MAX {
            return None;
        }
    }
    Some(begin.saturating_add(MAX_DISCOVERY_DELAY))
}

/// Checks rule four: the work that all sidecars send to a cold endpoint within any window, against its capacity.
fn check_cold_starts(script: &Script, facts: &Facts, violations: &mut Vec<Violation>) {
    let multiple = f64::from(script.fall_tenths) / 10.0;
    for (endpoint, started) in &facts.endpoint_starts {
        let warm = *started + world::WARM_WITHIN;
        let class =
            |id: &str| facts.requests.iter().find(|request| request.id == id).map(|request| request.class);
        let sent = facts
            .attempts
            .iter()
            .filter(|a| a.endpoint == *endpoint)
            .filter_map(|a| Some((a.last_byte?, &a.id)));
        let mut sent: Vec<(Duration, Duration)> = sent
            .filter(|(at, _)| *at >= *started && *at < warm)
            .filter_map(|(at, id)| Some((at, world::mean_service_time(class(id)?))))
            .collect();
        sent.sort_unstable();
        for (n, (at, _)) in sent.iter().enumerate() {
            let work: Duration = sent[..=n]
                .iter()
                .filter(|(other, _)| *other + world::COLD_LOAD_WINDOW > *at)
                .map(|(_, work)| *work)
                .sum();
            let age = at.saturating_sub(*started).as_secs_f64() / world::WARM_WITHIN.as_secs_f64();
            let share = (world::COLD_SHARE + (1.0 - world::COLD_SHARE) * age).min(1.0);
            let can = share * world::ENDPOINT_CORES * world::COLD_LOAD_WINDOW.as_secs_f64() * multiple;
            if work.as_secs_f64() > can * COLD_WORK_FACTOR + COLD_WORK_ALLOWANCE.as_secs_f64() {
                let detail = format!(
                    "{} of work in {} up to {}, it can do {can:.3} s with the multiple of {multiple}",
                    format_seconds(work),
                    format_seconds(world::COLD_LOAD_WINDOW),
                    format_seconds(*at)
                );
                violations.push(violation(Rule::Cold, *at, &format!("endpoint {endpoint}"), detail));
                break;
            }
        }
    }
}
