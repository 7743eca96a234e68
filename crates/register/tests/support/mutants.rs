//! Mutants: variants of members, proposers and readers with one fault each. The checks must detect every one of them.

/// A fault in the members, the proposers or the readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// The unmodified code.
    None,
    /// A promise is not written and is lost in a restart.
    PromiseNotSynced,
    /// A value is not written and is lost in a restart.
    ValueNotSynced,
    /// A member that lost its disk continues under its old incarnation.
    WipedMemberVotes,
    /// A restarted proposer reuses its earlier ballots.
    BallotReused,
    /// A member accepts a ballot below its promise.
    PromiseForgotten,
    /// A rejection is counted as an acceptance.
    RefusalCounted,
    /// A request is rejected before the conflicting value is chosen.
    RefusedTooSoon,
    /// A request with an unknown outcome is rejected.
    UnknownRefused,
    /// A request is acknowledged when it is sent out.
    AcknowledgedTooSoon,
    /// A read returns the value it found, chosen or not.
    ReadUnchosen,
    /// A member that accepts a value keeps its previous one if that has a higher ballot.
    ValueKept,
    /// Applied requests are not remembered.
    AppliedForgotten,
    /// Two proposers use the same ballots.
    BallotsShared,
    /// A request that is older than the table of applied requests is refused, though it may have been applied.
    FloorForgotten,
    /// A request whose base is above the current version is refused, though the base may still come.
    BaseAboveRefused,
    /// A change of members loses the table of applied requests.
    TableLostAtMembership,
    /// The digest is truncated so far that two requests with one version number are taken for one.
    DigestTruncated,
    /// The second half of a change of members is written on a first half that may not be chosen.
    SecondHalfOnUnchosen,
    /// The first half of a change of members counts as chosen at a majority of the new set alone.
    NewSetAlone,
    /// A member that takes a committed value lowers its promise to the ballot of that value.
    PromiseLoweredByAdopting,
    /// A member whose disk was restored from an older copy continues under its incarnation.
    OlderDiskAccepted,
    /// A quorum read returns the value of the highest ballot, without a majority.
    HighestRead,
    /// A quorum read that finds joint sets needs a majority of the old one only.
    OldSetReads,
    /// A member reports a value that is still being written.
    UnsyncedReported,
    /// A member with an older disk answers reads before its disk check is complete.
    InspectedBeforeDiskCheck,
}

impl Mutant {
    /// All mutants, and the unmodified code.
    pub const ALL: [Mutant; 26] = [
        Mutant::None,
        Mutant::PromiseNotSynced,
        Mutant::ValueNotSynced,
        Mutant::WipedMemberVotes,
        Mutant::BallotReused,
        Mutant::PromiseForgotten,
        Mutant::RefusalCounted,
        Mutant::RefusedTooSoon,
        Mutant::UnknownRefused,
        Mutant::AcknowledgedTooSoon,
        Mutant::ReadUnchosen,
        Mutant::ValueKept,
        Mutant::AppliedForgotten,
        Mutant::BallotsShared,
        Mutant::FloorForgotten,
        Mutant::BaseAboveRefused,
        Mutant::TableLostAtMembership,
        Mutant::DigestTruncated,
        Mutant::SecondHalfOnUnchosen,
        Mutant::NewSetAlone,
        Mutant::PromiseLoweredByAdopting,
        Mutant::OlderDiskAccepted,
        Mutant::HighestRead,
        Mutant::OldSetReads,
        Mutant::UnsyncedReported,
        Mutant::InspectedBeforeDiskCheck,
    ];
}
