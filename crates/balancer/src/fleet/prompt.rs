//! Prompts as sequences of shareable prefixes.

use super::hashing::mix;

/// Maximum distinct prefixes of a prompt; further shared parts are merged into the last one.
const MAX_PREFIXES: usize = 4;

/// A prompt: prefixes that it may share with other prompts, and unshared tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    prefixes: [PromptPrefix; MAX_PREFIXES],
    count: usize,
    own_tokens: u32,
}

/// A prefix of a prompt. An endpoint that holds it holds every shorter one of the same prompt too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of all parts up to its end.
    pub key: u64,
    /// Tokens in its last part.
    pub part_tokens: u32,
    /// Tokens in all parts up to its end.
    pub tokens: u32,
}

impl Prompt {
    /// Creates a prompt of shared parts in order, each with its hash and token count, and `own_tokens` unshared tokens.
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

    /// The shareable prefixes, shortest first.
    pub fn prefixes(&self) -> &[PromptPrefix] {
        &self.prefixes[..self.count]
    }

    /// The longest shareable prefix.
    pub fn longest(&self) -> Option<&PromptPrefix> {
        self.prefixes().last()
    }

    /// Number of shareable tokens.
    pub fn shared_tokens(&self) -> u32 {
        self.longest().map_or(0, |prefix| prefix.tokens)
    }

    /// Number of unshared tokens.
    pub fn own_tokens(&self) -> u32 {
        self.own_tokens
    }
}
