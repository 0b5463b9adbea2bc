//! Replica of a platform table for peers whose own reads the platform rejects.
//!
//! Changes are useful only to a VM that has all earlier rows. A VM may have received these from elsewhere
//! and then read only changes itself. If it stored just the changes, they would appear to be the complete
//! table, and a peer that reads them would take all other rows for removed, or a configuration for
//! unchanged. Changes that do not continue from the stored position therefore make the replica incomplete
//! until the complete table is read again.

use super::*;

/// Rows of a platform table as this VM has read them, for peers whose reads the platform rejects.
#[derive(Clone, Debug)]
pub struct TableReplica<R> {
    /// Sorted by key, without removed rows.
    rows: Vec<(Arc<str>, R)>,
    /// Position at which the rows are the complete table; `None` if they are incomplete.
    position: Option<StorePosition>,
}

/// The complete table at one version.
#[derive(Clone, Copy, Debug)]
pub struct TableSnapshot<'a, R> {
    /// Rows, sorted by key.
    pub rows: &'a [(Arc<str>, R)],
    /// Position of the store at which the rows were current.
    pub position: StorePosition,
}

impl<R> Default for TableReplica<R> {
    fn default() -> Self {
        Self {
            rows: Vec::new(),
            position: None,
        }
    }
}

impl<R> TableReplica<R> {
    /// Replaces all rows by those of a complete read at `position`.
    pub fn replace_all(
        &mut self,
        rows: impl IntoIterator<Item = (Arc<str>, Option<R>)>,
        position: StorePosition,
    ) {
        self.rows.clear();
        self.apply_rows(rows);
        self.position = Some(position);
    }

    /// Applies the rows that changed after position `after` and up to `position`, in the same era.
    pub fn apply_changes(
        &mut self,
        after: StorePosition,
        rows: impl IntoIterator<Item = (Arc<str>, Option<R>)>,
        position: StorePosition,
    ) {
        if self.position != Some(after) || after.era != position.era {
            self.rows.clear();
            self.position = None;
            return;
        }
        self.apply_rows(rows);
        self.position = Some(position);
    }

    /// The complete table, if it is known here.
    #[must_use]
    pub fn snapshot(&self) -> Option<TableSnapshot<'_, R>> {
        self.position.map(|position| TableSnapshot {
            rows: &self.rows,
            position,
        })
    }

    fn apply_rows(&mut self, rows: impl IntoIterator<Item = (Arc<str>, Option<R>)>) {
        for (key, row) in rows {
            let position = self.rows.binary_search_by(|(other, _)| other.cmp(&key));
            match (position, row) {
                (Ok(index), Some(row)) => self.rows[index].1 = row,
                (Ok(index), None) => {
                    self.rows.remove(index);
                }
                (Err(index), Some(row)) => self.rows.insert(index, (key, row)),
                (Err(_), None) => {}
            }
        }
    }
}
