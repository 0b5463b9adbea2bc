//! How much of a service a VM reaches, and what its suspicion of upstreams is worth to others.
//!
//! An upstream that does not respond to a VM has failed, or the path between them has. A VM that has lost its path
//! suspects most upstreams of a service at once; others would avoid upstreams that respond to them.

use super::*;

/// Number of usable upstreams of a service, and how many of them do not respond to this VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceReach {
    /// Number of upstreams that take calls.
    pub usable: u32,
    /// Number of these that are suspect.
    pub suspect: u32,
}

impl ServiceReach {
    /// Counts an upstream.
    pub fn add(&mut self, suspect: bool) {
        self.usable += 1;
        self.suspect += u32::from(suspect);
    }

    /// Whether this VM's path is in doubt, because at least half of the service does not respond to it. Its
    /// suspects are then no evidence for other VMs.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.suspect > 0 && 2 * self.suspect >= self.usable
    }
}

/// How much of each service a VM reaches.
#[derive(Clone, Debug, Default)]
pub struct ServiceReaches {
    /// Sorted by service.
    reaches: Vec<(ServiceId, ServiceReach)>,
}

impl ServiceReaches {
    /// Counts an upstream of a service.
    pub fn add(&mut self, service: &ServiceId, suspect: bool) {
        let index = match self.position(service) {
            Ok(index) => index,
            Err(index) => {
                let unseen = (service.clone(), ServiceReach::default());
                self.reaches.insert(index, unseen);
                index
            }
        };
        self.reaches[index].1.add(suspect);
    }

    /// How much of a service is reached.
    #[must_use]
    pub fn of(&self, service: &ServiceId) -> ServiceReach {
        self.position(service)
            .map_or_else(|_| ServiceReach::default(), |index| self.reaches[index].1)
    }

    /// Services to which this VM's path is in doubt, sorted.
    #[must_use]
    pub fn doubtful(&self) -> Vec<ServiceId> {
        let doubtful = self.reaches.iter().filter(|(_, reach)| reach.is_doubtful());
        doubtful.map(|(service, _)| service.clone()).collect()
    }

    fn position(&self, service: &ServiceId) -> Result<usize, usize> {
        self.reaches
            .binary_search_by(|(other, _)| other.cmp(service))
    }
}
