//! What VMs tell each other: releases, upstreams that leave, requests that upstreams die under.
//!
//! Each piece is told to all neighbours at once when it is new, and stays in the exchange of every
//! second for a while, so that a lost message delays it by a round and no more. A VM that learns
//! something tells it on; what it knew already ends there.

use super::*;
use catkin_decisions::LeavingSource;

/// How often it is looked whether there is something new.
const PERIOD: Duration = Duration::from_millis(200);

/// How often the platform's list of VMs is read. 400 VMs then read it 40 times a second.
const LIST_PERIOD: Duration = Duration::from_secs(10);

/// How long a piece stays in the exchange: more rounds than it takes to reach 400 VMs.
const TOLD_FOR: Duration = Duration::from_secs(10);

/// Most pieces of a kind in one message.
const MOST_TOLD: usize = 16;

/// Pieces of news and when each came up, the newest last.
#[derive(Default)]
struct Recent {
    leaving: Vec<(Instant, (UpstreamId, Incarnation))>,
    poison: Vec<(Instant, PoisonMark)>,
}

/// Joins the exchange between VMs with the parts that have news.
pub(crate) fn start_news(
    peers: &Arc<Peers>,
    watch: &Arc<BundleWatch>,
    upstreams: &Arc<Upstreams>,
    platform: Option<&Arc<Platform>>,
    timer: &Arc<Timer>,
    bundle: &Arc<BundleInForce>,
) {
    let recent = Arc::<Mutex<Recent>>::default();
    tell(peers, watch, timer, &recent);
    hear(peers, watch, upstreams);
    let fetcher = Arc::downgrade(peers);
    watch.add_source(Box::new(move |digest| {
        let peers = fetcher.upgrade();
        Box::pin(async move { peers?.fetch_bundle(digest).await })
    }));
    tokio::spawn(tell_at_once(
        peers.clone(),
        upstreams.clone(),
        recent,
        timer.clone(),
        bundle.changes(),
    ));
    if let Some(platform) = platform {
        let (peers, upstreams) = (peers.clone(), upstreams.clone());
        tokio::spawn(read_list(platform.clone(), peers, upstreams, timer.clone()));
    }
}

fn tell(
    peers: &Arc<Peers>,
    watch: &Arc<BundleWatch>,
    timer: &Arc<Timer>,
    recent: &Arc<Mutex<Recent>>,
) {
    let (watch, timer, recent) = (watch.clone(), timer.clone(), recent.clone());
    peers.gossip.tell(move |gossip| {
        let now = timer.now();
        let recent = recent.lock();
        gossip.bundle = watch.in_force();
        let leaving = recent.leaving.iter().rev().take(MOST_TOLD);
        gossip.leaving = leaving.map(|(_, piece)| piece.clone()).collect();
        let poison = recent.poison.iter().rev().take(MOST_TOLD);
        gossip.poison = poison
            .map(|(at, mark)| PoisonMark {
                age_ms: mark.age_ms.saturating_add(millis(now.since(*at))),
                ..*mark
            })
            .collect();
    });
}

fn hear(peers: &Arc<Peers>, watch: &Arc<BundleWatch>, upstreams: &Arc<Upstreams>) {
    let (watch, upstreams) = (watch.clone(), upstreams.clone());
    peers.gossip.hear(move |gossip, _| {
        if let Some((version, digest)) = gossip.bundle {
            watch.heard(version, digest);
        }
        for (upstream, incarnation) in &gossip.leaving {
            upstreams.note_leaving(upstream, *incarnation, LeavingSource::Peer);
        }
        if !gossip.poison.is_empty() {
            upstreams.merge_poison(&gossip.poison);
        }
    });
}

async fn tell_at_once(
    peers: Arc<Peers>,
    upstreams: Arc<Upstreams>,
    recent: Arc<Mutex<Recent>>,
    timer: Arc<Timer>,
    mut changes: watch::Receiver<BundleVersion>,
) {
    let mut ticks = timer.subscribe(PERIOD);
    while let Some(now) = ticks.recv().await {
        let leaving = upstreams.leaving_deltas();
        let poison = upstreams.poison_deltas();
        let released = changes.has_changed().unwrap_or(false);
        changes.mark_unchanged();
        let is_new = released || !leaving.is_empty() || !poison.is_empty();
        recent.lock().add(now, leaving, poison);
        if is_new {
            peers.exchange_now();
        }
    }
}

impl Recent {
    fn add(
        &mut self,
        now: Instant,
        leaving: Vec<(UpstreamId, Incarnation)>,
        poison: Vec<PoisonMark>,
    ) {
        self.leaving.retain(|(at, _)| now.since(*at) <= TOLD_FOR);
        self.poison.retain(|(at, _)| now.since(*at) <= TOLD_FOR);
        self.leaving
            .extend(leaving.into_iter().map(|piece| (now, piece)));
        self.poison
            .extend(poison.into_iter().map(|mark| (now, mark)));
    }
}

/// Joins the platform's list with what peers say. The list lags and may be out of reach; a VM that
/// it does not name any more is forgotten once peers do not speak of it either.
async fn read_list(
    platform: Arc<Platform>,
    peers: Arc<Peers>,
    upstreams: Arc<Upstreams>,
    timer: Arc<Timer>,
) {
    let mut ticks = timer.subscribe(LIST_PERIOD.mul_f64(rand::random_range(0.8..1.2)));
    loop {
        match (platform.vms)(()).await {
            Ok(list) => list
                .into_iter()
                .for_each(|entry| take_entry(&peers, &upstreams, &entry)),
            Err(fault) => tracing::debug!(%fault, "no list of VMs"),
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

fn take_entry(peers: &Peers, upstreams: &Upstreams, entry: &platform_border::VmEntry) {
    let leaving = entry.state == platform_border::VmState::Leaving;
    match entry.kind {
        platform_border::VmKind::Router if leaving => {}
        platform_border::VmKind::Router => {
            let parsed = (
                entry.id.parse(),
                entry.address.parse(),
                entry.availability_zone.parse(),
            );
            if let (Ok(vm), Ok(address), Ok(zone)) = parsed {
                peers.heard_of(PeerEntry { vm, address, zone });
            } else {
                tracing::warn!(id = entry.id, "an entry of the list of VMs cannot be read");
            }
        }
        platform_border::VmKind::Upstream => {
            if let Ok(id) = entry.id.parse() {
                upstreams.listed(&id, leaving);
            }
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
