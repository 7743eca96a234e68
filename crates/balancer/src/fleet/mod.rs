//! Routing decisions of the fleet's proxy: endpoint selection, retry budget and retry delays.
//!
//! Endpoints are chosen by SQ(d), as in `balance`: draw `CHOICES` ready endpoints at random and take the one with the
//! least occupancy, ties at random. Occupancy is this proxy's calls in flight, plus:
//!
//! - **Pending prefill.** With many proxies and endpoints, own counts are nearly always 0 or 1. Prompt tokens sent to an
//!   endpoint that it has not begun to answer, by this proxy and, as reported, by others, count as the calls that they
//!   delay. Without a recent report, only own requests count and the prefixes that others have just placed there, since
//!   in large fleets placements are reported sooner than pending prefill.
//! - **Repeated prefill.** An endpoint that holds a prompt's prefix in its KV cache prefills it faster. The
//!   [`PrefixIndex`] knows these endpoints; a few of them join the sample, and the cost of prefilling the prefix again
//!   is added to all others. Without a known holder, an endpoint chosen by rendezvous hashing, the same for all proxies,
//!   joins the sample and wins near ties.
//! - **Failures.** A recent failure counts as calls in flight, and an unreachable endpoint is ejected for a time that
//!   doubles, since fast errors keep its count low. If all endpoints are ejected, none is.

mod hashing;
mod load;
mod prefix_index;
mod prompt;
mod retry_budget;

pub use prefix_index::{Placement, PrefixIndex};
pub use prompt::{Prompt, PromptPrefix};
pub use retry_budget::RetryBudget;

use crate::stats::Rng;
use crate::types::{EndpointId, Outcome};
use hashing::rendezvous;
use load::{Load, REPORT_TTL};
use retry_budget::RetryBudgets;
use std::collections::HashMap;
use std::time::Duration;

/// Endpoints drawn for a call, the d of SQ(d).
const CHOICES: usize = 2;
/// Holders of a prompt's prefix that join the sample.
const MAX_HOLDERS: usize = 4;
/// Pending tokens that count as one call in flight: about the prefill of a call's own prompt, within 50 %.
const TOKENS_PER_CALL: f64 = 2048.0;
/// Weight of tokens that are prefilled although another endpoint holds them, relative to pending tokens: they evict
/// other prefixes, which must then be prefilled again. See `docs/deciding.md`.
const REPEATED_PREFILL_WEIGHT: f64 = 4.0;
/// Maximum advantage, in tokens, of the endpoint that all proxies agree on for a prefix without a known holder. Other
/// proxies may place the prefix at the same moment, and it is found there again after all reports are lost. Values from
/// 1,024 to 16,384 are compared in `docs/deciding.md`.
const AGREED_ENDPOINT_GAIN: f64 = 4096.0;
/// The same advantage per token of the prefix where placements are not known: the prefix may be there already, and
/// without agreement every proxy would place it separately.
const UNKNOWN_PLACEMENT_WEIGHT: f64 = 8.0;
/// Without a report for this long, other proxies' placements are assumed not to arrive either.
const REPORTS_LOST_AFTER: Duration = Duration::from_secs(2);
/// Least delay before a refused client retries; up to as much again is added at random, so that clients refused
/// together do not retry together.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The inputs of an endpoint selection.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// The current time on the caller's clock.
    pub now: Duration,
    /// The service's ready endpoints.
    pub ready: &'a [EndpointId],
    /// Endpoints that this request has already tried.
    pub tried: &'a [EndpointId],
    /// Its prompt, if any.
    pub prompt: Option<Prompt>,
}

/// The routing state of one proxy.
pub struct Router {
    rng: Rng,
    loads: HashMap<EndpointId, Load>,
    retries: RetryBudgets,
    proxies: u32,
    /// Time of the last report of other proxies' pending prefill.
    reported_at: Option<Duration>,
    prefixes: PrefixIndex,
    /// Whether the index includes what other proxies placed before this one started.
    has_all_placements: bool,
}

impl Router {
    /// Creates a router for a fleet that is assumed to have `proxies` proxies.
    pub fn new(seed: u64, retry_budget: RetryBudget, proxies: u32) -> Self {
        Router {
            rng: Rng::new(seed),
            loads: HashMap::new(),
            retries: RetryBudgets::new(retry_budget),
            proxies,
            reported_at: None,
            prefixes: PrefixIndex::default(),
            has_all_placements: false,
        }
    }

    /// Sets the number of proxies that share the fleet's budgets.
    pub fn set_proxies(&mut self, proxies: u32) {
        self.proxies = proxies.max(1);
    }

    /// The number of proxies that share the fleet's budgets.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// A uniform draw from `0.0..1.0`.
    pub fn random_fraction(&mut self) -> f64 {
        self.rng.uniform()
    }

    /// Records a request of a service.
    pub fn on_request(&mut self, now: Duration, service: u64) {
        self.retries.on_request(now, service);
    }

    /// Takes a retry from a service's budget; returns whether one was left.
    pub fn try_acquire_retry(&mut self, now: Duration, service: u64) -> bool {
        self.retries.try_acquire(now, service, self.proxies)
    }

    /// The delay after which a refused client should retry.
    pub fn retry_after(&mut self) -> Duration {
        MIN_RETRY_AFTER.mul_f64(1.0 + self.rng.uniform())
    }

    /// This proxy's calls in flight at an endpoint.
    pub fn in_flight(&self, endpoint: EndpointId) -> u32 {
        self.loads.get(&endpoint).map_or(0, |load| load.in_flight)
    }

    /// Chooses the endpoint to send to; `None` if no untried one is left.
    pub fn choose(&mut self, request: SelectionRequest<'_>) -> Option<EndpointId> {
        let eligible = self.eligible(&request);
        let prompt = request.prompt.filter(|prompt| prompt.shared_tokens() > 0);
        let mut sample = Vec::with_capacity(CHOICES + MAX_HOLDERS + 1);
        self.draw_into(&mut sample, &eligible, CHOICES);
        let affinity = prompt.map(|prompt| self.affinity(request.now, prompt, &eligible));
        for id in affinity.iter().flat_map(|affinity| &affinity.candidates) {
            if !sample.contains(id) {
                sample.push(*id);
            }
        }
        self.least_occupied(&sample, |router, id| {
            let prefill = affinity.as_ref().map_or(0.0, |affinity| affinity.cost(&router.prefixes, id));
            router.occupancy(request.now, id) + prefill / TOKENS_PER_CALL
        })
    }

    /// Untried endpoints that are not ejected; if all are ejected, all untried ones.
    fn eligible(&self, request: &SelectionRequest<'_>) -> Vec<EndpointId> {
        let untried = || request.ready.iter().copied().filter(|id| !request.tried.contains(id));
        let in_service =
            |id: &EndpointId| self.loads.get(id).is_none_or(|load| !load.is_ejected(request.now));
        let eligible: Vec<EndpointId> = untried().filter(in_service).collect();
        if eligible.is_empty() { untried().collect() } else { eligible }
    }

    /// Whether placements are completely known, so that a prefix without a known holder has none.
    fn knows_placements(&self, now: Duration) -> bool {
        let is_reported =
            self.reported_at.is_some_and(|reported| now.saturating_sub(reported) < REPORTS_LOST_AFTER);
        is_reported && self.has_all_placements
    }

    /// Draws `count` endpoints without replacement.
    fn draw_into(&mut self, sample: &mut Vec<EndpointId>, from: &[EndpointId], count: usize) {
        while sample.len() < count.min(from.len()) {
            let drawn = from[self.rng.below(from.len())];
            if !sample.contains(&drawn) {
                sample.push(drawn);
            }
        }
    }

    /// Finds the endpoints that join the sample for a prompt, and the cost of prefilling it elsewhere.
    fn affinity(&mut self, now: Duration, prompt: Prompt, eligible: &[EndpointId]) -> Affinity {
        let mut affinity = Affinity { prompt, held_tokens: 0, candidates: Vec::new(), agreed: None };
        for prefix in prompt.prefixes().iter().rev() {
            let is_eligible = |id: &EndpointId| eligible.contains(id);
            let holders: Vec<EndpointId> = self.prefixes.holders(prefix.key).filter(is_eligible).collect();
            if !holders.is_empty() {
                affinity.held_tokens = prefix.tokens;
                self.draw_into(&mut affinity.candidates, &holders, MAX_HOLDERS);
                break;
            }
        }
        let longest = prompt.longest().copied().unwrap_or_default();
        if affinity.held_tokens < longest.tokens
            && let Some(agreed) = rendezvous(longest.key, eligible)
        {
            let tokens = f64::from(longest.tokens);
            let gain = if self.knows_placements(now) {
                AGREED_ENDPOINT_GAIN.min(tokens * REPEATED_PREFILL_WEIGHT)
            } else {
                tokens * UNKNOWN_PLACEMENT_WEIGHT
            };
            affinity.agreed = Some((agreed, gain));
            affinity.candidates.push(agreed);
        }
        affinity
    }

    /// The endpoint of a sample with the least cost, ties at random.
    fn least_occupied(
        &mut self,
        sample: &[EndpointId],
        cost: impl Fn(&Router, EndpointId) -> f64,
    ) -> Option<EndpointId> {
        let mut best: Option<(f64, EndpointId)> = None;
        let mut ties = 0;
        for id in sample.iter().copied() {
            let occupancy = cost(self, id);
            match best {
                Some((least, _)) if occupancy > least => {}
                Some((least, _)) if occupancy == least => {
                    ties += 1;
                    if self.rng.below(ties + 1) == 0 {
                        best = Some((occupancy, id));
                    }
                }
                _ => (best, ties) = (Some((occupancy, id)), 0),
            }
        }
        best.map(|(_, id)| id)
    }

    fn occupancy(&self, now: Duration, id: EndpointId) -> f64 {
        let Some(load) = self.loads.get(&id) else { return 0.0 };
        let is_fresh = self.reported_at.is_some_and(|reported| now.saturating_sub(reported) < REPORT_TTL);
        let reported = if is_fresh { load.reported_pending } else { 0 };
        let others = reported.saturating_add(load.placed_prefill(now));
        let pending = load.pending_prefill.saturating_add(others);
        f64::from(load.in_flight) + load.penalty(now) + f64::from(pending) / TOKENS_PER_CALL
    }

    /// Records a call sent to an endpoint; returns the tokens that the endpoint will prefill for it.
    pub fn on_sent(&mut self, now: Duration, id: EndpointId, prompt: Option<Prompt>) -> u32 {
        let tokens = prompt.map_or(0, |prompt| {
            let held = self.prefixes.longest_held(id, &prompt).map_or(0, |prefix| prefix.tokens);
            self.prefixes.record(now, id, &prompt);
            prompt.own_tokens().saturating_add(prompt.shared_tokens() - held)
        });
        let load = self.loads.entry(id).or_default();
        load.in_flight += 1;
        load.pending_prefill = load.pending_prefill.saturating_add(tokens);
        tokens
    }

    /// Records that an endpoint has nothing more to prefill for a call: its answer began, or will not come.
    pub fn prefill_finished(&mut self, id: EndpointId, tokens: u32) {
        let load = self.loads.entry(id).or_default();
        load.pending_prefill = load.pending_prefill.saturating_sub(tokens);
    }

    /// Records that a call failed before its answer began, so the endpoint may not hold the prompt's prefixes.
    pub fn prefill_failed(&mut self, id: EndpointId, prompt: &Prompt) {
        self.prefixes.withdraw(id, prompt);
    }

    /// Sets the capacity of an endpoint's KV cache in tokens.
    pub fn set_cache_tokens(&mut self, id: EndpointId, tokens: u64) {
        self.prefixes.set_cache_tokens(id, tokens);
    }

    /// Takes up to `max_count` placements that have not been reported to the other proxies.
    pub fn take_unreported_placements(&mut self, max_count: usize) -> Vec<Placement> {
        self.prefixes.take_unreported(max_count)
    }

    /// Marks the index as complete: it includes all that other proxies placed before this one started.
    pub fn set_all_placements_known(&mut self) {
        self.has_all_placements = true;
    }

    /// Records a prefix that another proxy placed at an endpoint, which prefills it unless it held it already.
    pub fn learn_placement(&mut self, now: Duration, placement: Placement) {
        let is_new = self.prefixes.learn(now, placement);
        // Until the index is complete, placements learned may be old, with their prefill long done.
        if is_new && self.has_all_placements {
            self.loads.entry(placement.endpoint).or_default().place(now, placement.part_tokens);
        }
    }

    /// Tokens that endpoints still have to prefill for this proxy's calls, where there are any.
    pub fn pending_prefill(&self) -> Vec<(EndpointId, u32)> {
        let pending = self.loads.iter().filter(|(_, load)| load.pending_prefill > 0);
        pending.map(|(id, load)| (*id, load.pending_prefill)).collect()
    }

    /// Sets the tokens that endpoints have to prefill for all proxies' calls. `own` is this proxy's report that the
    /// sum includes.
    pub fn set_fleet_pending_prefill(
        &mut self,
        now: Duration,
        all: &[(EndpointId, u32)],
        own: &[(EndpointId, u32)],
    ) {
        self.reported_at = Some(now);
        for load in self.loads.values_mut() {
            load.report(0);
        }
        for (id, tokens) in all {
            let own = own.iter().find(|(other, _)| other == id).map_or(0, |(_, own)| *own);
            self.loads.entry(*id).or_default().report(tokens.saturating_sub(own));
        }
    }

    /// Records the end of a call.
    pub fn on_ended(&mut self, now: Duration, id: EndpointId, outcome: Outcome) {
        let load = self.loads.entry(id).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Ok => load.succeed(),
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Rejected | Outcome::Error => load.fail(now),
            Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut => {
                load.fail(now);
                load.eject(now);
            }
        }
    }

    /// Ejects an endpoint that has sent nothing for too long on its calls.
    pub fn on_stall(&mut self, now: Duration, id: EndpointId) {
        self.loads.entry(id).or_default().eject(now);
    }

    /// Removes an endpoint that has terminated.
    pub fn forget(&mut self, id: EndpointId) {
        self.prefixes.forget(id);
        if self.loads.get(&id).is_some_and(|load| load.in_flight == 0) {
            self.loads.remove(&id);
        }
    }
}

/// Where a prompt's prefixes are held.
struct Affinity {
    prompt: Prompt,
    /// Tokens of the longest prefix that an eligible endpoint holds.
    held_tokens: u32,
    /// Endpoints to add to the sample.
    candidates: Vec<EndpointId>,
    /// The endpoint that all proxies agree on if the whole prefix has no known holder, and its advantage in tokens.
    agreed: Option<(EndpointId, f64)>,
}

impl Affinity {
    /// Extra cost, in tokens, of prefilling the prompt at an endpoint.
    fn cost(&self, prefixes: &PrefixIndex, id: EndpointId) -> f64 {
        let held = prefixes.longest_held(id, &self.prompt).map_or(0, |prefix| prefix.tokens);
        let repeated = f64::from(self.held_tokens.saturating_sub(held));
        let gain = self.agreed.filter(|(agreed, _)| *agreed == id).map_or(0.0, |(_, gain)| gain);
        repeated * REPEATED_PREFILL_WEIGHT - gain
    }
}
