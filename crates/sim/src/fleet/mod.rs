//! Simulation of the control plane: the production controllers and agents run in virtual time over a seeded
//! network, disks and clocks. Operators and endpoints call them, faults are injected, and an oracle judges
//! the run by what the callers saw.

mod call;
pub mod command;
mod config_body;
mod disk;
mod disruption;
pub mod draw;
mod endpoint;
pub mod facts;
mod fault_injector;
mod host;
mod observer;
mod operator;
pub mod oracle;
pub mod run;
pub mod script;
pub mod shrink;
pub mod timeline;
mod world;

/// An error that can be planted in the code under test, to check that the search finds it.
#[derive(Clone, Copy, Debug)]
pub struct Mutant {
    /// Number of the review point that it belongs to.
    pub point: u8,
    /// Its name, as `--mutant` takes it.
    pub name: &'static str,
    /// What the code does with the error planted.
    pub effect: &'static str,
}

/// All errors that can be planted in the control plane.
pub const MUTANTS: [Mutant; 32] = [
    Mutant {
        point: 1,
        name: "heartbeats-out-of-contact",
        effect: "a member that is cut off still acknowledges heartbeats",
    },
    Mutant {
        point: 1,
        name: "contact-of-one-side",
        effect: "a probe received from another member counts as proof of contact",
    },
    Mutant {
        point: 1,
        name: "contact-as-of-the-reply",
        effect: "contact is dated from the reply instead of the sending of the probe",
    },
    Mutant {
        point: 1,
        name: "agent-takes-the-first-word",
        effect: "a starting agent takes a configuration from the first member that it reaches",
    },
    Mutant {
        point: 1,
        name: "suspects-out-of-contact",
        effect: "a member that is cut off still reports suspected endpoints",
    },
    Mutant {
        point: 1,
        name: "suspects-of-anyone",
        effect: "an agent accepts suspicions that a single member reports",
    },
    Mutant {
        point: 1,
        name: "link-reads-on-after-standstill",
        effect: "a link stays open after its process was frozen",
    },
    Mutant {
        point: 3,
        name: "one-watcher-is-enough",
        effect: "a single member's report is enough to take another member for failed",
    },
    Mutant {
        point: 3,
        name: "two-changes-at-a-time",
        effect: "a membership change does not wait for the previous one",
    },
    Mutant {
        point: 3,
        name: "joining-member-counts-at-once",
        effect: "a member joins without holding the committed value",
    },
    Mutant {
        point: 3,
        name: "leaving-member-goes-at-once",
        effect: "a member leaves before the others hold its value",
    },
    Mutant { point: 3, name: "copies-never-repaired", effect: "a missed copy is never repaired" },
    Mutant {
        point: 5,
        name: "confirmed-when-contact-is-lost",
        effect: "a leave whose confirmation is pending is acknowledged when contact is lost",
    },
    Mutant {
        point: 2,
        name: "repeat-forgotten",
        effect: "a repeated change is handled as if it had not been applied before",
    },
    Mutant {
        point: 2,
        name: "amendment-loses-items",
        effect: "an amendment drops the items that it does not name",
    },
    Mutant {
        point: 2,
        name: "base-not-checked",
        effect: "a configuration is accepted without checking its base version",
    },
    Mutant {
        point: 2,
        name: "answered-before-committed",
        effect: "an operator is answered before the round has ended",
    },
    Mutant { point: 2, name: "unknown-is-refused", effect: "an unknown outcome is reported as a refusal" },
    Mutant {
        point: 3,
        name: "members-wait-for-a-value",
        effect: "membership does not change before the first configuration",
    },
    Mutant { point: 4, name: "promise-not-kept", effect: "a promise is acknowledged before it is on disk" },
    Mutant {
        point: 4,
        name: "value-not-kept",
        effect: "an accepted value is acknowledged before it is on disk",
    },
    Mutant {
        point: 4,
        name: "refused-write-counts",
        effect: "a write that the disk refused counts as done",
    },
    Mutant {
        point: 4,
        name: "wiped-member-votes",
        effect: "a member with an empty disk keeps its previous identity",
    },
    Mutant {
        point: 4,
        name: "older-disk-goes-on",
        effect: "a member goes on although its disk was rolled back",
    },
    Mutant { point: 5, name: "ballot-without-boot", effect: "two proposers may use the same ballots" },
    Mutant {
        point: 5,
        name: "commit-of-any-ballot",
        effect: "a commit message of any ballot commits the value that was accepted last",
    },
    Mutant {
        point: 5,
        name: "announced-before-committed",
        effect: "agents receive a value when a member is asked to accept it, before it is committed",
    },
    Mutant {
        point: 5,
        name: "confirmed-when-asked",
        effect: "a leave counts as confirmed as soon as members are asked",
    },
    Mutant {
        point: 5,
        name: "confirmed-before-merged",
        effect: "members confirm a leave that they know only from digests",
    },
    Mutant {
        point: 5,
        name: "leave-confirmed-before-durable",
        effect: "a leave is confirmed before it is durable",
    },
    Mutant {
        point: 5,
        name: "leaves-not-read",
        effect: "a starting member does not read the leaves on its disk",
    },
    Mutant {
        point: 5,
        name: "joins-without-leaves",
        effect: "a member joins without the leaves that the others hold",
    },
];
