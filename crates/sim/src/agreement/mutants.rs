//! Errors planted for this world.

/// Errors planted for this world, and what they do.
pub const MUTANTS: [(&str, &str); 9] = [
    ("vote-unsynced", "a vote is given before it is durable"),
    ("entry-unsynced", "an entry is acknowledged before it is durable"),
    ("stale-read", "a leader answers consistent reads from what it believes"),
    ("lone-read", "any instance does"),
    ("snapshot-forgets-writes", "a snapshot forgets which writes were done"),
    ("removed-votes", "one that was removed is still answered"),
    ("two-changes", "a second change of members is taken while one is under way"),
    ("goes-back", "a proxy that moves is told what is older"),
    ("undrained", "an instance that was away takes a drain back"),
];
