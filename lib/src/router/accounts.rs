//! What the router keeps for each customer.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::CustomerName,
    policy::{Plan, Policy},
    router::budget::Budget,
    time::Time,
};

/// A customer with what its plan says about requests.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) weight: u32,
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

    fn follow(&mut self, plan: Option<&Plan>) {
        self.weight = plan.map_or(1, |plan| plan.weight);
        self.permille = plan.map_or(0, |plan| plan.retry_permille);
    }
}

/// The customers that were seen, numbered from 0 so that the hot paths compare no names.
#[derive(Debug, Default)]
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

    /// The number of a customer, if it was seen.
    pub(super) fn find(&self, customer: &CustomerName) -> Option<usize> {
        self.names.get(customer).copied()
    }

    /// Numbers a customer of the policy.
    pub(super) fn open(&mut self, customer: &CustomerName, plan: &Plan) -> usize {
        let mut account = Account { weight: 1, permille: 0, budget: Budget::default() };
        account.follow(Some(plan));
        self.list.push(account);
        self.names.insert(customer.clone(), self.list.len() - 1);
        self.list.len() - 1
    }

    /// A new policy is in force.
    pub(super) fn follow(&mut self, policy: &Policy) {
        for (customer, account) in &self.names {
            self.list[*account].follow(policy.plan_of(customer));
        }
    }
}
