//! Authentication: the caller's identity comes from its credential, never from a field of the
//! request.

use hickorylink_lib::ids::{CustomerName, OperatorName};
use poem::{Request, http::header::AUTHORIZATION};

use crate::frontend::{Frontend, reply::Problem};

/// The bearer token of a request.
pub fn bearer(request: &Request) -> Option<&str> {
    request.header(AUTHORIZATION)?.strip_prefix("Bearer ")
}

/// The customer who sent a request.
///
/// # Errors
///
/// [`Problem::unauthorized`] without a customer's credential.
pub fn customer(front: &Frontend, request: &Request) -> Result<CustomerName, Problem> {
    bearer(request).and_then(|text| front.customer(text)).ok_or_else(Problem::unauthorized)
}

/// The operator who sent a request.
///
/// # Errors
///
/// [`Problem::unauthorized`] without an operator's credential.
pub fn operator(front: &Frontend, request: &Request) -> Result<OperatorName, Problem> {
    bearer(request).and_then(|text| front.operator(text)).ok_or_else(Problem::unauthorized)
}

/// Checks that a request comes from a worker.
///
/// # Errors
///
/// [`Problem::unauthorized`] without the workers' key.
pub fn worker(front: &Frontend, request: &Request) -> Result<(), Problem> {
    let known = blake3::hash(front.settings.worker_key.as_bytes());
    match bearer(request) {
        // `blake3::Hash` compares in constant time.
        Some(text) if blake3::hash(text.as_bytes()) == known => Ok(()),
        Some(_) | None => Err(Problem::unauthorized()),
    }
}
