use std::collections::VecDeque;

/// The bounded prefix cache of a stand-in engine: whole prompts, the one used last at the back.
pub(crate) struct PrefixCache {
    /// Digest and tokens of each prompt held.
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

    /// Tokens of a prompt that need not be computed again; the prompt is held from now on.
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

/// Tokens that a prompt counts for.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> usize {
    prompt.len() / 4
}
