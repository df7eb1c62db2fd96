//! Requests to latency-critical services.

use std::{sync::Arc, time::Duration};

use hickorylink_lib::{
    api::{
        DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, IDEMPOTENT_HEADER, MAX_KEY_BYTES, OUTCOME_HEADER,
        OUTCOME_RAN, OUTCOME_UNKNOWN, REQUEST_HEADER,
    },
    ids::{CustomerName, IdempotencyKey, RequestId},
    router::port::{Event, NotRun, Request as RouterRequest, RequestOutcome},
};
use poem::{
    Body, Request, Response, handler,
    http::StatusCode,
    web::{Data, Path},
};

use crate::frontend::{CallerGuard, Frontend, credential, outcomes, reply::Problem};

/// How long a request may take if it carries no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// The longest deadline, in milliseconds: a day, for long polls.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

/// How long after a request's deadline the front end still waits for the router's answer.
const ROUTER_GRACE: Duration = Duration::from_secs(10);

/// Forwards a request to a target of a service.
#[handler]
pub(crate) async fn call(
    request: &Request,
    body: Body,
    Path((service, path)): Path<(String, String)>,
    Data(front): Data<&Arc<Frontend>>,
) -> Response {
    match parse_request(front, request, body, &service, &path).await {
        Ok(request) => forward(front, request).await,
        Err(problem) => problem.into(),
    }
}

async fn parse_request(
    front: &Frontend,
    request: &Request,
    body: Body,
    service: &str,
    path: &str,
) -> Result<RouterRequest, Problem> {
    let customer = credential::customer(front, request)?;
    let wait = parse_deadline(request)?;
    let idempotent = match request.header(IDEMPOTENT_HEADER) {
        Some("true") => true,
        Some("false") | None => false,
        Some(_) => {
            return Err(Problem::bad_request(format!("{IDEMPOTENT_HEADER} is true or false")));
        }
    };
    let key = parse_key(request)?;
    let deadline = front.clock.now() + wait;
    let body = read_body(body, front.settings.limits.body, wait).await?;
    let path = match request.uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok(RouterRequest {
        request: RequestId(front.ticket()),
        customer,
        service: service.into(),
        path,
        idempotent,
        key,
        deadline,
        body,
    })
}

/// Reads a body of at most `max_bytes` bytes that comes within `wait`.
///
/// # Errors
///
/// [`Problem`] if the body is too large, too slow or can't be read; nothing ran.
pub async fn read_body(
    body: Body,
    max_bytes: usize,
    wait: Duration,
) -> Result<bytes::Bytes, Problem> {
    match tokio::time::timeout(wait, body.into_bytes_limit(max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(poem::error::ReadBodyError::PayloadTooLarge)) => Err(Problem::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
            format!("the body is larger than {max_bytes} bytes"),
        )),
        Ok(Err(error)) => Err(Problem::bad_request(error.to_string())),
        Err(_) => Err(Problem::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "slow_sender",
            "the body wasn't received in time",
        )),
    }
}

fn parse_deadline(request: &Request) -> Result<Duration, Problem> {
    let Some(text) = request.header(DEADLINE_HEADER) else { return Ok(DEFAULT_DEADLINE) };
    match text.parse() {
        Ok(wait) if (1..=MAX_DEADLINE_MS).contains(&wait) => Ok(Duration::from_millis(wait)),
        Ok(_) | Err(_) => Err(Problem::bad_request(format!(
            "{DEADLINE_HEADER} must be a whole number from 1 to {MAX_DEADLINE_MS}"
        ))),
    }
}

fn parse_key(request: &Request) -> Result<Option<IdempotencyKey>, Problem> {
    match request.header(IDEMPOTENCY_KEY_HEADER) {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(Problem::bad_request(
            format!("{IDEMPOTENCY_KEY_HEADER} must have 1 to {MAX_KEY_BYTES} bytes"),
        )),
        key => Ok(key.map(IdempotencyKey::from)),
    }
}

async fn forward(front: &Arc<Frontend>, request: RouterRequest) -> Response {
    let id = request.request;
    let customer = request.customer.clone();
    let service = request.service.clone();
    let now = front.clock.now();
    let limit = now.until(request.deadline) + ROUTER_GRACE;
    let answer = front.requests.register(id);
    if front.rings.router.offer(Event::Request(Box::new(request))).is_err() {
        front.requests.remove(&id);
        front.metrics.count_request(&customer, &service, "not_run");
        return Problem::overloaded().into();
    }
    let guard = CallerGuard { front, request: id };
    let outcome = match tokio::time::timeout(limit, answer).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) | Err(_) => {
            RequestOutcome::Unknown { reason: "the router didn't answer in time".to_owned() }
        }
    };
    drop(guard);
    let took = now.until(front.clock.now());
    front.metrics.count_request(&customer, &service, outcomes::name(&outcome));
    front.metrics.observe_latency(&service, took);
    log_request(front, id, &customer, &outcome, took);
    let mut response = respond(outcome);
    if let Ok(id) = id.to_string().parse() {
        response.headers_mut().insert(REQUEST_HEADER, id);
    }
    response
}

fn log_request(
    front: &Frontend,
    id: RequestId,
    customer: &CustomerName,
    outcome: &RequestOutcome,
    took: Duration,
) {
    slog::debug!(front.log, "request";
        "request" => %id,
        "customer" => customer.as_str(),
        "outcome" => outcomes::name(outcome),
        "took_us" => u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
}

fn respond(outcome: RequestOutcome) -> Response {
    match outcome {
        RequestOutcome::Ran(response) => {
            let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK);
            Response::builder()
                .status(status)
                .header(OUTCOME_HEADER, OUTCOME_RAN)
                .body(response.body)
        }
        RequestOutcome::RanEarlier { status } => Problem {
            status: StatusCode::CONFLICT,
            outcome: OUTCOME_RAN,
            error: "ran_earlier",
            message: format!(
                "a request with this key ran and was answered with status {status}; the answer \
                 is no longer stored"
            ),
        }
        .into(),
        RequestOutcome::NotRun { reason } => refusal(reason).into(),
        RequestOutcome::Unknown { reason } => Problem {
            status: StatusCode::GATEWAY_TIMEOUT,
            outcome: OUTCOME_UNKNOWN,
            error: "unknown",
            message: format!("the request may have run: {reason}"),
        }
        .into(),
    }
}

fn refusal(reason: NotRun) -> Problem {
    let status = match reason {
        NotRun::NotAllowed => StatusCode::FORBIDDEN,
        NotRun::KeyReused | NotRun::InProgress => StatusCode::CONFLICT,
        NotRun::MissingKey => StatusCode::BAD_REQUEST,
        NotRun::NoTarget
        | NotRun::Deadline
        | NotRun::Overloaded
        | NotRun::Draining
        | NotRun::ConsensusUnavailable
        | NotRun::TargetsUnavailable
        | NotRun::CallerGone => StatusCode::SERVICE_UNAVAILABLE,
    };
    Problem::not_run(status, outcomes::reason_code(reason), outcomes::advice(reason))
}
