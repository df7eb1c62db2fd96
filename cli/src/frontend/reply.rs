//! Responses of the HTTP API. Each states whether the work ran.

use hickorylink_lib::{
    api::{ErrorBody, OUTCOME_HEADER, OUTCOME_NOT_RUN, OUTCOME_RAN, OUTCOME_UNKNOWN},
    command::{Refusal, Reply},
    instance::port::Answer,
};
use poem::{Response, http::StatusCode};
use serde::Serialize;

/// An error response.
#[derive(Debug)]
pub struct Problem {
    /// The status code.
    pub status: StatusCode,
    /// Whether the work ran.
    pub outcome: &'static str,
    /// The error code, for programs.
    pub error: &'static str,
    /// The error message, with what the caller can do.
    pub message: String,
}

impl Problem {
    /// A request that was refused before anything ran.
    pub fn not_run(status: StatusCode, error: &'static str, message: impl Into<String>) -> Self {
        Self { status, outcome: OUTCOME_NOT_RUN, error, message: message.into() }
    }

    /// The credential is missing, unknown, or of another kind of caller.
    pub fn unauthorized() -> Self {
        Self::not_run(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "no customer or operator has this credential; send it as `Authorization: Bearer …`",
        )
    }

    /// A duty of the instance has no room in its ring, or didn't answer in time.
    pub fn overloaded() -> Self {
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "overloaded",
            "the instance is overloaded; retry later",
        )
    }

    /// The item doesn't exist, or belongs to another customer.
    pub fn not_found(what: &str) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, "not_found", format!("there is no such {what}"))
    }

    /// The request is invalid.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "bad_request", message)
    }
}

impl From<Problem> for Response {
    fn from(problem: Problem) -> Self {
        let body = ErrorBody {
            outcome: problem.outcome.to_owned(),
            error: problem.error.to_owned(),
            message: problem.message,
        };
        json(problem.status, problem.outcome, &body)
    }
}

/// A response in JSON.
pub fn json(status: StatusCode, outcome: &str, body: &impl Serialize) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    Response::builder()
        .status(status)
        .header(OUTCOME_HEADER, outcome)
        .content_type("application/json")
        .body(body)
}

/// A successful response in JSON.
pub fn ok(body: &impl Serialize) -> Response {
    json(StatusCode::OK, OUTCOME_RAN, body)
}

/// Converts an error of the HTTP library, such as an unknown path; nothing ran.
pub async fn from_poem(error: poem::Error) -> Response {
    Problem::not_run(error.status(), "http", error.to_string()).into()
}

/// The error response for an answer of the replicated log that isn't the expected one.
pub fn problem_from_answer(answer: Answer) -> Problem {
    match answer {
        Answer::Reply(reply) => problem_from_reply(reply),
        Answer::NotAccepted => Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "council_unavailable",
            "the consensus group can't be reached from this instance; nothing was changed; retry \
             here or at another instance",
        ),
        Answer::Unknown => Problem {
            status: StatusCode::GATEWAY_TIMEOUT,
            outcome: OUTCOME_UNKNOWN,
            error: "unknown",
            message: "the command wasn't committed in time but may be later; resend it with \
                      the same key: it is carried out only once"
                .to_owned(),
        },
        Answer::NotFound => Problem::not_found("item"),
        Answer::Status(_) | Answer::Task(_) | Answer::List { .. } => unexpected(),
    }
}

fn unexpected() -> Problem {
    Problem::not_run(
        StatusCode::INTERNAL_SERVER_ERROR,
        "internal",
        "internal error: unexpected answer; please report this",
    )
}

fn problem_from_reply(reply: Reply) -> Problem {
    let conflict = |error, message: String| Problem::not_run(StatusCode::CONFLICT, error, message);
    match reply {
        Reply::Rejected(findings) => {
            Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "findings", findings.to_string())
        }
        Reply::Conflict { version, author, text } => conflict(
            "conflict",
            format!(
                "version {version} by {author} stands; make your change to it and apply it as \
                 version {}; its text is:\n{text}",
                version + 1
            ),
        ),
        Reply::Refused(refusal) => match refusal {
            Refusal::NoSuchTask => Problem::not_found("task"),
            Refusal::KeyReused => conflict(
                "key_reused",
                "this idempotency key was used for a different task; use a new one".to_owned(),
            ),
            Refusal::NoSuchCustomer => Problem::unauthorized(),
            Refusal::Ended => conflict("ended", "the task has ended".to_owned()),
            Refusal::TooManyTasks => Problem::not_run(
                StatusCode::TOO_MANY_REQUESTS,
                "too_many_tasks",
                "too many of your tasks are queued or running; retry when some have ended",
            ),
            Refusal::StaleEpoch { .. } | Refusal::StaleAttempt | Refusal::NotOwner => unexpected(),
        },
        Reply::Edited { .. }
        | Reply::Submitted { .. }
        | Reply::Done
        | Reply::Claimed
        | Reply::AlreadyClaimed { .. }
        | Reply::Granted { .. } => unexpected(),
    }
}
