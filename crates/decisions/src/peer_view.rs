use super::*;

/// What the other VMs advertise of upstreams at one moment. It is sorted, so that a choice among many
/// upstreams goes through the heartbeats once and not once per upstream.
#[derive(Clone, Debug)]
pub struct PeerView<'a> {
    /// Sorted by upstream, one entry per upstream.
    loads: Vec<ToldLoad<'a>>,
    /// Sorted.
    suspects: Vec<&'a UpstreamIncarnation>,
    /// Whether any other VM is alive.
    has_peers: bool,
    /// Whether there are so few VMs that each sends its heartbeats to all others.
    tells_all: bool,
}

/// Sum of the load of the other VMs on an upstream.
#[derive(Clone, Copy, Debug)]
struct ToldLoad<'a> {
    upstream: &'a UpstreamIncarnation,
    calls: u32,
    reading: Duration,
}

impl<'a> PeerView<'a> {
    /// Adds up the loads of heartbeats, each with its age. `has_peers` is whether any other VM is alive,
    /// `tells_all` whether each VM sends its heartbeats to all others.
    pub(crate) fn new(
        notes: impl Iterator<Item = (&'a PeerNote, Duration)>,
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
        // An engine reads prompts one after the other, so the reading times are added like the calls.
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

    /// Number of streams of other VMs on an upstream.
    #[must_use]
    pub fn calls(&self, upstream: &UpstreamIncarnation) -> u32 {
        self.load(upstream).map_or(0, |load| load.calls)
    }

    /// Time until an upstream has read the prompts of other VMs.
    #[must_use]
    pub fn reading_left(&self, upstream: &UpstreamIncarnation) -> Duration {
        self.load(upstream)
            .map_or(Duration::ZERO, |load| load.reading)
    }

    /// Whether an upstream does not respond to some other VM.
    #[must_use]
    pub fn is_suspect(&self, upstream: &UpstreamIncarnation) -> bool {
        self.suspects.binary_search(&upstream).is_ok()
    }

    /// Whether all VMs with calls on an upstream advertise them to this VM. `rank` is this VM's rank for the
    /// upstream within its zone, or `None` for an upstream of another zone.
    #[must_use]
    pub fn is_told_of(&self, rank: Option<usize>) -> bool {
        let shares = rank.is_some_and(|rank| rank < SHARERS);
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
