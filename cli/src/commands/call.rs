//! `hickorylink call`: calls a service.

use clap::Args as ClapArgs;
use hickorylink_lib::api::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, IDEMPOTENT_HEADER, OUTCOME_RAN,
};
use hyper::Method;

use crate::client::{Call, Connection, Outcome, call, error_outcome};

/// The arguments of `call`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The name of the service
    service: String,
    /// The path of the request at the service
    #[arg(default_value = "")]
    path: String,
    /// The body of the request
    #[arg(long, default_value = "")]
    body: String,
    /// Allow the request to run more than once
    #[arg(long)]
    idempotent: bool,
    /// The idempotency key: a request that is resent with the same key runs only once
    #[arg(long, required_unless_present = "idempotent")]
    key: Option<String>,
    /// The deadline of the request, in milliseconds from now
    #[arg(long, default_value_t = 10_000)]
    deadline_ms: u64,
}

/// Runs the command.
pub fn run(connection: &Connection, args: Args) -> Outcome {
    let path = format!("/v1/services/{}/{}", args.service, args.path.trim_start_matches('/'));
    let mut post = Call::new(Method::POST, &path);
    post.headers.push((IDEMPOTENT_HEADER, args.idempotent.to_string()));
    post.headers.push((DEADLINE_HEADER, args.deadline_ms.to_string()));
    if let Some(key) = args.key {
        post.headers.push((IDEMPOTENCY_KEY_HEADER, key));
    }
    post.body = args.body.into();
    match call(connection, post) {
        Ok(response)
            if response.outcome.as_deref() == Some(OUTCOME_RAN) && response.status != 409 =>
        {
            Outcome::success(String::from_utf8_lossy(&response.body))
        }
        Ok(response) => error_outcome(&response),
        Err(failure) => failure,
    }
}
