//! Which engines still hold the parts of a prompt that was read before.
//!
//! Load pattern: VMs lose their power or are killed, all at once at worst, and the callers of all their
//! streams come back to VMs that know nothing of them. Each prompt has been read by some engine, which
//! keeps it for a while. Placed by load alone, nearly all are read again elsewhere: a second of an engine's
//! time for each, and for callers with little time left all of it. So engines are asked what they hold.
//!
//! What they say is a hint: a part may be gone by the time a call arrives, and is then read again.

use super::*;

/// How long an engine's word counts. Callers of a lost VM come back within some hundred milliseconds of
/// each other, so each engine is asked once for all of them.
pub const CACHE_REPORT_TTL: Duration = Duration::from_secs(2);

/// Engines asked at most: all of a deployment of today, and those of the own zone at the target size.
const MOST_ASKED: usize = 48;

/// Wait for the engines' answers. One takes 2 to 5 ms; a caller who comes back has lost far more.
pub const PROMPT_SEARCH_TIMEOUT: Duration = Duration::from_millis(60);

/// Part of the VM's link that the answers may fill in that time; the rest is for streams.
const LINK_PART: f64 = 0.5;

/// Bytes of an answer for each part that it names.
const PART_BYTES: f64 = 48.0;

/// Parts of an answer before any was seen.
const USUAL_PARTS: f64 = 128.0;

/// Weight of the latest answer in the mean size.
const SIZE_WEIGHT: f64 = 0.1;

/// Parts kept of an engine's word, the newest: as many prompts as its memory holds, many times over.
const MOST_PARTS: usize = 256;

/// A part of a prompt; requests that begin alike share their first parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Its name.
    pub id: Arc<str>,
    /// Its length.
    pub tokens: u32,
}

/// What engines have said of the parts that they hold.
#[derive(Clone, Debug)]
pub struct CachedPrompts {
    /// Sorted by engine.
    engines: Vec<EngineCache>,
    /// Mean number of parts that an answer names.
    mean_parts: f64,
}

impl Default for CachedPrompts {
    fn default() -> Self {
        Self {
            engines: Vec::new(),
            mean_parts: USUAL_PARTS,
        }
    }
}

#[derive(Clone, Debug)]
struct EngineCache {
    engine: UpstreamIncarnation,
    told: Instant,
    /// Tokens held of each part, sorted by its name.
    parts: Vec<PromptPart>,
}

impl CachedPrompts {
    /// How many engines are asked at once, so that their answers do not hold up the streams on the VM's link.
    #[must_use]
    pub fn most_asked(&self, link: Option<LinkRate>) -> usize {
        let Some(link) = link else {
            return MOST_ASKED;
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let most = (link.bytes_in(PROMPT_SEARCH_TIMEOUT) as f64 * LINK_PART
            / (self.mean_parts.max(1.0) * PART_BYTES)) as usize;
        most.min(MOST_ASKED)
    }

    /// Whether an engine should be asked.
    #[must_use]
    pub fn is_due(&self, engine: &UpstreamIncarnation, now: Instant) -> bool {
        self.get(engine, now).is_none()
    }

    /// Takes in an engine's word: parts with the tokens that it holds of each, the latest word on a part
    /// last.
    pub fn told(&mut self, engine: &UpstreamIncarnation, word: Vec<PromptPart>, now: Instant) {
        self.engines
            .retain(|known| known.engine != *engine && now.since(known.told) < CACHE_REPORT_TTL);
        #[expect(clippy::cast_precision_loss)]
        let size = word.len() as f64;
        self.mean_parts += SIZE_WEIGHT * (size - self.mean_parts);
        let mut parts: Vec<PromptPart> = Vec::new();
        for part in word.into_iter().rev().take(MOST_PARTS) {
            if let Err(index) = parts.binary_search_by(|known| known.id.cmp(&part.id)) {
                parts.insert(index, part);
            }
        }
        let place = self.engines.partition_point(|known| known.engine < *engine);
        let cache = EngineCache {
            engine: engine.clone(),
            told: now,
            parts,
        };
        self.engines.insert(place, cache);
    }

    /// Tokens of a prompt that each engine holds, for those that hold any, sorted by engine. A part
    /// counts only as far as all parts before it are held in whole.
    #[must_use]
    pub fn holders(&self, prompt: &[PromptPart], now: Instant) -> Vec<(UpstreamIncarnation, u32)> {
        self.engines
            .iter()
            .filter(|engine| now.since(engine.told) < CACHE_REPORT_TTL)
            .map(|engine| (engine.engine.clone(), engine.held(prompt)))
            .filter(|(_, tokens)| *tokens > 0)
            .collect()
    }

    fn get(&self, engine: &UpstreamIncarnation, now: Instant) -> Option<&EngineCache> {
        let index = self
            .engines
            .binary_search_by(|known| known.engine.cmp(engine));
        let known = &self.engines[index.ok()?];
        (now.since(known.told) < CACHE_REPORT_TTL).then_some(known)
    }
}

impl EngineCache {
    fn held(&self, prompt: &[PromptPart]) -> u32 {
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
