//! Parsing and validation of the two lists that operators maintain: plans and usage.
//!
//! Parsing a list reports all errors in it at once. [`check_consistency`] validates the two lists
//! against each other, and [`build_policy`] turns them into a policy.

use std::collections::BTreeMap;

use crate::{
    data,
    document::Document,
    finding::{Finding, Findings, Place},
    ids::{CustomerName, OperatorName, PlanName, ServiceName},
    policy::{Allowance, CredentialHash, Customer, Plan, Service},
};

mod check;
pub(crate) mod fields;
mod plans;
mod usage;

pub use check::{build_policy, check_consistency, check_replicas};

/// The maximum size of a list, in bytes.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The maximum number of operators, of plans, and of services in a list.
pub const MAX_ROWS: usize = 1_000;

/// The maximum number of customers in a list.
pub const MAX_CUSTOMERS: usize = 10_000;

data! {
    /// The plans list, as written by an operator.
    pub struct PlansList {
        /// The version: one more than that of the list it replaces.
        pub version: u64,
        /// The position of the version.
        pub place: Place,
        /// The operators who may edit the lists.
        pub operators: BTreeMap<OperatorName, CredentialHash>,
        /// The plans.
        pub plans: BTreeMap<PlanName, PlanRow>,
        /// The customers.
        pub customers: BTreeMap<CustomerName, Customer>,
        /// The services.
        pub services: BTreeMap<ServiceName, ServiceRow>,
    }

    /// A plan in the plans list; its allowance is in the usage list.
    pub struct PlanRow {
        /// The position of the row.
        pub place: Place,
        /// The plan, with an empty allowance.
        pub plan: Plan,
    }

    /// A service in the plans list.
    pub struct ServiceRow {
        /// The position of the row.
        pub place: Place,
        /// The service.
        pub service: Service,
    }

    /// The usage list, as written by an operator.
    #[derive(Default)]
    pub struct UsageList {
        /// The version: one more than that of the list it replaces.
        pub version: u64,
        /// The position of the version.
        pub place: Place,
        /// The rows by plan.
        pub usage: BTreeMap<PlanName, UsageRow>,
    }

    /// A row of the usage list.
    pub struct UsageRow {
        /// The position of the row.
        pub place: Place,
        /// The resources that each customer on the plan may use.
        pub allowance: Allowance,
    }
}

/// Parses the plans list.
///
/// # Errors
///
/// All errors in the text, with their positions.
pub fn parse_plans(file: &str, text: &str) -> Result<PlansList, Findings> {
    check_length(file, text)?;
    Document::read(file, text, plans::read)
}

/// Parses the usage list.
///
/// # Errors
///
/// All errors in the text, with their positions.
pub fn parse_usage(file: &str, text: &str) -> Result<UsageList, Findings> {
    check_length(file, text)?;
    Document::read(file, text, usage::read)
}

fn check_length(file: &str, text: &str) -> Result<(), Findings> {
    if text.len() <= MAX_LIST_BYTES {
        return Ok(());
    }
    let place = Place { file: file.to_owned(), line: 1, column: 1 };
    let message = format!("the list has {} bytes; at most {MAX_LIST_BYTES} are read", text.len());
    Err(Findings { items: vec![Finding { place, message }] })
}
