use super::*;

/// What the other VMs say of upstreams at one moment, in order, so that a choice among many upstreams goes
/// through the notes once and not once for each.
#[derive(Clone, Debug)]
pub struct PeerView<'a> {
    /// Sorted by upstream, one for each.
    loads: Vec<ToldLoad<'a>>,
    /// Sorted.
    suspects: Vec<&'a UpstreamIncarnation>,
    /// Whether any other VM lives.
    has_peers: bool,
    /// Whether there are so few VMs that all tell each other.
    tells_all: bool,
}

/// What other VMs together have on an upstream.
#[derive(Clone, Copy, Debug)]
struct ToldLoad<'a> {
    upstream: &'a UpstreamIncarnation,
    calls: u32,
    reading: Duration,
}

impl<'a> PeerView<'a> {
    /// Sums up notes, each with its age. `has_peers` says whether any other VM lives, `tells_all` whether all
    /// VMs tell each other.
    pub(crate) fn new(
        notes: impl Iterator<Item = (&'a PeerHeartbeat, Duration)>,
        has_peers: bool,
        tells_all: bool,
    ) -> Self {
        let mut loads = Vec::new();
        let mut suspects = Vec::new();
        for (note, age) in notes {
            suspects.extend(&note.suspects);
            loads.extend(note.loads.iter().map(|load| ToldLoad {
                upstream: &load.upstream,
                calls: load.calls,
                reading: Duration::from_millis(load.reading_ms.into()).saturating_sub(age),
            }));
        }
        loads.sort_unstable_by_key(|load| load.upstream);
        // Prompts are read one after the other, so the times add up like the calls.
        loads.dedup_by(|next, sum| {
            let same = next.upstream == sum.upstream;
            if same {
                sum.calls += next.calls;
                sum.reading += next.reading;
            }
            same
        });
        suspects.sort_unstable();
        Self {
            loads,
            suspects,
            has_peers,
            tells_all,
        }
    }

    /// Streams of other VMs on an upstream.
    #[must_use]
    pub fn calls(&self, upstream: &UpstreamIncarnation) -> u32 {
        self.load(upstream).map_or(0, |load| load.calls)
    }

    /// Time until the prompts of other VMs on an upstream are read.
    #[must_use]
    pub fn reading_left(&self, upstream: &UpstreamIncarnation) -> Duration {
        self.load(upstream)
            .map_or(Duration::ZERO, |load| load.reading)
    }

    /// Whether any other VM gets no answer from an upstream.
    #[must_use]
    pub fn is_suspect(&self, upstream: &UpstreamIncarnation) -> bool {
        self.suspects.binary_search(&upstream).is_ok()
    }

    /// Whether all who have calls on an upstream of this VM's own zone, for which it has `rank` there, tell
    /// it; `None` for an upstream of another zone.
    #[must_use]
    pub fn is_told_of(&self, rank: Option<usize>) -> bool {
        let shares = rank.is_some_and(|rank| rank < SHARERS_PER_UPSTREAM);
        self.has_peers && (self.tells_all || shares)
    }

    fn load(&self, upstream: &UpstreamIncarnation) -> Option<&ToldLoad<'a>> {
        let index = self
            .loads
            .binary_search_by(|load| load.upstream.cmp(upstream))
            .ok()?;
        Some(&self.loads[index])
    }
}
