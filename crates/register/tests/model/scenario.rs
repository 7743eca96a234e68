//! Scenarios of the search: the operations of each proposer, and the bounds on faults.

use crate::support::attempt::{OperationSettings, Purpose};
use crate::support::mutants::Mutant;
use crate::support::{member, request};
use runtrack_message::{Member, Value};
use runtrack_register::{ConfigRequest, Decision, MAX_APPLIED_REQUESTS};
use std::collections::BTreeSet;

/// Members of the first set.
pub const FIRST_MEMBERS: u8 = 3;
/// Index of the member that joins: a new one, or a wiped one under its new incarnation.
pub const JOINING: u8 = 3;
/// Index of the member that is replaced or wiped.
pub const LEAVING: u8 = 2;

/// How requests and replies travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Network {
    /// Replies are delivered immediately; `actions.rs` explains why this hides no violation.
    Reduced,
    /// Each reply is delivered separately and may be late or lost, as may requests of rounds that have ended.
    Full,
}

/// One search.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    /// All possible members; a set of members is a bit mask over this list.
    pub members: Vec<Member>,
    pub first: BTreeSet<Member>,
    /// All purposes of operations.
    pub purposes: Vec<Purpose>,
    /// For each proposer its operations in order, as indices into the purposes.
    pub scripts: [Vec<u8>; 2],
    /// Maximum number of rounds of each proposer.
    pub rounds: [u8; 2],
    /// Restarts of proposers.
    pub restarts: u8,
    /// Quorum reads of a third process.
    pub reads: u8,
    /// The member of index [`LEAVING`] may lose its disk once, or have an older copy of it restored; [`JOINING`] is its
    /// new incarnation.
    pub wipe: bool,
    /// [`JOINING`] is present before anything is written.
    pub grows: bool,
    /// Committed values may reach any member late, outside rounds.
    pub adopt: bool,
    pub network: Network,
    /// A value that is chosen initially, and the members that have it, as a bit mask.
    pub initial: Option<Value>,
    pub initial_at: u8,
    /// Bound on the table of applied requests.
    pub max_applied: usize,
    pub mutant: Mutant,
}

fn base(name: &'static str) -> Scenario {
    let members: Vec<Member> = (0..=JOINING).map(|at| member(at, 0)).collect();
    let first: BTreeSet<Member> = members[..usize::from(FIRST_MEMBERS)].iter().copied().collect();
    Scenario {
        name,
        members,
        first,
        purposes: Vec::new(),
        scripts: [Vec::new(), Vec::new()],
        rounds: [2, 2],
        restarts: 0,
        reads: 0,
        wipe: false,
        grows: false,
        adopt: false,
        network: Network::Reduced,
        initial: None,
        initial_at: 0b0111,
        max_applied: MAX_APPLIED_REQUESTS,
        mutant: Mutant::None,
    }
}

/// Two requests on one base, a read, and a retry of the first request at the other proposer.
pub fn race() -> Scenario {
    let first = Purpose::Replace(request(0, 1));
    let second = Purpose::Replace(request(0, 2));
    Scenario {
        purposes: vec![first, second, Purpose::Read],
        scripts: [vec![0, 2], vec![1, 0]],
        rounds: [3, 2],
        restarts: 1,
        ..base("race")
    }
}

/// Two requests with one version number and different bodies.
pub fn equal_versions() -> Scenario {
    let first = request(0, 1);
    let second = ConfigRequest::replace(0, 1, b"another body".to_vec());
    Scenario {
        purposes: vec![Purpose::Replace(first), Purpose::Replace(second), Purpose::Read],
        scripts: [vec![0, 2], vec![1]],
        ..base("one number")
    }
}

/// Two requests, one on top of the other, at two proposers in opposite sequence, with a table of one entry.
pub fn retries() -> Scenario {
    Scenario {
        purposes: vec![Purpose::Replace(request(0, 1)), Purpose::Replace(request(1, 2))],
        scripts: [vec![0, 1], vec![1, 0]],
        max_applied: 1,
        ..base("retries")
    }
}

/// A request while a member is replaced by an empty one.
pub fn replacement() -> Scenario {
    let mut scenario = membership("replacement");
    scenario.members[usize::from(JOINING)] = member(JOINING, 9);
    scenario.with_membership_purposes()
}

/// A request, and a member that loses its disk and rejoins under a new incarnation.
pub fn wipe() -> Scenario {
    let mut scenario = Scenario { wipe: true, ..membership("wipe") };
    scenario.members[usize::from(JOINING)] = member(LEAVING, 9);
    scenario.with_membership_purposes()
}

/// A member joins before the first value, concurrently with the request that proposes it.
pub fn growth() -> Scenario {
    let base = base("growth");
    let next: BTreeSet<Member> = base.members.iter().copied().collect();
    Scenario {
        grows: true,
        purposes: before_the_first_value(next),
        scripts: [vec![0, 1], vec![2, 3, 1]],
        ..base
    }
}

/// A member loses its disk before the first value and rejoins, concurrently with the request that proposes the value.
pub fn early_wipe() -> Scenario {
    let mut base = base("early wipe");
    base.members[usize::from(JOINING)] = member(LEAVING, 9);
    let mut next = base.first.clone();
    next.remove(&base.members[usize::from(LEAVING)]);
    next.insert(base.members[usize::from(JOINING)]);
    Scenario {
        wipe: true,
        purposes: before_the_first_value(next),
        scripts: [vec![0, 1], vec![2, 3, 1]],
        ..base
    }
}

fn before_the_first_value(next: BTreeSet<Member>) -> Vec<Purpose> {
    vec![Purpose::Replace(request(0, 1)), Purpose::Read, Purpose::Members(next), Purpose::Finish]
}

/// Two requests on a value that one member has missed; committed values reach it late.
pub fn late_copy() -> Scenario {
    let requests = [request(1, 2), request(1, 3)].map(Purpose::Replace);
    Scenario {
        purposes: requests.into(),
        scripts: [vec![0], vec![1]],
        adopt: true,
        initial_at: 0b0011,
        rounds: [1, 1],
        ..membership("late copy")
    }
}

/// A member's disk is restored to what it was before the first request.
pub fn older_disk() -> Scenario {
    Scenario { name: "older disk", ..wipe() }
}

fn membership(name: &'static str) -> Scenario {
    let first = base(name).first;
    let Decision::Propose(initial) = request(0, 1).decide(None, &[first]).0 else {
        panic!("the first request is proposed")
    };
    Scenario { initial: Some(initial), rounds: [2, 3], ..base(name) }
}

impl Scenario {
    /// A request and a read at one proposer, both halves of the change and a read at the other.
    fn with_membership_purposes(mut self) -> Self {
        let mut next = self.first.clone();
        next.remove(&self.members[usize::from(LEAVING)]);
        next.insert(self.members[usize::from(JOINING)]);
        self.purposes = vec![
            Purpose::Replace(request(1, 2)),
            Purpose::Read,
            Purpose::Members(next),
            Purpose::Finish,
            Purpose::Replace(request(1, 3)),
        ];
        self.scripts = [vec![0, 1], vec![2, 3, 1]];
        self
    }

    /// The proposer that changes the members first puts a request on the same base as the other's.
    pub fn with_rival(mut self) -> Self {
        self.scripts[1].insert(0, 4);
        self
    }

    /// The same with a mutant.
    pub fn with(self, mutant: Mutant) -> Self {
        Scenario { mutant, ..self }
    }

    /// Settings shared by all operations.
    pub fn settings(&self) -> OperationSettings {
        OperationSettings {
            first: vec![self.first.clone()],
            changes_before_first_value: true,
            max_applied: self.max_applied,
            mutant: self.mutant,
        }
    }

    /// Members that may be exchanged for each other without any difference: those of the first set, but for one that
    /// is replaced or wiped. Each row maps old indices to new ones.
    pub fn symmetries(&self) -> Vec<Vec<u8>> {
        let any = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
        let fixed = [[0, 1, 2], [1, 0, 2]];
        let rows: &[[u8; 3]] = if self.initial.is_some() || self.wipe { &fixed } else { &any };
        let extended = |row: &[u8; 3]| row.iter().copied().chain(FIRST_MEMBERS..=JOINING).collect();
        rows.iter().map(extended).collect()
    }

    /// The members of a set as a mask.
    pub fn mask(&self, set: &BTreeSet<Member>) -> u8 {
        let has = |(at, member): (usize, &Member)| u8::from(set.contains(member)) << at;
        self.members.iter().enumerate().map(has).sum()
    }

    /// Index of a member.
    pub fn index(&self, member: Member) -> u8 {
        self.members.iter().position(|other| *other == member).expect("a member of the scenario") as u8
    }
}
