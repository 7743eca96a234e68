//! Decisions of the fleet's proxy for one call: which endpoint, whether another one may be tried, when to come back.
//!
//! The ordinary path is SQ(d), as in `balance`: `CHOICES` ready endpoints drawn at random, the one with the least
//! occupancy, ties at random. Occupancy is this proxy's own calls in flight, and three things add to it, none of which is a
//! second chooser:
//!
//! - **Pending prefill.** Own counts are nearly always 0 or 1 where many proxies share many endpoints. The prompt tokens that
//!   an endpoint has been sent and has not begun to answer, by this proxy and, as reported, by the others, count as the
//!   calls that they delay. Where nothing is reported, or it is old, only own requests count, and the prefixes that others
//!   have just placed there: with many proxies and endpoints, placements are reported sooner than pending prefill.
//! - **Repeated prefill.** A prompt whose prefix an endpoint holds in its KV cache is prefilled faster there. The
//!   [`PrefixIndex`] says which endpoints those are; a few of them join the sample, and every other endpoint counts as
//!   fuller by what prefilling the prefix again costs. Where no holder is known, rendezvous hashing names an endpoint that
//!   is the same for all proxies; it joins the sample, and wins near ties.
//! - **Failures.** A recent failure counts as calls in flight, and an endpoint that could not be reached is ejected for a
//!   time that doubles: quick errors would keep its count low. Where this would leave out every one, none is.

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

/// Endpoints drawn for a call: the paper's d.
const CHOICES: usize = 2;
/// Holders of a prompt's prefix that join the sample.
const MAX_HOLDERS: usize = 4;
/// Pending tokens that weigh as one call in flight: what a call's own prompt takes to prefill, within a half.
const TOKENS_PER_CALL: f64 = 2048.0;
/// Tokens that are prefilled though another endpoint holds them weigh this many times pending tokens: they take the place
/// of other prefixes, which are then prefilled again in turn. Measured (`docs/deciding.md`).
const REPEATED_PREFILL_WEIGHT: f64 = 4.0;
/// What an endpoint gains in tokens, at the most, by being the one that all proxies agree on for a prefix without a known holder.
/// Others may place the prefix at the same moment, and it is found there again after all that was reported is lost.
/// Measured from 1,024 to 16,384 (`docs/deciding.md`).
const AGREED_ENDPOINT_GAIN: f64 = 4096.0;
/// The same, times the tokens of the prefix, where placements are not known: the prefix may well be there, and without
/// agreement every proxy would place it by itself.
const UNKNOWN_PLACEMENT_WEIGHT: f64 = 8.0;
/// Without any report for this long, other proxies' placements are not heard of either.
const REPORTS_LOST: Duration = Duration::from_secs(2);
/// When a client is to come back, at the least, and up to as much more: a crowd that was refused together must not
/// come back together.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// A request that wants an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// Now, on the caller's clock.
    pub now: Duration,
    /// The service's ready endpoints.
    pub ready: &'a [EndpointId],
    /// Endpoints that this request has tried.
    pub tried: &'a [EndpointId],
    /// Its prompt, where it has one.
    pub prompt: Option<Prompt>,
}

/// The decisions of one proxy.
pub struct Router {
    rng: Rng,
    loads: HashMap<EndpointId, Load>,
    retries: RetryBudgets,
    proxies: u32,
    /// When the other proxies' pending prefill was reported.
    reported_at: Option<Duration>,
    prefixes: PrefixIndex,
    /// The index holds what other proxies placed before this one started.
    has_all_placements: bool,
}

impl Router {
    /// A router that has sent nothing yet. Until it is told, it takes the fleet for `proxies` large.
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

    /// How many proxies share what the fleet may do.
    pub fn set_proxies(&mut self, proxies: u32) {
        self.proxies = proxies.max(1);
    }

    /// How many proxies share what the fleet may do.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// An even draw from 0 to below 1.
    pub fn random_fraction(&mut self) -> f64 {
        self.rng.uniform()
    }

    /// Counts a request of a service.
    pub fn on_request(&mut self, now: Duration, service: u64) {
        self.retries.on_request(now, service);
    }

    /// Whether a request of a service may be sent to another endpoint; takes it off the budget if so.
    pub fn try_acquire_retry(&mut self, now: Duration, service: u64) -> bool {
        self.retries.try_acquire(now, service, self.proxies)
    }

    /// When a client that is refused is to come back.
    pub fn retry_after(&mut self) -> Duration {
        RETRY_AFTER.mul_f64(1.0 + self.rng.uniform())
    }

    /// Own calls in flight at an endpoint.
    pub fn in_flight(&self, endpoint: EndpointId) -> u32 {
        self.loads.get(&endpoint).map_or(0, |load| load.in_flight)
    }

    /// The endpoint to send to; none where there is none that was not tried.
    pub fn choose(&mut self, request: SelectionRequest<'_>) -> Option<EndpointId> {
        let eligible = self.eligible(&request);
        let prompt = request.prompt.filter(|prompt| prompt.shared_tokens() > 0);
        let mut sample = Vec::with_capacity(CHOICES + MAX_HOLDERS + 1);
        self.draw_into(&mut sample, &eligible, CHOICES);
        let affinity = prompt.map(|prompt| self.affinity(request.now, prompt, &eligible));
        for id in affinity.iter().flat_map(|affinity| &affinity.joining) {
            if !sample.contains(id) {
                sample.push(*id);
            }
        }
        self.least_occupied(&sample, |router, id| {
            let prefill = affinity.as_ref().map_or(0.0, |affinity| affinity.cost(&router.prefixes, id));
            router.occupancy(request.now, id) + prefill / TOKENS_PER_CALL
        })
    }

    /// Endpoints that were not tried and are not ejected; where all are ejected, all that were not tried.
    fn eligible(&self, request: &SelectionRequest<'_>) -> Vec<EndpointId> {
        let untried = || request.ready.iter().copied().filter(|id| !request.tried.contains(id));
        let in_service =
            |id: &EndpointId| self.loads.get(id).is_none_or(|load| !load.is_ejected(request.now));
        let eligible: Vec<EndpointId> = untried().filter(in_service).collect();
        if eligible.is_empty() { untried().collect() } else { eligible }
    }

    /// Whether a prefix without a known holder has none.
    fn knows_placements(&self, now: Duration) -> bool {
        let is_reported =
            self.reported_at.is_some_and(|reported| now.saturating_sub(reported) < REPORTS_LOST);
        is_reported && self.has_all_placements
    }

    /// Draws without replacement.
    fn draw_into(&mut self, sample: &mut Vec<EndpointId>, from: &[EndpointId], count: usize) {
        while sample.len() < count.min(from.len()) {
            let drawn = from[self.rng.below(from.len())];
            if !sample.contains(&drawn) {
                sample.push(drawn);
            }
        }
    }

    /// Which endpoints join the sample for a prompt, and what prefilling it elsewhere costs.
    fn affinity(&mut self, now: Duration, prompt: Prompt, eligible: &[EndpointId]) -> Affinity {
        let mut affinity = Affinity { prompt, held_tokens: 0, joining: Vec::new(), agreed: None };
        for prefix in prompt.prefixes().iter().rev() {
            let is_eligible = |id: &EndpointId| eligible.contains(id);
            let holders: Vec<EndpointId> = self.prefixes.holders(prefix.key).filter(is_eligible).collect();
            if !holders.is_empty() {
                affinity.held_tokens = prefix.tokens;
                self.draw_into(&mut affinity.joining, &holders, MAX_HOLDERS);
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
            affinity.joining.push(agreed);
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

    /// A call goes to an endpoint; returns the tokens that will be prefilled for it.
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

    /// An endpoint has begun to answer, or will not: it has nothing more to prefill for a call.
    pub fn prefill_finished(&mut self, id: EndpointId, tokens: u32) {
        let load = self.loads.entry(id).or_default();
        load.pending_prefill = load.pending_prefill.saturating_sub(tokens);
    }

    /// A call has failed before its endpoint began to answer: it does not hold the prompt's prefixes for sure.
    pub fn prefill_failed(&mut self, id: EndpointId, prompt: &Prompt) {
        self.prefixes.withdraw(id, prompt);
    }

    /// Sets the tokens that an endpoint's KV cache has room for.
    pub fn set_cache_tokens(&mut self, id: EndpointId, tokens: u64) {
        self.prefixes.set_cache_tokens(id, tokens);
    }

    /// Takes at most this many placements that the other proxies have not been told of.
    pub fn take_unreported_placements(&mut self, most: usize) -> Vec<Placement> {
        self.prefixes.take_unreported(most)
    }

    /// From now on the index holds what other proxies placed before this one started: it was told, or there was nothing.
    pub fn set_all_placements_known(&mut self) {
        self.has_all_placements = true;
    }

    /// Another proxy has placed a prefix at an endpoint, which has it to prefill if it did not hold it before.
    pub fn learn_placement(&mut self, now: Duration, placement: Placement) {
        let is_new = self.prefixes.learn(now, placement);
        // Until all placements are known, those that are learned may have been made long ago.
        if is_new && self.has_all_placements {
            self.loads.entry(placement.endpoint).or_default().place(now, placement.part_tokens);
        }
    }

    /// Tokens that endpoints have to prefill for this proxy's calls, of those that have any.
    pub fn pending_prefill(&self) -> Vec<(EndpointId, u32)> {
        let with = self.loads.iter().filter(|(_, load)| load.pending_prefill > 0);
        with.map(|(id, load)| (*id, load.pending_prefill)).collect()
    }

    /// What endpoints have to prefill for all proxies' calls, of those that have anything; `own` is what this proxy had
    /// reported when that was summed up.
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

    /// A call that was sent has ended.
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

    /// An endpoint that works on calls of ours has sent nothing for too long.
    pub fn on_stall(&mut self, now: Duration, id: EndpointId) {
        self.loads.entry(id).or_default().eject(now);
    }

    /// Forgets an endpoint that has ended.
    pub fn forget(&mut self, id: EndpointId) {
        self.prefixes.forget(id);
        if self.loads.get(&id).is_some_and(|load| load.in_flight == 0) {
            self.loads.remove(&id);
        }
    }
}

/// What is known of where a prompt's prefixes are.
struct Affinity {
    prompt: Prompt,
    /// Tokens of the longest prefix that an eligible endpoint holds.
    held_tokens: u32,
    /// Endpoints that join the sample.
    joining: Vec<EndpointId>,
    /// The endpoint that all proxies agree on where no holder of the whole prefix is known, and its gain in tokens.
    agreed: Option<(EndpointId, f64)>,
}

impl Affinity {
    /// The cost in tokens of prefilling the prompt at an endpoint, beyond what it costs at any.
    fn cost(&self, prefixes: &PrefixIndex, id: EndpointId) -> f64 {
        let held = prefixes.longest_held(id, &self.prompt).map_or(0, |prefix| prefix.tokens);
        let repeated = f64::from(self.held_tokens.saturating_sub(held));
        let gain = self.agreed.filter(|(agreed, _)| *agreed == id).map_or(0.0, |(_, gain)| gain);
        repeated * REPEATED_PREFILL_WEIGHT - gain
    }
}
