//! Workers: their announcements, and what an operator asks about them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hickorylink_lib::{directory::port::Event, ids::WorkerName, worker::Announcement};
use poem::{
    Body, Request, Response, handler,
    http::StatusCode,
    web::{Data, Path},
};

use crate::{
    duty::{peers::Post, scheduler::Job},
    front::{
        Desk, credential,
        reply::{Problem, done},
        services::read_body,
    },
};

/// The largest announcement, in bytes.
const ANNOUNCEMENT_BYTES: usize = 1024 * 1024;

/// How long a worker's announcement may take to come and be answered.
const ANSWER: Duration = Duration::from_secs(1);

/// Takes an announcement in and answers with a lease.
#[handler]
pub(crate) async fn announce(
    request: &Request,
    body: Body,
    Data(desk): Data<&Arc<Desk>>,
) -> Response {
    match take_in(desk, request, body).await {
        Ok(response) => response,
        Err(problem) => problem.into(),
    }
}

async fn take_in(desk: &Desk, request: &Request, body: Body) -> Result<Response, Problem> {
    credential::worker(desk, request)?;
    let body = read_body(body, ANNOUNCEMENT_BYTES, ANSWER).await?;
    let said: Announcement =
        serde_json::from_slice(&body).map_err(|error| Problem::bad_request(error.to_string()))?;
    check_addresses(&said)?;
    let ticket = desk.ticket();
    let answer = desk.announcements.wait(ticket);
    let event = Event::Announced { ticket, announcement: Box::new(said) };
    if desk.rings.peers.offer(Post::Event(event)).is_err() {
        desk.announcements.forget(&ticket);
        return Err(Problem::overloaded());
    }
    let answer = tokio::time::timeout(ANSWER, answer).await;
    desk.announcements.forget(&ticket);
    match answer {
        Ok(Ok(Ok(lease))) => Ok(done(&lease)),
        Ok(Ok(Err(reason))) => {
            Err(Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "bad_announcement", reason))
        }
        Ok(Err(_)) | Err(_) => Err(Problem::overloaded()),
    }
}

/// Checks that a worker's addresses can be connected to as they stand.
fn check_addresses(said: &Announcement) -> Result<(), Problem> {
    let targets = said.targets.iter().map(|target| &target.address);
    for address in std::iter::once(&said.address).chain(targets) {
        if address.parse::<SocketAddr>().is_err() {
            return Err(Problem::not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                "bad_announcement",
                format!("\"{address}\" is not an IP address with a port"),
            ));
        }
    }
    Ok(())
}

/// Shows a worker as the scheduler of its data centre sees it.
#[handler]
pub(crate) async fn show(
    request: &Request,
    Path(worker): Path<String>,
    Data(desk): Data<&Arc<Desk>>,
) -> Response {
    if let Err(problem) = credential::operator(desk, request) {
        return problem.into();
    }
    let worker = WorkerName::from(worker.as_str());
    match desk.explain(|ticket| Job::ExplainWorker(ticket, worker)).await {
        Some(why) => done(&why),
        None => Problem::not_found("worker here; ask the holder of its data centre").into(),
    }
}

impl Desk {
    /// Asks the scheduler why something is as it is; nothing if it doesn't know or doesn't hold
    /// the data centre's epoch.
    pub async fn explain(&self, ask: impl FnOnce(u64) -> Job) -> Option<serde_json::Value> {
        let ticket = self.ticket();
        let answer = self.explained.wait(ticket);
        if self.rings.scheduler.offer(ask(ticket)).is_err() {
            self.explained.forget(&ticket);
            return None;
        }
        let answer = tokio::time::timeout(ANSWER, answer).await;
        self.explained.forget(&ticket);
        answer.ok()?.ok()?
    }
}
