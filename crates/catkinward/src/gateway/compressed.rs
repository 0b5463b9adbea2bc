//! Encoding of large messages between VMs: compressed CBOR.

use super::*;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};
use std::io::{Read, Write};

/// Maximum size of a decoded message: 100,000 rows of the table of upstreams take some 11 MB.
const MAX_DECODED_BYTES: u64 = 64 << 20;

/// Encodes a message.
///
/// # Panics
///
/// Panics if the message cannot be written as CBOR, which no message between VMs causes.
#[must_use]
pub fn encode_compressed<T: Serialize>(message: &T) -> Bytes {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).expect("messages can be written as CBOR");
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(&buf).and_then(|()| encoder.finish());
    written.expect("writing to memory does not fail").into()
}

/// Decodes a message of another VM.
///
/// # Errors
///
/// Returns [`FeedError::Refused`] if the bytes are not such a message.
pub fn decode_compressed<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FeedError> {
    let mut decoded = Vec::new();
    let read = DeflateDecoder::new(bytes)
        .take(MAX_DECODED_BYTES)
        .read_to_end(&mut decoded);
    let message = read
        .map_err(|error| error.to_string())
        .and_then(|_| ciborium::from_reader(&decoded[..]).map_err(|error| error.to_string()));
    message.map_err(|error| {
        tracing::warn!(%error, "message of another VM cannot be read");
        FeedError::Refused
    })
}
