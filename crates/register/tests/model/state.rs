//! A state of the search: compact, comparable and canonical.

/// Marks the absence of an interned value.
pub const NONE: u32 = u32::MAX;
/// Maximum number of members in a scenario.
pub const MAX_NODES: usize = 4;

/// A started round: its messages in flight, and the replies that it still waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    /// Number of its ballot among all of the search.
    pub rank: u8,
    pub proposer: u8,
    /// The code's own round, or [`NONE`] once its proposer has given it up.
    pub attempt: u32,
    /// The value that it proposed, or [`NONE`].
    pub value: u32,
    /// Members with a prepare in flight.
    pub prepares: u8,
    /// Members with an accept in flight.
    pub accepts: u8,
    /// Members that have ever accepted the value under this ballot.
    pub votes: u8,
}

/// A reply in flight (only with a network of kind `Full`).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reply {
    pub rank: u8,
    pub proposer: u8,
    pub member: u8,
    pub reply: u32,
}

/// State of a proposer between rounds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    /// Position in its script.
    pub operation: u8,
    /// The operation has started.
    pub begun: bool,
    /// A value of the operation's own has been proposed: its outcome is unknown until a round ends.
    pub sent: bool,
    /// Rounds left.
    pub rounds: u8,
    /// Its ballots rise until it restarts.
    pub rank: u8,
    /// The newest value that it knows to be committed, or [`NONE`].
    pub known: u32,
    /// The highest sequence number returned to any caller before its round began.
    pub floor: u8,
    /// The answer to its request once the round has committed or read.
    pub answer: Answer,
}

/// A third process, which takes quorum reads.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reader {
    /// Reads left.
    pub reads: u8,
    /// It waits for answers.
    pub begun: bool,
    /// The value that it considers committed in this read, or [`NONE`].
    pub known: u32,
    /// The newest value from its own reads.
    pub learned: u32,
    /// The highest sequence number returned to any caller before its read began.
    pub floor: u8,
    /// The members' answers, or [`NONE`].
    pub answers: [u32; MAX_NODES],
}

impl Reader {
    /// Ends the read.
    pub fn end(&mut self) {
        self.begun = false;
        self.known = NONE;
        self.floor = 0;
        self.answers = [NONE; MAX_NODES];
    }
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Answer {
    Nothing,
    Acknowledged,
    Refused,
}

/// One state of the search.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    /// The members with their disks, or [`NONE`] for an absent one.
    pub nodes: [u32; MAX_NODES],
    pub proposers: [Proposer; 2],
    pub reader: Reader,
    /// Sorted.
    pub slots: Vec<Slot>,
    /// Sorted.
    pub replies: Vec<Reply>,
    /// All chosen values, with their ballots if committed values are adopted outside rounds; sorted.
    pub chosen: Vec<u32>,
    /// Ballots that are used up, as a mask of ranks.
    pub used: u32,
    /// Requests that were acknowledged and refused, as masks of purposes.
    pub acknowledged: u8,
    pub refused: u8,
    /// The highest sequence number returned to any caller.
    pub seen: u8,
    pub restarts: u8,
    pub wiped: bool,
}

impl State {
    /// Position of the round that a proposer waits for.
    pub fn live(&self, proposer: u8) -> Option<usize> {
        self.slots.iter().position(|slot| slot.proposer == proposer && slot.attempt != NONE)
    }

    /// Times out a proposer's round; its messages stay in flight.
    pub fn time_out(&mut self, proposer: u8) {
        if let Some(at) = self.live(proposer) {
            self.slots[at].attempt = NONE;
        }
    }

    /// The state with members renamed, to compare states up to the names of members: `row[old]` is the new index.
    pub fn renamed(&self, row: &[u8], attempt: &mut dyn FnMut(u32) -> u32) -> State {
        let mask =
            |mask: u8| (0..MAX_NODES).filter(|at| mask & (1 << at) != 0).map(|at| 1 << row[at]).sum::<u8>();
        let mut other = self.clone();
        for (at, node) in self.nodes.iter().enumerate() {
            other.nodes[usize::from(row[at])] = *node;
        }
        for (at, answer) in self.reader.answers.iter().enumerate() {
            other.reader.answers[usize::from(row[at])] = *answer;
        }
        for slot in &mut other.slots {
            (slot.prepares, slot.accepts, slot.votes) =
                (mask(slot.prepares), mask(slot.accepts), mask(slot.votes));
            if slot.attempt != NONE {
                slot.attempt = attempt(slot.attempt);
            }
        }
        for reply in &mut other.replies {
            reply.member = row[usize::from(reply.member)];
        }
        other.slots.sort_unstable();
        other.replies.sort_unstable();
        other
    }
}
