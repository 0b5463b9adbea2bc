use std::collections::VecDeque;

/// LRU prefix cache of a mock engine. It caches complete prompts; the most recently used is last.
pub(crate) struct PrefixCache {
    /// Digest and number of tokens of each cached prompt.
    prompts: VecDeque<(u64, usize)>,
    cached_tokens: usize,
    capacity: usize,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            prompts: VecDeque::new(),
            cached_tokens: 0,
            capacity,
        }
    }

    /// Inserts a prompt and returns how many of its tokens were cached: all or none.
    pub(crate) fn insert(&mut self, prompt: &str) -> usize {
        let digest = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes());
        let tokens = prompt_tokens(prompt);
        let index = self
            .prompts
            .iter()
            .position(|(cached_digest, _)| *cached_digest == digest);
        let cached = index.and_then(|i| self.prompts.remove(i)).is_some();
        self.prompts.push_back((digest, tokens));
        if cached {
            return tokens;
        }
        self.cached_tokens += tokens;
        while self.cached_tokens > self.capacity {
            let Some((_, evicted)) = self.prompts.pop_front() else {
                break;
            };
            self.cached_tokens -= evicted;
        }
        0
    }
}

/// Returns the number of tokens of a prompt, at four bytes a token.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> usize {
    prompt.len() / 4
}
