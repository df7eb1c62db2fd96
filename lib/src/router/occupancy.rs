//! A bounded capacity shared by customers.
//!
//! A customer may hold no more than what is free. A single customer thus takes at most half of the
//! capacity, and others can still be admitted.

/// The use of a bounded capacity by account.
#[derive(Clone, Debug)]
pub(super) struct Occupancy {
    capacity: usize,
    total: usize,
    /// The number of units held by each account.
    held: Vec<usize>,
}

impl Occupancy {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, total: 0, held: Vec::new() }
    }

    pub(super) fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    pub(super) fn total(&self) -> usize {
        self.total
    }

    /// Whether the account may take one more unit.
    pub(super) fn admits(&self, account: usize) -> bool {
        let free = self.capacity.saturating_sub(self.total);
        self.held.get(account).copied().unwrap_or(0) < free
    }

    pub(super) fn enter(&mut self, account: usize) {
        if self.held.len() <= account {
            self.held.resize(account + 1, 0);
        }
        self.held[account] += 1;
        self.total += 1;
    }

    pub(super) fn leave(&mut self, account: usize) {
        self.held[account] -= 1;
        self.total -= 1;
    }
}
