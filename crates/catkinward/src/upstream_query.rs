use super::*;

/// What a request wants of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamQuery<'a> {
    /// The service asked for.
    pub service: &'a ServiceId,
    /// The model that must be loaded; none for a plain service.
    pub model: Option<&'a Model>,
    /// Upstreams that have failed this request.
    pub avoid: &'a [UpstreamId],
    /// Digest by which a request that kills upstreams is known.
    pub digest: Option<RequestDigest>,
    /// Text whose beginning an upstream may have cached.
    pub prefix: &'a str,
    /// True once the request has waited long: as a suspect it may then run on upstreams that
    /// another VM watches.
    pub urgent: bool,
}

/// Bytes of a text that decide where it is cached.
const PREFIX_LEN: usize = 256;

impl<'a> UpstreamQuery<'a> {
    /// A request of a service that wants nothing else.
    #[must_use]
    pub fn new(service: &'a ServiceId) -> Self {
        Self {
            service,
            model: None,
            avoid: &[],
            digest: None,
            prefix: "",
            urgent: false,
        }
    }

    /// Key of the prefix in rendezvous hashing; `None` without a prefix.
    pub(crate) fn prefix_key(&self) -> Option<String> {
        let bytes = self.prefix.as_bytes();
        let start = &bytes[..bytes.len().min(PREFIX_LEN)];
        (!start.is_empty()).then(|| format!("{:016x}", xxhash_rust::xxh3::xxh3_64(start)))
    }
}

/// Why a request got no upstream.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError)]
pub enum NoUpstream {
    /// None may get it now; a later try may find one.
    #[display("no upstream may get the request now")]
    Now,
    /// Upstreams died under it.
    #[display("upstreams died under this request")]
    Poisoned,
}
