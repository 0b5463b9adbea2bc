use super::*;
use crate::answer_verdict::chain_text;

/// Error in a received answer.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum AnswerError {
    /// The text does not match the sequence of token ids: a token is missing, repeated, or belongs
    /// to another generation.
    #[display(
        "text differs from the token chain at byte {at}: expected `{expected}`, got `{found}`"
    )]
    Chain {
        /// Offset of the first byte that differs.
        at: usize,
        /// Excerpt of the expected text from that offset on.
        expected: String,
        /// Excerpt of the received text from that offset on.
        found: String,
    },
    /// The number of tokens differs from the requested one.
    #[display("received {found} tokens, requested {expected}")]
    Length {
        /// Number of tokens requested.
        expected: usize,
        /// Number of tokens received.
        found: usize,
    },
}

/// Checks the answer that a caller received against the request that it sent.
///
/// # Errors
///
/// Returns the first difference from the expected answer.
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
