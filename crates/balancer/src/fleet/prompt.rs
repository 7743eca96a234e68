//! Prompts, as far as it matters where they are prefilled.

use super::hashing::mix;

/// Prefixes of a prompt that are told apart; where it has more shared parts, the last ones are one.
const MAX_PREFIXES: usize = 4;

/// A prompt: prefixes that it may share with others, and tokens of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    prefixes: [PromptPrefix; MAX_PREFIXES],
    count: usize,
    own_tokens: u32,
}

/// A prefix of a prompt. An endpoint that holds it holds every shorter one of the same prompt too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Names all parts up to its end.
    pub key: u64,
    /// Tokens of its last part.
    pub part_tokens: u32,
    /// Tokens of all parts up to its end.
    pub tokens: u32,
}

impl Prompt {
    /// A prompt of shared parts in order, each by a hash and its tokens, and tokens of its own.
    pub fn new(parts: impl IntoIterator<Item = (u64, u32)>, own_tokens: u32) -> Self {
        let mut prompt = Prompt { own_tokens, ..Prompt::default() };
        for (hash, part_tokens) in parts {
            prompt.push(hash, part_tokens);
        }
        prompt
    }

    fn push(&mut self, hash: u64, part_tokens: u32) {
        let before = self.longest().copied().unwrap_or_default();
        let key = mix(hash ^ mix(before.key));
        let tokens = before.tokens.saturating_add(part_tokens);
        if self.count < MAX_PREFIXES {
            self.prefixes[self.count] = PromptPrefix { key, part_tokens, tokens };
            self.count += 1;
        } else {
            let last = &mut self.prefixes[MAX_PREFIXES - 1];
            *last = PromptPrefix { key, part_tokens: last.part_tokens.saturating_add(part_tokens), tokens };
        }
    }

    /// The prefixes that others may share, the shortest first.
    pub fn prefixes(&self) -> &[PromptPrefix] {
        &self.prefixes[..self.count]
    }

    /// The longest of them.
    pub fn longest(&self) -> Option<&PromptPrefix> {
        self.prefixes().last()
    }

    /// Tokens that others may share.
    pub fn shared_tokens(&self) -> u32 {
        self.longest().map_or(0, |prefix| prefix.tokens)
    }

    /// Tokens of its own.
    pub fn own_tokens(&self) -> u32 {
        self.own_tokens
    }
}
