//! The burn report of the instance, for operators.

use std::{sync::Arc, time::Duration};

use hickorylink_lib::burn::Report;
use poem::{Request, Response, handler, web::Data};

use crate::{
    burn::Counts,
    duty::router::Job,
    front::{
        Desk, credential,
        reply::{Problem, done},
    },
};

/// How long the router may take to answer.
const ANSWER: Duration = Duration::from_secs(1);

/// Shows what this instance counted, to be merged with the counts of others.
#[handler]
pub(crate) async fn show(request: &Request, Data(desk): Data<&Arc<Desk>>) -> Response {
    if let Err(problem) = credential::operator(desk, request) {
        return problem.into();
    }
    match desk.burn().await {
        Some(report) => done(&Counts::from(&report)),
        None => Problem::overloaded().into(),
    }
}

impl Desk {
    /// Asks the router what it counted; nothing if it has too much to do.
    async fn burn(&self) -> Option<Report> {
        let ticket = self.ticket();
        let answer = self.burns.wait(ticket);
        if self.rings.router.offer(Job::Burn(ticket)).is_err() {
            self.burns.forget(&ticket);
            return None;
        }
        let answer = tokio::time::timeout(ANSWER, answer).await;
        self.burns.forget(&ticket);
        answer.ok()?.ok()
    }
}
