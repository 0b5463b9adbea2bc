//! The platform's table of upstreams as one VM has read it, with a digest by which VMs compare what they
//! have read.
//!
//! Upstreams rewrite their entries every second or so, most of the time without a change. If each VM read
//! all of these, 400 VMs in front of 900 upstreams would read 270 kB/s each, and most calls to the
//! platform's store would be theirs. So in each zone one or two VMs read the table and send the others its
//! changes and the digest of the whole. A VM that missed a change notices at the next update and reads the
//! table itself.
//!
//! Updates arrive late and out of order: datagrams overtake each other, and a VM that was partitioned or
//! paused sends what it reads then, which may be older than what others know. So each row carries the
//! version at which it was written, and an older row never replaces a newer one, nor one that was removed
//! since. Otherwise a lagging reader could restore an upstream that had left, and no later read of changes
//! would remove it again.

use super::*;

/// Rows of the table, with the version up to which they have been read and their digest.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    /// Sorted by key. Removed rows are kept until the table has been read up to their removal.
    rows: Vec<Row>,
    version: u64,
    digest: u64,
}

#[derive(Clone, Debug)]
struct Row {
    /// Hash of the entry; 0 if the row was removed.
    hash: u64,
    row: UpstreamChange,
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
    pub news: Vec<UpstreamChange>,
}

impl UpstreamTable {
    /// Version of the store up to which the table has been read.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Rows of the upstreams that are present, without removals.
    #[must_use]
    pub fn entries(&self) -> Vec<UpstreamChange> {
        let present = self.rows.iter().filter(|row| row.row.entry.is_some());
        present.map(|row| row.row.clone()).collect()
    }

    /// Digest of the contents, independent of the order in which they were read.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Applies all rows if `whole`, otherwise those written after a version up to which the table was
    /// known.
    pub fn read(&mut self, rows: &[UpstreamChange], whole: bool, version: u64) -> TableRead {
        let mut read = TableRead::default();
        if version < self.version {
            // The store served this read before it served changes that other VMs have sent since.
            return read;
        }
        let mut rows = rows.to_vec();
        if whole {
            let gone = self.missing_in(&rows, version);
            self.take_all(gone, &mut read);
        } else {
            rows.retain(|row| row.written > self.version || self.holds(row));
        }
        self.take_all(rows, &mut read);
        self.known_up_to(version);
        read
    }

    /// Applies an update of another VM: changes, with the digest and version of its table. Returns the
    /// changes that are new here.
    pub fn told(
        &mut self,
        changes: &[UpstreamChange],
        version: u64,
        digest: u64,
    ) -> Vec<UpstreamChange> {
        let mut changes = changes.to_vec();
        // Rows written up to this VM's version are known here, also if they were removed and dropped since.
        changes.retain(|change| change.written > self.version);
        let mut told = TableRead::default();
        self.take_all(changes, &mut told);
        if version > self.version && self.digest == digest {
            self.known_up_to(version);
        }
        told.news
    }

    /// Whether the digest of another VM, which has read up to `version`, shows that a change was missed
    /// here.
    #[must_use]
    pub fn is_behind(&self, version: u64, digest: u64) -> bool {
        version > self.version && digest != self.digest
    }

    /// Whether the row is known as it was written at that version. A row that is not, and is older than the
    /// table, was overwritten or removed since.
    fn holds(&self, change: &UpstreamChange) -> bool {
        let place = self.position(&change.key);
        place.is_ok_and(|index| self.rows[index].row.written == change.written)
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.row.key.as_ref().cmp(key))
    }

    /// Removals of the known rows that the complete table as of `version` does not contain.
    fn missing_in(&self, rows: &[UpstreamChange], version: u64) -> Vec<UpstreamChange> {
        let mut keys = rows.iter().map(|row| &row.key).collect::<Vec<_>>();
        keys.sort_unstable();
        let missing = |row: &&Row| keys.binary_search(&&row.row.key).is_err();
        let present = self.rows.iter().filter(|row| row.row.entry.is_some());
        present
            .filter(missing)
            .map(|row| UpstreamChange {
                key: row.row.key.clone(),
                written: version,
                entry: None,
            })
            .collect()
    }

    fn take_all(&mut self, changes: Vec<UpstreamChange>, read: &mut TableRead) {
        for change in changes {
            match self.put(&change) {
                Put::Older => {}
                Put::Same => read.current.push(change),
                Put::News => {
                    read.current.push(change.clone());
                    read.news.push(change);
                }
            }
        }
    }

    fn known_up_to(&mut self, version: u64) {
        self.version = self.version.max(version);
        let known = self.version;
        self.rows
            .retain(|row| row.row.entry.is_some() || row.row.written > known);
    }

    /// Sets a row unless a newer one is known.
    fn put(&mut self, change: &UpstreamChange) -> Put {
        let place = self.position(&change.key);
        let before = place.ok().map_or(0, |index| self.rows[index].hash);
        if place.is_ok_and(|index| self.rows[index].row.written > change.written) {
            return Put::Older;
        }
        let hash = hash(change);
        let row = Row {
            hash,
            row: change.clone(),
        };
        match place {
            Ok(index) => self.rows[index] = row,
            Err(index) => self.rows.insert(index, row),
        }
        // A sum does not depend on the order in which the rows were read.
        self.digest = self.digest.wrapping_sub(before).wrapping_add(hash);
        if before == hash { Put::Same } else { Put::News }
    }
}

/// Outcome of setting a row.
enum Put {
    /// A newer row is known.
    Older,
    /// The content of the row is unchanged.
    Same,
    /// The content of the row is new.
    News,
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
