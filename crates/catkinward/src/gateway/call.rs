use super::*;

/// A caller's call, as parsed by the adapter.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of this call; each attempt of a caller has its own.
    pub id: RequestId,
    /// HTTP method of the request.
    pub method: Method,
    /// Host that the request names, used to find the route.
    pub host: Arc<str>,
    /// Path of the request target, without the query.
    pub path: Arc<str>,
    /// Path and query as received.
    pub target: Arc<str>,
    /// Headers that are forwarded to the upstream unchanged.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// API key that the caller presented.
    pub key: Option<Arc<str>>,
    /// Timeout of the caller for the response, if it sent one.
    pub timeout: Option<Duration>,
    /// Number of the last event that the caller received in an earlier attempt.
    pub last_event: Option<u64>,
    /// Size and parts of the prompt, for calls to engines.
    pub prompt: Option<Prompt>,
    /// When the request head had arrived.
    pub arrived: Instant,
}

/// Size and parts of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Number of tokens in the prompt.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_generated: u32,
    /// Parts of the prompt in order, if they are known; the last one is unique to this prompt.
    pub parts: Arc<[PromptPart]>,
}

impl Prompt {
    /// Ids of the parts that other prompts may share: all but the last.
    pub(crate) fn shared_parts(&self) -> impl Iterator<Item = &str> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| &*part.id)
    }
}

impl Call {
    /// Size of the call at an engine.
    #[must_use]
    pub fn size(&self) -> CallSize {
        self.prompt
            .as_ref()
            .map_or_else(CallSize::default, |prompt| CallSize {
                prompt: prompt.tokens,
                max_generated: prompt.max_generated,
            })
    }

    /// Digest that identifies a call when its caller sends it again under another id.
    #[must_use]
    pub fn digest(&self, team: Option<&TeamId>) -> u64 {
        use xxhash_rust::xxh3::Xxh3;
        let mut hasher = Xxh3::new();
        for part in [
            self.method.as_str(),
            &self.target,
            team.map_or("", TeamId::as_str),
        ] {
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(&self.body);
        hasher.digest()
    }

    /// What the call has in common with others that may crash the upstreams which run it.
    #[must_use]
    pub fn attributes(&self, team: Option<&TeamId>, service: &ServiceId) -> CallAttributes {
        let parts = self.prompt.iter().flat_map(Prompt::shared_parts);
        let parts = parts.map(|part| PartId::new(service, part));
        CallAttributes::new(self.digest(team), parts)
    }
}
