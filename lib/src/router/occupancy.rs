//! A bounded room that customers share.
//!
//! A customer may hold no more than what is free, so that one customer takes at most half and
//! every other one still finds a place.

use std::collections::BTreeMap;

use crate::ids::CustomerName;

/// Who holds how much of a bounded room.
#[derive(Debug)]
pub(super) struct Occupancy {
    room: usize,
    total: usize,
    held: BTreeMap<CustomerName, usize>,
}

impl Occupancy {
    pub(super) fn new(room: usize) -> Self {
        Self { room, total: 0, held: BTreeMap::new() }
    }

    pub(super) fn total(&self) -> usize {
        self.total
    }

    /// Whether the customer may take one more place.
    pub(super) fn admits(&self, customer: &CustomerName) -> bool {
        let free = self.room.saturating_sub(self.total);
        self.held.get(customer).copied().unwrap_or(0) < free
    }

    pub(super) fn enter(&mut self, customer: &CustomerName) {
        self.total += 1;
        match self.held.get_mut(customer) {
            Some(held) => *held += 1,
            None => {
                self.held.insert(customer.clone(), 1);
            }
        }
    }

    pub(super) fn leave(&mut self, customer: &CustomerName) {
        let Some(held) = self.held.get_mut(customer) else { return };
        self.total -= 1;
        *held -= 1;
        if *held == 0 {
            self.held.remove(customer);
        }
    }
}
