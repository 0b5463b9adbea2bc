//! Sharing of the platform's table of upstreams between the VMs of a zone.

use super::*;

impl Gateway {
    /// Role of this VM in its zone.
    pub(crate) fn zone_role(&self) -> ZoneRole {
        ZoneRole::of(&self.settings.vm, &self.zone_members())
    }

    /// Whether another VM of the zone has what this VM would read from the store: this VM has it from there, or can
    /// read it there.
    pub(crate) fn zone_has_table(&self) -> bool {
        self.relies_on_zone()
            || (self.is_in_large_zone()
                && self.zone_role() != ZoneRole::Reader
                && self.advertiser_of_missed_changes().is_some())
    }

    /// Whether this VM need not read the table now, because another VM of the zone reads and
    /// advertises it.
    pub(crate) fn relies_on_zone(&self) -> bool {
        let role = self.zone_role();
        role != ZoneRole::Reader && matches!(self.gossip_state(role), GossipState::Fresh(_))
    }

    /// Waits as long as other VMs advertise the table and no update is missing here.
    pub(crate) async fn rely_on_zone(&self) {
        loop {
            let mut arrived = std::pin::pin!(self.gossip_received.notified());
            arrived.as_mut().enable();
            let role = self.zone_role();
            if role == ZoneRole::Reader {
                return;
            }
            let until = match self.gossip_state(role) {
                GossipState::Fresh(until) | GossipState::Behind(until) => until,
                GossipState::Silent => return,
            };
            let wait = until.since(self.timer.now());
            // In either case the state is checked again.
            let _ = tokio::time::timeout(wait, arrived).await;
        }
    }

    /// Waits until the zone advertises what `relies` checks for.
    pub(crate) async fn wait_for_zone(&self, relies: fn(&Self) -> bool) {
        loop {
            let mut arrived = std::pin::pin!(self.gossip_received.notified());
            arrived.as_mut().enable();
            if relies(self) {
                return;
            }
            arrived.await;
        }
    }

    /// Applies rows of the table that this VM has read, and advertises the new ones to the zone if
    /// they come from the store. Rows from another VM may be two seconds old; advertised as new,
    /// they would be relied on for as long again.
    pub(crate) fn apply_table_read(
        &self,
        page: &FeedPage<UpstreamEntry>,
        whole: bool,
        from_store: bool,
    ) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let known = state.table.position();
        if page.position < known && self.log.admits(LineKind::Belief, now) {
            tracing::info!(
                position = %page.position,
                %known,
                whole,
                from_store,
                "read of the table is older than the table"
            );
        }
        let read = state.table.apply_read(&page.rows, whole, page.position);
        let entries = whole.then(|| entries_of(&state.table));
        if from_store {
            state.gossip.record_own_read();
            state.table_read = Some(now);
        }
        drop(state);
        match (read.left_era_at, entries) {
            (Some(before), Some(entries)) => {
                log_era_change(before, page.position, &read, None);
                self.put_copied_upstreams(entries);
            }
            (None, Some(entries)) => self.put_upstreams(entries),
            // Unchanged entries are applied too: an upstream that was considered gone is present
            // again with its next entry.
            (_, None) => self.apply_changes(read.current),
        }
        if from_store {
            self.advertise_to_zone(&read.changed);
        }
    }

    /// The table for a VM that the platform rejects, if this VM or the VM whose gossip it relies on
    /// had a response of the platform within `age`.
    #[must_use]
    pub fn table_page(&self, age: Duration) -> Option<FeedPage<UpstreamEntry>> {
        let is_known = self.knows_table_within(age);
        let state = self.state.lock();
        is_known.then(|| FeedPage {
            position: state.table.position(),
            rows: state.table.entries(),
            more: None,
        })
    }

    /// Whether this VM or the VM whose gossip it relies on had a response of the platform within `age`.
    pub(crate) fn knows_table_within(&self, age: Duration) -> bool {
        let now = self.timer.now();
        let state = self.state.lock();
        let read_here = state.table_read.map(|at| now.since(at));
        let advertised = match state.gossip.state(GOSSIP_MAX_AGE, now) {
            GossipState::Fresh(_) => state.gossip.store_age(now),
            GossipState::Behind(_) | GossipState::Silent => None,
        };
        [read_here, advertised]
            .into_iter()
            .flatten()
            .any(|a| a <= age)
    }

    /// Whether a page of a peer is newer than the table here.
    pub(crate) fn is_behind(&self, page: &FeedPage<UpstreamEntry>) -> bool {
        self.table_position() < page.position
    }

    /// Advertises what this VM has read to the zone, if its role includes that and the data is
    /// recent.
    pub(crate) fn advertise_to_zone(&self, changes: &[UpstreamChange]) {
        self.advertise(changes, Vec::new());
    }

    /// Advertises the table at the interval of heartbeats, with the members of a large zone that are due.
    pub(crate) fn advertise_with_members(&self, interval: u64) {
        let now = self.timer.now();
        let zone = &self.settings.zone;
        let members = self.state.lock().peers.relayed_members(zone, interval, now);
        self.advertise(&[], members);
    }

    fn advertise(&self, changes: &[UpstreamChange], members: Vec<Vec<MemberStatus>>) {
        if self.zone_role() == ZoneRole::Member {
            return;
        }
        let now = self.timer.now();
        let readers = self.zone_vms().len().saturating_sub(1);
        let state = self.state.lock();
        let read = state
            .table_read
            .filter(|at| now.since(*at) < GOSSIP_MAX_AGE);
        let Some(read) = read else {
            return;
        };
        let age_ms = |at: Instant| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let config = state.config.get();
        let gossip = ZoneGossip {
            vm: self.settings.vm.clone(),
            config: config.map(|config| config.version),
            config_from_store: config.is_some_and(|config| {
                !link_carries_config(
                    self.settings.link,
                    config.bytes,
                    readers,
                    feed::PEER_READ_TIMEOUT,
                )
            }),
            config_age_ms: state.config_read.map(age_ms),
            position: state.table.position(),
            digest: state.table.digest(),
            age_ms: age_ms(read),
            changes: Vec::new(),
            link: self.settings.link,
            members: Vec::new(),
        };
        let recipients = state.peers.addresses_in(&self.settings.zone, now);
        drop(state);
        let link = self.settings.link;
        let parts = if changes.is_empty() || !gossips_changes(changes.len(), recipients.len(), link)
        {
            vec![Vec::new()]
        } else {
            changes
                .chunks(MAX_GOSSIPED_CHANGES)
                .map(<[_]>::to_vec)
                .collect()
        };
        let (mut parts, mut members) = (parts.into_iter(), members.into_iter());
        loop {
            let (part, relayed) = (parts.next(), members.next());
            if part.is_none() && relayed.is_none() {
                break;
            }
            let gossip = ZoneGossip {
                changes: part.unwrap_or_default(),
                members: relayed.unwrap_or_default(),
                ..gossip.clone()
            };
            self.outbox
                .send_to_all(recipients.clone(), PeerDatagram::Gossip(gossip));
        }
    }

    /// Applies another VM's gossip about the table that came from `address`.
    pub fn receive_gossip(&self, gossip: &ZoneGossip, address: SocketAddr) {
        self.observe_store_era(gossip.position.era);
        let now = self.timer.now();
        let mut state = self.state.lock();
        // The sender is a member that may not be known yet. Without it, this VM could consider
        // itself alone and read for the zone too.
        let sender = MemberStatus {
            vm: gossip.vm.clone(),
            zone: None,
            address,
            age_ms: 0,
            link: gossip.link,
        };
        let zone = &self.settings.zone;
        state.peers.apply_members(&[sender], zone, now);
        state.peers.apply_members(&gossip.members, zone, now);
        let read = state
            .table
            .apply_update(&gossip.changes, gossip.position, gossip.digest);
        let table = std::mem::take(&mut state.table);
        state.gossip.record(gossip, &table, now);
        if table.is_behind(gossip.position, gossip.digest) {
            state.table_advertiser = Some(address);
        }
        let entries = read.left_era_at.map(|_| entries_of(&table));
        state.table = table;
        if matches!(
            state.gossip.state(GOSSIP_MAX_AGE, now),
            GossipState::Fresh(_)
        ) {
            state.directory.record_platform_response(now);
        }
        let before = state.last_gossip_from.replace(gossip.vm.clone());
        drop(state);
        if before.as_ref() != Some(&gossip.vm) && self.log.admits(LineKind::Belief, now) {
            tracing::info!(
                vm = &*gossip.vm,
                before = before.as_deref(),
                version = %gossip.position,
                age_ms = gossip.age_ms,
                "table is advertised by another VM"
            );
        }
        if !read.changed.is_empty() {
            tracing::info!(
                vm = &*gossip.vm,
                version = %gossip.position,
                changes = read.changed.len(),
                age_ms = gossip.age_ms,
                "gossip received"
            );
        }
        match (read.left_era_at, entries) {
            (Some(before), Some(entries)) => {
                log_era_change(before, gossip.position, &read, Some(&gossip.vm));
                self.put_copied_upstreams(entries);
            }
            _ => self.apply_changes(read.changed),
        }
        self.record_advertised_config(gossip, address);
        self.gossip_received.notify_waiters();
    }

    /// Whether the table is kept up to date here, from the store or through another VM of the zone.
    pub(crate) fn table_is_current(&self) -> bool {
        let now = self.timer.now();
        let state = self.state.lock();
        let read = state
            .table_read
            .is_some_and(|at| now.since(at) < GOSSIP_MAX_AGE && !state.directory_is_stale);
        drop(state);
        read || matches!(self.gossip_state(ZoneRole::Member), GossipState::Fresh(_))
    }

    /// Position of the store up to which the table is known here.
    pub(crate) fn table_position(&self) -> StorePosition {
        self.state.lock().table.position()
    }

    pub(crate) fn gossip_state(&self, role: ZoneRole) -> GossipState {
        let age = if role == ZoneRole::Standby {
            STANDBY_MAX_AGE
        } else {
            GOSSIP_MAX_AGE
        };
        let now = self.timer.now();
        let state = self.state.lock();
        if state.directory_is_stale {
            // Datagrams sent before this process was suspended still arrive and appear recent.
            return GossipState::Silent;
        }
        state.gossip.state(age, now)
    }

    /// Whether the zone is large enough that only a few of its VMs poll the store.
    pub(crate) fn is_in_large_zone(&self) -> bool {
        is_large_zone(self.zone_vms().len())
    }

    /// Live VMs of this zone, including this one, with their links.
    pub(crate) fn zone_members(&self) -> Vec<ZoneVm> {
        let now = self.timer.now();
        let state = self.state.lock();
        let others = state.peers.zone_vms(&self.settings.zone, now);
        let mut vms = others.collect::<Vec<_>>();
        vms.push(ZoneVm {
            vm: self.settings.vm.clone(),
            link: self.settings.link,
        });
        vms
    }

    /// Names of the live VMs of this zone, including this one.
    pub(crate) fn zone_vms(&self) -> Vec<Arc<str>> {
        let now = self.timer.now();
        let state = self.state.lock();
        let mut vms = state
            .peers
            .live_in(&self.settings.zone, now)
            .collect::<Vec<_>>();
        vms.push(self.settings.vm.clone());
        vms
    }

    pub(crate) fn apply_changes(&self, changes: Vec<UpstreamChange>) {
        for TableRow { key, entry, .. } in changes {
            match (entry, key.parse::<UpstreamId>()) {
                (Some(entry), _) => self.upstream_updated(entry),
                (None, Ok(id)) => self.upstream_removed(&id),
                // The key was never the id of an upstream, so there is nothing to remove.
                (None, Err(error)) => tracing::debug!(%key, %error, "bad id of a removed entry"),
            }
        }
    }
}

fn entries_of(table: &UpstreamTable) -> Vec<UpstreamEntry> {
    let rows = table.entries().into_iter();
    rows.filter_map(|row| row.entry).collect()
}

/// Logs that the table follows the store into a later era, by a read of it or by an update of another VM.
fn log_era_change(
    before: StorePosition,
    after: StorePosition,
    read: &TableRead,
    advertised_by: Option<&str>,
) {
    let removed = read
        .changed
        .iter()
        .filter(|row| row.entry.is_none())
        .count();
    tracing::warn!(feed = "upstreams", %before, %after, removed,
        changed = read.changed.len() - removed, advertised_by,
        "the store has come back from an older copy: table replaced");
}
