//! What the router keeps for each customer.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{CustomerName, ServiceName},
    policy::{Plan, Policy},
    router::budget::Budget,
    time::Time,
};

/// A customer with what its plan says about requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    pub(super) weight: u32,
    /// Services that it may call.
    pub(super) services: Vec<ServiceName>,
    /// Whether its counts are committed before the answer.
    pub(super) exact_counts: bool,
    permille: u32,
    budget: Budget,
}

impl Account {
    pub(super) fn request(&mut self, now: Time, window: Duration) {
        self.budget.request(now, window);
    }

    pub(super) fn retry(&mut self, now: Time, window: Duration) {
        self.budget.retry(now, window);
    }

    pub(super) fn may_retry(&self, now: Time, window: Duration) -> bool {
        self.budget.allows(now, window, self.permille)
    }

    fn apply_plan(&mut self, plan: Option<&Plan>) {
        self.weight = plan.map_or(1, |plan| plan.weight);
        self.services = plan.map_or_else(Vec::new, |plan| plan.services.clone());
        self.exact_counts = plan.is_some_and(|plan| plan.exact_counts);
        self.permille = plan.map_or(0, |plan| plan.retry_permille);
    }
}

/// The customers that were seen, numbered from 0 so that the hot paths compare no names.
#[derive(Clone, Debug, Default)]
pub(super) struct Accounts {
    names: BTreeMap<CustomerName, usize>,
    list: Vec<Account>,
}

impl Accounts {
    pub(super) fn get(&self, account: usize) -> &Account {
        &self.list[account]
    }

    pub(super) fn get_mut(&mut self, account: usize) -> &mut Account {
        &mut self.list[account]
    }

    /// The number of a customer; nothing if it was never in a policy.
    pub(super) fn index_of(&mut self, customer: &CustomerName, policy: &Policy) -> Option<usize> {
        if let Some(account) = self.names.get(customer) {
            return Some(*account);
        }
        let plan = policy.plan_of(customer)?;
        let mut account = Account::default();
        account.apply_plan(Some(plan));
        self.list.push(account);
        self.names.insert(customer.clone(), self.list.len() - 1);
        Some(self.list.len() - 1)
    }

    /// A new policy is in force.
    pub(super) fn apply_policy(&mut self, policy: &Policy) {
        for (customer, account) in &self.names {
            self.list[*account].apply_plan(policy.plan_of(customer));
        }
    }
}
