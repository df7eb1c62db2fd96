//! Health, metrics and status of the instance.

use std::sync::Arc;

use hickorylink_lib::{
    api::OUTCOME_RAN,
    instance::port::{Answer, Query},
};
use hickorylink_runtime::metrics::CONTENT_TYPE;
use poem::{Request, Response, handler, http::StatusCode, web::Data};
use serde_json::json;

use crate::front::{
    Desk, credential,
    reply::{Problem, done, json as reply, problem_of},
};

/// Says to the platform's balancer whether the instance takes work.
#[handler]
pub(crate) fn health(Data(desk): Data<&Arc<Desk>>) -> Response {
    let (code, state) = match desk.is_draining() {
        false => (StatusCode::OK, "serving"),
        true => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
    };
    reply(code, OUTCOME_RAN, &json!({ "instance": desk.name(), "state": state }))
}

/// All metrics in the text format.
#[handler]
pub(crate) fn metrics(Data(desk): Data<&Arc<Desk>>) -> Response {
    match desk.metrics.encode(&desk.rings.readings()) {
        Ok(text) => Response::builder().content_type(CONTENT_TYPE).body(text),
        Err(error) => {
            Problem::not_run(StatusCode::INTERNAL_SERVER_ERROR, "metrics", error.to_string()).into()
        }
    }
}

/// The state of the instance, for operators.
#[handler]
pub(crate) async fn status(request: &Request, Data(desk): Data<&Arc<Desk>>) -> Response {
    if let Err(problem) = credential::operator(desk, request) {
        return problem.into();
    }
    match desk.query(Query::Status).await {
        Answer::Status(status) => done(&status),
        answer => problem_of(answer).into(),
    }
}
