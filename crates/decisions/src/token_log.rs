use super::*;

/// The tokens of a response in a compact form: about 14 bytes per token instead of 56 for a vector of
/// [`Token`]. The size determines how many generations a VM can replicate.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "TokenLogParts")]
pub struct TokenLog {
    ids: Vec<u32>,
    ends: Vec<u32>,
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

/// A deserialized log whose parts have not been validated yet.
#[derive(Deserialize)]
struct TokenLogParts {
    ids: Vec<u32>,
    ends: Vec<u32>,
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

impl TryFrom<TokenLogParts> for TokenLog {
    type Error = Error;

    fn try_from(parts: TokenLogParts) -> Result<Self, Error> {
        let end = parts.ends.last().map_or(0, |end| to_usize(*end));
        let is_consistent = parts.ids.len() == parts.ends.len()
            && parts.ends.is_sorted()
            && end == parts.bytes.len();
        if !is_consistent {
            return Err(Error::TokenLog);
        }
        Ok(Self {
            ids: parts.ids,
            ends: parts.ends,
            bytes: parts.bytes,
        })
    }
}

impl TokenLog {
    /// Appends a token.
    pub fn push(&mut self, token: &Token) {
        self.push_parts(token.id, &token.bytes);
    }

    /// Appends a token given by its id and bytes.
    pub fn push_parts(&mut self, id: u32, bytes: &[u8]) {
        self.ids.push(id);
        self.bytes.extend_from_slice(bytes);
        self.ends
            .push(u32::try_from(self.bytes.len()).unwrap_or(u32::MAX));
    }

    /// Number of tokens.
    #[must_use]
    pub fn len(&self) -> TokenIndex {
        TokenIndex(u32::try_from(self.ids.len()).unwrap_or(u32::MAX))
    }

    /// Whether the log has no tokens.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Ids of all tokens, in order.
    #[must_use]
    pub fn ids(&self) -> &[u32] {
        &self.ids
    }

    /// Iterates over the ids and bytes of the tokens from index `from` on.
    pub fn iter_from(&self, from: TokenIndex) -> impl Iterator<Item = (u32, &[u8])> {
        let from = from.as_usize();
        self.ids
            .iter()
            .enumerate()
            .skip(from)
            .map(|(i, id)| (*id, self.bytes_of(i)))
    }

    /// Returns a copy of the tokens from index `from` on.
    #[must_use]
    pub fn tail(&self, from: TokenIndex) -> Self {
        let mut tail = Self::default();
        for (id, bytes) in self.iter_from(from) {
            tail.push_parts(id, bytes);
        }
        tail
    }

    /// Appends all tokens of another log.
    pub fn append(&mut self, other: &Self) {
        for (id, bytes) in other.iter_from(TokenIndex(0)) {
            self.push_parts(id, bytes);
        }
    }

    /// Approximate memory use, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.ids.len() * 8 + self.bytes.len()
    }

    /// Removes the tokens from index `from` on.
    pub fn truncate(&mut self, from: TokenIndex) {
        let from = from.as_usize();
        if from >= self.ids.len() {
            return;
        }
        let end = self.start_of(from);
        self.ids.truncate(from);
        self.ends.truncate(from);
        self.bytes.truncate(end);
    }

    fn bytes_of(&self, i: usize) -> &[u8] {
        &self.bytes[self.start_of(i)..to_usize(self.ends[i])]
    }

    fn start_of(&self, i: usize) -> usize {
        i.checked_sub(1)
            .map_or(0, |before| to_usize(self.ends[before]))
    }
}

fn to_usize(n: u32) -> usize {
    usize::try_from(n).unwrap_or(usize::MAX)
}
