//! The control plane in virtual time: the real controllers and agents over a network, disks and clocks that come from a
//! seed, with operators and endpoints that call them, faults, and an oracle that knows only what callers saw.

mod call;
pub mod command;
mod config_body;
mod director;
mod disk;
pub mod draw;
mod endpoint;
pub mod facts;
mod harm;
mod host;
mod observer;
mod operator;
pub mod oracle;
pub mod run;
pub mod script;
pub mod shrink;
pub mod timeline;
mod world;

/// An error that is planted in the code under test, to prove that the search finds what it is for.
#[derive(Clone, Copy, Debug)]
pub struct Mutant {
    /// The point of the review that it is about.
    pub point: u8,
    /// Its name.
    pub name: &'static str,
    /// What it does.
    pub what: &'static str,
}

/// All planted errors of the control plane.
pub const MUTANTS: [Mutant; 32] = [
    Mutant {
        point: 1,
        name: "heartbeats-out-of-contact",
        what: "a member that is cut off acknowledges heartbeats",
    },
    Mutant { point: 1, name: "contact-of-one-side", what: "a probe of the other side proves contact" },
    Mutant {
        point: 1,
        name: "contact-as-of-the-reply",
        what: "contact counts as of the reply, not of the probe",
    },
    Mutant {
        point: 1,
        name: "agent-takes-the-first-word",
        what: "an agent takes a configuration from whoever comes first",
    },
    Mutant {
        point: 1,
        name: "suspects-out-of-contact",
        what: "a member that is cut off names who is silent",
    },
    Mutant {
        point: 1,
        name: "suspects-of-anyone",
        what: "an agent heeds a single member's word of who is silent",
    },
    Mutant {
        point: 1,
        name: "link-reads-on-after-standstill",
        what: "a link goes on after the process stood still",
    },
    Mutant {
        point: 3,
        name: "one-watcher-is-enough",
        what: "one member's word is enough to take another for gone",
    },
    Mutant {
        point: 3,
        name: "two-changes-at-a-time",
        what: "a change of members does not wait for the one before",
    },
    Mutant {
        point: 3,
        name: "joining-member-counts-at-once",
        what: "a member joins without the committed value",
    },
    Mutant {
        point: 3,
        name: "leaving-member-goes-at-once",
        what: "a member leaves whatever the others hold",
    },
    Mutant { point: 3, name: "copies-never-repaired", what: "a copy that was missed is never made up for" },
    Mutant {
        point: 5,
        name: "confirmed-when-contact-is-lost",
        what: "a leaver that is being confirmed is acknowledged as contact is lost",
    },
    Mutant {
        point: 2,
        name: "repeat-forgotten",
        what: "a repeat is judged as if nothing had been taken before",
    },
    Mutant {
        point: 2,
        name: "amendment-loses-items",
        what: "an amendment is applied to a configuration without the items that it does not name",
    },
    Mutant { point: 2, name: "base-not-checked", what: "a configuration is taken whatever it builds on" },
    Mutant {
        point: 2,
        name: "answered-before-committed",
        what: "an operator is answered though the round has not ended",
    },
    Mutant { point: 2, name: "unknown-is-refused", what: "an unknown outcome is told as a refusal" },
    Mutant {
        point: 3,
        name: "members-wait-for-a-value",
        what: "members do not change before the first configuration",
    },
    Mutant { point: 4, name: "promise-not-kept", what: "a promise is answered for without being on disk" },
    Mutant {
        point: 4,
        name: "value-not-kept",
        what: "an accepted value is answered for without being on disk",
    },
    Mutant { point: 4, name: "refused-write-counts", what: "a write that the disk refused counts" },
    Mutant {
        point: 4,
        name: "wiped-member-votes",
        what: "a member with an empty disk takes itself for the one before",
    },
    Mutant {
        point: 4,
        name: "older-disk-goes-on",
        what: "a member goes on though its disk is an older copy",
    },
    Mutant { point: 5, name: "ballot-without-boot", what: "two proposers share their ballots" },
    Mutant {
        point: 5,
        name: "commit-of-any-ballot",
        what: "word of a commit is taken for whatever was accepted last",
    },
    Mutant {
        point: 5,
        name: "told-before-committed",
        what: "agents are told what a member is asked to accept",
    },
    Mutant { point: 5, name: "confirmed-when-asked", what: "a leaver is confirmed when members are asked" },
    Mutant {
        point: 5,
        name: "confirmed-before-merged",
        what: "members confirm a leaver that they learn of by digests alone",
    },
    Mutant {
        point: 5,
        name: "leave-confirmed-before-durable",
        what: "a leave is confirmed before it is on disk",
    },
    Mutant {
        point: 5,
        name: "leaves-not-read",
        what: "a member that starts does not read the leaves on its disk",
    },
    Mutant {
        point: 5,
        name: "joins-without-leaves",
        what: "a member joins without the leaves that the others hold",
    },
];
