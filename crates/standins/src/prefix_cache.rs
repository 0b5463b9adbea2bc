use std::collections::VecDeque;

/// LRU prefix cache of a mock engine. It caches complete prompts; the most recently used is last.
pub(crate) struct PrefixCache {
    /// Digest and number of tokens of each cached prompt.
    prompts: VecDeque<(u64, usize)>,
    held: usize,
    bound: usize,
}

impl PrefixCache {
    pub(crate) fn new(bound: usize) -> Self {
        Self {
            prompts: VecDeque::new(),
            held: 0,
            bound,
        }
    }

    /// Inserts a prompt and returns how many of its tokens were cached: all or none.
    pub(crate) fn take(&mut self, prompt: &str) -> usize {
        let digest = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes());
        let tokens = prompt_tokens(prompt);
        let place = self.prompts.iter().position(|(held, _)| *held == digest);
        let cached = place.and_then(|i| self.prompts.remove(i)).is_some();
        self.prompts.push_back((digest, tokens));
        if cached {
            return tokens;
        }
        self.held += tokens;
        while self.held > self.bound {
            let Some((_, dropped)) = self.prompts.pop_front() else {
                break;
            };
            self.held -= dropped;
        }
        0
    }
}

/// Returns the number of tokens of a prompt, at four bytes a token.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> usize {
    prompt.len() / 4
}
