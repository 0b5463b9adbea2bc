//! Sharing of the configuration between the VMs of a zone.
//!
//! If every VM kept a request for changes waiting at the store and renewed it every few seconds,
//! whether or not anything changed, the requests would grow with the number of VMs. In a large zone
//! only the reader does so. Its gossip advertises the version in force there and the time since the
//! store last answered; the other VMs read a newer version from the VM that advertised it. A reader
//! whose own request hangs, or that the store rejects, advertises a growing age, and is not relied
//! on for longer than [`catkin_decisions::CONFIG_GOSSIP_MAX_AGE`].

use super::*;

/// How long the zone may have a newer configuration before this VM retries its own request, which
/// should have been answered: far longer than a response in transit takes.
const ZONE_LEAD_TIMEOUT: Duration = Duration::from_millis(150);

/// Time within which this VM has read the table again after it missed an update.
const TABLE_READ_TIME: Duration = Duration::from_millis(300);

/// Configuration that another VM of the zone has in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct AdvertisedConfig {
    /// Version of the configuration.
    pub(crate) version: ConfigVersion,
    /// Heartbeat address of the VM that advertised the version first.
    pub(crate) by: SocketAddr,
    /// Whether the configuration must be read from the store, not from that VM.
    pub(crate) from_store: bool,
}

impl Gateway {
    /// Records the configuration that another VM of the zone has in force.
    pub(crate) fn record_advertised_config(&self, gossip: &ZoneGossip, by: SocketAddr) {
        let Some(version) = gossip.config else {
            return;
        };
        let from_store = gossip.config_from_store;
        self.zone_config.send_if_modified(|newest| {
            let newer = newest.is_none_or(|advertised| advertised.version < version);
            if newer {
                *newest = Some(AdvertisedConfig {
                    version,
                    by,
                    from_store,
                });
            }
            newer
        });
    }

    /// Records that the store answered a request for the configuration.
    pub(crate) fn record_config_read(&self) {
        let now = self.timer.now();
        self.state.lock().config_read = Some(now);
    }

    /// Whether this VM need not request the configuration from the store, because other VMs of a
    /// large zone do so and advertise it.
    pub(crate) fn relies_on_zone_config(&self) -> bool {
        self.config_relied_on_until().is_some()
    }

    fn config_relied_on_until(&self) -> Option<Instant> {
        let zone_vms = self.zone_members();
        let role = ZoneRole::of(&self.settings.vm, &zone_vms);
        if role == ZoneRole::Reader || !is_large_zone(zone_vms.len()) {
            return None;
        }
        let now = self.timer.now();
        let advertised_until = match self.gossip_state(ZoneRole::Member) {
            GossipState::Fresh(until) | GossipState::Behind(until) => until,
            GossipState::Silent => return None,
        };
        let state = self.state.lock();
        let until = state.gossip.config_valid_until()?.min(advertised_until);
        (!state.config_is_stale && now < until).then_some(until)
    }

    /// Waits until the zone advertises a newer configuration than the one in force here; returns
    /// `None` as soon as the zone cannot be relied on for it.
    pub(crate) async fn newer_config_in_zone(&self) -> Option<AdvertisedConfig> {
        let mut suspensions = self.suspensions.subscribe();
        let mut newest = self.zone_config.subscribe();
        loop {
            let until = self.config_relied_on_until()?;
            let own = self.config().map(|config| config.version);
            let advertised = *newest.borrow_and_update();
            if let Some(advertised) = advertised.filter(|advertised| own < Some(advertised.version))
            {
                return Some(advertised);
            }
            let wait = until.since(self.timer.now());
            // In every case the state is checked again.
            tokio::select! {
                _ = newest.changed() => {}
                _ = suspensions.changed() => {}
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    /// Waits until another VM of the zone has had a newer configuration in force for longer than
    /// its transfer takes, and returns `true`; returns `false` once no VM advertises a
    /// configuration any more.
    pub(crate) async fn wait_for_newer_config(&self) -> bool {
        let mut newest = self.zone_config.subscribe();
        let mut missed = false;
        loop {
            let until = match self.gossip_state(ZoneRole::Member) {
                GossipState::Fresh(until) | GossipState::Behind(until) => {
                    missed = false;
                    until
                }
                GossipState::Silent if missed => return false,
                // An update of the table may have been missed; the table is being read in the
                // meantime.
                GossipState::Silent => {
                    missed = true;
                    self.timer.now().after(TABLE_READ_TIME)
                }
            };
            let own = self.config().map(|config| config.version);
            let theirs = newest
                .borrow_and_update()
                .map(|advertised| advertised.version);
            if own < theirs {
                tokio::time::sleep(ZONE_LEAD_TIMEOUT).await;
                if self.config().map(|config| config.version) < theirs {
                    tracing::warn!(config = ?theirs,
                        "another VM of the zone has a newer configuration");
                    return true;
                }
            }
            let wait = until.since(self.timer.now());
            // In either case both versions are checked again.
            let _ = tokio::time::timeout(wait, newest.changed()).await;
        }
    }
}
