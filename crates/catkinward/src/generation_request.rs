use super::*;

/// Tokens that count as much as one call where teams are weighed against each other.
const TOKENS_PER_COST: u32 = 64;

/// A generation as accepted: all that an attempt needs, fixed for its whole life.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Its id.
    pub id: RequestId,
    /// Its id with engines: a key that two VMs begin under at once is two generations to them.
    pub engine_id: RequestId,
    /// `None` if its caller gave no key, and so cannot come back.
    pub keyed: Option<ResumableState>,
    /// Digest of the team and its body, by which a caller who comes back is recognised, and a
    /// request that kills upstreams.
    pub body: RequestDigest,
    /// The team that asked.
    pub team: TeamId,
    /// The service asked for.
    pub service: ServiceId,
    /// Version of the bundle it was accepted under.
    pub bundle: BundleVersion,
    /// The model that answers, and no other.
    pub model: Model,
    /// How losses are met.
    pub recovery: RecoveryPolicy,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Largest number of tokens.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Sampling temperature.
    pub temperature: Option<f64>,
    /// Stop sequences.
    pub stop: Vec<String>,
    /// When the caller gives up.
    pub deadline: Instant,
}

impl GenerationRequest {
    /// What it waits and runs beside.
    #[must_use]
    pub fn lane(&self) -> Lane {
        Lane::of(self.max_tokens)
    }

    pub(crate) fn arrival(&self, team: QueueTeam) -> Arrival {
        Arrival {
            team,
            lane: self.lane(),
            cost: self.max_tokens.div_ceil(TOKENS_PER_COST),
            deadline: self.deadline,
        }
    }

    /// What it wants of an upstream.
    pub(crate) fn want(&self) -> UpstreamQuery<'_> {
        UpstreamQuery {
            model: Some(&self.model),
            digest: Some(self.body),
            prefix: &self.prompt,
            ..UpstreamQuery::new(&self.service)
        }
    }

    /// The request under an idempotency key.
    pub(crate) fn under_key(self, key: &str) -> Self {
        let id = RequestId::of_key(&self.team, key);
        Self { id, ..self }.with_chain(ResumableState::new_chain())
    }

    /// The request as it goes on after a copy: what the VM that accepted it had fixed stays.
    pub(crate) fn going_on(self, record: &ProgressRecord) -> Self {
        let request = Self {
            bundle: record.head.bundle,
            model: record.head.model.clone(),
            seed: record.head.seed,
            ..self
        };
        request.with_chain(ResumableState::continue_from(record))
    }

    fn with_chain(self, keyed: ResumableState) -> Self {
        let engine_id = format!("{}.{}", self.id, keyed.root());
        Self {
            engine_id: engine_id
                .parse()
                .expect("an id and hexadecimal digits are visible ASCII"),
            keyed: Some(keyed),
            ..self
        }
    }

    /// What it keeps on whichever VM goes on with it.
    pub(crate) fn head(&self, keyed: &ResumableState) -> ProgressHead {
        ProgressHead {
            digest: self.body,
            bundle: self.bundle,
            model: self.model.clone(),
            seed: self.seed,
            lineage: keyed.lineage.clone(),
        }
    }

    /// The order for an attempt that goes on after `prefix`.
    pub(crate) fn order(&self, attempt: Attempt, prefix: &TokenLog) -> engine::EngineGenerate {
        engine::EngineGenerate {
            request_id: self.engine_id.to_string(),
            attempt: attempt.0,
            model: self.model.name.to_string(),
            version: self.model.version.to_string(),
            adapter: self.model.adapter.as_deref().map(str::to_owned),
            prompt: self.prompt.to_string(),
            prefix: prefix.ids().to_vec(),
            max_tokens: self.max_tokens,
            seed: self.seed,
            temperature: self.temperature,
            stop: self.stop.clone(),
            priority: EnginePriority::of(self.lane(), prefix.len()).0,
        }
    }
}
