//! Handlers for the health, metrics and status of the instance.

use std::sync::Arc;

use hickorylink_lib::{
    api::OUTCOME_RAN,
    instance::port::{Answer, Query},
};
use hickorylink_runtime::metrics::CONTENT_TYPE;
use poem::{Request, Response, handler, http::StatusCode, web::Data};
use serde_json::json;

use crate::frontend::{
    Frontend, credential,
    reply::{Problem, json as reply, ok, problem_from_answer},
};

/// Tells the load balancer whether the instance accepts requests.
#[handler]
pub(crate) fn health(Data(front): Data<&Arc<Frontend>>) -> Response {
    let (code, state) = match front.is_draining() {
        false => (StatusCode::OK, "serving"),
        true => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
    };
    reply(code, OUTCOME_RAN, &json!({ "instance": front.name(), "state": state }))
}

/// Returns all metrics in the OpenMetrics text format.
#[handler]
pub(crate) fn metrics(Data(front): Data<&Arc<Frontend>>) -> Response {
    match front.metrics.encode(&front.rings.readings()) {
        Ok(text) => Response::builder().content_type(CONTENT_TYPE).body(text),
        Err(error) => {
            Problem::not_run(StatusCode::INTERNAL_SERVER_ERROR, "metrics", error.to_string()).into()
        }
    }
}

/// Returns the status of the instance, for operators.
#[handler]
pub(crate) async fn status(request: &Request, Data(front): Data<&Arc<Frontend>>) -> Response {
    if let Err(problem) = credential::operator(front, request) {
        return problem.into();
    }
    match front.query(Query::Status).await {
        Answer::Status(status) => ok(&status),
        answer => problem_from_answer(answer).into(),
    }
}
