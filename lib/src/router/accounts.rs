//! Per-customer state of the router.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{CustomerName, ServiceName},
    policy::{Plan, Policy},
    router::budget::Budget,
    time::Time,
};

/// A customer with the settings of its plan that concern requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    pub(super) weight: u32,
    /// Services that the customer may call.
    pub(super) services: Vec<ServiceName>,
    /// Whether a request's count must be committed before its response is returned.
    pub(super) exact_counts: bool,
    /// The maximum retries per thousand requests.
    permille: u32,
    budget: Budget,
}

impl Account {
    pub(super) fn count_request(&mut self, now: Time, window: Duration) {
        self.budget.count_request(now, window);
    }

    pub(super) fn count_retry(&mut self, now: Time, window: Duration) {
        self.budget.count_retry(now, window);
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

/// The customers seen so far, indexed from 0 so that hot paths don't compare names.
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

    /// The index of a customer, which is added if its plan is known. `None` if it was never in a
    /// policy.
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

    /// Updates all accounts to a new policy.
    pub(super) fn apply_policy(&mut self, policy: &Policy) {
        for (customer, account) in &self.names {
            self.list[*account].apply_plan(policy.plan_of(customer));
        }
    }
}
