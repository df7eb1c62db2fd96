//! The reader of the plans list.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    time::Duration,
};

use crate::{
    document::{ObjectView, ValueView},
    ids::{CustomerName, DataCentre, OperatorName, PlanName, ServiceName},
    lists::{
        MAX_CUSTOMERS, MAX_ROWS, PlanRow, PlansList, ServiceRow,
        fields::{
            credential, elements, insert, invalid_name, is_name, name, optional, optional_u32,
            resources, row_name, rows, version,
        },
    },
    policy::{Allowance, CredentialHash, Customer, Objective, Plan, Service},
    resources::Resources,
};

const FIELDS: &[&str] = &["version", "operators", "plans", "customers", "services"];
const OPERATOR_FIELDS: &[&str] = &["name", "credential"];
const CUSTOMER_FIELDS: &[&str] = &["name", "plan", "credential"];
const PLAN_FIELDS: &[&str] = &[
    "name",
    "objective",
    "urgent",
    "weight",
    "retry_percent",
    "exact_counts",
    "task_evictions",
    "hourly_evictions",
    "services",
];
const SERVICE_FIELDS: &[&str] =
    &["name", "owner", "size", "replicas", "latency_ms", "good_percent"];

/// The default weight of a plan.
const DEFAULT_WEIGHT: u32 = 1;

/// The maximum weight of a plan.
const MAX_WEIGHT: u64 = 1_000;

/// The default limit of retries and hedges, in percent of the requests.
const DEFAULT_RETRY_PERCENT: f64 = 10.0;

/// The default limit of evictions per task.
const DEFAULT_TASK_EVICTIONS: u32 = 3;

/// The default limit of evictions per customer and hour.
const DEFAULT_HOURLY_EVICTIONS: u32 = 60;

/// The maximum eviction limit of a plan.
const MAX_EVICTIONS: u64 = 1_000_000;

/// The maximum number of replicas of a service in a data centre.
const MAX_REPLICAS: u64 = 10_000;

/// The maximum number of data centres of a service.
const MAX_CENTRES: usize = 64;

/// The maximum latency objective of a service.
const MAX_LATENCY_MS: f64 = 600_000.0;

/// The default objective for the share of good requests, in percent.
const DEFAULT_GOOD_PERCENT: f64 = 99.9;

/// The operator or customer with each credential, as findings name it.
type CredentialOwners = BTreeMap<CredentialHash, String>;

/// Reads the list from its root object.
pub(super) fn read(root: ObjectView<'_, '_>) -> Option<PlansList> {
    let root = root.allow_only(FIELDS);
    let version = version(root);
    let mut owners = CredentialOwners::new();
    let operators = operators(root, &mut owners);
    let plans = plans(root);
    let customers = customers(root, &plans, &mut owners);
    let services = services(root, &customers);
    check_services(root, &services);
    if operators.is_empty() {
        root.report("\"operators\" names nobody; nobody could edit the list again");
    }
    let place = root.get("version")?.place();
    Some(PlansList { version: version?, place, operators, plans, customers, services })
}

/// Reads the credential of a row; reports it if another row has the same.
fn unique_credential(
    row: ObjectView<'_, '_>,
    what: &str,
    name: Option<&str>,
    owners: &mut CredentialOwners,
) -> Option<CredentialHash> {
    let hash = credential(row)?;
    match owners.entry(hash) {
        Entry::Vacant(entry) => {
            entry.insert(format!("{what} \"{}\"", name.unwrap_or("?")));
        }
        Entry::Occupied(entry) => {
            let value = row.get("credential")?;
            value.report(format!("the credential is also that of {}", entry.get()));
        }
    }
    Some(hash)
}

fn operators(
    root: ObjectView<'_, '_>,
    owners: &mut CredentialOwners,
) -> BTreeMap<OperatorName, CredentialHash> {
    let mut operators = BTreeMap::new();
    for row in rows(root, "operators", MAX_ROWS) {
        let row = row.allow_only(OPERATOR_FIELDS);
        let name = row_name(row);
        let hash = unique_credential(row, "operator", name, owners);
        if let (Some(name), Some(hash)) = (name, hash) {
            insert(&mut operators, row, "operator", (name.into(), hash));
        }
    }
    operators
}

fn plans(root: ObjectView<'_, '_>) -> BTreeMap<PlanName, PlanRow> {
    let mut plans = BTreeMap::new();
    for row in rows(root, "plans", MAX_ROWS) {
        let row = row.allow_only(PLAN_FIELDS);
        let name = row_name(row);
        let plan = plan(row);
        // Keep an invalid plan under its name, so that its customers aren't reported as well.
        if let Some(name) = name {
            let plan = PlanRow { place: row.place(), plan: plan.unwrap_or_else(placeholder_plan) };
            insert(&mut plans, row, "plan", (name.into(), plan));
        }
    }
    plans
}

fn placeholder_plan() -> Plan {
    Plan {
        objective: Objective::Latency,
        urgent: false,
        weight: DEFAULT_WEIGHT,
        retry_permille: 0,
        exact_counts: true,
        task_evictions: 0,
        hourly_evictions: 0,
        services: Vec::new(),
        allowance: Allowance::default(),
    }
}

fn plan(row: ObjectView<'_, '_>) -> Option<Plan> {
    let objective = row.required("objective").and_then(|value| value.one_of(Objective::NAMES));
    let urgent = optional(row, "urgent", false, ValueView::boolean);
    let weight = optional_u32(row, "weight", DEFAULT_WEIGHT, 1..=MAX_WEIGHT);
    let retry = optional(row, "retry_percent", DEFAULT_RETRY_PERCENT, |v| v.number(0.0..=100.0));
    let exact = optional(row, "exact_counts", true, ValueView::boolean);
    let task = optional_u32(row, "task_evictions", DEFAULT_TASK_EVICTIONS, 0..=MAX_EVICTIONS);
    let hourly = optional_u32(row, "hourly_evictions", DEFAULT_HOURLY_EVICTIONS, 0..=MAX_EVICTIONS);
    let services = elements(row, "services", MAX_ROWS).into_iter();
    let services = services.filter_map(name).map(ServiceName::from);
    Some(Plan {
        services: services.collect(),
        objective: Objective::from_name(objective?)?,
        urgent: urgent?,
        weight: weight?,
        retry_permille: (retry? * 10.0).round() as u32,
        exact_counts: exact?,
        task_evictions: task?,
        hourly_evictions: hourly?,
        allowance: Allowance::default(),
    })
}

fn customers(
    root: ObjectView<'_, '_>,
    plans: &BTreeMap<PlanName, PlanRow>,
    owners: &mut CredentialOwners,
) -> BTreeMap<CustomerName, Customer> {
    let known: Vec<&str> = plans.keys().map(PlanName::as_str).collect();
    let mut customers = BTreeMap::new();
    for row in rows(root, "customers", MAX_CUSTOMERS) {
        let row = row.allow_only(CUSTOMER_FIELDS);
        let name = row_name(row);
        let plan = row.required("plan").and_then(|value| value.one_of(&known));
        let hash = unique_credential(row, "customer", name, owners);
        // Keep an invalid customer under its name, so that its services aren't reported as well.
        if let Some(name) = name {
            let customer = Customer {
                plan: plan.unwrap_or_default().into(),
                credential: hash.unwrap_or(CredentialHash { digest: [0; 32] }),
            };
            insert(&mut customers, row, "customer", (name.into(), customer));
        }
    }
    customers
}

fn services(
    root: ObjectView<'_, '_>,
    customers: &BTreeMap<CustomerName, Customer>,
) -> BTreeMap<ServiceName, ServiceRow> {
    let known: Vec<&str> = customers.keys().map(CustomerName::as_str).collect();
    let mut services = BTreeMap::new();
    for row in rows(root, "services", MAX_ROWS) {
        let row = row.allow_only(SERVICE_FIELDS);
        let name = row_name(row);
        let service = service(row, &known);
        if let (Some(name), Some(service)) = (name, service) {
            let service = ServiceRow { place: row.place(), service };
            insert(&mut services, row, "service", (name.into(), service));
        }
    }
    services
}

fn service(row: ObjectView<'_, '_>, owners: &[&str]) -> Option<Service> {
    let owner = row.required("owner").and_then(|value| value.one_of(owners));
    let size = row.required("size").and_then(replica_size);
    let replicas = row.required("replicas").and_then(replicas);
    let latency = row.required("latency_ms").and_then(|value| value.number(0.001..=MAX_LATENCY_MS));
    let good = optional(row, "good_percent", DEFAULT_GOOD_PERCENT, |v| v.number(0.0..=100.0));
    Some(Service {
        owner: owner?.into(),
        size: size?,
        replicas: replicas?,
        latency: Duration::from_micros((latency? * 1000.0).round() as u64),
        good_ppm: (good? * 10_000.0).round() as u32,
    })
}

fn replica_size(value: ValueView<'_, '_>) -> Option<Resources> {
    let size = resources(value)?;
    if size.millicores == 0 || size.memory_mib == 0 {
        value.report("a replica needs processors and memory above zero");
    }
    Some(size)
}

fn replicas(value: ValueView<'_, '_>) -> Option<BTreeMap<DataCentre, u32>> {
    let object = value.object()?;
    let centres = object.names();
    if centres.len() > MAX_CENTRES {
        value.report(format!("{} data centres; at most {MAX_CENTRES} fit", centres.len()));
        return None;
    }
    object.allow_only(&centres);
    let mut replicas = BTreeMap::new();
    for centre in centres {
        if !is_name(centre) {
            value.report(invalid_name(centre));
        }
        let count = object.get(centre).and_then(|count| count.integer(0..=MAX_REPLICAS));
        replicas.insert(centre.into(), u32::try_from(count.unwrap_or(0)).ok()?);
    }
    Some(replicas)
}

/// Reports services of a plan that aren't in the list, and duplicates.
fn check_services(root: ObjectView<'_, '_>, services: &BTreeMap<ServiceName, ServiceRow>) {
    // Include the names of invalid services, so that these are reported only once.
    let listed = rows(root, "services", MAX_ROWS);
    let named = listed.iter().filter_map(|row| row.get("name")?.as_text());
    let known: BTreeSet<&str> = services.keys().map(ServiceName::as_str).chain(named).collect();
    let names: Vec<&str> = known.iter().copied().collect();
    for row in rows(root, "plans", MAX_ROWS) {
        let mut seen = BTreeSet::new();
        for value in elements(row, "services", MAX_ROWS) {
            let Some(service) = value.as_text() else { continue };
            if !known.contains(service) {
                value.report_unknown("service", service, &names);
            }
            if !seen.insert(service) {
                value.report(format!("service \"{service}\" is named twice"));
            }
        }
    }
}
