use super::*;

/// The generations that run on this VM, sorted by request id.
#[derive(Default)]
pub struct Generations {
    running: RwLock<Vec<Arc<Generation>>>,
}

impl Generations {
    /// Returns the generations of a request id: usually one, but a key may be used twice
    /// concurrently.
    #[must_use]
    pub fn with_id(&self, id: &RequestId) -> Vec<Arc<Generation>> {
        let running = self.running.read();
        let start = running.partition_point(|other| other.request.id < *id);
        let matching = running[start..].iter();
        matching
            .take_while(|other| other.request.id == *id)
            .cloned()
            .collect()
    }

    /// Adds a generation and returns its shared handle.
    pub fn add(&self, generation: Generation) -> Arc<Generation> {
        let generation = Arc::new(generation);
        let mut running = self.running.write();
        let i = running.partition_point(|other| other.request.id <= generation.request.id);
        running.insert(i, generation.clone());
        generation
    }

    /// Removes a generation; others with the same request id stay.
    pub fn remove(&self, generation: &Arc<Generation>) {
        let mut running = self.running.write();
        let start = running.partition_point(|other| other.request.id < generation.request.id);
        let found = running[start..]
            .iter()
            .position(|other| Arc::ptr_eq(other, generation));
        if let Some(i) = found {
            running.remove(start + i);
        }
    }

    /// Returns all generations, sorted by request id.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Generation>> {
        self.running.read().clone()
    }
}
