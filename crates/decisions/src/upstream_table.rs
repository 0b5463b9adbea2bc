//! What the platform's table of upstreams says, as one VM has read it, with a digest by which VMs find
//! out whether they have read the same.
//!
//! Load pattern: upstreams write their entries anew every second or so, most of the time with nothing
//! new in them. Were each VM to read all of these, 400 VMs before 900 upstreams would read 270 kB/s each,
//! and most calls of the platform's store would be theirs. So in each zone one or two VMs read the
//! table and tell the others what has changed in it, and the digest of the whole: a VM that missed
//! something finds out with the next word, and reads the table itself.

use super::*;

/// The rows of the table.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    /// Sorted by key.
    rows: Vec<Row>,
    version: u64,
    digest: u64,
}

#[derive(Clone, Debug)]
struct Row {
    key: Arc<str>,
    hash: u64,
    entry: UpstreamEntry,
}

/// A change of the table: an entry, or that it was removed.
pub type UpstreamChange = (Arc<str>, Option<UpstreamEntry>);

impl UpstreamTable {
    /// Version of the store up to which it holds.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All entries.
    #[must_use]
    pub fn entries(&self) -> Vec<UpstreamChange> {
        let entry = |row: &Row| (row.key.clone(), Some(row.entry.clone()));
        self.rows.iter().map(entry).collect()
    }

    /// Digest of what it says, whatever the order in which it was read.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes in all rows, or those that were written after the version before; returns those that say
    /// something new.
    pub fn read(
        &mut self,
        rows: &[UpstreamChange],
        whole: bool,
        version: u64,
    ) -> Vec<UpstreamChange> {
        let mut changes = Vec::new();
        if whole {
            let mut keys = rows.iter().map(|(key, _)| key).collect::<Vec<_>>();
            keys.sort_unstable();
            let gone = |row: &&Row| keys.binary_search(&&row.key).is_err();
            let gone = self.rows.iter().filter(gone);
            changes.extend(gone.map(|row| (row.key.clone(), None)));
        }
        changes.extend(rows.iter().cloned());
        changes.retain(|(key, entry)| self.put(key, entry.as_ref()));
        self.version = version;
        changes
    }

    /// Takes in another VM's word: changes, and the digest and version with them. Returns the changes
    /// that are news.
    pub fn told(
        &mut self,
        changes: &[UpstreamChange],
        version: u64,
        digest: u64,
    ) -> Vec<UpstreamChange> {
        if version <= self.version {
            return Vec::new();
        }
        let mut changes = changes.to_vec();
        changes.retain(|(key, entry)| self.put(key, entry.as_ref()));
        if self.digest == digest {
            self.version = version;
        }
        changes
    }

    /// Whether the word of another VM, which has read up to `version`, shows that something is missing.
    #[must_use]
    pub fn is_behind(&self, version: u64, digest: u64) -> bool {
        version > self.version && digest != self.digest
    }

    /// Sets or removes a row; whether that is a change.
    fn put(&mut self, key: &Arc<str>, entry: Option<&UpstreamEntry>) -> bool {
        let place = self.rows.binary_search_by(|row| row.key.cmp(key));
        let row = entry.map(|entry| Row {
            key: key.clone(),
            hash: hash(key, entry),
            entry: entry.clone(),
        });
        let before = place.ok().map(|index| self.rows[index].hash);
        let after = row.as_ref().map(|row| row.hash);
        if before == after {
            return false;
        }
        // Sums in any order are the same.
        self.digest = self
            .digest
            .wrapping_sub(before.unwrap_or(0))
            .wrapping_add(after.unwrap_or(0));
        match (place, row) {
            (Ok(index), Some(row)) => self.rows[index] = row,
            (Ok(index), None) => {
                self.rows.remove(index);
            }
            (Err(index), Some(row)) => self.rows.insert(index, row),
            (Err(_), None) => {}
        }
        true
    }
}

fn hash(key: &str, entry: &UpstreamEntry) -> u64 {
    let text = format!(
        "{key} {} {} {} {} {} {}",
        entry.id, entry.service, entry.address, entry.zone, entry.slots, entry.leaving
    );
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
