use super::*;

/// A caller's call, as the adapter has read it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of this call; each of a caller's tries has its own.
    pub id: RequestId,
    /// Method.
    pub method: Method,
    /// Host that it names.
    pub host: Arc<str>,
    /// Path, without the query.
    pub path: Arc<str>,
    /// Path and query as they came.
    pub target: Arc<str>,
    /// Headers that go to the upstream as they are.
    pub headers: HeaderMap,
    /// Body, whole.
    pub body: Bytes,
    /// Key that the caller showed.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// Number of the last event that the caller has of an earlier try.
    pub last_event: Option<u64>,
    /// What is known of the prompt, for calls of engines.
    pub prompt: Option<Prompt>,
    /// When its head had arrived.
    pub arrived: Instant,
}

/// What is known of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Tokens to be read.
    pub tokens: u32,
    /// Tokens to be made at most.
    pub most_made: u32,
    /// Its parts in order, if they are known; the last one is its own.
    pub parts: Arc<[PromptPart]>,
}

impl Call {
    /// Digest by which a call is known again when its caller sends it once more under another id.
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
}
