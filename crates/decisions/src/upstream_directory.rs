//! Which upstreams there are, from entries that the platform keeps of them.
//!
//! An entry that says "leaving" is believed for as long as that incarnation is known. An entry that
//! is removed means that the upstream is gone, with one exception: entries lapse while the platform
//! itself is away, although their upstreams live, and come back within [`LAPSE_GRACE`] of its return.
//! Without that exception an outage of the platform would end with no upstream at all, seen as
//! refusals of everything. A new incarnation at a known address replaces the older one there.

use super::*;

/// Time after the platform's return within which entries that lapsed meanwhile come back; the
/// platform promises about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// An upstream's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its incarnation: each start has an id of its own.
    #[serde(rename = "i")]
    pub id: UpstreamId,
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
}

/// What became of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Presence {
    /// It takes calls.
    Present,
    /// Its entry lapsed around an outage of the platform; it counts as present until then.
    Lapsed(Instant),
    /// It is leaving and takes no new calls.
    Leaving,
    /// It is gone.
    Gone,
}

/// The upstreams known, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    known: Vec<Known>,
    outage: Outage,
}

#[derive(Clone, Debug)]
struct Known {
    entry: Arc<UpstreamEntry>,
    presence: Presence,
}

#[derive(Clone, Copy, Debug, Default)]
enum Outage {
    #[default]
    None,
    Now,
    Until(Instant),
}

impl UpstreamDirectory {
    /// Takes in an entry; returns its presence if that is new.
    pub fn heard(&mut self, entry: UpstreamEntry) -> Option<Presence> {
        self.replace_at_address(&entry, &[]);
        self.take(entry)
    }

    fn take(&mut self, entry: UpstreamEntry) -> Option<Presence> {
        let index = match self.position(&entry.id) {
            Ok(index) => index,
            Err(index) => {
                let presence = presence_of(&entry);
                let entry = Arc::new(entry);
                self.known.insert(index, Known { entry, presence });
                return Some(presence);
            }
        };
        let known = &mut self.known[index];
        let before = known.presence;
        known.presence = match before {
            // Sticky: an entry read late may still say ready.
            Presence::Leaving => Presence::Leaving,
            Presence::Gone if known.entry.leaving => Presence::Gone,
            _ => presence_of(&entry),
        };
        if *known.entry != entry {
            known.entry = Arc::new(entry);
        }
        (known.presence != before).then_some(known.presence)
    }

    /// Notes that an entry was removed; returns the upstream's presence if that is new.
    pub fn removed(&mut self, id: &UpstreamId, now: Instant) -> Option<Presence> {
        let index = self.position(id).ok()?;
        let grace = match self.outage {
            Outage::Now => Some(now.after(LAPSE_GRACE)),
            Outage::Until(until) if now < until => Some(until),
            _ => None,
        };
        let known = &mut self.known[index];
        let before = known.presence;
        known.presence = match (before, grace) {
            (Presence::Present, Some(until)) => Presence::Lapsed(until),
            (Presence::Lapsed(until), _) if now < until => before,
            _ => Presence::Gone,
        };
        (known.presence != before).then_some(known.presence)
    }

    /// Takes in all entries at once: those not among them were removed.
    pub fn snapshot(
        &mut self,
        entries: Vec<UpstreamEntry>,
        now: Instant,
    ) -> Vec<(UpstreamId, Presence)> {
        let missing = self
            .known
            .iter()
            .map(|known| known.entry.id.clone())
            .filter(|id| entries.iter().all(|entry| entry.id != *id))
            .collect::<Vec<_>>();
        // Of two entries at one address the order does not tell which is the newer: the older one is removed
        // soon. Taken for replaced, the newer one would get no call as long as it lives.
        let listed = entries.iter().map(|e| e.id.clone()).collect::<Vec<_>>();
        let mut changes = Vec::new();
        for id in missing {
            if let Some(presence) = self.removed(&id, now) {
                changes.push((id, presence));
            }
        }
        for entry in entries {
            let id = entry.id.clone();
            self.replace_at_address(&entry, &listed);
            if let Some(presence) = self.take(entry) {
                changes.push((id, presence));
            }
        }
        changes
    }

    /// Notes that an upstream is gone, from its own address: another incarnation answers there.
    pub fn gone(&mut self, id: &UpstreamId) {
        if let Ok(index) = self.position(id) {
            self.known[index].presence = Presence::Gone;
        }
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
    pub fn get_usable(&self, id: &UpstreamId, now: Instant) -> Option<&Arc<UpstreamEntry>> {
        let known = &self.known[self.position(id).ok()?];
        known.is_usable(now).then_some(&known.entry)
    }

    fn replace_at_address(&mut self, entry: &UpstreamEntry, except: &[UpstreamId]) {
        for known in &mut self.known {
            if known.entry.address == entry.address
                && known.entry.id != entry.id
                && !entry.leaving
                && !except.contains(&known.entry.id)
            {
                known.presence = Presence::Gone;
            }
        }
    }

    fn position(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.known.binary_search_by(|known| known.entry.id.cmp(id))
    }
}

impl Known {
    fn is_usable(&self, now: Instant) -> bool {
        match self.presence {
            Presence::Present => true,
            Presence::Lapsed(until) => now < until,
            Presence::Leaving | Presence::Gone => false,
        }
    }
}

fn presence_of(entry: &UpstreamEntry) -> Presence {
    if entry.leaving {
        Presence::Leaving
    } else {
        Presence::Present
    }
}
