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
        effect: "a member that is cut off acknowledges heartbeats",
    },
    Mutant { point: 1, name: "contact-of-one-side", effect: "a probe of the other side proves contact" },
    Mutant {
        point: 1,
        name: "contact-as-of-the-reply",
        effect: "contact counts as of the reply, not of the probe",
    },
    Mutant {
        point: 1,
        name: "agent-takes-the-first-word",
        effect: "an agent takes a configuration from whoever comes first",
    },
    Mutant {
        point: 1,
        name: "suspects-out-of-contact",
        effect: "a member that is cut off names who is silent",
    },
    Mutant {
        point: 1,
        name: "suspects-of-anyone",
        effect: "an agent heeds a single member's word of who is silent",
    },
    Mutant {
        point: 1,
        name: "link-reads-on-after-standstill",
        effect: "a link goes on after the process stood still",
    },
    Mutant {
        point: 3,
        name: "one-watcher-is-enough",
        effect: "one member's word is enough to take another for gone",
    },
    Mutant {
        point: 3,
        name: "two-changes-at-a-time",
        effect: "a change of members does not wait for the one before",
    },
    Mutant {
        point: 3,
        name: "joining-member-counts-at-once",
        effect: "a member joins without the committed value",
    },
    Mutant {
        point: 3,
        name: "leaving-member-goes-at-once",
        effect: "a member leaves whatever the others hold",
    },
    Mutant {
        point: 3,
        name: "copies-never-repaired",
        effect: "a copy that was missed is never made up for",
    },
    Mutant {
        point: 5,
        name: "confirmed-when-contact-is-lost",
        effect: "a leaver that is being confirmed is acknowledged as contact is lost",
    },
    Mutant {
        point: 2,
        name: "repeat-forgotten",
        effect: "a repeat is judged as if nothing had been taken before",
    },
    Mutant {
        point: 2,
        name: "amendment-loses-items",
        effect: "an amendment is applied to a configuration without the items that it does not name",
    },
    Mutant { point: 2, name: "base-not-checked", effect: "a configuration is taken whatever it builds on" },
    Mutant {
        point: 2,
        name: "answered-before-committed",
        effect: "an operator is answered though the round has not ended",
    },
    Mutant { point: 2, name: "unknown-is-refused", effect: "an unknown outcome is told as a refusal" },
    Mutant {
        point: 3,
        name: "members-wait-for-a-value",
        effect: "members do not change before the first configuration",
    },
    Mutant {
        point: 4,
        name: "promise-not-kept",
        effect: "a promise is answered for without being on disk",
    },
    Mutant {
        point: 4,
        name: "value-not-kept",
        effect: "an accepted value is answered for without being on disk",
    },
    Mutant { point: 4, name: "refused-write-counts", effect: "a write that the disk refused counts" },
    Mutant {
        point: 4,
        name: "wiped-member-votes",
        effect: "a member with an empty disk takes itself for the one before",
    },
    Mutant {
        point: 4,
        name: "older-disk-goes-on",
        effect: "a member goes on though its disk is an older copy",
    },
    Mutant { point: 5, name: "ballot-without-boot", effect: "two proposers share their ballots" },
    Mutant {
        point: 5,
        name: "commit-of-any-ballot",
        effect: "word of a commit is taken for whatever was accepted last",
    },
    Mutant {
        point: 5,
        name: "told-before-committed",
        effect: "agents are told what a member is asked to accept",
    },
    Mutant {
        point: 5,
        name: "confirmed-when-asked",
        effect: "a leaver is confirmed when members are asked",
    },
    Mutant {
        point: 5,
        name: "confirmed-before-merged",
        effect: "members confirm a leaver that they learn of by digests alone",
    },
    Mutant {
        point: 5,
        name: "leave-confirmed-before-durable",
        effect: "a leave is confirmed before it is on disk",
    },
    Mutant {
        point: 5,
        name: "leaves-not-read",
        effect: "a member that starts does not read the leaves on its disk",
    },
    Mutant {
        point: 5,
        name: "joins-without-leaves",
        effect: "a member joins without the leaves that the others hold",
    },
];
