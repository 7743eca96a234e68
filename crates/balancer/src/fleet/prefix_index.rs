//! Which endpoints hold which prefixes of prompts in their KV caches, as far as is known.
//!
//! No endpoint says what it keeps. It keeps what it was sent, until newer prefixes need the room: so the index holds, for
//! each endpoint, the prefixes that were last sent there by this proxy or, as reported, by others, up to the tokens that
//! its cache has room for. Entries are reported when they are made, and again now and then while they are used, so that
//! all proxies drop the same ones first.

use super::prompt::{Prompt, PromptPrefix};
use crate::types::EndpointId;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Part of a cache that holds prefixes; the rest is taken by running requests and by prompts' own parts. A guess.
const PREFIX_SHARE: f64 = 0.75;
/// An entry in use is reported again after this.
const REPORT_AGAIN: Duration = Duration::from_secs(20);
/// A shorter prefix is not reported to others: to prefill it again weighs less than one call in flight
/// ([`super::TOKENS_PER_CALL`] over [`super::REPEATED_PREFILL_WEIGHT`]), and a short prefix that many prompts begin with comes
/// to be at every endpoint, so that its reports would crowd out those of long ones.
const MIN_REPORTED_TOKENS: u32 = 512;
/// Bound on the entries: the size to design for is 180,000 prefixes, and some have several copies.
const MAX_ENTRIES: usize = 400_000;
/// Bound on the entries that wait to be reported.
const MAX_UNREPORTED: usize = 4096;

/// A prefix that was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The prefix.
    pub prefix: u64,
    /// Tokens of its last part.
    pub part_tokens: u32,
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// An endpoint that holds a prefix.
#[derive(Clone, Copy, Debug)]
struct Holder {
    endpoint: EndpointId,
    part_tokens: u32,
    used: Duration,
    reported: Duration,
}

/// The prefixes at one endpoint.
#[derive(Debug, Default)]
struct Cache {
    tokens: u64,
    /// Room for prefixes in tokens; none where it is not known.
    capacity: Option<u64>,
    /// Prefixes by their last use.
    by_use: BTreeSet<(Duration, u64)>,
}

/// The index.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: HashMap<u64, Vec<Holder>>,
    caches: HashMap<EndpointId, Cache>,
    entries: usize,
    unreported: Vec<Placement>,
}

impl PrefixIndex {
    /// Sets the tokens that an endpoint's cache has room for.
    pub fn set_cache_tokens(&mut self, endpoint: EndpointId, tokens: u64) {
        let cache = self.caches.entry(endpoint).or_default();
        cache.capacity = Some((tokens as f64 * PREFIX_SHARE) as u64);
    }

    /// Endpoints that hold a prefix.
    pub fn holders(&self, prefix: u64) -> impl Iterator<Item = EndpointId> {
        self.holders.get(&prefix).into_iter().flatten().map(|holder| holder.endpoint)
    }

    fn holds(&self, endpoint: EndpointId, prefix: u64) -> bool {
        self.holders(prefix).any(|holder| holder == endpoint)
    }

    /// The longest prefix of a prompt that an endpoint holds.
    pub fn longest_held(&self, endpoint: EndpointId, prompt: &Prompt) -> Option<PromptPrefix> {
        let held = prompt.prefixes().iter().take_while(|prefix| self.holds(endpoint, prefix.key));
        held.last().copied()
    }

    /// A prompt was sent to an endpoint, which holds its prefixes from now on.
    pub fn record(&mut self, now: Duration, endpoint: EndpointId, prompt: &Prompt) {
        for prefix in prompt.prefixes() {
            let placement = Placement { prefix: prefix.key, part_tokens: prefix.part_tokens, endpoint };
            let is_due = self.touch(now, placement, false);
            if is_due && prefix.tokens >= MIN_REPORTED_TOKENS && self.unreported.len() < MAX_UNREPORTED {
                self.unreported.push(placement);
            }
        }
    }

    /// Another proxy reports what it sent; returns whether the endpoint was not known to hold it.
    pub fn learn(&mut self, now: Duration, placement: Placement) -> bool {
        let is_new = !self.holds(placement.endpoint, placement.prefix);
        self.touch(now, placement, true);
        is_new
    }

    /// Notes a use of a prefix at an endpoint; returns whether it is to be reported.
    fn touch(&mut self, now: Duration, placement: Placement, is_report: bool) -> bool {
        let Placement { prefix, part_tokens, endpoint } = placement;
        let cache = self.caches.entry(endpoint).or_default();
        let holders = self.holders.entry(prefix).or_default();
        if let Some(holder) = holders.iter_mut().find(|holder| holder.endpoint == endpoint) {
            cache.by_use.remove(&(holder.used, prefix));
            cache.by_use.insert((now, prefix));
            holder.used = now;
            let is_due = now.saturating_sub(holder.reported) >= REPORT_AGAIN;
            if is_report || is_due {
                holder.reported = now;
            }
            return is_due;
        }
        holders.push(Holder { endpoint, part_tokens, used: now, reported: now });
        cache.by_use.insert((now, prefix));
        cache.tokens += u64::from(part_tokens);
        self.entries += 1;
        self.evict(endpoint, prefix);
        true
    }

    /// Drops the prefixes of an endpoint that were not used for the longest, until the rest has room; `newest` stays.
    fn evict(&mut self, endpoint: EndpointId, newest: u64) {
        while let Some(cache) = self.caches.get(&endpoint) {
            let is_full = cache.capacity.is_some_and(|capacity| cache.tokens > capacity);
            let oldest = cache.by_use.first().map(|(_, prefix)| *prefix);
            match oldest.filter(|oldest| *oldest != newest) {
                Some(oldest) if is_full || self.entries > MAX_ENTRIES => self.remove(endpoint, oldest),
                _ => return,
            }
        }
    }

    fn remove(&mut self, endpoint: EndpointId, prefix: u64) {
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        let Some(at) = holders.iter().position(|holder| holder.endpoint == endpoint) else { return };
        let holder = holders.swap_remove(at);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
        self.entries -= 1;
        if let Some(cache) = self.caches.get_mut(&endpoint) {
            cache.by_use.remove(&(holder.used, prefix));
            cache.tokens -= u64::from(holder.part_tokens);
        }
    }

    /// A prompt that was sent to an endpoint has not been prefilled there, or is not known to have been.
    pub fn withdraw(&mut self, endpoint: EndpointId, prompt: &Prompt) {
        for prefix in prompt.prefixes() {
            self.remove(endpoint, prefix.key);
            self.unreported
                .retain(|placement| placement.endpoint != endpoint || placement.prefix != prefix.key);
        }
    }

    /// Forgets an endpoint that has ended.
    pub fn forget(&mut self, endpoint: EndpointId) {
        let Some(cache) = self.caches.remove(&endpoint) else { return };
        for (_, prefix) in cache.by_use {
            self.remove(endpoint, prefix);
        }
        self.unreported.retain(|placement| placement.endpoint != endpoint);
    }

    /// Takes at most this many entries that the other proxies have not been told of.
    pub fn take_unreported(&mut self, most: usize) -> Vec<Placement> {
        let count = self.unreported.len().min(most);
        self.unreported.drain(..count).collect()
    }

    /// All entries, for a process that knows none yet.
    pub fn all(&self) -> Vec<Placement> {
        let entries = self.holders.iter().flat_map(|(prefix, holders)| {
            holders.iter().map(|holder| Placement {
                prefix: *prefix,
                part_tokens: holder.part_tokens,
                endpoint: holder.endpoint,
            })
        });
        entries.collect()
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }
}
