use super::*;

/// Generations that run on this VM, sorted by id.
#[derive(Default)]
pub struct Generations {
    running: RwLock<Vec<Arc<Generation>>>,
}

impl Generations {
    /// The generation of that id.
    #[must_use]
    pub fn find(&self, id: &RequestId) -> Option<Arc<Generation>> {
        let running = self.running.read();
        let i = running
            .binary_search_by(|generation| generation.request.id.cmp(id))
            .ok()?;
        running.get(i).cloned()
    }

    /// Adds a generation, or returns the one that has its id already.
    pub fn add(&self, generation: Generation) -> (Arc<Generation>, bool) {
        let mut running = self.running.write();
        match running.binary_search_by(|other| other.request.id.cmp(&generation.request.id)) {
            Ok(i) => (running[i].clone(), false),
            Err(i) => {
                let generation = Arc::new(generation);
                running.insert(i, generation.clone());
                (generation, true)
            }
        }
    }

    /// Forgets a generation.
    pub fn remove(&self, id: &RequestId) {
        let mut running = self.running.write();
        if let Ok(i) = running.binary_search_by(|other| other.request.id.cmp(id)) {
            running.remove(i);
        }
    }

    /// All generations.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Generation>> {
        self.running.read().clone()
    }
}
