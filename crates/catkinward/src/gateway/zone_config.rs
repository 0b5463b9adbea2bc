//! How the VMs of a zone share what is read of the configuration.
//!
//! Load pattern: each VM that holds a question for changes at the store asks it anew every few seconds, whether or
//! not anything changes, so that calls of the store grow with the VMs. In a large zone only its reader does. It
//! tells with each word which configuration is in force there and when the store was last asked; the others read a
//! newer one from the VM that told of it. A reader whose own question hangs, or that the store turns away, tells an
//! age that grows, and is not relied on for longer than [`CONFIG_GOSSIP_MAX_AGE`].

use super::*;

/// How long the zone may be ahead with its configuration before a question of this VM's own, which should have
/// been answered, is asked anew: far longer than an answer that is on its way takes.
const ZONE_AHEAD: Duration = Duration::from_millis(150);

/// Time in which the table has been read here after something of it was missed.
const TABLE_READ: Duration = Duration::from_millis(300);

/// Configuration that another VM of the zone has in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct AdvertisedConfig {
    /// Its version.
    pub(crate) version: ConfigVersion,
    /// Address of the notes of the VM that told of it first.
    pub(crate) by: SocketAddr,
    /// Whether it is read from the store, and not from that VM.
    pub(crate) from_store: bool,
}

impl Gateway {
    /// Notes what configuration another VM of the zone has in force.
    pub(crate) fn config_told(&self, gossip: &ZoneGossip, by: SocketAddr) {
        let Some(version) = gossip.config else {
            return;
        };
        let from_store = gossip.config_from_store;
        self.zone_config.send_if_modified(|newest| {
            let newer = newest.is_none_or(|told| told.version < version);
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

    /// Notes that the store was asked for the configuration and answered.
    pub(crate) fn config_read(&self) {
        let now = self.timer.now();
        self.state.lock().config_read = Some(now);
    }

    /// Whether the store need not be asked for the configuration here: others of a large zone ask and tell.
    pub(crate) fn relies_on_zone_config(&self) -> bool {
        self.config_relied_on_until().is_some()
    }

    fn config_relied_on_until(&self) -> Option<Instant> {
        let zone_vms = self.zone_vms();
        let role = ZoneRole::of(&self.settings.vm, &zone_vms);
        if role == ZoneRole::Reader || !is_large_zone(zone_vms.len()) {
            return None;
        }
        let now = self.timer.now();
        let told_until = match self.gossip_state(ZoneRole::Member) {
            GossipState::Fresh(until) | GossipState::Behind(until) => until,
            GossipState::Silent => return None,
        };
        let state = self.state.lock();
        let until = state.gossip.config_valid_until()?.min(told_until);
        (!state.old_config && now < until).then_some(until)
    }

    /// Waits until the zone tells of a newer configuration than is in force here; `None` as soon as the zone cannot
    /// be relied on for it.
    pub(crate) async fn newer_config_in_zone(&self) -> Option<AdvertisedConfig> {
        let mut wakes = self.wakes.subscribe();
        let mut newest = self.zone_config.subscribe();
        loop {
            let until = self.config_relied_on_until()?;
            let own = self.config().map(|config| config.version);
            let told = *newest.borrow_and_update();
            if let Some(told) = told.filter(|told| own < Some(told.version)) {
                return Some(told);
            }
            let wait = until.since(self.timer.now());
            // Whichever comes first, all is looked at again.
            tokio::select! {
                _ = newest.changed() => {}
                _ = wakes.changed() => {}
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    /// Waits until another VM of the zone has had a newer configuration in force for longer than it takes
    /// to come here, and is true then; or until nobody tells of theirs any more.
    pub(crate) async fn zone_goes_ahead(&self) -> bool {
        let mut newest = self.zone_config.subscribe();
        let mut missed = false;
        loop {
            let until = match self.gossip_state(ZoneRole::Member) {
                GossipState::Fresh(until) | GossipState::Behind(until) => {
                    missed = false;
                    until
                }
                GossipState::Silent if missed => return false,
                // A change of the table may have been missed, which is being read meanwhile.
                GossipState::Silent => {
                    missed = true;
                    self.timer.now().after(TABLE_READ)
                }
            };
            let own = self.config().map(|config| config.version);
            let theirs = newest.borrow_and_update().map(|told| told.version);
            if own < theirs {
                tokio::time::sleep(ZONE_AHEAD).await;
                if self.config().map(|config| config.version) < theirs {
                    tracing::warn!(config = ?theirs, "the zone has a newer configuration");
                    return true;
                }
            }
            let wait = until.since(self.timer.now());
            // Whichever comes first, both are looked at again.
            let _ = tokio::time::timeout(wait, newest.changed()).await;
        }
    }
}
