//! Who asks: always from a credential, never from a field of the request.

use hickorylink_lib::ids::{CustomerName, OperatorName};
use poem::{Request, http::header::AUTHORIZATION};

use crate::front::{Front, reply::Problem};

/// The credential that a request carries.
pub fn bearer(request: &Request) -> Option<&str> {
    request.header(AUTHORIZATION)?.strip_prefix("Bearer ")
}

/// The customer who asks.
///
/// # Errors
///
/// [`Problem::unauthorized`] without a customer's credential.
pub fn customer(front: &Front, request: &Request) -> Result<CustomerName, Problem> {
    bearer(request).and_then(|text| front.customer(text)).ok_or_else(Problem::unauthorized)
}

/// The operator who asks.
///
/// # Errors
///
/// [`Problem::unauthorized`] without an operator's credential.
pub fn operator(front: &Front, request: &Request) -> Result<OperatorName, Problem> {
    bearer(request).and_then(|text| front.operator(text)).ok_or_else(Problem::unauthorized)
}

/// Checks that a worker asks.
///
/// # Errors
///
/// [`Problem::unauthorized`] without the workers' key.
pub fn worker(front: &Front, request: &Request) -> Result<(), Problem> {
    let known = blake3::hash(front.settings.worker_key.as_bytes());
    match bearer(request) {
        // The comparison of two hashes takes the same time wherever they differ.
        Some(text) if blake3::hash(text.as_bytes()) == known => Ok(()),
        Some(_) | None => Err(Problem::unauthorized()),
    }
}
