//! The quotas of customers, and their usage in each tier.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Bound,
    time::Duration,
};

use crate::{
    ids::{CustomerName, TaskId},
    policy::{Allowance, Objective, Policy, Tier},
    resources::Resources,
    scheduler::queue::CustomerSlot,
    time::Time,
};

/// The window over which a customer's evictions are counted.
const EVICTION_WINDOW: Duration = Duration::from_secs(3_600);

/// The largest number of attempts that are considered when a higher tier has capacity again.
const MAX_PROMOTIONS: usize = 4;

/// The scheduling terms of a customer's plan.
#[derive(Clone, Debug)]
pub(super) struct PlanTerms {
    /// The objective that placement is optimized for.
    pub(super) objective: Objective,
    /// Whether tasks that ask for it are scheduled as urgent.
    pub(super) urgent: bool,
    /// How often one task may be evicted.
    pub(super) task_evictions: u32,
    weight: u32,
    hourly_evictions: u32,
    /// The allowance in all data centres together.
    total: Allowance,
}

/// A customer's quota and usage.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) name: CustomerName,
    /// None while the customer has no plan.
    pub(super) terms: Option<PlanTerms>,
    share: Option<Allowance>,
    /// The resources that its attempts hold in each tier.
    pub(super) used: [Resources; Tier::ALL.len()],
    evictions: VecDeque<Time>,
    /// Its attempts in the tiers below guaranteed.
    unguaranteed: BTreeSet<(Tier, TaskId)>,
}

/// The quotas of all customers.
#[derive(Clone, Debug, Default)]
pub(super) struct Quota {
    accounts: Vec<Account>,
    names: BTreeMap<CustomerName, CustomerSlot>,
    shares: BTreeMap<CustomerName, Allowance>,
    max_weight: u32,
    /// The capacity of the data centre, which shares are relative to.
    pub(super) total: Resources,
}

impl std::ops::Index<CustomerSlot> for Quota {
    type Output = Account;

    fn index(&self, slot: CustomerSlot) -> &Account {
        &self.accounts[slot.at()]
    }
}

impl Quota {
    /// The slot of a customer; adds the customer if it isn't known.
    pub(super) fn slot(&mut self, name: &CustomerName, policy: &Policy) -> CustomerSlot {
        if let Some(slot) = self.names.get(name) {
            return *slot;
        }
        let slot = CustomerSlot(u32::try_from(self.accounts.len()).expect("fewer than 2^32"));
        self.accounts.push(Account {
            name: name.clone(),
            terms: terms(name, policy),
            share: self.shares.get(name).copied(),
            used: [Resources::ZERO; Tier::ALL.len()],
            evictions: VecDeque::new(),
            unguaranteed: BTreeSet::new(),
        });
        self.names.insert(name.clone(), slot);
        slot
    }

    /// Applies a new policy.
    pub(super) fn set_policy(&mut self, policy: &Policy) {
        self.max_weight = policy.plans.values().map(|plan| plan.weight).max().unwrap_or(1);
        for account in &mut self.accounts {
            account.terms = terms(&account.name, policy);
        }
    }

    /// Applies the shares of the allowances that this data centre holds.
    pub(super) fn set_shares(&mut self, shares: &BTreeMap<CustomerName, Allowance>) {
        self.shares.clone_from(shares);
        for account in &mut self.accounts {
            account.share = shares.get(&account.name).copied();
        }
    }

    /// The highest tier in which the customer has quota left for `size`.
    pub(super) fn tier(&self, customer: CustomerSlot, size: &Resources) -> Option<Tier> {
        let account = &self[customer];
        let allowance = account.allowance()?;
        Tier::ALL.iter().copied().find(|tier| {
            limit(&allowance, *tier).saturating_sub(&account.used[*tier as usize]).fits(size)
                && limit(&allowance, *tier).fits(size)
        })
    }

    /// Whether `size` could ever fit the customer's quota, if it were idle and held its whole
    /// allowance here.
    pub(super) fn ever_fits(&self, customer: CustomerSlot, size: &Resources) -> bool {
        self[customer]
            .terms
            .as_ref()
            .is_none_or(|terms| Tier::ALL.iter().any(|tier| limit(&terms.total, *tier).fits(size)))
    }

    /// Whether `size` exceeds the customer's share in this data centre.
    pub(super) fn share_too_small(&self, customer: CustomerSlot, size: &Resources) -> bool {
        let account = &self[customer];
        account
            .share
            .is_some_and(|share| !Tier::ALL.iter().any(|tier| limit(&share, *tier).fits(size)))
    }

    /// Charges an attempt to a tier.
    pub(super) fn charge(
        &mut self,
        customer: CustomerSlot,
        task: TaskId,
        tier: Tier,
        size: &Resources,
    ) {
        let account = &mut self.accounts[customer.at()];
        let used = &mut account.used[tier as usize];
        *used = used.saturating_add(size);
        match tier {
            Tier::Guaranteed => {}
            Tier::Burst | Tier::BestEffort => {
                account.unguaranteed.insert((tier, task));
            }
        }
    }

    /// Refunds the charge of an attempt.
    pub(super) fn refund(
        &mut self,
        customer: CustomerSlot,
        task: TaskId,
        tier: Tier,
        size: &Resources,
    ) {
        let account = &mut self.accounts[customer.at()];
        let used = &mut account.used[tier as usize];
        *used = used.saturating_sub(size);
        account.unguaranteed.remove(&(tier, task));
    }

    /// A few attempts of a customer in tiers below `tier`, the highest first.
    pub(super) fn promotable(&self, customer: CustomerSlot, tier: Tier) -> Vec<TaskId> {
        let upper = Bound::Excluded((tier, TaskId(u64::MAX)));
        let unguaranteed = self[customer].unguaranteed.range((upper, Bound::Unbounded));
        unguaranteed.map(|(_, task)| *task).take(MAX_PROMOTIONS).collect()
    }

    /// The customer's dominant share, weighted by its plan. A plan with the largest weight counts
    /// its share unchanged.
    pub(super) fn weighted_share(&self, customer: CustomerSlot) -> f64 {
        let account = &self[customer];
        let used = account.used.iter().fold(Resources::ZERO, |sum, used| sum.saturating_add(used));
        let share = used.dominant_share(&self.total).min(1.0);
        let weight = account.terms.as_ref().map_or(1, |terms| terms.weight.max(1));
        share * f64::from(self.max_weight.max(1)) / f64::from(weight)
    }

    /// Whether the budgets allow one more eviction of a task that was evicted `evictions` times.
    pub(super) fn evictable(&self, now: Time, customer: CustomerSlot, evictions: u32) -> bool {
        let account = &self[customer];
        let Some(terms) = &account.terms else { return true };
        // The eviction that must have left the window before another is allowed.
        let oldest = account.evictions.len().checked_sub(terms.hourly_evictions as usize);
        let oldest = oldest.map(|at| account.evictions.get(at));
        let spent = match oldest {
            None => false,
            Some(None) => true,
            Some(Some(at)) => now.since(*at) < EVICTION_WINDOW,
        };
        evictions < terms.task_evictions && !spent
    }

    /// Counts an eviction.
    pub(super) fn evicted(&mut self, now: Time, customer: CustomerSlot) {
        let account = &mut self.accounts[customer.at()];
        while account.evictions.front().is_some_and(|at| now.since(*at) >= EVICTION_WINDOW) {
            account.evictions.pop_front();
        }
        account.evictions.push_back(now);
    }
}

impl Account {
    /// What the customer may use in this data centre.
    pub(super) fn allowance(&self) -> Option<Allowance> {
        let terms = self.terms.as_ref()?;
        Some(self.share.unwrap_or(terms.total))
    }
}

/// The part of an allowance in a tier.
pub(super) fn limit(allowance: &Allowance, tier: Tier) -> Resources {
    match tier {
        Tier::Guaranteed => allowance.guaranteed,
        Tier::Burst => allowance.burst,
        Tier::BestEffort => allowance.best_effort,
    }
}

fn terms(name: &CustomerName, policy: &Policy) -> Option<PlanTerms> {
    let plan = policy.plan_of(name)?;
    Some(PlanTerms {
        objective: plan.objective,
        urgent: plan.urgent,
        task_evictions: plan.task_evictions,
        weight: plan.weight,
        hourly_evictions: plan.hourly_evictions,
        total: plan.allowance,
    })
}
