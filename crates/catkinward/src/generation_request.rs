use super::*;

/// Number of tokens that cost as much as one call in fair queueing between teams.
const TOKENS_PER_COST_UNIT: u32 = 64;

/// An accepted generation request: all that an attempt needs, fixed for the life of the generation.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Request id, derived from the team and the idempotency key if there is one.
    pub id: RequestId,
    /// Request id for engines. If two VMs start the same key at once, engines see two generations.
    pub engine_id: RequestId,
    /// State for resumption; `None` if the caller gave no key and so cannot reconnect.
    pub resumable: Option<ResumableState>,
    /// Digest of the team and the body. It identifies a reconnecting caller's request, and a
    /// request that crashes upstreams.
    pub body: RequestDigest,
    /// Team that sent the request.
    pub team: TeamId,
    /// Requested service.
    pub service: ServiceId,
    /// Version of the bundle under which the request was accepted.
    pub bundle: BundleVersion,
    /// The only model that may serve the request.
    pub model: Model,
    /// Policy for recovery from lost streams.
    pub recovery: RecoveryPolicy,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Memory of the prompt.
    pub memory: Arc<RequestMemory>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Sampling temperature.
    pub temperature: Option<f64>,
    /// Stop sequences.
    pub stop: Vec<String>,
    /// Time at which the request fails if it has not ended.
    pub deadline: Instant,
}

impl GenerationRequest {
    /// Returns the priority class, given by the maximum number of tokens.
    #[must_use]
    pub fn lane(&self) -> Lane {
        Lane::of(self.max_tokens)
    }

    pub(crate) fn arrival(&self, team: QueueTeam) -> Arrival {
        Arrival {
            team,
            lane: self.lane(),
            cost: self.max_tokens.div_ceil(TOKENS_PER_COST_UNIT),
            deadline: self.deadline,
        }
    }

    /// Returns the criteria for selecting an upstream.
    pub(crate) fn upstream_query(&self) -> UpstreamQuery<'_> {
        UpstreamQuery {
            model: Some(&self.model),
            digest: Some(self.body),
            prefix: &self.prompt,
            ..UpstreamQuery::new(&self.service)
        }
    }

    /// Returns the request under an idempotency key, with a new chain.
    pub(crate) fn with_key(self, key: &str) -> Self {
        let id = RequestId::of_key(&self.team, key);
        Self { id, ..self }.with_resumable(ResumableState::new_chain())
    }

    /// Returns the request resumed from a progress record; the bundle version, model and seed
    /// remain those fixed by the VM that accepted it.
    pub(crate) fn resumed_from(self, record: &ProgressRecord) -> Self {
        let request = Self {
            bundle: record.head.bundle,
            model: record.head.model.clone(),
            seed: record.head.seed,
            ..self
        };
        request.with_resumable(ResumableState::continue_from(record))
    }

    fn with_resumable(self, resumable: ResumableState) -> Self {
        let engine_id = format!("{}.{}", self.id, resumable.root());
        Self {
            engine_id: engine_id
                .parse()
                .expect("an id and hexadecimal digits are visible ASCII"),
            resumable: Some(resumable),
            ..self
        }
    }

    /// Returns the state that stays fixed on whichever VM resumes the generation.
    pub(crate) fn progress_head(&self, resumable: &ResumableState) -> ProgressHead {
        ProgressHead {
            digest: self.body,
            bundle: self.bundle,
            model: self.model.clone(),
            seed: self.seed,
            lineage: resumable.lineage.clone(),
        }
    }

    /// Returns the engine's order for an attempt that continues after `prefix`.
    pub(crate) fn engine_order(
        &self,
        attempt: Attempt,
        prefix: &TokenLog,
    ) -> engine::EngineGenerate {
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
