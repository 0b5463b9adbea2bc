use super::*;
use crate::answer_verdict::chain_text;

/// What is wrong with an answer.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum AnswerError {
    /// The text is not that of the token ids in this order: a token is missing, repeated, or of
    /// another generation.
    #[display("the text differs from the chain at byte {at}: expected `{expected}`, got `{found}`")]
    Chain {
        /// First byte that differs.
        at: usize,
        /// What belongs there.
        expected: String,
        /// What is there.
        found: String,
    },
    /// The answer has another length.
    #[display("{found} tokens where {expected} were asked for")]
    Length {
        /// Tokens asked for.
        expected: usize,
        /// Tokens received.
        found: usize,
    },
}

/// Checks an answer as a caller received it against the request that it sent.
///
/// # Errors
///
/// Says what is wrong.
pub fn check_answer(
    chain: TokenChain,
    max_tokens: usize,
    ids: &[u32],
    text: &str,
) -> Result<(), AnswerError> {
    if ids.len() != max_tokens {
        return Err(AnswerError::Length {
            expected: max_tokens,
            found: ids.len(),
        });
    }
    let expected = chain_text(chain, ids);
    if expected == text {
        return Ok(());
    }
    let at = expected
        .bytes()
        .zip(text.bytes())
        .take_while(|(a, b)| a == b)
        .count();
    Err(AnswerError::Chain {
        at,
        expected: excerpt(&expected, at),
        found: excerpt(text, at),
    })
}

fn excerpt(text: &str, at: usize) -> String {
    let bytes = text.as_bytes().iter().skip(at).take(24).copied();
    String::from_utf8_lossy(&bytes.collect::<Vec<_>>()).into_owned()
}
