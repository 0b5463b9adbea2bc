use super::*;

text_newtype!(
    /// Id of an upstream.
    UpstreamId,
    "upstream"
);
