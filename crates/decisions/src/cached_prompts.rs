//! Which engines still hold parts of a prompt in their prefix cache.
//!
//! Load pattern: VMs lose power or are killed, in the worst case all at once, and the callers of their
//! streams reconnect to VMs that have no state for them. Some engine has already processed each prompt
//! and caches it for a while. Placement by load alone sends nearly all of these calls to other engines,
//! which repeat the prefill: about one second of engine time per prompt, and for callers close to their
//! deadline all the time that is left. So engines are queried for what they hold.
//!
//! The reports are hints: a part may be evicted before the call arrives, and is then processed again.

use super::*;

/// How long an engine's report is used. Callers of a lost VM reconnect within a few hundred milliseconds
/// of each other, so one query per engine serves all of them.
pub const CACHE_REPORT_TTL: Duration = Duration::from_secs(2);

/// Maximum number of engines queried: all engines of a present deployment, or those of the local
/// availability zone at the target size.
const MAX_ENGINES_QUERIED: usize = 48;

/// Timeout for the engines' reports. A report takes 2 to 5 ms; a caller that reconnects has already lost
/// far more than the timeout.
pub const PROMPT_SEARCH_TIMEOUT: Duration = Duration::from_millis(60);

/// Share of the VM's link that the reports may use during the timeout; the rest is for streams.
const LINK_SHARE: f64 = 0.5;

/// Bytes of a report per part that it lists.
const BYTES_PER_PART: f64 = 48.0;

/// Assumed number of parts in a report until the first one arrives.
const INITIAL_MEAN_PARTS: f64 = 128.0;

/// Weight of the latest report in the moving average of report sizes.
const SIZE_WEIGHT: f64 = 0.1;

/// Maximum number of parts kept per engine, the newest ones. This is many times the number of prompts
/// that fit into an engine's memory.
const MAX_PARTS_PER_ENGINE: usize = 256;

/// A part of a prompt; requests with the same beginning share their first parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier of the part, as the engines report it.
    pub id: Arc<str>,
    /// Length of the part, or the length that an engine holds of it, in tokens.
    pub tokens: u32,
}

/// The prompt parts that engines reported to hold.
#[derive(Clone, Debug)]
pub struct CachedPrompts {
    /// Sorted by engine.
    engines: Vec<EngineCache>,
    /// Moving average of the number of parts in a report.
    mean_parts: f64,
}

impl Default for CachedPrompts {
    fn default() -> Self {
        Self {
            engines: Vec::new(),
            mean_parts: INITIAL_MEAN_PARTS,
        }
    }
}

#[derive(Clone, Debug)]
struct EngineCache {
    engine: UpstreamIncarnation,
    received_at: Instant,
    /// Tokens held of each part, sorted by part id.
    parts: Vec<PromptPart>,
}

impl CachedPrompts {
    /// Number of engines to query at once, limited so that their reports do not delay the streams on the
    /// VM's link.
    #[must_use]
    pub fn max_queries(&self, link: Option<LinkRate>) -> usize {
        let Some(link) = link else {
            return MAX_ENGINES_QUERIED;
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let max_answers = (link.bytes_in(PROMPT_SEARCH_TIMEOUT) as f64 * LINK_SHARE
            / (self.mean_parts.max(1.0) * BYTES_PER_PART)) as usize;
        max_answers.min(MAX_ENGINES_QUERIED)
    }

    /// Whether an engine should be queried, because its last report is missing or too old.
    #[must_use]
    pub fn needs_query(&self, engine: &UpstreamIncarnation, now: Instant) -> bool {
        self.get(engine, now).is_none()
    }

    /// Records an engine's report: the parts with the number of tokens held of each, oldest entry first. A
    /// later entry for the same part replaces an earlier one.
    pub fn record_report(
        &mut self,
        engine: &UpstreamIncarnation,
        report: Vec<PromptPart>,
        now: Instant,
    ) {
        self.engines.retain(|known| {
            known.engine != *engine && now.since(known.received_at) < CACHE_REPORT_TTL
        });
        #[expect(clippy::cast_precision_loss)]
        let size = report.len() as f64;
        self.mean_parts += SIZE_WEIGHT * (size - self.mean_parts);
        let mut parts: Vec<PromptPart> = Vec::new();
        for part in report.into_iter().rev().take(MAX_PARTS_PER_ENGINE) {
            if let Err(index) = parts.binary_search_by(|known| known.id.cmp(&part.id)) {
                parts.insert(index, part);
            }
        }
        let index = self.engines.partition_point(|known| known.engine < *engine);
        let cache = EngineCache {
            engine: engine.clone(),
            received_at: now,
            parts,
        };
        self.engines.insert(index, cache);
    }

    /// Number of tokens of a prompt that each engine holds, for the engines that hold any, sorted by
    /// engine. A part counts only if the engine holds all parts before it completely.
    #[must_use]
    pub fn holders(&self, prompt: &[PromptPart], now: Instant) -> Vec<(UpstreamIncarnation, u32)> {
        self.engines
            .iter()
            .filter(|engine| now.since(engine.received_at) < CACHE_REPORT_TTL)
            .map(|engine| (engine.engine.clone(), engine.held_tokens(prompt)))
            .filter(|(_, tokens)| *tokens > 0)
            .collect()
    }

    fn get(&self, engine: &UpstreamIncarnation, now: Instant) -> Option<&EngineCache> {
        let index = self
            .engines
            .binary_search_by(|known| known.engine.cmp(engine));
        let known = &self.engines[index.ok()?];
        (now.since(known.received_at) < CACHE_REPORT_TTL).then_some(known)
    }
}

impl EngineCache {
    fn held_tokens(&self, prompt: &[PromptPart]) -> u32 {
        let mut held = 0;
        for part in prompt {
            let index = self.parts.binary_search_by(|known| known.id.cmp(&part.id));
            let tokens = index.map_or(0, |index| self.parts[index].tokens.min(part.tokens));
            held += tokens;
            if tokens < part.tokens {
                break;
            }
        }
        held
    }
}
