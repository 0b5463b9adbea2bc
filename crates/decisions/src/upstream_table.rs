//! What the platform's table of upstreams says, as one VM has read it, with a digest by which VMs find
//! out whether they have read the same.
//!
//! Load pattern: upstreams write their entries anew every second or so, most of the time with nothing
//! new in them. Were each VM to read all of these, 400 VMs before 900 upstreams would read 270 kB/s each,
//! and most calls of the platform's store would be theirs. So in each zone one or two VMs read the
//! table and tell the others what has changed in it, and the digest of the whole: a VM that missed
//! something finds out with the next word, and reads the table itself.
//!
//! Words come late and out of order: datagrams overtake each other, and a VM that was cut off or did not run for a
//! while tells what it reads then, which others may know better. So each row bears the version at which it was
//! written, and an older row never takes the place of a newer one, nor that of one that was removed since. Without
//! that a lagging reader brought an upstream back that had left, and no later read of changes took it out again.

use super::*;

/// The rows of the table.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    /// Sorted by key. Removed ones are kept until the table is known up to their removal.
    rows: Vec<Row>,
    version: u64,
    digest: u64,
}

#[derive(Clone, Debug)]
struct Row {
    /// Of what it says; 0 if it was removed.
    hash: u64,
    row: UpstreamChange,
}

/// A change of the table: an entry, or that it was removed.
pub type UpstreamChange = TableRow<UpstreamEntry>;

/// What a read of the table gave.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableRead {
    /// Rows that are not older than what was known, among them those that were written anew with nothing new in
    /// them: a sign of life.
    pub current: Vec<UpstreamChange>,
    /// Those of them that say something new.
    pub news: Vec<UpstreamChange>,
}

impl UpstreamTable {
    /// Version of the store up to which it holds.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All entries.
    #[must_use]
    pub fn entries(&self) -> Vec<UpstreamChange> {
        let present = self.rows.iter().filter(|row| row.row.entry.is_some());
        present.map(|row| row.row.clone()).collect()
    }

    /// Digest of what it says, whatever the order in which it was read.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes in all rows, or those that were written after a version up to which the table was known.
    pub fn read(&mut self, rows: &[UpstreamChange], whole: bool, version: u64) -> TableRead {
        let mut read = TableRead::default();
        if version < self.version {
            // Its question was answered before what others have told since.
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

    /// Takes in another VM's word: changes, and the digest and version with them. Returns the changes
    /// that are news.
    pub fn told(
        &mut self,
        changes: &[UpstreamChange],
        version: u64,
        digest: u64,
    ) -> Vec<UpstreamChange> {
        let mut changes = changes.to_vec();
        // What was written up to the own version is known here, also if it was removed and forgotten since.
        changes.retain(|change| change.written > self.version);
        let mut told = TableRead::default();
        self.take_all(changes, &mut told);
        if version > self.version && self.digest == digest {
            self.known_up_to(version);
        }
        told.news
    }

    /// Whether the word of another VM, which has read up to `version`, shows that something is missing.
    #[must_use]
    pub fn is_behind(&self, version: u64, digest: u64) -> bool {
        version > self.version && digest != self.digest
    }

    /// Whether a row is known just as it was written then. One that is not, and is older than the table, was
    /// overwritten or removed since.
    fn holds(&self, change: &UpstreamChange) -> bool {
        let place = self.position(&change.key);
        place.is_ok_and(|index| self.rows[index].row.written == change.written)
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.row.key.as_ref().cmp(key))
    }

    /// Removals of the rows that a whole table as of `version` does not hold.
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

    /// Sets a row.
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
        // Sums in any order are the same.
        self.digest = self.digest.wrapping_sub(before).wrapping_add(hash);
        if before == hash { Put::Same } else { Put::News }
    }
}

/// What became of a row that was to be set.
enum Put {
    /// A newer one is known.
    Older,
    /// It says what was known.
    Same,
    /// It says something new.
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
