//! Directory of the known upstreams, built from the entries that the platform stores for them.
//!
//! An entry that says "leaving" applies for as long as that incarnation is known. A removed entry means
//! that the upstream has stopped, with one exception: during an outage of the platform, entries expire although
//! their upstreams are alive, and return within [`LAPSE_GRACE`] of the platform's return. Without that
//! exception an outage would end with no upstreams at all, and every call would be refused.
//!
//! An upstream that restarts under its id is a new incarnation: it supersedes the earlier one permanently,
//! and an entry of the earlier one that arrives late is ignored. By the same rule, an upstream whose clock
//! stepped back between two starts, by more than the first process lived, gets no calls until its entry is
//! removed or it restarts again. Accepting it would let a late entry restore an upstream that has left.
//!
//! Restart reports of other VMs carry no row, so an upstream that is known only from a report is dropped
//! unless its row is read within [`LAPSE_GRACE`] of the platform's return. Stale restart reports of removed
//! upstreams are ignored, even if the upstream was never known here.
//!
//! When the store comes back from an older copy, it lists upstreams again that have been removed since. An
//! upstream that runs writes its entry again; the entry of one that has gone is removed after [`COPY_GRACE`] at
//! the latest. The upstream gets no calls before the entry is written again, or has been kept for that long while
//! the platform responded.
//!
//! Two entries may have the same address. Usually the upstream there crashed and restarted under another
//! id, so the entry that arrives last replaces the other. The entry may also belong to an unrelated
//! upstream, so a replacement is not final: a response of the replaced upstream restores it, and an
//! upstream at whose address another id responds is denied until its entry changes.

use super::*;

/// Time after the platform's return within which entries that expired during the outage return; the
/// platform promises about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Time within which the platform removes the entries of upstreams that do not write them, three times the
/// interval at which they do, and each VM has read of it.
pub const COPY_GRACE: Duration = Duration::from_secs(6);

/// How long a removed upstream is remembered: longer than any entry is delayed. Afterwards its id may be
/// used again, also by upstreams that do not report when they started.
const REMOVED_RETENTION: Duration = Duration::from_secs(30);

/// Entry of an upstream in the platform's table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Incarnation that the entry describes.
    #[serde(rename = "i")]
    pub id: UpstreamIncarnation,
    /// Service that it belongs to.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Address at which it takes calls.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: AvailabilityZone,
    /// Number of calls that it serves at once.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Version of its software, where that matters.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
}

/// State of an upstream in the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Presence {
    /// It takes calls.
    Present,
    /// Its entry expired around an outage of the platform; it takes calls until the given time.
    Lapsed(Instant),
    /// It is known from a restart report, and its row has not been read yet. It takes calls; once the
    /// platform responds, only until the given time.
    Reported(Option<Instant>),
    /// Another entry has its address.
    Replaced,
    /// Another upstream responds at its address.
    Denied,
    /// It is leaving and takes no new calls.
    Leaving,
    /// Its entry was removed.
    Gone,
    /// Its entry was removed, and is in the copy from which the store came back. It takes calls once its entry is
    /// written again, or at the first response of the platform after the given time.
    Returning(Instant),
    /// It has restarted under its id, so this incarnation has ended permanently.
    Superseded,
}

/// An upstream and its new presence.
pub type PresenceChange = (UpstreamIncarnation, Presence);

/// Known upstreams, sorted by incarnation.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    known: Vec<KnownUpstream>,
    /// Upstreams that were removed before they were known here, sorted by id, with the time of the removal.
    tombstones: Vec<(UpstreamId, Instant)>,
    addresses: AddressIndex,
    outage: Outage,
    /// Time of the platform's last response.
    last_response: Option<Instant>,
    comparisons: ComparisonCounter,
}

#[derive(Clone, Debug)]
struct KnownUpstream {
    entry: Arc<UpstreamEntry>,
    presence: Presence,
    /// Whether its row was read from the platform's table.
    has_row: bool,
    /// When it was first found to be removed or superseded.
    removed_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
enum Outage {
    #[default]
    None,
    Now,
    Until(Instant),
}

impl UpstreamDirectory {
    /// Applies an entry; returns the resulting changes of presence.
    pub fn apply_entry(&mut self, entry: UpstreamEntry) -> Vec<PresenceChange> {
        if let Ok(index) = self.tombstone_position(&entry.id.id) {
            self.tombstones.remove(index);
        }
        self.record_written(&entry.id.id);
        let mut changes = Vec::new();
        let Some(id) = self.apply_without_address(entry, &mut changes) else {
            return changes;
        };
        if let Ok(index) = self.position(&id) {
            let address = self.known[index].entry.address;
            self.addresses.insert(address, id.clone());
        }
        self.replace_at_address(&id, &[], &mut changes);
        changes
    }

    /// Applies an entry except for its address; returns its incarnation, or `None` for a late entry of an
    /// earlier incarnation.
    fn apply_without_address(
        &mut self,
        mut entry: UpstreamEntry,
        changes: &mut Vec<PresenceChange>,
    ) -> Option<UpstreamIncarnation> {
        if let Some(latest) = self.latest(&entry.id.id) {
            if entry.id.is_before(latest.born) {
                return None;
            }
            if entry.id.born.is_none() {
                entry.id = latest;
            }
        }
        self.supersede(&entry.id, changes);
        let id = entry.id.clone();
        let presence = match self.position(&id) {
            Ok(index) => {
                let known = &mut self.known[index];
                if known.entry.address != entry.address {
                    self.addresses.remove(known.entry.address, &id);
                }
                known.update(entry)
            }
            Err(index) => {
                let presence = initial_presence(&entry);
                let known = KnownUpstream {
                    entry: Arc::new(entry),
                    presence,
                    has_row: true,
                    removed_since: None,
                };
                self.known.insert(index, known);
                Some(presence)
            }
        };
        changes.extend(presence.map(|presence| (id.clone(), presence)));
        Some(id)
    }

    /// Records that an upstream has started at `born`, by its own report or that of another VM. The entry
    /// of the earlier incarnation is used until the new one is read. A report of a removed upstream is
    /// stale and is ignored.
    pub fn record_start(
        &mut self,
        id: &UpstreamId,
        born: ProcessStart,
        now: Instant,
    ) -> Vec<PresenceChange> {
        let Some(latest) = self.latest(id) else {
            return Vec::new();
        };
        let Ok(index) = self.position(&latest) else {
            return Vec::new();
        };
        if !latest.is_before(Some(born)) || self.known[index].is_removed(now) {
            return Vec::new();
        }
        let entry = UpstreamEntry {
            id: UpstreamIncarnation {
                id: id.clone(),
                born: Some(born),
            },
            leaving: false,
            ..UpstreamEntry::clone(&self.known[index].entry)
        };
        self.add_without_row(entry)
    }

    /// Adds an upstream that was found at the address of `before` and whose row has not been read yet.
    ///
    /// # Errors
    ///
    /// Returns why the restart is not accepted.
    pub fn apply_restart(
        &mut self,
        restart: &UpstreamRestart,
        evidence: RestartEvidence,
    ) -> Result<Vec<PresenceChange>, StaleRestart> {
        let id = &restart.entry.id.id;
        if self.contains(id) {
            return Err(StaleRestart::Known);
        }
        if self.tombstone_position(id).is_ok() {
            return Err(StaleRestart::Removed);
        }
        if let RestartEvidence::PeerReport(table) = evidence {
            if table.current {
                return Err(StaleRestart::TableIsCurrent);
            }
            if restart.position < table.position {
                return Err(StaleRestart::TableIsNewer);
            }
        }
        let mut changes = self.record_denial(&restart.before, Some(id));
        changes.extend(self.add_without_row(restart.entry.clone()));
        Ok(changes)
    }

    /// Adds an upstream whose row has not been read. The version of the earlier process says nothing about its own.
    fn add_without_row(&mut self, mut entry: UpstreamEntry) -> Vec<PresenceChange> {
        entry.version = None;
        let id = entry.id.clone();
        let mut changes = self.apply_entry(entry);
        if let Ok(index) = self.position(&id) {
            let known = &mut self.known[index];
            known.has_row = false;
            known.presence = known.usable_presence();
        }
        for (_, presence) in changes.iter_mut().filter(|(changed, _)| *changed == id) {
            *presence = Presence::Reported(None);
        }
        changes
    }

    /// Records that an entry was removed; returns the upstream's presence if it changed.
    pub fn remove_entry(&mut self, id: &UpstreamId, now: Instant) -> Option<PresenceChange> {
        let Some(latest) = self.latest(id) else {
            match self.tombstone_position(id) {
                Ok(index) => self.tombstones[index].1 = now,
                Err(index) => self.tombstones.insert(index, (id.clone(), now)),
            }
            return None;
        };
        let index = self.position(&latest).ok()?;
        let grace = match self.outage {
            Outage::Now => Some(now.after(LAPSE_GRACE)),
            Outage::Until(until) if now < until => Some(until),
            _ => None,
        };
        let known = &mut self.known[index];
        let before = known.presence;
        known.presence = match (before, grace) {
            (Presence::Present | Presence::Reported(_), Some(until)) => Presence::Lapsed(until),
            (Presence::Lapsed(until), _) if now < until => before,
            _ => Presence::Gone,
        };
        (known.presence != before).then_some((latest, known.presence))
    }

    /// Whether another process is known to run at the address of an upstream.
    #[must_use]
    pub fn has_ended(&self, id: &UpstreamIncarnation) -> bool {
        self.position(id).is_ok_and(|index| {
            matches!(
                self.known[index].presence,
                Presence::Superseded | Presence::Replaced | Presence::Denied
            )
        })
    }

    /// Applies a complete read of the entries; upstreams without an entry in it were removed.
    ///
    /// The entries are sorted first, so that each is found by binary search and new ones are appended to an
    /// empty directory.
    pub fn apply_snapshot(
        &mut self,
        mut entries: Vec<UpstreamEntry>,
        now: Instant,
    ) -> Vec<PresenceChange> {
        let comparisons = &self.comparisons;
        entries.sort_by(|a, b| comparisons.record(a.id.cmp(&b.id)));
        // The order of two listed entries with one address does not show which is newer, so neither
        // replaces the other; the older one is removed soon. If the newer one counted as replaced, it would
        // get no calls for as long as it lives.
        let listed = entries
            .iter()
            .map(|entry| entry.id.id.clone())
            .collect::<Vec<_>>();
        let mut missing = self
            .known
            .iter()
            .map(|known| known.entry.id.id.clone())
            .filter(|id| !self.is_listed(&listed, id))
            .collect::<Vec<_>>();
        missing.dedup();
        let mut changes = Vec::new();
        for id in missing {
            changes.extend(self.remove_entry(&id, now));
        }
        let applied = entries
            .into_iter()
            .filter_map(|entry| self.apply_without_address(entry, &mut changes))
            .collect::<Vec<_>>();
        self.index_addresses();
        for id in applied {
            self.replace_at_address(&id, &listed, &mut changes);
        }
        changes
    }

    /// Applies a complete read of the entries from a store that has come back from an older copy. The entries of
    /// upstreams that were removed before do not show that these run.
    pub fn apply_copy(&mut self, entries: Vec<UpstreamEntry>, now: Instant) -> Vec<PresenceChange> {
        let mut listed = entries.iter().map(|entry| &entry.id.id).collect::<Vec<_>>();
        listed.sort_unstable();
        let returning = Presence::Returning(now.after(COPY_GRACE));
        let mut changes = Vec::new();
        for known in &mut self.known {
            let id = &known.entry.id;
            if known.is_removed(now)
                && !known.entry.leaving
                && listed.binary_search(&&id.id).is_ok()
            {
                changes.push((id.clone(), returning));
                known.presence = returning;
            }
        }
        changes.extend(self.apply_snapshot(entries, now));
        changes
    }

    /// Records that an upstream that may have gone has written its entry.
    fn record_written(&mut self, id: &UpstreamId) {
        let index = self.latest(id).and_then(|id| self.position(&id).ok());
        if let Some(index) = index
            && matches!(self.known[index].presence, Presence::Returning(_))
        {
            self.known[index].presence = Presence::Gone;
        }
    }

    fn index_addresses(&mut self) {
        let address_and_id = |known: &KnownUpstream| (known.entry.address, known.entry.id.clone());
        self.addresses
            .rebuild(self.known.iter().map(address_and_id));
    }

    /// Whether an id is in a sorted list.
    fn is_listed(&self, listed: &[UpstreamId], id: &UpstreamId) -> bool {
        listed
            .binary_search_by(|other| self.comparisons.record(other.cmp(id)))
            .is_ok()
    }

    /// Records a response of the upstream itself, which shows that no other upstream has its address.
    pub fn record_response(&mut self, id: &UpstreamIncarnation) -> Vec<PresenceChange> {
        let mut changes = Vec::new();
        if let Ok(index) = self.position(id)
            && self.known[index].presence == Presence::Replaced
        {
            let presence = self.known[index].usable_presence();
            self.known[index].presence = presence;
            changes.push((id.clone(), presence));
            self.replace_at_address(id, &[], &mut changes);
        }
        changes
    }

    /// Records that an upstream is leaving, as it stated in a response; returns its presence if it changed. Like a row
    /// that says so, this applies for as long as the incarnation is known.
    pub fn record_leaving(&mut self, id: &UpstreamIncarnation) -> Option<PresenceChange> {
        let index = self.position(id).ok()?;
        let known = &mut self.known[index];
        if !known.entry.leaving {
            known.entry = Arc::new(UpstreamEntry {
                leaving: true,
                ..UpstreamEntry::clone(&known.entry)
            });
        }
        let changed = matches!(
            known.presence,
            Presence::Present
                | Presence::Lapsed(_)
                | Presence::Reported(_)
                | Presence::Returning(_)
        ) && known.set_presence(Presence::Leaving);
        changed.then(|| (id.clone(), Presence::Leaving))
    }

    /// Records that another upstream responded at the address of `id`; `by` is its id, if it gave one.
    pub fn record_denial(
        &mut self,
        id: &UpstreamIncarnation,
        by: Option<&UpstreamId>,
    ) -> Vec<PresenceChange> {
        let mut changes = Vec::new();
        if let Ok(index) = self.position(id) {
            let known = &mut self.known[index];
            if known.set_presence(Presence::Denied) {
                changes.push((id.clone(), Presence::Denied));
            }
        }
        if let Some(by) = by.and_then(|by| self.latest(by)) {
            changes.extend(self.record_response(&by));
        }
        changes
    }

    /// Whether an upstream with this id is known.
    #[must_use]
    pub fn contains(&self, id: &UpstreamId) -> bool {
        self.latest(id).is_some()
    }

    /// Records that the platform does not respond.
    pub fn record_platform_outage(&mut self) {
        self.outage = Outage::Now;
    }

    /// Records that the platform responds. Limits the time for which upstreams without a row are used, and
    /// evicts upstreams that have been removed for long enough.
    pub fn record_platform_response(&mut self, now: Instant) {
        match self.outage {
            Outage::Now => self.outage = Outage::Until(now.after(LAPSE_GRACE)),
            Outage::Until(until) if now >= until => self.outage = Outage::None,
            _ => {}
        }
        let previous = self.last_response.replace(now);
        // What the platform removed in the meantime is read with this response or after it.
        let was_silent = previous.is_none_or(|previous| now.since(previous) >= LAPSE_GRACE);
        for known in &mut self.known {
            match known.presence {
                Presence::Reported(None) => {
                    known.presence = Presence::Reported(Some(now.after(LAPSE_GRACE)));
                }
                Presence::Returning(_) if was_silent => {
                    known.presence = Presence::Returning(now.after(COPY_GRACE));
                }
                Presence::Returning(from) if now >= from => known.presence = Presence::Present,
                _ => {}
            }
        }
        self.tombstones
            .retain(|(_, removed)| now.since(*removed) < REMOVED_RETENTION);
        let before = self.known.len();
        self.known.retain_mut(|known| !known.is_evictable(now));
        if self.known.len() < before {
            self.index_addresses();
        }
    }

    /// Upstreams of a service that take new calls, sorted by id.
    pub fn usable(
        &self,
        service: &ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = &Arc<UpstreamEntry>> {
        self.known
            .iter()
            .filter(move |known| known.entry.service == *service && known.is_usable(now))
            .map(|known| &known.entry)
    }

    /// Number of upstreams that take new calls.
    #[must_use]
    pub fn usable_count(&self, now: Instant) -> usize {
        let usable = self.known.iter().filter(|known| known.is_usable(now));
        usable.count()
    }

    /// Entry of an upstream, if it takes new calls.
    #[must_use]
    pub fn get_usable(
        &self,
        id: &UpstreamIncarnation,
        now: Instant,
    ) -> Option<&Arc<UpstreamEntry>> {
        let known = &self.known[self.position(id).ok()?];
        known.is_usable(now).then_some(&known.entry)
    }

    /// The usable incarnation of an upstream.
    #[must_use]
    pub fn find_usable(&self, id: &UpstreamId, now: Instant) -> Option<&Arc<UpstreamEntry>> {
        let first = self.known.partition_point(|known| known.entry.id.id < *id);
        let mut same = self.known[first..]
            .iter()
            .take_while(|known| known.entry.id.id == *id);
        same.find(|known| known.is_usable(now))
            .map(|known| &known.entry)
    }

    /// Number of comparisons made so far: the cost of reading entries, independent of the machine.
    #[must_use]
    pub fn comparisons(&self) -> u64 {
        self.comparisons.count() + self.addresses.comparisons()
    }

    /// The latest incarnation of an upstream.
    fn latest(&self, id: &UpstreamId) -> Option<UpstreamIncarnation> {
        let end = self
            .known
            .partition_point(|known| self.comparisons.record(known.entry.id.id <= *id));
        let last = &self.known[end.checked_sub(1)?].entry.id;
        (last.id == *id).then(|| last.clone())
    }

    /// Marks the earlier incarnations of an upstream as superseded.
    fn supersede(&mut self, id: &UpstreamIncarnation, changes: &mut Vec<PresenceChange>) {
        let end = self.position(id).unwrap_or_else(|index| index);
        for known in self.known[..end].iter_mut().rev() {
            if self.comparisons.record(known.entry.id.id != id.id) {
                break;
            }
            if known.set_presence(Presence::Superseded) {
                changes.push((known.entry.id.clone(), Presence::Superseded));
            }
        }
    }

    fn replace_at_address(
        &mut self,
        id: &UpstreamIncarnation,
        except: &[UpstreamId],
        changes: &mut Vec<PresenceChange>,
    ) {
        let Ok(index) = self.position(id) else {
            return;
        };
        if !matches!(
            self.known[index].presence,
            Presence::Present | Presence::Reported(_)
        ) {
            return;
        }
        let address = self.known[index].entry.address;
        let replaced = self
            .addresses
            .at(address)
            .filter(|other| other.id != id.id && !self.is_listed(except, &other.id))
            .cloned()
            .collect::<Vec<_>>();
        for other in replaced {
            let Ok(index) = self.position(&other) else {
                continue;
            };
            let known = &mut self.known[index];
            if matches!(
                known.presence,
                Presence::Present
                    | Presence::Lapsed(_)
                    | Presence::Reported(_)
                    | Presence::Returning(_)
            ) {
                known.presence = Presence::Replaced;
                changes.push((other, Presence::Replaced));
            }
        }
    }

    fn tombstone_position(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.tombstones
            .binary_search_by(|(removed, _)| removed.cmp(id))
    }

    fn position(&self, id: &UpstreamIncarnation) -> Result<usize, usize> {
        self.known
            .binary_search_by(|known| self.comparisons.record(known.entry.id.cmp(id)))
    }
}

impl KnownUpstream {
    /// Presence of the upstream while it runs.
    fn usable_presence(&self) -> Presence {
        if self.entry.leaving {
            Presence::Leaving
        } else if self.has_row {
            Presence::Present
        } else {
            Presence::Reported(None)
        }
    }

    fn is_usable(&self, now: Instant) -> bool {
        match self.presence {
            Presence::Present | Presence::Reported(None) => true,
            Presence::Lapsed(until) | Presence::Reported(Some(until)) => now < until,
            _ => false,
        }
    }

    /// Whether its row was removed, or has been expired for so long that it counts as removed.
    fn is_removed(&self, now: Instant) -> bool {
        match self.presence {
            Presence::Gone | Presence::Returning(_) => true,
            Presence::Lapsed(until) | Presence::Reported(Some(until)) => now >= until,
            _ => false,
        }
    }

    /// Updates the entry; returns the presence if it changed.
    fn update(&mut self, mut entry: UpstreamEntry) -> Option<Presence> {
        let before = self.presence;
        self.has_row = true;
        let moved = self.entry.address != entry.address;
        // A late entry may not say yet that the upstream is leaving. If it cleared the flag, the next entry
        // like it would restore an upstream that has left.
        entry.leaving |= self.entry.leaving;
        self.presence = match before {
            Presence::Gone | Presence::Returning(_) if entry.leaving => Presence::Gone,
            Presence::Returning(from) => Presence::Returning(from),
            Presence::Superseded => Presence::Superseded,
            Presence::Denied if !moved => Presence::Denied,
            _ => initial_presence(&entry),
        };
        if *self.entry != entry {
            self.entry = Arc::new(entry);
        }
        (self.presence != before).then_some(self.presence)
    }

    /// Whether it has been removed or superseded for so long that it can be evicted.
    fn is_evictable(&mut self, now: Instant) -> bool {
        if !self.is_removed(now) && self.presence != Presence::Superseded {
            self.removed_since = None;
            return false;
        }
        let since = *self.removed_since.get_or_insert(now);
        now.since(since) >= REMOVED_RETENTION
    }

    /// Sets the presence; returns whether it changed.
    fn set_presence(&mut self, presence: Presence) -> bool {
        let before = std::mem::replace(&mut self.presence, presence);
        before != presence
    }
}

fn initial_presence(entry: &UpstreamEntry) -> Presence {
    if entry.leaving {
        Presence::Leaving
    } else {
        Presence::Present
    }
}
