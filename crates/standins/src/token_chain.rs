use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash chain from which the tokens of a mock engine are generated.
///
/// The text of a token contains its index and a hash over the request and all token ids up to its
/// own. This exposes a token that is lost, repeated, or belongs to another request or attempt.
#[derive(Clone, Copy, Debug)]
pub struct TokenChain {
    hash: u64,
    index: u32,
}

/// UTF-8 bytes of a character that is split between two consecutive tokens at some indices.
const SPLIT_CHARACTER: [u8; 2] = [0xc3, 0xa9];

/// Interval, in tokens, between split characters.
const SPLIT_PERIOD: u32 = 5;

impl TokenChain {
    /// Returns the chain of a request before its first token.
    #[must_use]
    pub fn new(model: &str, version: &str, prompt: &str, seed: u64) -> Self {
        let start = format!("{model}\n{version}\n{prompt}");
        Self {
            hash: xxh3_64_with_seed(start.as_bytes(), seed),
            index: 0,
        }
    }

    /// Samples the next token id. `salt` represents everything that makes two runs sample differently.
    #[must_use]
    pub fn sample(&self, salt: u64) -> u32 {
        let id = xxh3_64_with_seed(&self.hash.to_le_bytes(), salt) & 0xff_ffff;
        u32::try_from(id).unwrap_or_default()
    }

    /// Appends a token id to the chain and returns the token's bytes.
    pub fn push(&mut self, id: u32) -> Vec<u8> {
        self.hash = xxh3_64_with_seed(&id.to_le_bytes(), self.hash);
        let mut bytes = Vec::with_capacity(16);
        if self.index % SPLIT_PERIOD == 4 {
            bytes.push(SPLIT_CHARACTER[1]);
        }
        bytes
            .extend_from_slice(format!("{}.{:06x} ", self.index, self.hash & 0xff_ffff).as_bytes());
        if self.index % SPLIT_PERIOD == 3 {
            bytes.push(SPLIT_CHARACTER[0]);
        }
        self.index += 1;
        bytes
    }
}
