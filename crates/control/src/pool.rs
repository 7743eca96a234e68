//! Membership of one pool: what its source says, doubted where a fault is likelier, as the module sees it.
//!
//! No I/O. Time is Unix time, so that endpoints' start times compare with it.

use runtrack_balancer::{
    Balancer, EndpointId, EndpointInfo, EndpointState, Event, Membership, Rules, Settings, ZoneId, wire,
};
use runtrack_discovery::{List, State, Target, Update};
use runtrack_model::{Fleet, Pool, Source};
use runtrack_xds::translate::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A cold endpoint's part is told in so many steps: each is a push to all proxies of the pool.
const PART_STEPS: f64 = 20.0;

/// Why a pool's list may be old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stale {
    /// Since when.
    pub since: Duration,
    /// Why.
    pub why: String,
}

/// A whole list that is not believed yet.
#[derive(Clone, Debug)]
struct Doubt {
    list: List,
    since: Duration,
}

/// A pool's endpoints.
pub struct Members {
    balancer: Balancer,
    ids: wire::EndpointNames,
    /// By uid.
    targets: BTreeMap<String, Target>,
    /// Uids of endpoints whose part still rises, and the step last told.
    cold: BTreeMap<String, u32>,
    rev: u64,
    known: bool,
    stale: Option<Stale>,
    doubt: Option<Doubt>,
    panic_threshold: f64,
    panic_hold: Duration,
    /// Changes since they were last taken, for the journal.
    changes: BTreeMap<String, Target>,
    /// Endpoints that are to get nothing new, whatever the list says.
    held_back: BTreeSet<String>,
    /// The list that is believed was doubted for being older, and stood: the source counts anew.
    anew: bool,
}

impl Members {
    /// A pool that knows nothing yet.
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
        let mut members = Members {
            // The model has checked these figures; the module's own defaults are sound.
            balancer: balancer.unwrap_or_else(|_| by_default(seed, now)),
            ids: wire::EndpointNames::default(),
            targets: BTreeMap::new(),
            cold: BTreeMap::new(),
            rev: 0,
            known: false,
            stale: None,
            doubt: None,
            panic_threshold: pool.panic_threshold,
            panic_hold: pool.panic_hold,
            changes: BTreeMap::new(),
            held_back: BTreeSet::new(),
            anew: false,
        };
        if let Source::Static(endpoints) = &pool.source {
            let target = |(uid, e): (&String, &runtrack_model::Endpoint)| Target {
                uid: uid.clone(),
                endpoint: e.address,
                az: e.zone.clone(),
                model: String::new(),
                pod_group: 0,
                state: match e.state {
                    runtrack_model::State::Ready => State::Up,
                    runtrack_model::State::Draining => State::Draining,
                },
                capacity_hint: e.weight,
                boot_ms: e.started_ms as f64,
            };
            members
                .believe(now, List { rev: 1, all: true, targets: endpoints.iter().map(target).collect() });
        }
        members
    }

    /// A list from before: it stands until the source answers.
    pub fn remember(&mut self, now: Duration, list: List, why: &str) {
        self.believe(now, List { all: true, ..list });
        self.changes.clear();
        self.stale = Some(Stale { since: now, why: why.to_owned() });
    }

    /// Takes the list that is agreed with the other instances, whole; tells whether the endpoints may differ.
    pub fn agreed(&mut self, now: Duration, list: List) -> bool {
        (self.stale, self.doubt) = (None, None);
        self.believe(now, List { all: true, ..list })
    }

    /// From now on these endpoints and no others get nothing new, whatever the list says; tells whether that differs.
    pub fn hold_back(&mut self, uids: BTreeSet<String>) -> bool {
        std::mem::replace(&mut self.held_back, uids) != self.held_back
    }

    /// Whether the source counts its lists anew, as far as is believed.
    pub fn counts_anew(&self) -> bool {
        self.anew
    }

    /// Takes the pool's other settings, while its source and its endpoints stay.
    pub fn retune(&mut self, pool: &Pool) {
        (self.panic_threshold, self.panic_hold) = (pool.panic_threshold, pool.panic_hold);
    }

    /// Takes what the source told; tells whether the endpoints may differ.
    pub fn told(&mut self, now: Duration, told: Update) -> bool {
        let list = match told {
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
            if let Some(doubt) = &mut self.doubt {
                doubt.list.targets.extend(list.targets.iter().cloned());
                doubt.list.rev = list.rev;
            }
            return self.believe(now, list);
        }
        let Some(why) = self.doubtful(&list) else {
            self.doubt = None;
            return self.believe(now, list);
        };
        // What it says of those that it names is believed, drains above all; not that the others are gone.
        let since = self.doubt.as_ref().map_or(now, |doubt| doubt.since);
        self.stale = Some(Stale { since, why });
        self.doubt = Some(Doubt { list: list.clone(), since });
        let rev = self.rev;
        let drains = list.targets.into_iter().filter(|t| !self.undrains(t)).collect();
        let changed = self.believe(now, List { rev, all: false, targets: drains });
        changed | self.tick(now)
    }

    /// Whether an entry would take a drain back.
    fn undrains(&self, target: &Target) -> bool {
        let old = self.targets.get(&target.uid);
        target.state == State::Up
            && old.is_some_and(|t| t.state == State::Draining && t.boot_ms >= target.boot_ms)
    }

    /// Why a whole list is taken for a fault first.
    fn doubtful(&self, list: &List) -> Option<String> {
        if !self.known || self.panic_threshold >= 1.0 {
            return None;
        }
        if list.rev < self.rev {
            return Some(format!(
                "the source's list {} is older than list {}: believed later",
                list.rev, self.rev
            ));
        }
        let listed: BTreeSet<&str> = list.targets.iter().map(|t| t.uid.as_str()).collect();
        let lost = self.targets.keys().filter(|uid| !listed.contains(uid.as_str())).count();
        (lost as f64 > self.panic_threshold * self.targets.len() as f64).then(|| {
            format!("the source's list lacks {lost} of {} endpoints: believed later", self.targets.len())
        })
    }

    /// Looks at the clock: believes a doubted list that has stood long enough, lets cold endpoints warm; tells
    /// whether the endpoints may differ.
    pub fn tick(&mut self, now: Duration) -> bool {
        let mut changed = false;
        if let Some(doubt) = self.doubt.take_if(|doubt| doubt.since + self.panic_hold <= now) {
            self.stale = None;
            self.anew = doubt.list.rev < self.rev;
            changed = self.believe(now, doubt.list);
        }
        let uids: Vec<String> = self.cold.keys().cloned().collect();
        for uid in uids {
            let step = self.step(now, &uid);
            changed |= self.cold.get(&uid) != Some(&step);
            match step >= PART_STEPS as u32 {
                true => drop(self.cold.remove(&uid)),
                false => drop(self.cold.insert(uid, step)),
            }
        }
        changed
    }

    /// Whether [`tick`](Self::tick) has anything to wait for.
    pub fn waits(&self) -> bool {
        self.doubt.is_some() || !self.cold.is_empty()
    }

    fn believe(&mut self, now: Duration, list: List) -> bool {
        let mut entries: BTreeMap<String, Target> = BTreeMap::new();
        for target in list.targets {
            entries.insert(target.uid.clone(), target); // of an endpoint named twice the last word counts
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
        let news = entries.values().map(|target| self.info(target)).collect();
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
                    match self.step(now, &uid) {
                        step if step < PART_STEPS as u32 => drop(self.cold.insert(uid, step)),
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

    fn info(&mut self, target: &Target) -> EndpointInfo {
        EndpointInfo {
            id: self.ids.id(&target.uid),
            // The service has no zone of its own, and sends to none: all are alike to this balancer.
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

    /// The part of its capacity that an endpoint has, in whole steps.
    fn step(&mut self, now: Duration, uid: &str) -> u32 {
        let id = self.ids.id(uid);
        let part =
            self.balancer.endpoint_status(now, id).map_or(1.0, |standing| standing.capacity_fraction);
        (part * PART_STEPS).floor() as u32
    }

    /// The endpoints as proxies are told of them, by zone and name; none while nothing is known.
    pub fn members(&mut self, now: Duration) -> Option<Vec<Member>> {
        if !self.known {
            return None;
        }
        let mut members = Vec::with_capacity(self.targets.len());
        for (uid, target) in &self.targets {
            let id = self.ids.id(uid);
            let Some(standing) = self.balancer.endpoint_status(now, id) else { continue };
            members.push(Member {
                name: uid.clone(),
                address: target.endpoint,
                zone: target.az.clone(),
                weight: target.capacity_hint,
                draining: standing.info.state != EndpointState::Ready || self.held_back.contains(uid),
                part: (standing.capacity_fraction * PART_STEPS).floor().max(1.0) / PART_STEPS,
                heat: standing.failure_penalty,
            });
        }
        Some(members)
    }

    /// The changes since they were last taken, as the source would word them; none if there are none.
    pub fn take_changes(&mut self) -> Option<List> {
        let targets: Vec<Target> = std::mem::take(&mut self.changes).into_values().collect();
        (!targets.is_empty()).then_some(List { rev: self.rev, all: false, targets })
    }

    /// The whole list, as the source would word it.
    pub fn list(&self) -> List {
        List { rev: self.rev, all: true, targets: self.targets.values().cloned().collect() }
    }

    /// Whether any list has come.
    pub fn known(&self) -> bool {
        self.known
    }

    /// Whether the source has answered, and what it says lately is believed or looked into.
    pub fn hears(&self) -> bool {
        self.known && (self.stale.is_none() || self.doubt.is_some())
    }

    /// Why the list may be old.
    pub fn stale(&self) -> Option<&Stale> {
        self.stale.as_ref()
    }

    /// How many endpoints are ready, draining and cold.
    pub fn counts(&self) -> (usize, usize, usize) {
        let drains =
            |(uid, t): &(&String, &Target)| t.state == State::Draining || self.held_back.contains(*uid);
        let draining = self.targets.iter().filter(drains).count();
        (self.targets.len() - draining, draining, self.cold.len())
    }
}

fn by_default(seed: u64, now: Duration) -> Balancer {
    match Balancer::new(Settings::default(), seed, now) {
        Ok(balancer) => balancer,
        Err(problem) => panic!("the module refuses its own defaults: {problem}"),
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

    fn whole(rev: u64, targets: Vec<Target>) -> Update {
        Update::List(List { rev, all: true, targets })
    }

    fn pool() -> Members {
        let text = "[[pool]]\nname = \"p\"\nplatform = \"127.0.0.1:1\"\npanic_hold = \"10s\"\n";
        let fleet = Fleet::read(text).expect("sound");
        Members::new(&fleet.pools["p"], &fleet, 7, NOW)
    }

    fn with(targets: Vec<Target>) -> Members {
        let mut members = pool();
        assert!(members.told(NOW, whole(10, targets)));
        members
    }

    /// Names that may be sent to, and all names.
    fn names(members: &mut Members, now: Duration) -> (Vec<String>, usize) {
        let all = members.members(now).expect("known");
        let ready = all.iter().filter(|m| !m.draining).map(|m| m.name.clone());
        (ready.collect(), all.len())
    }

    #[test]
    fn nothing_is_known_before_the_first_list_and_an_empty_one_is_knowledge() {
        let mut members = pool();
        assert_eq!(members.members(NOW), None);
        members.told(NOW, Update::Failed("refused".to_owned()));
        assert_eq!(members.members(NOW), None);
        assert!(members.told(NOW, whole(1, Vec::new())));
        assert_eq!(members.members(NOW), Some(Vec::new()));
    }

    #[test]
    fn a_source_that_fails_leaves_the_list_and_marks_it() {
        let mut members = with(vec![up("a"), draining("b")]);
        assert!(!members.told(NOW, Update::Failed("silent".to_owned())));
        members.told(NOW + Duration::from_secs(5), Update::Failed("refused".to_owned()));
        let stale = members.stale().cloned().expect("marked");
        assert_eq!((stale.since, stale.why.as_str()), (NOW, "refused"), "since the first failure");
        assert_eq!(names(&mut members, NOW), (vec!["a".to_owned()], 2));
        members.told(NOW, Update::List(List { rev: 11, all: false, targets: vec![draining("a")] }));
        assert!(members.stale().is_none());
        assert_eq!(names(&mut members, NOW).0, Vec::<String>::new());
    }

    #[test]
    fn an_empty_list_after_a_full_one_is_doubted_until_it_has_stood() {
        let mut members = with(vec![up("a"), up("b")]);
        assert!(!members.told(NOW, whole(11, Vec::new())));
        assert_eq!(names(&mut members, NOW).1, 2);
        let later = NOW + Duration::from_secs(6);
        assert!(
            !members.told(later, whole(12, Vec::new())),
            "said again, it has stood since the first time"
        );
        assert!(!members.tick(NOW + Duration::from_millis(9999)));
        assert!(members.tick(NOW + Duration::from_secs(10)));
        assert_eq!(names(&mut members, NOW).1, 0);
        assert!(members.stale().is_none() && !members.waits());
    }

    #[test]
    fn a_good_list_ends_the_doubt() {
        let mut members = with(vec![up("a"), up("b")]);
        members.told(NOW, whole(11, Vec::new()));
        assert!(!members.told(NOW, whole(12, vec![up("a"), up("b")])));
        assert!(!members.tick(NOW + Duration::from_secs(60)));
        assert_eq!(names(&mut members, NOW).1, 2);
    }

    #[test]
    fn changes_that_come_while_a_list_is_doubted_outlive_the_doubt() {
        let mut members = with(vec![up("a"), up("b"), up("c")]);
        members.told(NOW, whole(11, vec![up("a")]));
        members
            .told(NOW, Update::List(List { rev: 12, all: false, targets: vec![up("d"), draining("a")] }));
        assert_eq!(names(&mut members, NOW), (["b", "c", "d"].map(str::to_owned).to_vec(), 4));
        members.tick(NOW + Duration::from_secs(10));
        assert_eq!(names(&mut members, NOW), (vec!["d".to_owned()], 2));
    }

    #[test]
    fn a_list_from_the_past_takes_no_drain_back_but_its_drains_count() {
        let mut members = with(vec![draining("a"), up("b"), up("c")]);
        members.told(NOW, whole(3, vec![up("a"), draining("b"), up("c")]));
        assert_eq!(names(&mut members, NOW), (vec!["c".to_owned()], 3));
        assert!(members.stale().is_some_and(|stale| stale.why.contains("older than list 10")));
        // A server that was set back for good is believed in the end.
        members.tick(NOW + Duration::from_secs(10));
        assert_eq!(names(&mut members, NOW).0, ["a", "c"]);
    }

    #[test]
    fn explicit_removals_are_never_doubted() {
        let mut members = with(vec![up("a"), up("b")]);
        let gone = ["a", "b"].map(|uid| Target { state: State::Removed, ..up(uid) });
        assert!(members.told(NOW, Update::List(List { rev: 11, all: false, targets: gone.to_vec() })));
        assert_eq!(names(&mut members, NOW).1, 0);
    }

    #[test]
    fn what_is_remembered_stands_and_is_no_change_for_the_journal() {
        let mut members = pool();
        members.remember(
            NOW,
            List { rev: 4, all: true, targets: vec![draining("a"), up("b")] },
            "from before",
        );
        assert_eq!(names(&mut members, NOW), (vec!["b".to_owned()], 2));
        assert_eq!(members.take_changes(), None);
        members.told(NOW, whole(5, vec![draining("a"), draining("b")]));
        let changes = members.take_changes().expect("one");
        assert_eq!((changes.rev, changes.all, changes.targets), (5, false, vec![draining("b")]));
    }

    #[test]
    fn a_cold_endpoint_warms_in_steps_and_then_rests() {
        let cold = Target { boot_ms: NOW.as_millis() as f64, ..up("cold") };
        let mut members = with(vec![up("warm"), cold]);
        let part = |members: &mut Members, now| members.members(now).expect("known")[0].part;
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
        assert!(!members.waits(), "nothing left to wait for");
    }

    #[test]
    fn names_of_gone_endpoints_are_forgotten() {
        let mut members = with(vec![up("stays")]);
        for n in 0..1000 {
            let uid = format!("e{n}");
            members.told(NOW, Update::List(List { rev: 11 + n, all: false, targets: vec![up(&uid)] }));
            let gone = Target { state: State::Removed, ..up(&uid) };
            members.told(NOW, Update::List(List { rev: 11 + n, all: false, targets: vec![gone] }));
        }
        assert!(members.ids.len() < 40, "{} names", members.ids.len());
    }
}
