use super::*;

/// Bound of a question for slices.
const ASK_BOUND: Duration = Duration::from_millis(500);

/// VMs that nobody has heard of for this long hand out no slices and get none.
const SILENT_FOR: Duration = Duration::from_secs(30);

/// Asks the homes of the limits in use for slices, and answers as the home of others.
///
/// Homes are VMs of the own availability zone, and share out the zone's part of each limit: that of
/// its VMs among all. So a zone that is cut off from the others goes on as before.
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

/// Who shares the limits.
struct Sharers {
    /// VMs of the own availability zone, sorted.
    zone: Vec<VmId>,
    /// Their part among all VMs.
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

/// Asks one home. Without an answer the slices run out, and the floors remain.
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
