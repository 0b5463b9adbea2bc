use super::*;

/// Number of shards: one per value of the first byte of the digest.
const SHARDS: usize = 256;

/// Map from call keys to values, kept in sorted vectors. With a single vector, an insertion among
/// 10,000 calls would move half a megabyte; with one vector per first byte of the digest it moves a
/// few kilobytes.
#[derive(Debug)]
pub(crate) struct CallTable<V> {
    shards: Vec<Vec<(CallKey, V)>>,
}

impl<V> Default for CallTable<V> {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Vec::new()).collect(),
        }
    }
}

impl<V> CallTable<V> {
    pub(crate) fn get_mut(&mut self, key: &CallKey) -> Option<&mut V> {
        let shard = &mut self.shards[key.shard()];
        let i = shard.binary_search_by(|(other, _)| other.cmp(key)).ok()?;
        Some(&mut shard[i].1)
    }

    pub(crate) fn insert(&mut self, key: CallKey, value: V) {
        let shard = &mut self.shards[key.shard()];
        match shard.binary_search_by(|(other, _)| other.cmp(&key)) {
            Ok(i) => shard[i].1 = value,
            Err(i) => shard.insert(i, (key, value)),
        }
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &V> {
        self.shards.iter().flatten().map(|(_, value)| value)
    }

    pub(crate) fn remove(&mut self, key: &CallKey) -> Option<V> {
        let shard = &mut self.shards[key.shard()];
        let i = shard.binary_search_by(|(other, _)| other.cmp(key)).ok()?;
        Some(shard.remove(i).1)
    }
}
