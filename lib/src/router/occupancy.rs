//! A bounded room that customers share.
//!
//! A customer may hold no more than what is free, so that one customer takes at most half and
//! every other one still finds a place.

/// Who holds how much of a bounded room.
#[derive(Clone, Debug)]
pub(super) struct Occupancy {
    capacity: usize,
    total: usize,
    /// What each account holds.
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

    /// Whether the customer may take one more place.
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
