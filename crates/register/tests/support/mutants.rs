//! Mutants: versions of members, proposers and readers with one fault each. A check that can't find one shows nothing.

/// A fault in the members, the proposers or the readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// The code as it is.
    None,
    /// A promise is not written, and gone after a restart.
    PromiseNotSynced,
    /// A value is not written, and gone after a restart.
    ValueNotSynced,
    /// A member that lost its disk goes on under its old incarnation.
    WipedMemberVotes,
    /// A proposer that restarts uses the ballots of before again.
    BallotReused,
    /// A member accepts below what it has promised.
    PromiseForgotten,
    /// A member that refuses is counted as if it had accepted.
    RefusalCounted,
    /// A request is refused before what stands in its way is chosen.
    RefusedTooSoon,
    /// A request whose outcome is unknown is refused as lost.
    UnknownRefused,
    /// A request is acknowledged when it is sent out.
    AcknowledgedTooSoon,
    /// A read answers with what it found, chosen or not.
    ReadUnchosen,
    /// A member keeps the value of the higher ballot that it had, whatever it accepts.
    ValueKept,
    /// What was applied is not remembered.
    AppliedForgotten,
    /// Two proposers draw the same ballots.
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
    /// A member whose disk was restored from an older copy goes on as if nothing had happened.
    OlderDiskAccepted,
    /// A quorum read answers with the highest ballot that it found, whoever has it.
    HighestRead,
    /// A quorum read that finds joint sets is content with a majority of the old one.
    OldSetReads,
    /// A member reports what it is still writing.
    UnsyncedReported,
    /// A member with an older disk answers reads before the others have said that it is one.
    InspectedBeforeDiskCheck,
}

impl Mutant {
    /// All mutants, and the code as it is.
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
