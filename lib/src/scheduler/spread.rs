//! Counts the replicas of each service in each rack.

use std::collections::BTreeMap;

use crate::ids::ServiceName;

/// The number of replicas by service and rack.
#[derive(Clone, Debug, Default)]
pub(super) struct Spread {
    services: BTreeMap<ServiceName, BTreeMap<usize, u32>>,
}

impl Spread {
    /// Adds a replica.
    pub(super) fn add(&mut self, service: &ServiceName, rack: usize) {
        *self.services.entry(service.clone()).or_default().entry(rack).or_default() += 1;
    }

    /// Removes a replica.
    pub(super) fn remove(&mut self, service: &ServiceName, rack: usize) {
        let Some(racks) = self.services.get_mut(service) else { return };
        if let Some(count) = racks.get_mut(&rack) {
            *count -= 1;
            if *count == 0 {
                racks.remove(&rack);
            }
        }
        if racks.is_empty() {
            self.services.remove(service);
        }
    }

    /// The number of replicas of a service in a rack.
    pub(super) fn count(&self, service: &ServiceName, rack: usize) -> u32 {
        self.services.get(service).and_then(|racks| racks.get(&rack)).copied().unwrap_or(0)
    }
}
