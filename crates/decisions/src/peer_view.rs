use super::*;

/// What the other VMs advertise of upstreams at one moment. It is sorted, so that a choice among many
/// upstreams goes through the heartbeats once and not once per upstream.
#[derive(Clone, Debug)]
pub struct PeerView<'a> {
    /// Sorted by upstream, one entry per upstream.
    loads: Vec<AdvertisedLoad<'a>>,
    /// Sorted.
    suspects: Vec<&'a UpstreamIncarnation>,
    /// Whether any other VM is alive.
    has_peers: bool,
    /// Whether there are so few VMs that each sends its heartbeats to all others.
    is_full_mesh: bool,
}

/// Sum of the load of the other VMs on an upstream.
#[derive(Clone, Copy, Debug)]
struct AdvertisedLoad<'a> {
    upstream: &'a UpstreamIncarnation,
    calls: u32,
    prefill: Duration,
    tokens: u32,
}

impl<'a> PeerView<'a> {
    /// Adds up the advertised loads, each with its age. `has_peers` is whether any other VM is alive,
    /// `is_full_mesh` whether each VM sends its heartbeats to all others.
    pub(crate) fn new(
        loads: impl Iterator<Item = (&'a PeerLoad, Duration)>,
        suspects: impl Iterator<Item = &'a UpstreamIncarnation>,
        has_peers: bool,
        is_full_mesh: bool,
    ) -> Self {
        let loads = loads.map(|(load, age)| AdvertisedLoad {
            upstream: &load.upstream,
            calls: load.calls,
            prefill: Duration::from_millis(load.reading_ms.into()).saturating_sub(age),
            tokens: load.tokens(),
        });
        let mut loads = loads.collect::<Vec<_>>();
        let mut suspects = suspects.collect::<Vec<_>>();
        loads.sort_unstable_by_key(|load| load.upstream);
        // An engine processes prompts one after the other, so the prefill times are added like the calls.
        loads.dedup_by(|next, sum| {
            let same = next.upstream == sum.upstream;
            if same {
                sum.calls = sum.calls.saturating_add(next.calls);
                sum.prefill += next.prefill;
                sum.tokens = sum.tokens.saturating_add(next.tokens);
            }
            same
        });
        suspects.sort_unstable();
        Self {
            loads,
            suspects,
            has_peers,
            is_full_mesh,
        }
    }

    /// Number of streams of other VMs on an upstream.
    #[must_use]
    pub fn calls(&self, upstream: &UpstreamIncarnation) -> u32 {
        self.load(upstream).map_or(0, |load| load.calls)
    }

    /// Time until an upstream has completed the prefill of other VMs' prompts.
    #[must_use]
    pub fn prefill_left(&self, upstream: &UpstreamIncarnation) -> Duration {
        self.load(upstream)
            .map_or(Duration::ZERO, |load| load.prefill)
    }

    /// Memory in tokens promised to calls and KV copies of other VMs on an upstream.
    #[must_use]
    pub fn tokens(&self, upstream: &UpstreamIncarnation) -> u32 {
        self.load(upstream).map_or(0, |load| load.tokens)
    }

    /// Whether an upstream does not respond to some other VM.
    #[must_use]
    pub fn is_suspect(&self, upstream: &UpstreamIncarnation) -> bool {
        self.suspects.binary_search(&upstream).is_ok()
    }

    /// Whether all VMs with calls on an upstream advertise them to this VM. `rank` is this VM's rank for the
    /// upstream within its zone, or `None` for an upstream of another zone.
    #[must_use]
    pub fn knows_complete_load(&self, rank: Option<usize>) -> bool {
        let shares = rank.is_some_and(|rank| rank < SHARERS_PER_UPSTREAM);
        self.has_peers && (self.is_full_mesh || shares)
    }

    fn load(&self, upstream: &UpstreamIncarnation) -> Option<&AdvertisedLoad<'a>> {
        let index = self
            .loads
            .binary_search_by(|load| load.upstream.cmp(upstream))
            .ok()?;
        Some(&self.loads[index])
    }
}
