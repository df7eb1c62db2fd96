//! Validation of the two lists against each other, and the policy built from them.

use std::collections::BTreeMap;

use crate::{
    document::unknown_name,
    finding::{Finding, Findings},
    ids::{CustomerName, PlanName},
    lists::{PlanRow, PlansList, ServiceRow, UsageList},
    policy::{Plan, Policy, Service},
    resources::Resources,
};

/// Builds the policy from both lists; a plan without a usage row has an empty allowance.
///
/// The revisions are left at 0: the ledger assigns them.
pub fn build_policy(plans: &PlansList, usage: &UsageList) -> Policy {
    let with_allowance = |(name, row): (&PlanName, &PlanRow)| {
        let allowance = usage.usage.get(name).map(|row| row.allowance).unwrap_or_default();
        (name.clone(), Plan { allowance, ..row.plan.clone() })
    };
    Policy {
        plans: plans.plans.iter().map(with_allowance).collect(),
        customers: plans.customers.clone(),
        operators: plans.operators.clone(),
        services: plans.services.iter().map(|(n, row)| (n.clone(), row.service.clone())).collect(),
        ..Policy::default()
    }
}

/// Checks that both lists have the same plans, and that the replicas of each service fit the
/// guarantee of its owner.
///
/// # Errors
///
/// All errors, with their positions in either list.
pub fn check_consistency(plans: &PlansList, usage: &UsageList) -> Result<(), Findings> {
    let mut items = Vec::new();
    let known: Vec<&str> = plans.plans.keys().map(PlanName::as_str).collect();
    for (name, row) in &usage.usage {
        if !plans.plans.contains_key(name) {
            let message = unknown_name("plan", name.as_str(), &known);
            items.push(Finding { place: row.place.clone(), message });
        }
    }
    for (name, row) in &plans.plans {
        if !usage.usage.contains_key(name) {
            let message = format!("plan \"{name}\" has no row in the usage list");
            items.push(Finding { place: row.place.clone(), message });
        }
    }
    items.extend(check_replica_sizes(plans, usage));
    into_result(items)
}

/// Checks only that the replicas of each service fit the guarantee of its owner.
///
/// An edit of the plans list is checked only for this, because the next edit of the usage list adds
/// the rows of new plans and removes those of removed plans.
///
/// # Errors
///
/// Each service whose replicas, together with those of the owner's services before it in the list,
/// exceed the guarantee of the owner's plan.
pub fn check_replicas(plans: &PlansList, usage: &UsageList) -> Result<(), Findings> {
    into_result(check_replica_sizes(plans, usage))
}

fn into_result(mut items: Vec<Finding>) -> Result<(), Findings> {
    if items.is_empty() {
        return Ok(());
    }
    let order = |finding: &Finding| {
        let place = &finding.place;
        (place.file.clone(), place.line, place.column)
    };
    items.sort_by_key(order);
    Err(Findings { items })
}

fn check_replica_sizes(plans: &PlansList, usage: &UsageList) -> Vec<Finding> {
    let mut used: BTreeMap<&CustomerName, Resources> = BTreeMap::new();
    let mut rows: Vec<&ServiceRow> = plans.services.values().collect();
    rows.sort_by_key(|row| (row.place.line, row.place.column));
    let mut items = Vec::new();
    for row in rows {
        let owner = &row.service.owner;
        let guaranteed = guarantee(plans, usage, owner);
        let sum = used.entry(owner).or_default();
        *sum = sum.saturating_add(&total_replica_size(&row.service));
        if !guaranteed.fits(sum) {
            let message = guarantee_exceeded(owner, sum, &guaranteed);
            items.push(Finding { place: row.place.clone(), message });
        }
    }
    items
}

fn guarantee(plans: &PlansList, usage: &UsageList, owner: &CustomerName) -> Resources {
    let row = plans.customers.get(owner).and_then(|customer| usage.usage.get(&customer.plan));
    row.map(|row| row.allowance.guaranteed).unwrap_or_default()
}

/// The resources of all replicas of a service, in all data centres.
fn total_replica_size(service: &Service) -> Resources {
    let count: u64 = service.replicas.values().copied().map(u64::from).sum();
    let accelerators = count.saturating_mul(service.size.accelerators.into());
    Resources {
        millicores: service.size.millicores.saturating_mul(count),
        memory_mib: service.size.memory_mib.saturating_mul(count),
        accelerators: u32::try_from(accelerators).unwrap_or(u32::MAX),
    }
}

fn guarantee_exceeded(owner: &CustomerName, sum: &Resources, guaranteed: &Resources) -> String {
    format!(
        "the replicas of \"{owner}\" up to here need {}; its plan guarantees {}",
        format_amount(sum),
        format_amount(guaranteed)
    )
}

fn format_amount(amount: &Resources) -> String {
    format!(
        "{} processors, {} GiB, {} accelerators",
        amount.millicores as f64 / 1000.0,
        amount.memory_mib as f64 / 1024.0,
        amount.accelerators
    )
}
