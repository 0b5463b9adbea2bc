//! The platform's table of upstreams as one VM has read it, with a digest by which VMs compare what they
//! have read.
//!
//! Upstreams rewrite their entries every second or so, most of the time without a change. If each VM read
//! all of these, 400 VMs in front of 900 upstreams would read 270 kB/s each, and most calls to the
//! platform's store would be theirs. So in each zone one or two VMs read the table and send the others its
//! changes and the digest of the complete table. A VM that missed a change detects this at the next update
//! and reads the table itself.
//!
//! Updates arrive late and out of order: datagrams overtake each other, and a VM that was partitioned or
//! paused sends what it reads then, which may be older than what others know. So each row carries the
//! version at which it was written, and an older row never replaces a newer one, nor one that was removed
//! since. Otherwise a lagging reader could restore an upstream that had left, and no later read of changes
//! would remove it again.
//!
//! The store may come back from an older copy of itself, in a new era, and then gives out versions again. So a
//! table belongs to one era, as do the versions of its rows, and only a complete read or a digest leads to the
//! next one.

use super::*;
use std::collections::VecDeque;

/// Maximum number of removals that are kept for VMs that catch up. A VM that misses more of them reads the
/// complete table.
const MAX_KEPT_REMOVALS: usize = 4096;

/// Rows of the table, with the position up to which they have been read and their digest.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    /// Sorted by key. Removed rows are kept until the table has been read up to their removal.
    rows: Vec<Row>,
    position: StorePosition,
    digest: u64,
    /// Versions and keys of removed rows, in the order in which they became known here.
    removals: VecDeque<(u64, Arc<str>)>,
    /// Version after which all removals are in `removals`; `None` before the first complete read.
    removals_complete_after: Option<u64>,
}

#[derive(Clone, Debug)]
struct Row {
    /// Hash of the entry; 0 if the row was removed.
    hash: u64,
    /// Version of the first known write with this content in the table's era.
    changed: u64,
    change: UpstreamChange,
}

/// A change of the table: an entry that was written, or its removal.
pub type UpstreamChange = TableRow<UpstreamEntry>;

/// Result of a read of the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableRead {
    /// Rows that are not older than the known ones, including those rewritten without a change, which show
    /// that the upstream is alive.
    pub current: Vec<UpstreamChange>,
    /// Rows of `current` whose content is new.
    pub changed: Vec<UpstreamChange>,
    /// Position before the read, if the table was known in an earlier era.
    pub left_era_at: Option<StorePosition>,
}

impl UpstreamTable {
    /// Position of the store up to which the table has been read.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Rows of the upstreams that are present, without removals.
    #[must_use]
    pub fn entries(&self) -> Vec<UpstreamChange> {
        let present = self.rows.iter().filter(|row| row.change.entry.is_some());
        present.map(|row| row.change.clone()).collect()
    }

    /// Whether all changes after a position are known here, including removals. A VM at version 0 has not read
    /// anything yet, and one in another era knows other rows; both need the complete table.
    #[must_use]
    pub fn knows_changes_since(&self, position: StorePosition) -> bool {
        let StorePosition { era, version } = position;
        let complete_after = self.removals_complete_after;
        era == self.position.era
            && version > 0
            && complete_after.is_some_and(|complete_after| complete_after <= version)
    }

    /// Rows that changed or were removed after a position up to which another VM knows the table; `None` if
    /// removals since then are not known here, so that the other VM needs the complete table.
    #[must_use]
    pub fn changes_since(&self, position: StorePosition) -> Option<Vec<UpstreamChange>> {
        if !self.knows_changes_since(position) {
            return None;
        }
        let version = position.version;
        let removed = self.removals.iter().filter(|(written, key)| {
            *written > version
                && self
                    .row_index(key)
                    .ok()
                    .is_none_or(|index| self.rows[index].change.entry.is_none())
        });
        let removed = removed.map(|(written, key)| UpstreamChange {
            key: key.clone(),
            written: *written,
            entry: None,
        });
        let changed = self
            .rows
            .iter()
            .filter(|row| row.change.entry.is_some() && row.changed > version)
            .map(|row| row.change.clone());
        Some(removed.chain(changed).collect())
    }

    /// Digest of the contents, independent of the order in which they were read.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Applies a read of the table: all rows if `complete`, otherwise those written after a position up to
    /// which the table was known. Changes of a later era are dropped: they do not continue the rows known here.
    pub fn apply_read(
        &mut self,
        rows: &[UpstreamChange],
        complete: bool,
        position: StorePosition,
    ) -> TableRead {
        let mut read = TableRead::default();
        if position < self.position {
            // The store served this read before it served changes that other VMs have sent since.
            return read;
        }
        if position.era > self.position.era {
            return if complete {
                self.replace(rows, position)
            } else {
                read
            };
        }
        let mut rows = rows.to_vec();
        let version = position.version;
        if complete {
            let removals = self.removals_absent_from(&rows, version);
            self.set_rows(removals, &mut read);
            self.removals_complete_after.get_or_insert(version);
        } else {
            let known = self.position.version;
            rows.retain(|row| row.written > known || self.is_current_version(row));
        }
        self.set_rows(rows, &mut read);
        self.advance_version(version);
        read
    }

    /// Applies an update of another VM: changes, with the digest and position of its table. Returns what is
    /// new here. An update of an earlier era is dropped; one of a later era is applied if that leads to the
    /// other VM's table.
    pub fn apply_update(
        &mut self,
        changes: &[UpstreamChange],
        position: StorePosition,
        digest: u64,
    ) -> TableRead {
        if position.era < self.position.era {
            return TableRead::default();
        }
        if position.era > self.position.era {
            return self.follow_into_era(changes, position, digest);
        }
        let mut changes = changes.to_vec();
        // Rows written up to this VM's version are known here, also if they were removed and dropped since.
        changes.retain(|change| change.written > self.position.version);
        let mut read = TableRead::default();
        self.set_rows(changes, &mut read);
        if position > self.position && self.digest == digest {
            self.advance_version(position.version);
        }
        read
    }

    /// Whether the digest of another VM, which has read up to `position`, shows that a change was missed
    /// here.
    #[must_use]
    pub fn is_behind(&self, position: StorePosition, digest: u64) -> bool {
        position > self.position && digest != self.digest
    }

    /// Replaces the table by a complete read of a later era.
    fn replace(&mut self, rows: &[UpstreamChange], position: StorePosition) -> TableRead {
        let mut next = Self {
            position: StorePosition::new(position.era, 0),
            ..Self::default()
        };
        let mut read = next.apply_read(rows, true, position);
        read.changed.retain(|change| {
            let known = self.row_index(&change.key);
            known.map_or(0, |index| self.rows[index].hash) != hash(change)
        });
        let removals = self.removals_absent_from(rows, position.version);
        read.current.extend_from_slice(&removals);
        read.changed.extend(removals);
        read.left_era_at = self.known_position();
        *self = next;
        read
    }

    /// Takes the known rows with some changes for the table of a later era, if they have its digest.
    fn follow_into_era(
        &mut self,
        changes: &[UpstreamChange],
        position: StorePosition,
        digest: u64,
    ) -> TableRead {
        let mut next = self.clone();
        for row in &mut next.rows {
            // Each row was written by then, but the version is not known here.
            row.change.written = 0;
        }
        let mut read = TableRead::default();
        next.set_rows(changes.to_vec(), &mut read);
        if next.digest != digest {
            return TableRead::default();
        }
        next.rows.retain(|row| row.change.entry.is_some());
        for row in &mut next.rows {
            row.change.written = position.version;
            row.changed = position.version;
        }
        next.removals.clear();
        next.removals_complete_after = self.removals_complete_after.map(|_| position.version);
        next.position = position;
        read.left_era_at = self.known_position();
        *self = next;
        read
    }

    /// Position of the table, if anything is known of it.
    fn known_position(&self) -> Option<StorePosition> {
        (self.position.version > 0).then_some(self.position)
    }

    /// Whether the row is known as it was written at that version. A row that is not, and is older than the
    /// table, was overwritten or removed since.
    fn is_current_version(&self, change: &UpstreamChange) -> bool {
        let found = self.row_index(&change.key);
        found.is_ok_and(|index| self.rows[index].change.written == change.written)
    }

    fn row_index(&self, key: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.change.key.as_ref().cmp(key))
    }

    /// Removals of the known rows that the complete table as of `version` does not contain.
    fn removals_absent_from(&self, rows: &[UpstreamChange], version: u64) -> Vec<UpstreamChange> {
        let mut keys = rows.iter().map(|row| &row.key).collect::<Vec<_>>();
        keys.sort_unstable();
        let missing = |row: &&Row| keys.binary_search(&&row.change.key).is_err();
        let present = self.rows.iter().filter(|row| row.change.entry.is_some());
        present
            .filter(missing)
            .map(|row| UpstreamChange {
                key: row.change.key.clone(),
                written: version,
                entry: None,
            })
            .collect()
    }

    fn record_removal(&mut self, removal: &UpstreamChange) {
        if self.removals.len() == MAX_KEPT_REMOVALS
            && let Some((dropped, _)) = self.removals.pop_front()
        {
            self.removals_complete_after = self
                .removals_complete_after
                .map(|version| version.max(dropped));
        }
        self.removals
            .push_back((removal.written, removal.key.clone()));
    }

    fn set_rows(&mut self, changes: Vec<UpstreamChange>, read: &mut TableRead) {
        for change in changes {
            match self.set_row(&change) {
                SetOutcome::Older => {}
                SetOutcome::Unchanged => read.current.push(change),
                SetOutcome::Changed => {
                    read.current.push(change.clone());
                    read.changed.push(change);
                }
            }
        }
    }

    fn advance_version(&mut self, version: u64) {
        self.position.version = self.position.version.max(version);
        let known = self.position.version;
        self.rows
            .retain(|row| row.change.entry.is_some() || row.change.written > known);
    }

    /// Sets a row unless a newer one is known.
    fn set_row(&mut self, change: &UpstreamChange) -> SetOutcome {
        let found = self.row_index(&change.key);
        let before = found.ok().map_or(0, |index| self.rows[index].hash);
        if found.is_ok_and(|index| self.rows[index].change.written > change.written) {
            return SetOutcome::Older;
        }
        let hash = hash(change);
        if change.entry.is_none() {
            self.record_removal(change);
        }
        let changed = match found {
            Ok(index) if before == hash => self.rows[index].changed,
            _ => change.written,
        };
        let row = Row {
            hash,
            changed,
            change: change.clone(),
        };
        match found {
            Ok(index) => self.rows[index] = row,
            Err(index) => self.rows.insert(index, row),
        }
        // A sum does not depend on the order in which the rows were read.
        self.digest = self.digest.wrapping_sub(before).wrapping_add(hash);
        if before == hash {
            SetOutcome::Unchanged
        } else {
            SetOutcome::Changed
        }
    }
}

/// Outcome of setting a row.
enum SetOutcome {
    /// A newer row is known.
    Older,
    /// The content of the row is unchanged.
    Unchanged,
    /// The content of the row is new.
    Changed,
}

fn hash(change: &UpstreamChange) -> u64 {
    let Some(entry) = &change.entry else {
        return 0;
    };
    let key = &change.key;
    let version = entry.version.as_ref().map_or("", SoftwareVersion::as_str);
    let text = format!(
        "{key} {} {} {} {} {} {} {version}",
        entry.id, entry.service, entry.address, entry.zone, entry.slots, entry.leaving
    );
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
