//! Counts of completed requests and tasks by customer.

use std::collections::BTreeMap;

use crate::{
    data,
    ids::{CustomerName, InstanceId},
    time::WallTime,
};

data! {
    /// The counts, and the last batch counted from each instance.
    #[derive(Default)]
    pub(super) struct Counts {
        by_customer: BTreeMap<CustomerName, u64>,
        batches: BTreeMap<InstanceId, Batch>,
    }

    #[derive(Copy)]
    struct Batch {
        newest: u64,
        at: WallTime,
    }
}

impl Counts {
    /// The count of each customer.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&CustomerName, u64)> {
        self.by_customer.iter().map(|(name, count)| (name, *count))
    }

    /// Adds to the count of a customer.
    pub(super) fn add(&mut self, customer: &CustomerName, count: u64) {
        match self.by_customer.get_mut(customer) {
            Some(sum) => *sum = sum.saturating_add(count),
            None => drop(self.by_customer.insert(customer.clone(), count)),
        }
    }

    /// Adds a batch, unless one with this or a larger number was added from the same instance.
    pub(super) fn add_batch(
        &mut self,
        instance: InstanceId,
        sequence: u64,
        counts: &[(CustomerName, u64)],
        at: WallTime,
    ) {
        if self.batches.get(&instance).is_some_and(|batch| batch.newest >= sequence) {
            return;
        }
        self.batches.insert(instance, Batch { newest: sequence, at });
        for (customer, count) in counts {
            self.add(customer, *count);
        }
    }

    /// Removes the instances that sent no batch for the longest time, down to `max`.
    pub(super) fn prune(&mut self, max: usize) {
        while self.batches.len() > max {
            let oldest = self.batches.iter().min_by_key(|(instance, batch)| (batch.at, **instance));
            let Some(oldest) = oldest.map(|(instance, _)| *instance) else { return };
            self.batches.remove(&oldest);
        }
    }
}
