use super::*;
use catkin_border::platform::{
    PlatformStats, Row, RowKey, ScanRequest, TransactReply, TransactRequest, VmEntry, Write,
};
use catkin_decisions::Instant;

/// State of the mock platform: table rows, objects and the VM list, without network or clock.
#[derive(Debug, Default)]
pub struct PlatformStore {
    /// Tables sorted by name, each with its rows sorted by key.
    tables: Vec<(String, Vec<Row>)>,
    /// Objects sorted by name.
    objects: Vec<(Arc<str>, Bytes)>,
    /// VM lists with the time from which each is valid, oldest first.
    vm_lists: Vec<(Instant, Vec<VmEntry>)>,
    stats: Counters,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    reads: u64,
    writes: u64,
    rows_read: u64,
    rows_written: u64,
    object_reads: u64,
    object_writes: u64,
}

impl PlatformStore {
    /// Applies all writes if all conditions hold; otherwise applies none and returns the conflicting
    /// rows.
    pub fn transact(&mut self, req: TransactRequest) -> TransactReply {
        self.stats.writes += 1;
        let conflicts = req
            .conditions
            .iter()
            .filter(|c| self.row(&c.table, &c.key).map_or(0, |row| row.version) != c.version)
            .map(|c| self.row_or_absent(&c.table, &c.key))
            .collect::<Vec<_>>();
        let committed = conflicts.is_empty();
        if committed {
            self.stats.rows_written += to_u64(req.writes.len());
            req.writes.into_iter().for_each(|write| self.write(write));
        }
        TransactReply {
            committed,
            conflicts,
        }
    }

    /// Returns the rows of those keys that exist.
    pub fn read(&mut self, keys: &[RowKey]) -> Vec<Row> {
        let rows = keys
            .iter()
            .filter_map(|key| self.row(&key.table, &key.key).cloned())
            .collect::<Vec<_>>();
        self.count_read(&rows);
        rows
    }

    /// Returns a page of the rows whose keys have a prefix, in key order.
    pub fn scan(&mut self, req: &ScanRequest) -> Vec<Row> {
        let table = self.table(&req.table);
        let first = match &req.after {
            Some(after) if *after >= req.prefix => table.partition_point(|row| row.key <= *after),
            _ => table.partition_point(|row| row.key < req.prefix),
        };
        let rows = table[first..]
            .iter()
            .take_while(|row| row.key.starts_with(&req.prefix))
            .take(usize::try_from(req.limit.get()).unwrap_or(usize::MAX))
            .cloned()
            .collect::<Vec<_>>();
        self.count_read(&rows);
        rows
    }

    /// Returns the keys of a table, for tests; not counted as a read.
    #[must_use]
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.table(table).iter();
        rows.map(|row| row.key.clone()).collect()
    }

    /// Stores an object.
    pub fn put_object(&mut self, name: &str, body: Bytes) {
        self.stats.object_writes += 1;
        match self.object_position(name) {
            Ok(i) => self.objects[i].1 = body,
            Err(i) => self.objects.insert(i, (name.into(), body)),
        }
    }

    /// Returns an object, or `None` if it does not exist.
    pub fn get_object(&mut self, name: &str) -> Option<Bytes> {
        self.stats.object_reads += 1;
        let i = self.object_position(name).ok()?;
        Some(self.objects[i].1.clone())
    }

    /// Sets the VM list that is valid from `now` on.
    pub fn set_vms(&mut self, now: Instant, vms: Vec<VmEntry>) {
        self.vm_lists.push((now, vms));
    }

    /// Returns the VM list that was valid at `then`.
    #[must_use]
    pub fn vms(&self, then: Instant) -> Vec<VmEntry> {
        self.vm_lists
            .iter()
            .rev()
            .find(|(since, _)| *since <= then)
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    /// Returns the call counts since the start; `answers_lost` and `throttled`, which only the server
    /// counts, are 0.
    #[must_use]
    pub fn stats(&self) -> PlatformStats {
        PlatformStats {
            answers_lost: 0,
            object_reads: self.stats.object_reads,
            object_writes: self.stats.object_writes,
            reads: self.stats.reads,
            rows_read: self.stats.rows_read,
            rows_written: self.stats.rows_written,
            throttled: 0,
            writes: self.stats.writes,
        }
    }

    fn table(&self, name: &str) -> &[Row] {
        let position = self
            .tables
            .binary_search_by(|(table, _)| table.as_str().cmp(name));
        position.map_or(&[], |i| &self.tables[i].1)
    }

    fn row(&self, table: &str, key: &str) -> Option<&Row> {
        let rows = self.table(table);
        let i = rows
            .binary_search_by(|row| row.key.as_str().cmp(key))
            .ok()?;
        rows.get(i)
    }

    fn row_or_absent(&self, table: &str, key: &str) -> Row {
        self.row(table, key).cloned().unwrap_or_else(|| Row {
            key: key.to_owned(),
            table: table.to_owned(),
            value: String::new(),
            version: 0,
        })
    }

    fn write(&mut self, write: Write) {
        let position = self
            .tables
            .binary_search_by(|(table, _)| table.as_str().cmp(&write.table));
        let i = position.unwrap_or_else(|i| {
            self.tables.insert(i, (write.table.clone(), Vec::new()));
            i
        });
        let rows = &mut self.tables[i].1;
        let position = rows.binary_search_by(|row| row.key.as_str().cmp(&write.key));
        match (position, write.value) {
            (Ok(i), Some(value)) => {
                rows[i].value = value;
                rows[i].version += 1;
            }
            (Ok(i), None) => {
                rows.remove(i);
            }
            (Err(i), Some(value)) => rows.insert(
                i,
                Row {
                    key: write.key,
                    table: write.table,
                    value,
                    version: 1,
                },
            ),
            (Err(_), None) => {}
        }
    }

    fn object_position(&self, name: &str) -> Result<usize, usize> {
        self.objects
            .binary_search_by(|(object, _)| object.as_ref().cmp(name))
    }

    fn count_read(&mut self, rows: &[Row]) {
        self.stats.reads += 1;
        self.stats.rows_read += to_u64(rows.len());
    }
}

fn to_u64(n: usize) -> u64 {
    u64::try_from(n).unwrap_or(u64::MAX)
}
