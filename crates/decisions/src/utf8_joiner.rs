/// Decodes the bytes of successive tokens as UTF-8. An incomplete character is buffered until its
/// remaining bytes arrive.
#[derive(Clone, Debug, Default)]
pub struct Utf8Joiner {
    pending: Vec<u8>,
}

impl Utf8Joiner {
    /// Appends the bytes of a token and returns the text that is complete. Invalid bytes are
    /// replaced by U+FFFD.
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
                Err(error) => {
                    let valid = error.valid_up_to();
                    text.push_str(&String::from_utf8_lossy(&self.pending[..valid]));
                    let Some(invalid) = error.error_len() else {
                        self.pending.drain(..valid);
                        return text;
                    };
                    text.push(char::REPLACEMENT_CHARACTER);
                    self.pending.drain(..valid + invalid);
                }
            }
        }
    }

    /// Returns the buffered bytes as text at the end of a response; an incomplete character becomes
    /// U+FFFD.
    pub fn finish(&mut self) -> String {
        String::from_utf8_lossy(&std::mem::take(&mut self.pending)).into_owned()
    }
}
