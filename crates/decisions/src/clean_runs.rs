use super::*;

/// Maximum number of parts kept; those with the oldest runs are evicted first.
const MAX_PARTS: usize = 512;

/// How long a run counts for its parts.
const RETENTION: Duration = Duration::from_secs(300);

/// Runs that got past the point at which a call crashes its upstream, by the parts of their prompts.
#[derive(Clone, Debug, Default)]
pub(crate) struct CleanRuns {
    /// Sorted by part.
    parts: Vec<CleanPart>,
}

#[derive(Clone, Debug)]
struct CleanPart {
    part: PartId,
    runs: u32,
    /// When the latest of them began to produce events.
    last_began: Instant,
}

impl CleanRuns {
    pub(crate) fn record(&mut self, part: &PartId, began: Instant) {
        if let Ok(i) = self.position(part) {
            let known = &mut self.parts[i];
            known.runs = known.runs.saturating_add(1);
            known.last_began = known.last_began.max(began);
            return;
        }
        if self.parts.len() == MAX_PARTS {
            let oldest = self.parts.iter().map(|known| known.last_began).min();
            self.parts.retain(|known| Some(known.last_began) != oldest);
        }
        let i = self.parts.partition_point(|known| known.part < *part);
        let new = CleanPart {
            part: part.clone(),
            runs: 1,
            last_began: began,
        };
        self.parts.insert(i, new);
    }

    /// Number of runs with a part.
    pub(crate) fn count(&self, part: &PartId, now: Instant) -> u32 {
        let Ok(i) = self.position(part) else {
            return 0;
        };
        let known = &self.parts[i];
        if now.since(known.last_began) < RETENTION {
            known.runs
        } else {
            0
        }
    }

    /// When the latest run with a part began to produce events.
    pub(crate) fn last_began(&self, part: &PartId) -> Option<Instant> {
        Some(self.parts[self.position(part).ok()?].last_began)
    }

    fn position(&self, part: &PartId) -> Result<usize, usize> {
        self.parts.binary_search_by(|known| known.part.cmp(part))
    }
}
