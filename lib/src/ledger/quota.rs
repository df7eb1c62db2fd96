//! The capacity that open tasks take, by customer.

use std::collections::BTreeMap;

use crate::{ids::CustomerName, ledger::PAYLOAD_UNIT_BYTES};

/// The capacity that is taken, in units.
///
/// It is derived from the open tasks and isn't part of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Quota {
    total: u64,
    by_customer: BTreeMap<CustomerName, u64>,
}

/// The number of units that a task with this payload takes.
fn units(payload: &[u8]) -> u64 {
    1 + (payload.len() / PAYLOAD_UNIT_BYTES) as u64
}

impl Quota {
    /// Whether a customer may add a task: its tasks must not take more units than remain free.
    ///
    /// So a single customer gets at most half of the capacity, two get a third each, and there is
    /// always capacity left for another customer.
    pub(super) fn has_capacity(&self, customer: &CustomerName, payload: &[u8], max: u64) -> bool {
        let taken = self.by_customer.get(customer).copied().unwrap_or(0);
        let added = units(payload);
        taken + added <= max.saturating_sub(self.total + added)
    }

    /// Adds a task.
    pub(super) fn add(&mut self, customer: &CustomerName, payload: &[u8]) {
        self.total += units(payload);
        match self.by_customer.get_mut(customer) {
            Some(taken) => *taken += units(payload),
            None => drop(self.by_customer.insert(customer.clone(), units(payload))),
        }
    }

    /// Removes a task.
    pub(super) fn remove(&mut self, customer: &CustomerName, payload: &[u8]) {
        self.total -= units(payload);
        if let Some(taken) = self.by_customer.get_mut(customer) {
            *taken -= units(payload);
            if *taken == 0 {
                self.by_customer.remove(customer);
            }
        }
    }
}
