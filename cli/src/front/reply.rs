//! Replies of the front: each says whether the work ran.

use hickorylink_lib::{
    api::{ErrorBody, OUTCOME_HEADER, OUTCOME_NOT_RUN, OUTCOME_RAN, OUTCOME_UNKNOWN},
    command::{Refusal, Reply},
    instance::port::Answer,
};
use poem::{Response, http::StatusCode};
use serde::Serialize;

/// An error for a caller.
#[derive(Debug)]
pub struct Problem {
    /// The status.
    pub status: StatusCode,
    /// Whether the work ran.
    pub outcome: &'static str,
    /// What went wrong, as a word for programs.
    pub error: &'static str,
    /// What went wrong, and what to do next.
    pub message: String,
}

impl Problem {
    /// Something that was refused before anything ran.
    pub fn not_run(status: StatusCode, error: &'static str, message: impl Into<String>) -> Self {
        Self { status, outcome: OUTCOME_NOT_RUN, error, message: message.into() }
    }

    /// Nobody can be told from this credential.
    pub fn unauthorized() -> Self {
        Self::not_run(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "no customer or operator has this credential; send it as `Authorization: Bearer …`",
        )
    }

    /// The instance has no room for more work.
    pub fn overloaded() -> Self {
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "overloaded",
            "the instance has too much to do; try again in a moment",
        )
    }

    /// There is no such thing, or it is another customer's.
    pub fn not_found(what: &str) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, "not_found", format!("there is no such {what}"))
    }

    /// What the caller sent is wrong.
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

/// A reply in JSON.
pub fn json(status: StatusCode, outcome: &str, body: &impl Serialize) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    Response::builder()
        .status(status)
        .header(OUTCOME_HEADER, outcome)
        .content_type("application/json")
        .body(body)
}

/// A reply in JSON to something that was done.
pub fn ok(body: &impl Serialize) -> Response {
    json(StatusCode::OK, OUTCOME_RAN, body)
}

/// Turns an error of the HTTP library into a reply; nothing ran.
pub async fn from_poem(error: poem::Error) -> Response {
    Problem::not_run(error.status(), "http", error.to_string()).into()
}

/// The problem in an answer of the council's part that isn't what was asked for.
pub fn problem_from_answer(answer: Answer) -> Problem {
    match answer {
        Answer::Reply(reply) => problem_from_reply(reply),
        Answer::NotAccepted => Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "council_unavailable",
            "this instance can't reach a council that agrees; nothing was changed; try again, \
             or another instance",
        ),
        Answer::Unknown => Problem {
            status: StatusCode::GATEWAY_TIMEOUT,
            outcome: OUTCOME_UNKNOWN,
            error: "unknown",
            message: "the council didn't answer in time and may still do it; send the same \
                      again, with the same key: it is done once"
                .to_owned(),
        },
        Answer::NotFound => Problem::not_found("thing"),
        Answer::Status(_) | Answer::Task(_) | Answer::List { .. } => unexpected(),
    }
}

fn unexpected() -> Problem {
    Problem::not_run(
        StatusCode::INTERNAL_SERVER_ERROR,
        "internal",
        "the answer doesn't fit the question; please report this",
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
                "version {version} by {author} stands; make your change to it and apply that as \
                 version {}; it reads:\n{text}",
                version + 1
            ),
        ),
        Reply::Refused(refusal) => match refusal {
            Refusal::NoSuchTask => Problem::not_found("task"),
            Refusal::KeyReused => conflict(
                "key_reused",
                "this key was used for something else; draw a new one".to_owned(),
            ),
            Refusal::NoSuchCustomer => Problem::unauthorized(),
            Refusal::Ended => conflict("ended", "the task has ended".to_owned()),
            Refusal::TooManyTasks => Problem::not_run(
                StatusCode::TOO_MANY_REQUESTS,
                "too_many_tasks",
                "too many of your tasks wait or run; try again when some have ended",
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
