//! Index of the prompt prefixes that endpoints are assumed to hold in their KV caches.
//!
//! Endpoints do not report their caches. They are assumed to keep what they were sent and to evict the least recently
//! used: the index holds, for each endpoint, the prefixes last sent there by this proxy or, as reported, by others, up to
//! the capacity of its cache. Entries are reported when added, and again at intervals while in use, so that all proxies
//! evict in the same order.

use super::prompt::{Prompt, PromptPrefix};
use crate::types::EndpointId;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Assumed fraction of a cache that holds prefixes; running requests and unshared prompt parts take the rest.
const PREFIX_FRACTION: f64 = 0.75;
/// Interval at which an entry in use is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(20);
/// Tokens below which a prefix is not reported: prefilling it again costs less than one call in flight
/// ([`super::TOKENS_PER_CALL`] over [`super::REPEATED_PREFILL_WEIGHT`]), and a short common prefix ends up at every
/// endpoint, so that its reports would crowd out those of long ones.
const MIN_REPORTED_TOKENS: u32 = 512;
/// Maximum entries; sized for 180,000 prefixes, some with several holders.
const MAX_ENTRIES: usize = 400_000;
/// Maximum entries that wait to be reported.
const MAX_UNREPORTED: usize = 4096;

/// A prefix that was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Key of the prefix.
    pub prefix: u64,
    /// Tokens in its last part.
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

/// The prefixes held by one endpoint.
#[derive(Debug, Default)]
struct Cache {
    tokens: u64,
    /// Capacity for prefixes in tokens; `None` if unknown.
    capacity: Option<u64>,
    /// Prefixes ordered by last use.
    by_use: BTreeSet<(Duration, u64)>,
}

/// Index of prefixes by key and by endpoint.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: HashMap<u64, Vec<Holder>>,
    caches: HashMap<EndpointId, Cache>,
    entries: usize,
    unreported: Vec<Placement>,
}

impl PrefixIndex {
    /// Sets the capacity of an endpoint's cache in tokens.
    pub fn set_cache_tokens(&mut self, endpoint: EndpointId, tokens: u64) {
        let cache = self.caches.entry(endpoint).or_default();
        cache.capacity = Some((tokens as f64 * PREFIX_FRACTION) as u64);
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

    /// Records a prompt sent to an endpoint, which from now on holds its prefixes.
    pub fn record(&mut self, now: Duration, endpoint: EndpointId, prompt: &Prompt) {
        for prefix in prompt.prefixes() {
            let placement = Placement { prefix: prefix.key, part_tokens: prefix.part_tokens, endpoint };
            let is_due = self.touch(now, placement, false);
            if is_due && prefix.tokens >= MIN_REPORTED_TOKENS && self.unreported.len() < MAX_UNREPORTED {
                self.unreported.push(placement);
            }
        }
    }

    /// Records a placement reported by another proxy; returns whether it is new.
    pub fn learn(&mut self, now: Duration, placement: Placement) -> bool {
        let is_new = !self.holds(placement.endpoint, placement.prefix);
        self.touch(now, placement, true);
        is_new
    }

    /// Records a use of a prefix at an endpoint; returns whether it must be reported.
    fn touch(&mut self, now: Duration, placement: Placement, is_report: bool) -> bool {
        let Placement { prefix, part_tokens, endpoint } = placement;
        let cache = self.caches.entry(endpoint).or_default();
        let holders = self.holders.entry(prefix).or_default();
        if let Some(holder) = holders.iter_mut().find(|holder| holder.endpoint == endpoint) {
            cache.by_use.remove(&(holder.used, prefix));
            cache.by_use.insert((now, prefix));
            holder.used = now;
            let is_due = now.saturating_sub(holder.reported) >= REPORT_INTERVAL;
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

    /// Evicts the least recently used prefixes of an endpoint until the rest fits; keeps `newest`.
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

    /// Removes a prompt's prefixes from an endpoint that may not have prefilled them.
    pub fn withdraw(&mut self, endpoint: EndpointId, prompt: &Prompt) {
        for prefix in prompt.prefixes() {
            self.remove(endpoint, prefix.key);
            self.unreported
                .retain(|placement| placement.endpoint != endpoint || placement.prefix != prefix.key);
        }
    }

    /// Removes an endpoint.
    pub fn forget(&mut self, endpoint: EndpointId) {
        let Some(cache) = self.caches.remove(&endpoint) else { return };
        for (_, prefix) in cache.by_use {
            self.remove(endpoint, prefix);
        }
        self.unreported.retain(|placement| placement.endpoint != endpoint);
    }

    /// Takes up to `max_count` unreported entries.
    pub fn take_unreported(&mut self, max_count: usize) -> Vec<Placement> {
        let count = self.unreported.len().min(max_count);
        self.unreported.drain(..count).collect()
    }

    /// All entries, for a process that starts with an empty index.
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

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }
}
