use super::*;

/// Numbers of wrong tokens in a received answer, by kind of error.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerVerdict {
    /// Tokens that are absent although later ones were received or the answer ended as complete.
    pub missing: usize,
    /// Tokens that were received more than once.
    pub repeated: usize,
    /// Tokens whose text does not follow from the preceding ids: the answer mixes two generations.
    pub mixed: usize,
    /// Tokens of an answer that belongs to another request from its first token on.
    pub crossed: usize,
}

impl AnswerVerdict {
    /// Compares a received answer with its request, without any other source of information.
    ///
    /// The text of each token contains its index, which exposes gaps and duplicates. Without these, the
    /// text must match the received ids: a token of another generation of the same request, or of
    /// another request, does not match the hash of the chain.
    #[must_use]
    pub fn of(
        chain: TokenChain,
        max_tokens: usize,
        ids: &[u32],
        text: &str,
        complete: bool,
    ) -> Self {
        let indices = indices(text);
        let expected = if complete { max_tokens } else { ids.len() };
        let mut distinct = indices.clone();
        distinct.sort_unstable();
        distinct.dedup();
        let missing = expected.saturating_sub(distinct.len());
        let repeated = indices.len() - distinct.len();
        if missing + repeated > 0 {
            return Self {
                missing,
                repeated,
                ..Self::default()
            };
        }
        let expected = chain_text(chain, ids);
        // A character may span two tokens: a truncated answer contains complete characters only.
        let expected = if complete {
            expected.as_str()
        } else {
            expected.trim_end_matches(char::REPLACEMENT_CHARACTER)
        };
        let (expected_pieces, received_pieces) = (pieces(expected), pieces(text));
        let mixed = expected_pieces
            .iter()
            .zip(&received_pieces)
            .filter(|(a, b)| a != b)
            .count()
            .max(received_pieces.len().abs_diff(expected_pieces.len()));
        if expected_pieces.first() == received_pieces.first() {
            Self {
                mixed,
                ..Self::default()
            }
        } else {
            Self {
                crossed: mixed,
                ..Self::default()
            }
        }
    }

    /// Returns whether the answer has no wrong tokens.
    #[must_use]
    pub fn is_correct(&self) -> bool {
        *self == Self::default()
    }
}

/// Returns the text of the tokens with these ids, appended to `chain`.
pub(crate) fn chain_text(mut chain: TokenChain, ids: &[u32]) -> String {
    let bytes = ids.iter().flat_map(|id| chain.push(*id));
    String::from_utf8_lossy(&bytes.collect::<Vec<_>>()).into_owned()
}

fn pieces(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

fn indices(text: &str) -> Vec<usize> {
    text.split_whitespace()
        .filter_map(|piece| {
            let (index, _) = piece.split_once('.')?;
            index
                .trim_start_matches(|c: char| !c.is_ascii_digit())
                .parse()
                .ok()
        })
        .collect()
}
