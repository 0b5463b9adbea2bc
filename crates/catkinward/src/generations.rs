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

    /// Adds a generation, or returns the one that runs under its id already. One that another VM
    /// had taken over, and that has now come back, makes room.
    pub fn add(&self, generation: Generation) -> (Arc<Generation>, bool) {
        let mut running = self.running.write();
        let found = running.binary_search_by(|other| other.request.id.cmp(&generation.request.id));
        if let Ok(i) = found
            && running[i].attempts() >= generation.attempts()
        {
            return (running[i].clone(), false);
        }
        let generation = Arc::new(generation);
        match found {
            Ok(i) => {
                let before = std::mem::replace(&mut running[i], generation.clone());
                before.supersede(generation.attempts());
            }
            Err(i) => running.insert(i, generation.clone()),
        }
        (generation, true)
    }

    /// Forgets a generation.
    pub fn remove(&self, generation: &Arc<Generation>) {
        let mut running = self.running.write();
        let id = &generation.request.id;
        if let Ok(i) = running.binary_search_by(|other| other.request.id.cmp(id))
            && Arc::ptr_eq(&running[i], generation)
        {
            running.remove(i);
        }
    }

    /// All generations.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Generation>> {
        self.running.read().clone()
    }
}
