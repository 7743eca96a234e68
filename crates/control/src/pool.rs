//! Endpoints of one pool, from the lists of its discovery server; implausible lists are held back for a while.
//!
//! No I/O. Times are Unix time, so that they compare with endpoints' start times.

use runtrack_balancer::{
    Balancer, EndpointId, EndpointInfo, EndpointState, Event, Membership, Rules, Settings, ZoneId, wire,
};
use runtrack_discovery::{List, State, Target, Update};
use runtrack_model::{Fleet, Pool, Source};
use runtrack_xds::translate::ResolvedEndpoint;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of steps in which a cold endpoint's share rises; each is a push to all proxies of the pool.
const WARMUP_STEPS: f64 = 20.0;

/// Why a pool's list may be stale.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stale {
    /// Since when.
    pub since: Duration,
    /// The reason.
    pub why: String,
}

/// An implausible full list that has not been accepted yet.
#[derive(Clone, Debug)]
struct UnconfirmedList {
    list: List,
    since: Duration,
}

/// The endpoints of a pool.
pub struct PoolMembers {
    balancer: Balancer,
    ids: wire::EndpointNames,
    /// By uid.
    targets: BTreeMap<String, Target>,
    /// Uids of endpoints that are warming up, with the step last published.
    cold: BTreeMap<String, u32>,
    rev: u64,
    known: bool,
    stale: Option<Stale>,
    unconfirmed: Option<UnconfirmedList>,
    panic_threshold: f64,
    panic_hold: Duration,
    /// Changes since the last [`take_changes`](Self::take_changes), for the journal.
    changes: BTreeMap<String, Target>,
    /// Endpoints that must get no new requests, whatever the list says.
    held_back: BTreeSet<String>,
    /// The accepted list was an older one that persisted: the version numbers of the server have restarted.
    numbering_restarted: bool,
}

impl PoolMembers {
    /// Creates a pool without a list; a static pool has its endpoints at once.
    pub fn new(pool: &Pool, fleet: &Fleet, seed: u64, now: Duration) -> Self {
        let settings = Settings {
            rules: Rules {
                cold_share: fleet.rules.cold_share,
                warm_within: fleet.rules.warm_within,
                drain_grace: fleet.rules.drain_grace,
                cold_overload_factor: fleet.rules.fall_multiple,
                ..Settings::default().rules
            },
            ..Settings::default()
        };
        let balancer = Balancer::new(settings, seed, now);
        let mut members = PoolMembers {
            // The model has validated these settings; the balancer's defaults are valid.
            balancer: balancer.unwrap_or_else(|_| default_balancer(seed, now)),
            ids: wire::EndpointNames::default(),
            targets: BTreeMap::new(),
            cold: BTreeMap::new(),
            rev: 0,
            known: false,
            stale: None,
            unconfirmed: None,
            panic_threshold: pool.panic_threshold,
            panic_hold: pool.panic_hold,
            changes: BTreeMap::new(),
            held_back: BTreeSet::new(),
            numbering_restarted: false,
        };
        if let Source::Static(endpoints) = &pool.source {
            let target = |(uid, e): (&String, &runtrack_model::Endpoint)| Target {
                uid: uid.clone(),
                endpoint: e.address,
                az: e.zone.clone(),
                model: String::new(),
                pod_group: 0,
                state: match e.state {
                    runtrack_model::EndpointState::Ready => State::Up,
                    runtrack_model::EndpointState::Draining => State::Draining,
                },
                capacity_hint: e.weight,
                boot_ms: e.started_ms as f64,
            };
            members.apply(now, List { rev: 1, all: true, targets: endpoints.iter().map(target).collect() });
        }
        members
    }

    /// Restores a saved list, which is marked stale until the source answers.
    pub fn restore(&mut self, now: Duration, list: List, why: &str) {
        self.apply(now, List { all: true, ..list });
        self.changes.clear();
        self.stale = Some(Stale { since: now, why: why.to_owned() });
    }

    /// Replaces the list by the one that the cluster has committed; returns whether endpoints may have changed.
    pub fn set_committed_list(&mut self, now: Duration, list: List) -> bool {
        (self.stale, self.unconfirmed) = (None, None);
        self.apply(now, List { all: true, ..list })
    }

    /// Sets the endpoints that must get no new requests, whatever the list says; returns whether the set has changed.
    pub fn set_held_back(&mut self, uids: BTreeSet<String>) -> bool {
        std::mem::replace(&mut self.held_back, uids) != self.held_back
    }

    /// Whether the version numbers of the accepted list have restarted.
    pub fn numbering_restarted(&self) -> bool {
        self.numbering_restarted
    }

    /// Updates the panic settings; the source and the endpoints stay.
    pub fn update_panic_settings(&mut self, pool: &Pool) {
        (self.panic_threshold, self.panic_hold) = (pool.panic_threshold, pool.panic_hold);
    }

    /// Handles an update from the source; returns whether endpoints may have changed.
    pub fn handle_update(&mut self, now: Duration, update: Update) -> bool {
        let list = match update {
            Update::Failed(why) => {
                let since = self.stale.as_ref().map_or(now, |stale| stale.since);
                self.stale = Some(Stale { since, why });
                return false;
            }
            Update::Unchanged => return false,
            Update::List(list) => list,
        };
        self.stale = None;
        if !list.all {
            if let Some(unconfirmed) = &mut self.unconfirmed {
                unconfirmed.list.targets.extend(list.targets.iter().cloned());
                unconfirmed.list.rev = list.rev;
            }
            return self.apply(now, list);
        }
        let Some(why) = self.reason_to_distrust(&list) else {
            self.unconfirmed = None;
            return self.apply(now, list);
        };
        // Its entries are accepted, drains above all; but endpoints missing from it are kept.
        let since = self.unconfirmed.as_ref().map_or(now, |unconfirmed| unconfirmed.since);
        self.stale = Some(Stale { since, why });
        self.unconfirmed = Some(UnconfirmedList { list: list.clone(), since });
        let rev = self.rev;
        let drains = list.targets.into_iter().filter(|t| !self.reverts_drain(t)).collect();
        let changed = self.apply(now, List { rev, all: false, targets: drains });
        changed | self.tick(now)
    }

    /// Whether an entry would revert a drain of the same process.
    fn reverts_drain(&self, target: &Target) -> bool {
        let old = self.targets.get(&target.uid);
        target.state == State::Up
            && old.is_some_and(|t| t.state == State::Draining && t.boot_ms >= target.boot_ms)
    }

    /// Why a full list is implausible, if so: it is older, or too many endpoints are missing.
    fn reason_to_distrust(&self, list: &List) -> Option<String> {
        if !self.known || self.panic_threshold >= 1.0 {
            return None;
        }
        if list.rev < self.rev {
            return Some(format!(
                "the source's list {} is older than list {}: accepted after the hold time",
                list.rev, self.rev
            ));
        }
        let listed: BTreeSet<&str> = list.targets.iter().map(|t| t.uid.as_str()).collect();
        let lost = self.targets.keys().filter(|uid| !listed.contains(uid.as_str())).count();
        (lost as f64 > self.panic_threshold * self.targets.len() as f64).then(|| {
            format!(
                "the source's list lacks {lost} of {} endpoints: accepted after the hold time",
                self.targets.len()
            )
        })
    }

    /// Accepts an unconfirmed list after the hold time, and updates warming endpoints; returns whether endpoints may
    /// have changed.
    pub fn tick(&mut self, now: Duration) -> bool {
        let mut changed = false;
        if let Some(unconfirmed) =
            self.unconfirmed.take_if(|unconfirmed| unconfirmed.since + self.panic_hold <= now)
        {
            self.stale = None;
            self.numbering_restarted = unconfirmed.list.rev < self.rev;
            changed = self.apply(now, unconfirmed.list);
        }
        let uids: Vec<String> = self.cold.keys().cloned().collect();
        for uid in uids {
            let warmup_step = self.warmup_step(now, &uid);
            changed |= self.cold.get(&uid) != Some(&warmup_step);
            match warmup_step >= WARMUP_STEPS as u32 {
                true => drop(self.cold.remove(&uid)),
                false => drop(self.cold.insert(uid, warmup_step)),
            }
        }
        changed
    }

    /// Whether [`tick`](Self::tick) is needed.
    pub fn needs_tick(&self) -> bool {
        self.unconfirmed.is_some() || !self.cold.is_empty()
    }

    fn apply(&mut self, now: Duration, list: List) -> bool {
        let mut entries: BTreeMap<String, Target> = BTreeMap::new();
        for target in list.targets {
            entries.insert(target.uid.clone(), target); // the last entry of a uid counts
        }
        if list.all {
            for (uid, old) in &self.targets {
                let gone = || Target { state: State::Removed, ..old.clone() };
                entries.entry(uid.clone()).or_insert_with(gone);
            }
        }
        entries.retain(|uid, new| match self.targets.get(uid) {
            Some(old) => old != new,
            None => new.state != State::Removed,
        });
        let news = entries.values().map(|target| self.endpoint_info(target)).collect();
        let membership = Event::Membership(Membership::Delta(news));
        self.balancer.handle(now, membership, &mut Vec::new());
        let changed = !entries.is_empty() || !self.known;
        (self.rev, self.known) = (list.rev, true);
        for (uid, target) in entries {
            self.changes.insert(uid.clone(), target.clone());
            match target.state {
                State::Removed => {
                    self.targets.remove(&uid);
                    self.cold.remove(&uid);
                }
                _ => {
                    self.targets.insert(uid.clone(), target);
                    match self.warmup_step(now, &uid) {
                        step if step < WARMUP_STEPS as u32 => drop(self.cold.insert(uid, step)),
                        _ => drop(self.cold.remove(&uid)),
                    }
                }
            }
        }
        if changed && self.ids.len() > 2 * self.targets.len() + 16 {
            let kept: BTreeSet<EndpointId> = self.targets.keys().map(|uid| self.ids.id(uid)).collect();
            self.ids.retain(|id| kept.contains(&id));
        }
        changed
    }

    fn endpoint_info(&mut self, target: &Target) -> EndpointInfo {
        EndpointInfo {
            id: self.ids.id(&target.uid),
            // The service has no zone and sends no requests; this balancer treats all zones alike.
            zone: ZoneId(0),
            state: match target.state {
                State::Up => EndpointState::Ready,
                State::Draining => EndpointState::Draining,
                State::Removed => EndpointState::Removed,
            },
            weight: target.capacity_hint,
            started_at: (target.boot_ms > 0.0)
                .then(|| Duration::from_micros((target.boot_ms * 1e3) as u64)),
            ..EndpointInfo::ready(0)
        }
    }

    /// The share of an endpoint's capacity that is warmed up, in whole steps.
    fn warmup_step(&mut self, now: Duration, uid: &str) -> u32 {
        let id = self.ids.id(uid);
        let part = self.balancer.endpoint_status(now, id).map_or(1.0, |status| status.capacity_fraction);
        (part * WARMUP_STEPS).floor() as u32
    }

    /// The endpoints as published to proxies, by name; none before the first list.
    pub fn members(&mut self, now: Duration) -> Option<Vec<ResolvedEndpoint>> {
        if !self.known {
            return None;
        }
        let mut members = Vec::with_capacity(self.targets.len());
        for (uid, target) in &self.targets {
            let id = self.ids.id(uid);
            let Some(status) = self.balancer.endpoint_status(now, id) else { continue };
            members.push(ResolvedEndpoint {
                name: uid.clone(),
                address: target.endpoint,
                zone: target.az.clone(),
                weight: target.capacity_hint,
                draining: status.info.state != EndpointState::Ready || self.held_back.contains(uid),
                capacity_fraction: (status.capacity_fraction * WARMUP_STEPS).floor().max(1.0)
                    / WARMUP_STEPS,
                failure_penalty: status.failure_penalty,
            });
        }
        Some(members)
    }

    /// Takes the changes since the last call, in discovery's format; none if there are none.
    pub fn take_changes(&mut self) -> Option<List> {
        let targets: Vec<Target> = std::mem::take(&mut self.changes).into_values().collect();
        (!targets.is_empty()).then_some(List { rev: self.rev, all: false, targets })
    }

    /// The full list, in discovery's format.
    pub fn list(&self) -> List {
        List { rev: self.rev, all: true, targets: self.targets.values().cloned().collect() }
    }

    /// Whether any list has been received.
    pub fn known(&self) -> bool {
        self.known
    }

    /// Whether a list is known and the last update of the source was one too, even if it is not confirmed yet.
    pub fn has_source_list(&self) -> bool {
        self.known && (self.stale.is_none() || self.unconfirmed.is_some())
    }

    /// Why the list may be stale, if so.
    pub fn stale(&self) -> Option<&Stale> {
        self.stale.as_ref()
    }

    /// The number of ready, draining and warming endpoints.
    pub fn counts(&self) -> (usize, usize, usize) {
        let drains =
            |(uid, t): &(&String, &Target)| t.state == State::Draining || self.held_back.contains(*uid);
        let draining = self.targets.iter().filter(drains).count();
        (self.targets.len() - draining, draining, self.cold.len())
    }
}

fn default_balancer(seed: u64, now: Duration) -> Balancer {
    match Balancer::new(Settings::default(), seed, now) {
        Ok(balancer) => balancer,
        Err(problem) => panic!("the balancer rejects its default settings: {problem}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use runtrack_testkit::target;

    const NOW: Duration = Duration::from_secs(1_800_000_000);

    fn up(uid: &str) -> Target {
        target(uid, ([127, 0, 0, 1], 7000).into(), "a")
    }

    fn draining(uid: &str) -> Target {
        Target { state: State::Draining, ..up(uid) }
    }

    fn full_list(rev: u64, targets: Vec<Target>) -> Update {
        Update::List(List { rev, all: true, targets })
    }

    fn pool() -> PoolMembers {
        let text = "[[pool]]\nname = \"p\"\nplatform = \"127.0.0.1:1\"\npanic_hold = \"10s\"\n";
        let fleet = Fleet::from_toml(text).expect("sound");
        PoolMembers::new(&fleet.pools["p"], &fleet, 7, NOW)
    }

    fn with(targets: Vec<Target>) -> PoolMembers {
        let mut members = pool();
        assert!(members.handle_update(NOW, full_list(10, targets)));
        members
    }

    /// The names of ready endpoints, and the number of all.
    fn names(members: &mut PoolMembers, now: Duration) -> (Vec<String>, usize) {
        let all = members.members(now).expect("known");
        let ready = all.iter().filter(|m| !m.draining).map(|m| m.name.clone());
        (ready.collect(), all.len())
    }

    #[test]
    fn members_are_unknown_before_the_first_list_even_an_empty_one() {
        let mut members = pool();
        assert_eq!(members.members(NOW), None);
        members.handle_update(NOW, Update::Failed("refused".to_owned()));
        assert_eq!(members.members(NOW), None);
        assert!(members.handle_update(NOW, full_list(1, Vec::new())));
        assert_eq!(members.members(NOW), Some(Vec::new()));
    }

    #[test]
    fn a_failing_source_keeps_the_list_and_marks_it_stale() {
        let mut members = with(vec![up("a"), draining("b")]);
        assert!(!members.handle_update(NOW, Update::Failed("silent".to_owned())));
        members.handle_update(NOW + Duration::from_secs(5), Update::Failed("refused".to_owned()));
        let stale = members.stale().cloned().expect("marked");
        assert_eq!((stale.since, stale.why.as_str()), (NOW, "refused"), "since the first failure");
        assert_eq!(names(&mut members, NOW), (vec!["a".to_owned()], 2));
        members
            .handle_update(NOW, Update::List(List { rev: 11, all: false, targets: vec![draining("a")] }));
        assert!(members.stale().is_none());
        assert_eq!(names(&mut members, NOW).0, Vec::<String>::new());
    }

    #[test]
    fn an_empty_list_is_accepted_only_after_the_hold_time() {
        let mut members = with(vec![up("a"), up("b")]);
        assert!(!members.handle_update(NOW, full_list(11, Vec::new())));
        assert_eq!(names(&mut members, NOW).1, 2);
        let later = NOW + Duration::from_secs(6);
        assert!(
            !members.handle_update(later, full_list(12, Vec::new())),
            "the hold time counts from the first such list"
        );
        assert!(!members.tick(NOW + Duration::from_millis(9999)));
        assert!(members.tick(NOW + Duration::from_secs(10)));
        assert_eq!(names(&mut members, NOW).1, 0);
        assert!(members.stale().is_none() && !members.needs_tick());
    }

    #[test]
    fn a_plausible_list_discards_the_unconfirmed_one() {
        let mut members = with(vec![up("a"), up("b")]);
        members.handle_update(NOW, full_list(11, Vec::new()));
        assert!(!members.handle_update(NOW, full_list(12, vec![up("a"), up("b")])));
        assert!(!members.tick(NOW + Duration::from_secs(60)));
        assert_eq!(names(&mut members, NOW).1, 2);
    }

    #[test]
    fn changes_are_merged_into_an_unconfirmed_list() {
        let mut members = with(vec![up("a"), up("b"), up("c")]);
        members.handle_update(NOW, full_list(11, vec![up("a")]));
        members.handle_update(
            NOW,
            Update::List(List { rev: 12, all: false, targets: vec![up("d"), draining("a")] }),
        );
        assert_eq!(names(&mut members, NOW), (["b", "c", "d"].map(str::to_owned).to_vec(), 4));
        members.tick(NOW + Duration::from_secs(10));
        assert_eq!(names(&mut members, NOW), (vec!["d".to_owned()], 2));
    }

    #[test]
    fn an_older_list_reverts_no_drain_but_its_drains_apply() {
        let mut members = with(vec![draining("a"), up("b"), up("c")]);
        members.handle_update(NOW, full_list(3, vec![up("a"), draining("b"), up("c")]));
        assert_eq!(names(&mut members, NOW), (vec!["c".to_owned()], 3));
        assert!(members.stale().is_some_and(|stale| stale.why.contains("older than list 10")));
        // A server that was reset permanently is accepted after the hold time.
        members.tick(NOW + Duration::from_secs(10));
        assert_eq!(names(&mut members, NOW).0, ["a", "c"]);
    }

    #[test]
    fn explicit_removals_apply_at_once() {
        let mut members = with(vec![up("a"), up("b")]);
        let gone = ["a", "b"].map(|uid| Target { state: State::Removed, ..up(uid) });
        assert!(
            members.handle_update(NOW, Update::List(List { rev: 11, all: false, targets: gone.to_vec() }))
        );
        assert_eq!(names(&mut members, NOW).1, 0);
    }

    #[test]
    fn a_restored_list_is_no_change_for_the_journal() {
        let mut members = pool();
        members.restore(
            NOW,
            List { rev: 4, all: true, targets: vec![draining("a"), up("b")] },
            "from before",
        );
        assert_eq!(names(&mut members, NOW), (vec!["b".to_owned()], 2));
        assert_eq!(members.take_changes(), None);
        members.handle_update(NOW, full_list(5, vec![draining("a"), draining("b")]));
        let changes = members.take_changes().expect("one");
        assert_eq!((changes.rev, changes.all, changes.targets), (5, false, vec![draining("b")]));
    }

    #[test]
    fn a_cold_endpoint_warms_up_in_steps() {
        let cold = Target { boot_ms: NOW.as_millis() as f64, ..up("cold") };
        let mut members = with(vec![up("warm"), cold]);
        let part =
            |members: &mut PoolMembers, now| members.members(now).expect("known")[0].capacity_fraction;
        assert_eq!(part(&mut members, NOW), 0.25);
        let mut steps = Vec::new();
        for second in 1..=40 {
            let now = NOW + Duration::from_secs(second);
            if members.tick(now) {
                steps.push(part(&mut members, now));
            }
        }
        assert!(steps.is_sorted() && steps.len() <= 20, "{steps:?}");
        assert_eq!(steps.last(), Some(&1.0));
        assert!(!members.needs_tick(), "nothing left to wait for");
    }

    #[test]
    fn ids_of_removed_endpoints_are_released() {
        let mut members = with(vec![up("stays")]);
        for n in 0..1000 {
            let uid = format!("e{n}");
            members.handle_update(
                NOW,
                Update::List(List { rev: 11 + n, all: false, targets: vec![up(&uid)] }),
            );
            let gone = Target { state: State::Removed, ..up(&uid) };
            members.handle_update(NOW, Update::List(List { rev: 11 + n, all: false, targets: vec![gone] }));
        }
        assert!(members.ids.len() < 40, "{} names", members.ids.len());
    }
}
