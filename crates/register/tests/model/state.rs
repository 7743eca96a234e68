//! A state of the search: small, comparable, and canonical.

/// No number: nothing is interned here.
pub const NONE: u32 = u32::MAX;
/// Members that a scenario can have.
pub const MAX_NODES: usize = 4;

/// A round that was begun: the messages that it has under way, and the replies that it still waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    /// Number of its ballot among all of the search.
    pub rank: u8,
    pub proposer: u8,
    /// The code's own round, or [`NONE`] once its proposer has given it up.
    pub attempt: u32,
    /// The value that it sent out, or [`NONE`].
    pub value: u32,
    /// Members that a prepare is under way to.
    pub prepares: u8,
    /// Members that the value is under way to.
    pub accepts: u8,
    /// Members that have ever accepted the value under this ballot.
    pub votes: u8,
}

/// A reply under way (network of kind `Full` alone).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reply {
    pub rank: u8,
    pub proposer: u8,
    pub member: u8,
    pub reply: u32,
}

/// What a proposer holds between rounds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    /// Position in its script.
    pub operation: u8,
    /// The operation has been begun.
    pub begun: bool,
    /// A value of the operation's own has been sent out: its outcome is unknown until a round ends.
    pub sent: bool,
    /// Rounds left.
    pub rounds: u8,
    /// Its ballots rise until it restarts.
    pub rank: u8,
    /// The newest value that it knows to be committed, or [`NONE`].
    pub known: u32,
    /// The highest sequence that had been answered to anybody when its round began.
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
    /// What it takes for committed in this read, or [`NONE`].
    pub known: u32,
    /// What it has learnt by its own reads.
    pub learned: u32,
    /// The highest sequence that had been answered to anybody when its read began.
    pub floor: u8,
    /// The members' answers, or [`NONE`].
    pub answers: [u32; MAX_NODES],
}

impl Reader {
    /// It waits for answers no more.
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
    /// The members with their disks, or [`NONE`] for one that is not there.
    pub nodes: [u32; MAX_NODES],
    pub proposers: [Proposer; 2],
    pub reader: Reader,
    /// Sorted.
    pub slots: Vec<Slot>,
    /// Sorted.
    pub replies: Vec<Reply>,
    /// What was ever chosen, with its ballot where committed values travel by themselves; sorted.
    pub chosen: Vec<u32>,
    /// Ballots that are used up, as a mask of ranks.
    pub used: u32,
    /// Requests that were acknowledged and refused, as masks of purposes.
    pub acknowledged: u8,
    pub refused: u8,
    /// The highest sequence that was answered to anybody.
    pub seen: u8,
    pub restarts: u8,
    pub wiped: bool,
}

impl State {
    /// Position of the round that a proposer waits for.
    pub fn live(&self, proposer: u8) -> Option<usize> {
        self.slots.iter().position(|slot| slot.proposer == proposer && slot.attempt != NONE)
    }

    /// A proposer waits for its round no more; what is under way stays so.
    pub fn give_up(&mut self, proposer: u8) {
        if let Some(at) = self.live(proposer) {
            self.slots[at].attempt = NONE;
        }
    }

    /// Whether two states differ in nothing but the names of members is asked of this one: `row[old]` is the new index.
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
