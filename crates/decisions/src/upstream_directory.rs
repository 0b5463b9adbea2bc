//! Which upstreams there are, from entries that the platform keeps of them.
//!
//! An entry that says "leaving" is believed for as long as that incarnation is known. An entry that
//! is removed means that the upstream is gone, with one exception: entries lapse while the platform
//! itself is away, although their upstreams live, and come back within [`LAPSE_GRACE`] of its return.
//! Without that exception an outage of the platform would end with no upstream at all, seen as
//! refusals of everything.
//!
//! An upstream that starts again under its id is a new incarnation: the earlier one is superseded for good,
//! and an entry of the earlier one that is read late is left out. By the same rule an upstream whose clock
//! stepped back between two starts, by more than the first of them lasted, gets no call until its entry is removed
//! or it starts once more; to believe it would let a late entry bring back what has left.
//!
//! Restart reports of other VMs carry no row, so an upstream that is known by a report alone is dropped unless
//! its row is read within [`LAPSE_GRACE`] of the platform's return. Stale restart reports of removed upstreams are
//! ignored, also where the upstream was never known here.
//!
//! Two entries may show one address. Mostly the upstream at it crashed and started anew under another id, so the
//! entry that is heard last replaces the other. But it may also be a foreign one, so that is not for good:
//! an answer of the replaced upstream brings it back, and an upstream that answers for another id at
//! its address is denied until its entry changes.

use super::*;

/// Time after the platform's return within which entries that lapsed meanwhile come back; the
/// platform promises about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// How long an upstream that is gone is remembered: longer than any entry is read late. Its id may come back
/// afterwards, also where nobody says when a process started.
const REMEMBERED: Duration = Duration::from_secs(30);

/// An upstream's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its incarnation.
    #[serde(rename = "i")]
    pub id: UpstreamIncarnation,
    /// Service that it belongs to.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Where it takes calls.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: AvailabilityZone,
    /// Calls that it serves at once.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Whether it has said that it is leaving.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Version of its software, where that matters.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
}

/// What became of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Presence {
    /// It takes calls.
    Present,
    /// Its entry lapsed around an outage of the platform; it counts as present until then.
    Lapsed(Instant),
    /// It is known by a restart report and no row of it was read yet. It takes calls, once the platform answers
    /// until then only.
    Reported(Option<Instant>),
    /// Another entry shows its address.
    Replaced,
    /// Another upstream answers at its address.
    Denied,
    /// It is leaving and takes no new calls.
    Leaving,
    /// It is gone.
    Gone,
    /// It has started again under its id, so this incarnation is gone for good.
    Superseded,
}

/// What has changed for an upstream.
pub type PresenceChange = (UpstreamIncarnation, Presence);

/// The upstreams known, sorted by incarnation.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    known: Vec<Known>,
    /// Upstreams that were removed before they were known here, sorted, and when.
    tombstones: Vec<(UpstreamId, Instant)>,
    addresses: AddressIndex,
    outage: Outage,
    comparisons: ComparisonCounter,
}

#[derive(Clone, Debug)]
struct Known {
    entry: Arc<UpstreamEntry>,
    presence: Presence,
    /// Whether its row was read.
    has_row: bool,
    /// Since when it was found to be gone.
    gone_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
enum Outage {
    #[default]
    None,
    Now,
    Until(Instant),
}

impl UpstreamDirectory {
    /// Takes in an entry; returns what has changed by it.
    pub fn heard(&mut self, entry: UpstreamEntry) -> Vec<PresenceChange> {
        if let Ok(index) = self.tombstone(&entry.id.id) {
            self.tombstones.remove(index);
        }
        let mut changes = Vec::new();
        let Some(id) = self.take(entry, &mut changes) else {
            return changes;
        };
        if let Ok(index) = self.position(&id) {
            let address = self.known[index].entry.address;
            self.addresses.insert(address, id.clone());
        }
        self.replace_at_address(&id, &[], &mut changes);
        changes
    }

    /// Takes in an entry, but for its address; returns its incarnation unless an earlier one was read late.
    fn take(
        &mut self,
        mut entry: UpstreamEntry,
        changes: &mut Vec<PresenceChange>,
    ) -> Option<UpstreamIncarnation> {
        if let Some(newest) = self.newest(&entry.id.id) {
            if entry.id.is_before(newest.born) {
                return None;
            }
            if entry.id.born.is_none() {
                entry.id = newest;
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
                known.renew(entry)
            }
            Err(index) => {
                let presence = presence_of(&entry);
                let known = Known {
                    entry: Arc::new(entry),
                    presence,
                    has_row: true,
                    gone_since: None,
                };
                self.known.insert(index, known);
                Some(presence)
            }
        };
        changes.extend(presence.map(|presence| (id.clone(), presence)));
        Some(id)
    }

    /// Notes that an upstream has started at `born`, by its own report or that of another VM. Its entry is
    /// the one before until it is read anew. A report of an upstream that was removed is stale.
    pub fn started(
        &mut self,
        id: &UpstreamId,
        born: ProcessStart,
        now: Instant,
    ) -> Vec<PresenceChange> {
        let Some(newest) = self.newest(id) else {
            return Vec::new();
        };
        let Ok(index) = self.position(&newest) else {
            return Vec::new();
        };
        if !newest.is_before(Some(born)) || self.known[index].is_removed(now) {
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
        self.reported(entry)
    }

    /// Takes in an upstream that was found at the address of `before`, by itself or by the report of another VM;
    /// its row was not read yet.
    ///
    /// # Errors
    ///
    /// Why it is not taken in.
    pub fn restarted(
        &mut self,
        restart: &UpstreamRestart,
        evidence: RestartEvidence,
    ) -> Result<Vec<PresenceChange>, StaleRestart> {
        let id = &restart.entry.id.id;
        if self.knows(id) {
            return Err(StaleRestart::Known);
        }
        if self.tombstone(id).is_ok() {
            return Err(StaleRestart::Removed);
        }
        if let RestartEvidence::PeerReport(table) = evidence {
            if table.current {
                return Err(StaleRestart::TableIsCurrent);
            }
            if restart.version < table.version {
                return Err(StaleRestart::TableIsNewer);
            }
        }
        let mut changes = self.denied(&restart.before, Some(id));
        changes.extend(self.reported(restart.entry.clone()));
        Ok(changes)
    }

    /// Takes in an upstream without a row of its own.
    fn reported(&mut self, entry: UpstreamEntry) -> Vec<PresenceChange> {
        let id = entry.id.clone();
        let mut changes = self.heard(entry);
        if let Ok(index) = self.position(&id) {
            let known = &mut self.known[index];
            known.has_row = false;
            known.presence = known.present();
        }
        for (_, presence) in changes.iter_mut().filter(|(changed, _)| *changed == id) {
            *presence = Presence::Reported(None);
        }
        changes
    }

    /// Notes that an entry was removed; returns the upstream's presence if that is new.
    pub fn removed(&mut self, id: &UpstreamId, now: Instant) -> Option<PresenceChange> {
        let Some(newest) = self.newest(id) else {
            match self.tombstone(id) {
                Ok(index) => self.tombstones[index].1 = now,
                Err(index) => self.tombstones.insert(index, (id.clone(), now)),
            }
            return None;
        };
        let index = self.position(&newest).ok()?;
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
        (known.presence != before).then_some((newest, known.presence))
    }

    /// Takes in all entries at once: those not among them were removed.
    ///
    /// Sorted before they are taken in, so that each is found by a search and new ones go to the end of a table
    /// that was empty.
    pub fn snapshot(
        &mut self,
        mut entries: Vec<UpstreamEntry>,
        now: Instant,
    ) -> Vec<PresenceChange> {
        let comparisons = &self.comparisons;
        entries.sort_by(|a, b| comparisons.note(a.id.cmp(&b.id)));
        // Of two entries at one address the order does not tell which is the newer: the older one is removed
        // soon. Taken for replaced, the newer one would get no call as long as it lives.
        let listed = entries
            .iter()
            .map(|entry| entry.id.id.clone())
            .collect::<Vec<_>>();
        let mut missing = self
            .known
            .iter()
            .map(|known| known.entry.id.id.clone())
            .filter(|id| !self.is_among(&listed, id))
            .collect::<Vec<_>>();
        missing.dedup();
        let mut changes = Vec::new();
        for id in missing {
            changes.extend(self.removed(&id, now));
        }
        let taken = entries
            .into_iter()
            .filter_map(|entry| self.take(entry, &mut changes))
            .collect::<Vec<_>>();
        self.index_addresses();
        for id in taken {
            self.replace_at_address(&id, &listed, &mut changes);
        }
        changes
    }

    fn index_addresses(&mut self) {
        let shown = |known: &Known| (known.entry.address, known.entry.id.clone());
        self.addresses.set(self.known.iter().map(shown));
    }

    /// Whether an id is in a sorted list.
    fn is_among(&self, listed: &[UpstreamId], id: &UpstreamId) -> bool {
        listed
            .binary_search_by(|other| self.comparisons.note(other.cmp(id)))
            .is_ok()
    }

    /// Notes that an upstream answered by itself: no other one has its address.
    pub fn answered(&mut self, id: &UpstreamIncarnation) -> Vec<PresenceChange> {
        let mut changes = Vec::new();
        if let Ok(index) = self.position(id)
            && self.known[index].presence == Presence::Replaced
        {
            let presence = self.known[index].present();
            self.known[index].presence = presence;
            changes.push((id.clone(), presence));
            self.replace_at_address(id, &[], &mut changes);
        }
        changes
    }

    /// Notes that `by` answered at the address of an upstream in its place, if it says who it is.
    pub fn denied(
        &mut self,
        id: &UpstreamIncarnation,
        by: Option<&UpstreamId>,
    ) -> Vec<PresenceChange> {
        let mut changes = Vec::new();
        if let Ok(index) = self.position(id) {
            let known = &mut self.known[index];
            if known.is_new_after(Presence::Denied) {
                changes.push((id.clone(), Presence::Denied));
            }
        }
        if let Some(by) = by.and_then(|by| self.newest(by)) {
            changes.extend(self.answered(&by));
        }
        changes
    }

    /// Whether an upstream of that id is known.
    #[must_use]
    pub fn knows(&self, id: &UpstreamId) -> bool {
        self.newest(id).is_some()
    }

    /// Notes that the platform does not answer.
    pub fn platform_lost(&mut self) {
        self.outage = Outage::Now;
    }

    /// Notes that the platform answers.
    pub fn platform_answers(&mut self, now: Instant) {
        match self.outage {
            Outage::Now => self.outage = Outage::Until(now.after(LAPSE_GRACE)),
            Outage::Until(until) if now >= until => self.outage = Outage::None,
            _ => {}
        }
        for known in &mut self.known {
            if known.presence == Presence::Reported(None) {
                known.presence = Presence::Reported(Some(now.after(LAPSE_GRACE)));
            }
        }
        self.tombstones
            .retain(|(_, removed)| now.since(*removed) < REMEMBERED);
        let before = self.known.len();
        self.known.retain_mut(|known| !known.is_forgotten(now));
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

    /// Entry of an upstream that takes new calls.
    #[must_use]
    pub fn get_usable(
        &self,
        id: &UpstreamIncarnation,
        now: Instant,
    ) -> Option<&Arc<UpstreamEntry>> {
        let known = &self.known[self.position(id).ok()?];
        known.is_usable(now).then_some(&known.entry)
    }

    /// Comparisons made so far: the work that reading entries costs, whatever the machine.
    #[must_use]
    pub fn comparisons(&self) -> u64 {
        self.comparisons.count() + self.addresses.comparisons()
    }

    /// The latest incarnation of an upstream.
    fn newest(&self, id: &UpstreamId) -> Option<UpstreamIncarnation> {
        let end = self
            .known
            .partition_point(|known| self.comparisons.note(known.entry.id.id <= *id));
        let last = &self.known[end.checked_sub(1)?].entry.id;
        (last.id == *id).then(|| last.clone())
    }

    /// Notes that the earlier incarnations of an upstream are gone.
    fn supersede(&mut self, id: &UpstreamIncarnation, changes: &mut Vec<PresenceChange>) {
        let end = self.position(id).unwrap_or_else(|index| index);
        for known in self.known[..end].iter_mut().rev() {
            if self.comparisons.note(known.entry.id.id != id.id) {
                break;
            }
            if known.is_new_after(Presence::Superseded) {
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
            .filter(|other| other.id != id.id && !self.is_among(except, &other.id))
            .cloned()
            .collect::<Vec<_>>();
        for other in replaced {
            let Ok(index) = self.position(&other) else {
                continue;
            };
            let known = &mut self.known[index];
            if matches!(
                known.presence,
                Presence::Present | Presence::Lapsed(_) | Presence::Reported(_)
            ) {
                known.presence = Presence::Replaced;
                changes.push((other, Presence::Replaced));
            }
        }
    }

    fn tombstone(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.tombstones
            .binary_search_by(|(removed, _)| removed.cmp(id))
    }

    fn position(&self, id: &UpstreamIncarnation) -> Result<usize, usize> {
        self.known
            .binary_search_by(|known| self.comparisons.note(known.entry.id.cmp(id)))
    }
}

impl Known {
    /// Its presence while it takes calls.
    fn present(&self) -> Presence {
        if self.has_row {
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

    /// Whether its row was removed, or has lapsed for so long that it counts as removed.
    fn is_removed(&self, now: Instant) -> bool {
        match self.presence {
            Presence::Gone => true,
            Presence::Lapsed(until) | Presence::Reported(Some(until)) => now >= until,
            _ => false,
        }
    }

    /// Takes in its entry once more; returns its presence if that is new.
    fn renew(&mut self, mut entry: UpstreamEntry) -> Option<Presence> {
        let before = self.presence;
        self.has_row = true;
        let moved = self.entry.address != entry.address;
        // An entry read late may still say ready. Kept so, the next one like it would bring back what has left.
        entry.leaving |= self.entry.leaving;
        self.presence = match before {
            Presence::Gone if entry.leaving => Presence::Gone,
            Presence::Superseded => Presence::Superseded,
            Presence::Denied if !moved => Presence::Denied,
            _ => presence_of(&entry),
        };
        if *self.entry != entry {
            self.entry = Arc::new(entry);
        }
        (self.presence != before).then_some(self.presence)
    }

    /// Whether it has been gone for so long that nothing of it is needed any more.
    fn is_forgotten(&mut self, now: Instant) -> bool {
        if !self.is_removed(now) && self.presence != Presence::Superseded {
            self.gone_since = None;
            return false;
        }
        let since = *self.gone_since.get_or_insert(now);
        now.since(since) >= REMEMBERED
    }

    /// Sets its presence; whether that is a change.
    fn is_new_after(&mut self, presence: Presence) -> bool {
        let before = std::mem::replace(&mut self.presence, presence);
        before != presence
    }
}

fn presence_of(entry: &UpstreamEntry) -> Presence {
    if entry.leaving {
        Presence::Leaving
    } else {
        Presence::Present
    }
}
