use super::*;

/// Rows of a table of the platform as one VM has read them, for others that the platform turns away.
///
/// Changes are of use only to one who has read all that was before them. A VM may have that from elsewhere,
/// and then hear of changes itself: kept without the rest they would look like the whole table, and whoever
/// reads them here would take all other rows for removed, or a configuration for unchanged. So what does not
/// go on from what is kept makes it incomplete until the whole is read again.
#[derive(Clone, Debug)]
pub struct TableReplica<R> {
    /// Sorted by key; removed rows are left out.
    rows: Vec<(Arc<str>, R)>,
    /// Version up to which the rows are the whole table; none if they are not.
    version: Option<u64>,
}

/// A table as it was at one version.
#[derive(Clone, Copy, Debug)]
pub struct TableSnapshot<'a, R> {
    /// Its rows, sorted by key.
    pub rows: &'a [(Arc<str>, R)],
    /// The version.
    pub version: u64,
}

impl<R> Default for TableReplica<R> {
    fn default() -> Self {
        Self {
            rows: Vec::new(),
            version: None,
        }
    }
}

impl<R> TableReplica<R> {
    /// Takes in all rows as of a version.
    pub fn read(&mut self, rows: impl IntoIterator<Item = (Arc<str>, Option<R>)>, version: u64) {
        self.rows.clear();
        self.put_all(rows);
        self.version = Some(version);
    }

    /// Takes in the rows that changed after one version up to another.
    pub fn changed(
        &mut self,
        after: u64,
        rows: impl IntoIterator<Item = (Arc<str>, Option<R>)>,
        version: u64,
    ) {
        if self.version != Some(after) {
            self.rows.clear();
            self.version = None;
            return;
        }
        self.put_all(rows);
        self.version = Some(version);
    }

    /// The whole table, if it is known here.
    #[must_use]
    pub fn whole(&self) -> Option<TableSnapshot<'_, R>> {
        self.version.map(|version| TableSnapshot {
            rows: &self.rows,
            version,
        })
    }

    fn put_all(&mut self, rows: impl IntoIterator<Item = (Arc<str>, Option<R>)>) {
        for (key, row) in rows {
            let place = self.rows.binary_search_by(|(other, _)| other.cmp(&key));
            match (place, row) {
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
