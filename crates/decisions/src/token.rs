use super::*;

/// A token: its id, and its bytes, which may be part of a character only.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Token id in the model's vocabulary.
    pub id: u32,
    /// UTF-8 bytes; a character may span two tokens.
    pub bytes: Vec<u8>,
}
