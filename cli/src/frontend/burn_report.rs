//! The instance's burn report, for operators.

use std::{sync::Arc, time::Duration};

use hickorylink_lib::burn::Report;
use poem::{Request, Response, handler, web::Data};

use crate::{
    burn::ReportBody,
    duty::router::Input as RouterInput,
    frontend::{
        Frontend, credential,
        reply::{Problem, ok},
    },
};

/// How long the router may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the counts of this instance, which the client merges with those of others.
#[handler]
pub(crate) async fn show(request: &Request, Data(front): Data<&Arc<Frontend>>) -> Response {
    if let Err(problem) = credential::operator(front, request) {
        return problem.into();
    }
    match front.burn().await {
        Some(report) => ok(&ReportBody::from(&report)),
        None => Problem::overloaded().into(),
    }
}

impl Frontend {
    /// Asks the router for its burn report; none if the router is overloaded.
    async fn burn(&self) -> Option<Report> {
        let ticket = self.ticket();
        let answer = self.burn_reports.register(ticket);
        if self.rings.router.offer(RouterInput::Burn(ticket)).is_err() {
            self.burn_reports.remove(&ticket);
            return None;
        }
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        self.burn_reports.remove(&ticket);
        answer.ok()?.ok()
    }
}
