//! The two lists that operators keep: text in, checked values out.
//!
//! Each list is read in one pass that reports everything wrong in it. What spans both lists is
//! checked by [`check_consistency`], and [`build_policy`] makes the policy of a pair that fits.

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

/// The largest list that is read, in bytes.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Operators, plans and services in a list, of each at most this many.
pub const MAX_ROWS: usize = 1_000;

/// Customers in a list, at most.
pub const MAX_CUSTOMERS: usize = 10_000;

data! {
    /// The customers' plans, as an operator wrote them.
    pub struct PlansList {
        /// The version: one above that of the list it replaces.
        pub version: u64,
        /// Where the version stands.
        pub place: Place,
        /// Operators who may edit the lists.
        pub operators: BTreeMap<OperatorName, CredentialHash>,
        /// Plans.
        pub plans: BTreeMap<PlanName, PlanRow>,
        /// Customers.
        pub customers: BTreeMap<CustomerName, Customer>,
        /// Services.
        pub services: BTreeMap<ServiceName, ServiceRow>,
    }

    /// A plan in the list; what it may use is in the other list.
    pub struct PlanRow {
        /// Where it stands.
        pub place: Place,
        /// The plan, with nothing allowed.
        pub plan: Plan,
    }

    /// A service in the list.
    pub struct ServiceRow {
        /// Where it stands.
        pub place: Place,
        /// The service.
        pub service: Service,
    }

    /// What each plan may use, as an operator wrote it.
    #[derive(Default)]
    pub struct UsageList {
        /// The version: one above that of the list it replaces.
        pub version: u64,
        /// Where the version stands.
        pub place: Place,
        /// Rows by plan.
        pub usage: BTreeMap<PlanName, UsageRow>,
    }

    /// What a plan's customers may use.
    pub struct UsageRow {
        /// Where it stands.
        pub place: Place,
        /// What each customer on the plan may use.
        pub allowance: Allowance,
    }
}

/// Reads the list of plans.
///
/// # Errors
///
/// Everything that is wrong in the text, with places.
pub fn parse_plans(file: &str, text: &str) -> Result<PlansList, Findings> {
    check_length(file, text)?;
    Document::read(file, text, plans::read)
}

/// Reads the usage list.
///
/// # Errors
///
/// Everything that is wrong in the text, with places.
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
