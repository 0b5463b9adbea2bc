use super::*;

/// Timeout of a request for slices.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// VMs that no VM has seen for this long neither allocate slices nor receive any.
const MAX_SILENCE: Duration = Duration::from_secs(30);

/// Requests slices of the limits in use from their allocators, and serves as allocator for others.
///
/// The allocator of a limit is a VM of the own availability zone. It allocates the zone's share of
/// the limit, which is the number of the zone's VMs divided by that of all VMs. So a zone that is
/// partitioned from the others continues as before.
pub(crate) fn exchange_slices(peers: &Arc<Peers>, limits: &Arc<TeamLimits>, timer: &Arc<Timer>) {
    let (table, granter) = (Arc::downgrade(peers), limits.clone());
    peers.set_slice_granter(move |request| {
        let sharers = LimitSharers::of(&*table.upgrade()?);
        granter.grant(request, &sharers.zone, sharers.fraction)
    });
    let mut ticks = timer.subscribe(SLICE_RENEWAL_INTERVAL);
    let (peers, limits) = (peers.clone(), limits.clone());
    tokio::spawn(async move {
        while ticks.recv().await.is_some() {
            request_slices(&peers, &limits).await;
        }
    });
}

/// VMs that share the limits.
struct LimitSharers {
    /// VMs of the own availability zone, sorted.
    zone: Vec<VmId>,
    /// Their fraction of all VMs.
    fraction: f64,
}

impl LimitSharers {
    fn of(peers: &Peers) -> Self {
        let own = peers.own();
        let mut all = peers.seen_within(MAX_SILENCE);
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
            fraction: count(zone.len()) / total,
            zone,
        }
    }
}

async fn request_slices(peers: &Arc<Peers>, limits: &TeamLimits) {
    let sharers = LimitSharers::of(peers);
    let mut requests = limits.slice_requests(&sharers.zone);
    requests.sort_by(|a, b| a.allocator.cmp(&b.allocator));
    let exchanges = requests
        .chunk_by(|a, b| a.allocator == b.allocator)
        .map(|requests| request_from_allocator(peers, limits, &sharers, requests));
    futures::future::join_all(exchanges).await;
}

/// Requests slices from one allocator. Without a reply the slices expire and the minimum quotas
/// remain.
async fn request_from_allocator(
    peers: &Arc<Peers>,
    limits: &TeamLimits,
    sharers: &LimitSharers,
    requests: &[TeamSliceRequest],
) {
    let Some(TeamSliceRequest {
        allocator,
        requested_at,
        ..
    }) = requests.first()
    else {
        return;
    };
    let requests = requests.iter().map(|request| request.request.clone());
    let grants = if *allocator == peers.own().vm {
        requests
            .filter_map(|request| limits.grant(&request, &sharers.zone, sharers.fraction))
            .collect()
    } else {
        let message = PeerBody::AskSlices(requests.collect());
        match peers.request(allocator, message, REQUEST_TIMEOUT).await {
            Some(PeerBody::Slices(grants)) => grants,
            _ => return,
        }
    };
    for grant in &grants {
        limits.apply_grant(grant, *requested_at);
    }
}
