//! Handlers for workers' announcements and for operators' queries about workers.

use std::{sync::Arc, time::Duration};

use hickorylink_lib::{directory::port::Event, ids::WorkerName, worker::Announcement};
use poem::{
    Body, Request, Response, handler,
    http::StatusCode,
    web::{Data, Path},
};

use crate::{
    duty::{peers::Input as PeersInput, scheduler::Input as SchedulerInput},
    frontend::{
        Frontend, credential,
        reply::{Problem, ok},
        services::read_body,
    },
};

/// The largest announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 1024 * 1024;

/// How long reading a worker's announcement may take, and how long another duty may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Accepts a worker's announcement and answers with a lease.
#[handler]
pub(crate) async fn announce(
    request: &Request,
    body: Body,
    Data(front): Data<&Arc<Frontend>>,
) -> Response {
    match accept_announcement(front, request, body).await {
        Ok(response) => response,
        Err(problem) => problem.into(),
    }
}

async fn accept_announcement(
    front: &Frontend,
    request: &Request,
    body: Body,
) -> Result<Response, Problem> {
    credential::worker(front, request)?;
    let body = read_body(body, MAX_ANNOUNCEMENT_BYTES, ANSWER_TIMEOUT).await?;
    let announcement: Announcement =
        serde_json::from_slice(&body).map_err(|error| Problem::bad_request(error.to_string()))?;
    let findings = announcement.findings();
    if !findings.is_empty() {
        let (status, code) = (StatusCode::UNPROCESSABLE_ENTITY, "bad_announcement");
        return Err(Problem::not_run(status, code, findings.join("; ")));
    }
    let ticket = front.ticket();
    let answer = front.announcements.register(ticket);
    let event = Event::Announced { ticket, announcement: Box::new(announcement) };
    if front.rings.peers.offer(PeersInput::Event(event)).is_err() {
        front.announcements.remove(&ticket);
        return Err(Problem::overloaded());
    }
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    front.announcements.remove(&ticket);
    match answer {
        Ok(Ok(Ok(lease))) => Ok(ok(&lease)),
        Ok(Ok(Err(reason))) => {
            Err(Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "bad_announcement", reason))
        }
        Ok(Err(_)) | Err(_) => Err(Problem::overloaded()),
    }
}

/// Shows a worker from the point of view of its data centre's scheduler.
#[handler]
pub(crate) async fn show(
    request: &Request,
    Path(worker): Path<String>,
    Data(front): Data<&Arc<Frontend>>,
) -> Response {
    if let Err(problem) = credential::operator(front, request) {
        return problem.into();
    }
    let worker = WorkerName::from(worker.as_str());
    match front.explain(|ticket| SchedulerInput::ExplainWorker(ticket, worker)).await {
        Some(why) => ok(&why),
        None => Problem::not_found("worker here; ask the holder of its data centre").into(),
    }
}

impl Frontend {
    /// Asks the scheduler for an explanation of a worker or a task. None if the scheduler doesn't
    /// know it, doesn't hold the data centre's epoch, or doesn't answer in time.
    pub async fn explain(
        &self,
        ask: impl FnOnce(u64) -> SchedulerInput,
    ) -> Option<serde_json::Value> {
        let ticket = self.ticket();
        let answer = self.explanations.register(ticket);
        if self.rings.scheduler.offer(ask(ticket)).is_err() {
            self.explanations.remove(&ticket);
            return None;
        }
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        self.explanations.remove(&ticket);
        answer.ok()?.ok()?
    }
}
