use super::*;

/// Requirements of a request on its upstream.
#[derive(Clone, Debug)]
pub struct UpstreamQuery<'a> {
    /// The service that the upstream must serve.
    pub service: &'a ServiceId,
    /// The model that must be loaded; `None` for a plain service.
    pub model: Option<&'a Model>,
    /// Upstreams to exclude because they have failed this request.
    pub avoid: &'a [UpstreamId],
    /// Digest that identifies a request that crashes upstreams.
    pub digest: Option<RequestDigest>,
    /// Text whose beginning may be in an upstream's prefix cache.
    pub prefix: &'a str,
    /// Whether the request has waited for long. As a suspect it may then also run on upstreams
    /// whose suspect requests another VM supervises.
    pub urgent: bool,
}

/// Number of leading bytes of a text that determine which upstream caches it.
const PREFIX_KEY_BYTES: usize = 256;

impl<'a> UpstreamQuery<'a> {
    /// Creates a query for any upstream of a service.
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

    /// Returns the key of the prefix for rendezvous hashing; `None` without a prefix.
    pub(crate) fn prefix_key(&self) -> Option<String> {
        let bytes = self.prefix.as_bytes();
        let start = &bytes[..bytes.len().min(PREFIX_KEY_BYTES)];
        (!start.is_empty()).then(|| format!("{:016x}", xxhash_rust::xxh3::xxh3_64(start)))
    }
}

/// Why a request got no upstream.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError)]
pub enum NoUpstream {
    /// No upstream may receive the request now; a retry may find one.
    #[display("no upstream may get the request now")]
    Now,
    /// The request is poisoned: upstreams crashed while running it.
    #[display("upstreams died under this request")]
    Poisoned,
}
