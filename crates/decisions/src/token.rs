use super::*;

/// A generated token. Its bytes may end in the middle of a character.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Id in the vocabulary of the model.
    pub id: u32,
    /// UTF-8 bytes; a character may span two tokens.
    pub bytes: Vec<u8>,
}
