//! Mutants of the control instances.

/// Mutants: name and effect.
pub const MUTANTS: [(&str, &str); 9] = [
    ("vote-unsynced", "a vote is given before it is durable"),
    ("entry-unsynced", "an entry is acknowledged before it is durable"),
    ("stale-read", "a leader answers consistent reads without asking a quorum"),
    ("lone-read", "any instance answers consistent reads from its own state"),
    ("snapshot-forgets-writes", "a snapshot omits the outcomes of earlier writes"),
    ("removed-votes", "a removed member still gets votes"),
    ("two-changes", "a second membership change is accepted while one is in progress"),
    ("goes-back", "a proxy that moves is sent an older version"),
    ("undrained", "an instance that was disconnected undoes a drain"),
];
