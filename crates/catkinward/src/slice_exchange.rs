use super::*;

/// Timeout of a request for slices.
const ASK_BOUND: Duration = Duration::from_millis(500);

/// VMs that no VM has seen for this long neither allocate slices nor receive any.
const SILENT_FOR: Duration = Duration::from_secs(30);

/// Requests slices of the limits in use from their allocators, and serves as allocator for others.
///
/// The allocator of a limit is a VM of the own availability zone. It allocates the zone's share of
/// the limit, which is the number of the zone's VMs divided by that of all VMs. So a zone that is
/// partitioned from the others continues as before.
pub(crate) fn exchange_slices(peers: &Arc<Peers>, limits: &Arc<TeamLimits>, timer: &Arc<Timer>) {
    let (table, granting) = (Arc::downgrade(peers), limits.clone());
    peers.grant_slices(move |request| {
        let sharers = Sharers::of(&*table.upgrade()?);
        granting.grant(request, &sharers.zone, sharers.part)
    });
    let mut ticks = timer.subscribe(SLICE_RENEWAL_INTERVAL);
    let (peers, limits) = (peers.clone(), limits.clone());
    tokio::spawn(async move {
        while ticks.recv().await.is_some() {
            ask_for_slices(&peers, &limits).await;
        }
    });
}

/// VMs that share the limits.
struct Sharers {
    /// VMs of the own availability zone, sorted.
    zone: Vec<VmId>,
    /// Their fraction of all VMs.
    part: f64,
}

impl Sharers {
    fn of(peers: &Peers) -> Self {
        let own = peers.own();
        let mut all = peers.heard_within(SILENT_FOR);
        all.push(own.clone());
        let count = |n: usize| u32::try_from(n).map_or(f64::MAX, f64::from);
        let total = count(all.len());
        let mut zone = all
            .into_iter()
            .filter(|entry| entry.zone == own.zone)
            .map(|entry| entry.vm)
            .collect::<Vec<_>>();
        zone.sort();
        Self {
            part: count(zone.len()) / total,
            zone,
        }
    }
}

async fn ask_for_slices(peers: &Arc<Peers>, limits: &TeamLimits) {
    let sharers = Sharers::of(peers);
    let mut asks = limits.asks(&sharers.zone);
    asks.sort_by(|a, b| a.home.cmp(&b.home));
    let questions = asks
        .chunk_by(|a, b| a.home == b.home)
        .map(|asks| ask_home(peers, limits, &sharers, asks));
    futures::future::join_all(questions).await;
}

/// Requests slices from one allocator. Without a reply the slices expire and the minimum quotas
/// remain.
async fn ask_home(
    peers: &Arc<Peers>,
    limits: &TeamLimits,
    sharers: &Sharers,
    asks: &[TeamSliceRequest],
) {
    let Some(TeamSliceRequest { home, asked, .. }) = asks.first() else {
        return;
    };
    let requests = asks.iter().map(|ask| ask.request.clone());
    let grants = if *home == peers.own().vm {
        requests
            .filter_map(|request| limits.grant(&request, &sharers.zone, sharers.part))
            .collect()
    } else {
        let question = PeerBody::AskSlices(requests.collect());
        match peers.ask(home, question, ASK_BOUND).await {
            Some(PeerBody::Slices(grants)) => grants,
            _ => return,
        }
    };
    for grant in &grants {
        limits.granted(grant, *asked);
    }
}
