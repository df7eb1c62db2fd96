//! Who asks: always from a credential, never from a field of the request.

use hickorylink_lib::ids::{CustomerName, OperatorName};
use poem::{Request, http::header::AUTHORIZATION};

use crate::front::{Desk, reply::Problem};

/// The credential that a request carries.
pub fn bearer(request: &Request) -> Option<&str> {
    request.header(AUTHORIZATION)?.strip_prefix("Bearer ")
}

/// The customer who asks.
///
/// # Errors
///
/// [`Problem::unauthorized`] without a customer's credential.
pub fn customer(desk: &Desk, request: &Request) -> Result<CustomerName, Problem> {
    bearer(request).and_then(|text| desk.customer(text)).ok_or_else(Problem::unauthorized)
}

/// The operator who asks.
///
/// # Errors
///
/// [`Problem::unauthorized`] without an operator's credential.
pub fn operator(desk: &Desk, request: &Request) -> Result<OperatorName, Problem> {
    bearer(request).and_then(|text| desk.operator(text)).ok_or_else(Problem::unauthorized)
}

/// Checks that a worker asks.
///
/// # Errors
///
/// [`Problem::unauthorized`] without the workers' key.
pub fn worker(desk: &Desk, request: &Request) -> Result<(), Problem> {
    let known = blake3::hash(desk.settings.worker_key.as_bytes());
    match bearer(request) {
        // The comparison of two hashes takes the same time wherever they differ.
        Some(text) if blake3::hash(text.as_bytes()) == known => Ok(()),
        Some(_) | None => Err(Problem::unauthorized()),
    }
}
