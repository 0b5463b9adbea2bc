/// Joins the bytes of tokens into text, holding back the start of a character until its rest comes.
#[derive(Clone, Debug, Default)]
pub struct Utf8Joiner {
    pending: Vec<u8>,
}

impl Utf8Joiner {
    /// Adds a token's bytes and returns the text that is complete now. Bytes that can start no
    /// character become U+FFFD.
    pub fn push(&mut self, bytes: &[u8]) -> String {
        self.pending.extend_from_slice(bytes);
        let mut text = String::new();
        loop {
            match std::str::from_utf8(&self.pending) {
                Ok(valid) => {
                    text.push_str(valid);
                    self.pending.clear();
                    return text;
                }
                Err(fault) => {
                    let valid = fault.valid_up_to();
                    text.push_str(&String::from_utf8_lossy(&self.pending[..valid]));
                    let Some(invalid) = fault.error_len() else {
                        self.pending.drain(..valid);
                        return text;
                    };
                    text.push(char::REPLACEMENT_CHARACTER);
                    self.pending.drain(..valid + invalid);
                }
            }
        }
    }

    /// Text of what is still held back, for the end of an answer.
    pub fn finish(&mut self) -> String {
        String::from_utf8_lossy(&std::mem::take(&mut self.pending)).into_owned()
    }
}
