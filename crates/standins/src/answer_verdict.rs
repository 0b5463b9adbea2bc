use super::*;

/// What is wrong with the tokens that a caller received, in numbers of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerVerdict {
    /// Tokens that did not come, though later ones did or the answer was called whole.
    pub missing: usize,
    /// Tokens that came again.
    pub repeated: usize,
    /// Tokens whose text does not follow from the ids before them: two generations in one answer.
    pub mixed: usize,
    /// Tokens of another request, from the first one on.
    pub crossed: usize,
}

impl AnswerVerdict {
    /// Judges what a caller received against the request that it sent, and nothing else.
    ///
    /// The text of each token names its index, so that holes and repeats show by themselves. Where
    /// there are none, the text must be that of the received ids: a token of another generation of
    /// the same request, or of another request, does not fit the hash of the chain.
    #[must_use]
    pub fn of(chain: TokenChain, max_tokens: usize, ids: &[u32], text: &str, whole: bool) -> Self {
        let indices = indices(text);
        let expected = if whole { max_tokens } else { ids.len() };
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
        // A character may span two tokens: an answer that was cut has only the whole ones.
        let expected = if whole {
            expected.as_str()
        } else {
            expected.trim_end_matches(char::REPLACEMENT_CHARACTER)
        };
        let (right, received) = (pieces(expected), pieces(text));
        let mixed = right
            .iter()
            .zip(&received)
            .filter(|(right, received)| right != received)
            .count()
            .max(received.len().abs_diff(right.len()));
        if right.first() == received.first() {
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

    /// Whether nothing is wrong.
    #[must_use]
    pub fn is_right(&self) -> bool {
        *self == Self::default()
    }
}

/// Text of a chain of token ids.
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
