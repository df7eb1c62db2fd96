//! What each customer may use, and what it uses in each tier.

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

/// How far back evictions of a customer are counted.
const EVICTION_WINDOW: Duration = Duration::from_secs(3_600);

/// Tries that are looked at when a firmer tier has room again.
const PROMOTIONS: usize = 4;

/// What a customer's plan says.
#[derive(Clone, Debug)]
pub(super) struct Terms {
    /// What decisions are weighed by.
    pub(super) objective: Objective,
    /// Whether urgent tasks are taken as urgent.
    pub(super) urgent: bool,
    /// How often one task may be evicted.
    pub(super) task_evictions: u32,
    weight: u32,
    hourly_evictions: u32,
    /// What the plan allows in all data centres.
    whole: Allowance,
}

/// What is known of a customer.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) name: CustomerName,
    /// Nothing while the customer is on no plan.
    pub(super) terms: Option<Terms>,
    share: Option<Allowance>,
    /// What its tries hold in each tier.
    pub(super) used: [Resources; Tier::ALL.len()],
    evicted: VecDeque<Time>,
    /// Its tries in tiers below the firmest.
    weak: BTreeSet<(Tier, TaskId)>,
}

/// All customers.
#[derive(Clone, Debug, Default)]
pub(super) struct Quota {
    accounts: Vec<Account>,
    names: BTreeMap<CustomerName, CustomerSlot>,
    shares: BTreeMap<CustomerName, Allowance>,
    largest: u32,
    /// The room of the whole data centre, against which shares are counted.
    pub(super) total: Resources,
}

impl std::ops::Index<CustomerSlot> for Quota {
    type Output = Account;

    fn index(&self, slot: CustomerSlot) -> &Account {
        &self.accounts[slot.at()]
    }
}

impl Quota {
    /// The slot of a customer, made if it isn't known.
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
            evicted: VecDeque::new(),
            weak: BTreeSet::new(),
        });
        self.names.insert(name.clone(), slot);
        slot
    }

    /// Takes in a new policy.
    pub(super) fn set_policy(&mut self, policy: &Policy) {
        self.largest = policy.plans.values().map(|plan| plan.weight).max().unwrap_or(1);
        for account in &mut self.accounts {
            account.terms = terms(&account.name, policy);
        }
    }

    /// Takes in the shares that this data centre holds.
    pub(super) fn set_shares(&mut self, shares: &BTreeMap<CustomerName, Allowance>) {
        self.shares.clone_from(shares);
        for account in &mut self.accounts {
            account.share = shares.get(&account.name).copied();
        }
    }

    /// The firmest tier in which the customer has room for `size`.
    pub(super) fn tier(&self, customer: CustomerSlot, size: &Resources) -> Option<Tier> {
        let account = &self[customer];
        let allowance = account.allowance()?;
        Tier::ALL.iter().copied().find(|tier| {
            limit(&allowance, *tier).saturating_sub(&account.used[*tier as usize]).fits(size)
                && limit(&allowance, *tier).fits(size)
        })
    }

    /// Whether `size` could ever be charged to the customer, were it idle and held its whole
    /// allowance here.
    pub(super) fn possible(&self, customer: CustomerSlot, size: &Resources) -> bool {
        self[customer]
            .terms
            .as_ref()
            .is_none_or(|terms| Tier::ALL.iter().any(|tier| limit(&terms.whole, *tier).fits(size)))
    }

    /// Whether only the share of this data centre, not the plan, is short for `size`.
    pub(super) fn share_short(&self, customer: CustomerSlot, size: &Resources) -> bool {
        let account = &self[customer];
        account
            .share
            .is_some_and(|share| !Tier::ALL.iter().any(|tier| limit(&share, *tier).fits(size)))
    }

    /// Charges a try.
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
                account.weak.insert((tier, task));
            }
        }
    }

    /// Gives back what a try was charged.
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
        account.weak.remove(&(tier, task));
    }

    /// The first tries of a customer in tiers weaker than `tier`.
    pub(super) fn weaker(&self, customer: CustomerSlot, tier: Tier) -> Vec<TaskId> {
        let firmer = Bound::Excluded((tier, TaskId(u64::MAX)));
        let weak = self[customer].weak.range((firmer, Bound::Unbounded));
        weak.map(|(_, task)| *task).take(PROMOTIONS).collect()
    }

    /// The customer's dominant share, relative to the weight of its plan: a plan with the largest
    /// weight counts its share as it is.
    pub(super) fn weighted_share(&self, customer: CustomerSlot) -> f64 {
        let account = &self[customer];
        let used = account.used.iter().fold(Resources::ZERO, |sum, used| sum.saturating_add(used));
        let share = used.dominant_share(&self.total).min(1.0);
        let weight = account.terms.as_ref().map_or(1, |terms| terms.weight.max(1));
        share * f64::from(self.largest.max(1)) / f64::from(weight)
    }

    /// Whether one more eviction of a task that was evicted `evictions` times is in the budgets.
    pub(super) fn evictable(&self, now: Time, customer: CustomerSlot, evictions: u32) -> bool {
        let account = &self[customer];
        let Some(terms) = &account.terms else { return true };
        // The eviction that must have left the window for one more to be allowed.
        let oldest = account.evicted.len().checked_sub(terms.hourly_evictions as usize);
        let oldest = oldest.map(|at| account.evicted.get(at));
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
        while account.evicted.front().is_some_and(|at| now.since(*at) >= EVICTION_WINDOW) {
            account.evicted.pop_front();
        }
        account.evicted.push_back(now);
    }
}

impl Account {
    /// What the customer may use in this data centre.
    pub(super) fn allowance(&self) -> Option<Allowance> {
        let terms = self.terms.as_ref()?;
        Some(self.share.unwrap_or(terms.whole))
    }
}

/// What an allowance gives in a tier.
pub(super) fn limit(allowance: &Allowance, tier: Tier) -> Resources {
    match tier {
        Tier::Guaranteed => allowance.guaranteed,
        Tier::Burst => allowance.burst,
        Tier::BestEffort => allowance.best_effort,
    }
}

fn terms(name: &CustomerName, policy: &Policy) -> Option<Terms> {
    let plan = policy.plan_of(name)?;
    Some(Terms {
        objective: plan.objective,
        urgent: plan.urgent,
        task_evictions: plan.task_evictions,
        weight: plan.weight,
        hourly_evictions: plan.hourly_evictions,
        whole: plan.allowance,
    })
}
