//! The names of requests' outcomes in metrics, logs and responses.

use hickorylink_lib::router::port::{NotRun, RequestOutcome};

/// The outcome's name in metrics and logs.
pub fn name(outcome: &RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Ran(_) | RequestOutcome::RanEarlier { .. } => "ran",
        RequestOutcome::NotRun { .. } => "not_run",
        RequestOutcome::Unknown { .. } => "unknown",
    }
}

/// The error code of a reason, in responses.
pub fn reason_code(reason: NotRun) -> &'static str {
    match reason {
        NotRun::NotAllowed => "not_allowed",
        NotRun::NoTarget => "no_target",
        NotRun::Deadline => "deadline",
        NotRun::Overloaded => "overloaded",
        NotRun::Draining => "draining",
        NotRun::ConsensusUnavailable => "council_unavailable",
        NotRun::KeyReused => "key_reused",
        NotRun::MissingKey => "key_missing",
        NotRun::InProgress => "in_progress",
        NotRun::TargetsUnavailable => "targets_unavailable",
        NotRun::CallerGone => "caller_gone",
    }
}

/// The error message of a reason, which tells the caller what to do.
pub fn advice(reason: NotRun) -> &'static str {
    match reason {
        NotRun::NotAllowed => "the plan doesn't include this service",
        NotRun::NoTarget => "no target of the service is known here; retry later",
        NotRun::Deadline => "it can't be served before its deadline; retry with a later deadline",
        NotRun::Overloaded => "too many requests are queued; retry later",
        NotRun::Draining => "this instance is shutting down; retry at another instance",
        NotRun::ConsensusUnavailable => {
            "the idempotency key can't be claimed while the consensus group can't be reached; resend \
             the request"
        }
        NotRun::KeyReused => "this idempotency key was used for a different request; use a new one",
        NotRun::MissingKey => {
            "a request that isn't idempotent needs an idempotency key; add one, or mark the \
             request as idempotent"
        }
        NotRun::InProgress => "a request with this idempotency key is in progress; retry later",
        NotRun::TargetsUnavailable => "no target accepted the request; resend it",
        NotRun::CallerGone => "the caller disconnected before the request was sent",
    }
}
