use super::*;

/// Generations that run on this VM, sorted by id.
#[derive(Default)]
pub struct Generations {
    running: RwLock<Vec<Arc<Generation>>>,
}

impl Generations {
    /// The generations of that id: usually one, but a key may have been used twice at once.
    #[must_use]
    pub fn of(&self, id: &RequestId) -> Vec<Arc<Generation>> {
        let running = self.running.read();
        let start = running.partition_point(|other| other.request.id < *id);
        let of_id = running[start..].iter();
        of_id
            .take_while(|other| other.request.id == *id)
            .cloned()
            .collect()
    }

    /// Adds a generation.
    pub fn add(&self, generation: Generation) -> Arc<Generation> {
        let generation = Arc::new(generation);
        let mut running = self.running.write();
        let i = running.partition_point(|other| other.request.id <= generation.request.id);
        running.insert(i, generation.clone());
        generation
    }

    /// Forgets a generation.
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

    /// All generations.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Generation>> {
        self.running.read().clone()
    }
}
