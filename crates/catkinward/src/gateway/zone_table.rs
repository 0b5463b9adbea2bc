//! How the VMs of a zone share what is read of the platform's table of upstreams.

use super::{feed::ZONE_AHEAD, *};

/// Time in which the table has been read here after something of it was missed.
const TABLE_READ: Duration = Duration::from_millis(300);

impl Gateway {
    /// Whether this VM reads the table for its zone.
    pub(crate) fn reads_for_zone(&self) -> bool {
        let now = self.timer.now();
        let mut zone_vms = self.zone_peers(now);
        zone_vms.push(self.settings.vm.clone());
        reads_for_zone(&self.settings.vm, &zone_vms)
    }

    /// Whether the table need not be read here now: another VM of the zone reads it and tells.
    pub(crate) fn relies_on_zone(&self) -> bool {
        !self.reads_for_zone() && matches!(self.news_state(), NewsState::Fresh(_))
    }

    /// Waits for as long as others tell what they read, and nothing of it is missing here.
    pub(crate) async fn rely_on_zone(&self) {
        while !self.reads_for_zone() {
            let mut came = std::pin::pin!(self.news_came.notified());
            came.as_mut().enable();
            let until = match self.news_state() {
                NewsState::Fresh(until) | NewsState::Behind(until) => until,
                NewsState::Silent => return,
            };
            let wait = until.since(self.timer.now());
            // Whichever comes first, the state is looked at again.
            let _ = tokio::time::timeout(wait, came).await;
        }
    }

    /// Takes in rows of the table that were read here, and tells the zone what is new in them. What another
    /// VM had in the store's place may be two seconds old; told on as if it were new, it would be relied on
    /// for as long again, so it is not.
    pub(crate) fn table_read(&self, page: &FeedPage<UpstreamEntry>, whole: bool, from_store: bool) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let read = state.table.read(&page.rows, whole, page.version);
        let entries = whole.then(|| state.table.entries());
        if from_store {
            state.news.read_here();
            state.table_read = Some(now);
        }
        drop(state);
        if let Some(entries) = entries {
            self.put_upstreams(entries.into_iter().filter_map(|row| row.entry).collect());
        } else {
            // Also those with nothing new in them: an upstream that was taken for gone is back with its next word.
            self.take_changes(read.current);
        }
        if from_store && !read.news.is_empty() {
            self.tell_zone(&read.news);
        }
    }

    /// The table for a VM that the platform turns away, if the platform was heard within `age`, here or by the
    /// VM whose word is relied on.
    #[must_use]
    pub fn table_page(&self, age: Duration) -> Option<FeedPage<UpstreamEntry>> {
        let now = self.timer.now();
        let state = self.state.lock();
        let read_here = state.table_read.map(|at| now.since(at));
        let told = match state.news.state(now) {
            NewsState::Fresh(_) => state.news.age(now),
            NewsState::Behind(_) | NewsState::Silent => None,
        };
        let fresh = [read_here, told].into_iter().flatten().any(|a| a <= age);
        fresh.then(|| FeedPage {
            version: state.table.version(),
            rows: state.table.entries(),
        })
    }

    /// Whether a page of a peer holds anything that is not known here already.
    pub(crate) fn is_behind(&self, page: &FeedPage<UpstreamEntry>) -> bool {
        self.table_version() < page.version
    }

    /// Tells the zone what was read here, if this VM reads for it.
    pub(crate) fn tell_zone(&self, changes: &[UpstreamChange]) {
        if !self.reads_for_zone() {
            return;
        }
        let now = self.timer.now();
        let state = self.state.lock();
        let Some(read) = state.table_read else {
            return;
        };
        let news = ZoneNews {
            vm: self.settings.vm.clone(),
            config: state.config.get().map(|config| config.version),
            version: state.table.version(),
            digest: state.table.digest(),
            age_ms: u32::try_from(now.since(read).as_millis()).unwrap_or(u32::MAX),
            changes: Vec::new(),
        };
        let told = state.peers.addresses_in(&self.settings.zone, now);
        drop(state);
        let parts = if changes.is_empty() {
            vec![Vec::new()]
        } else {
            changes.chunks(CHANGES_TOLD).map(<[_]>::to_vec).collect()
        };
        for changes in parts {
            let news = ZoneNews {
                changes,
                ..news.clone()
            };
            for address in &told {
                self.outbox.send(*address, PeerDatagram::News(news.clone()));
            }
        }
    }

    /// Takes in another VM's word on the table.
    pub fn take_news(&self, news: &ZoneNews) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let changes = state.table.told(&news.changes, news.version, news.digest);
        let table = std::mem::take(&mut state.table);
        state.news.take(news, &table, now);
        state.table = table;
        if matches!(state.news.state(now), NewsState::Fresh(_)) {
            state.directory.platform_answers(now);
        }
        drop(state);
        if !changes.is_empty() {
            tracing::info!(
                vm = &*news.vm,
                version = news.version,
                changes = changes.len(),
                age_ms = news.age_ms,
                "news of the zone"
            );
        }
        self.take_changes(changes);
        self.zone_config
            .send_modify(|newest| *newest = (*newest).max(news.config));
        self.news_came.notify_waiters();
    }

    /// Version of the store up to which the table is known here.
    pub(crate) fn table_version(&self) -> u64 {
        self.state.lock().table.version()
    }

    /// Waits until another VM of the zone has had a newer configuration in force for longer than it takes
    /// to come here, and is true then; or until nobody tells of theirs any more.
    pub(crate) async fn zone_goes_ahead(&self) -> bool {
        let mut newest = self.zone_config.subscribe();
        let mut missed = false;
        loop {
            let until = match self.news_state() {
                NewsState::Fresh(until) | NewsState::Behind(until) => {
                    missed = false;
                    until
                }
                NewsState::Silent if missed => return false,
                // A change of the table may have been missed, which is being read meanwhile.
                NewsState::Silent => {
                    missed = true;
                    self.timer.now().after(TABLE_READ)
                }
            };
            let own = self.config().map(|config| config.version);
            let theirs = *newest.borrow_and_update();
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

    fn news_state(&self) -> NewsState {
        let now = self.timer.now();
        self.state.lock().news.state(now)
    }

    fn zone_peers(&self, now: Instant) -> Vec<Arc<str>> {
        let state = self.state.lock();
        state.peers.live_in(&self.settings.zone, now).collect()
    }

    fn take_changes(&self, changes: Vec<UpstreamChange>) {
        for TableRow { key, entry, .. } in changes {
            match (entry, key.parse::<UpstreamId>()) {
                (Some(entry), _) => self.upstream_heard(entry),
                (None, Ok(id)) => self.upstream_removed(&id),
                // It never named an upstream, so there is none to remove.
                (None, Err(error)) => tracing::debug!(%key, %error, "removed entry left out"),
            }
        }
    }
}
