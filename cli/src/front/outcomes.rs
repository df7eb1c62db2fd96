//! The outcomes by which callers and metrics know what became of a request.

use hickorylink_lib::router::port::{NotRun, RequestOutcome};

/// The outcome's name in metrics and logs.
pub fn name(outcome: &RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Ran(_) | RequestOutcome::RanEarlier { .. } => "ran",
        RequestOutcome::NotRun { .. } => "not_run",
        RequestOutcome::Unknown { .. } => "unknown",
    }
}

/// The reason's name, for programs.
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

/// What the caller can do next.
pub fn advice(reason: NotRun) -> &'static str {
    match reason {
        NotRun::NotAllowed => "the plan doesn't include this service",
        NotRun::NoTarget => "no target of the service is known here; try again in a moment",
        NotRun::Deadline => "it can't be served before its deadline; send it with a later one",
        NotRun::Overloaded => "too many requests wait; try again in a moment",
        NotRun::Draining => "this instance is leaving; send it to another",
        NotRun::ConsensusUnavailable => {
            "the key can't be claimed while the council can't be reached; send the same again"
        }
        NotRun::KeyReused => "this key was used for another request; draw a new one",
        NotRun::MissingKey => {
            "a request that isn't idempotent needs an idempotency key; add one, or mark the \
             request as idempotent"
        }
        NotRun::InProgress => "a request with this key is under way; ask again in a moment",
        NotRun::TargetsUnavailable => "no target took it; send the same again",
        NotRun::CallerGone => "the caller went away before it left",
    }
}
