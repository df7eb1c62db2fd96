//! Handlers for batch tasks.

use std::sync::Arc;

use hickorylink_lib::{
    api::{OUTCOME_RAN, SubmitBody, SubmittedBody},
    command::{Command, Reply},
    ids::TaskId,
    instance::port::{Answer, Query},
    task::Submission,
};
use poem::{
    Body, Request, Response, handler,
    http::StatusCode,
    web::{Data, Path},
};

use crate::{
    duty::scheduler::Input as SchedulerInput,
    frontend::{
        COMMAND_TIMEOUT, Frontend, credential,
        reply::{Problem, json, ok, problem_from_answer},
        services::read_body,
    },
};

/// Submits a task.
#[handler]
pub(crate) async fn submit(
    request: &Request,
    body: Body,
    Data(front): Data<&Arc<Frontend>>,
) -> Response {
    match accept_submission(front, request, body).await {
        Ok(task) => json(StatusCode::ACCEPTED, OUTCOME_RAN, &SubmittedBody { task }),
        Err(problem) => problem.into(),
    }
}

async fn accept_submission(
    front: &Frontend,
    request: &Request,
    body: Body,
) -> Result<TaskId, Problem> {
    let customer = credential::customer(front, request)?;
    let body = read_body(body, front.settings.limits.body, COMMAND_TIMEOUT).await?;
    let body: SubmitBody =
        serde_json::from_slice(&body).map_err(|error| Problem::bad_request(error.to_string()))?;
    let (key, spec) = body.check().map_err(Problem::bad_request)?;
    let plan_urgent = front.policy().plan_of(&customer).is_some_and(|plan| plan.urgent);
    if spec.urgent && !plan_urgent {
        return Err(Problem::not_run(
            StatusCode::FORBIDDEN,
            "urgent_not_allowed",
            "the plan doesn't allow urgent tasks; submit it without \"urgent\"",
        ));
    }
    match front.command(Command::Submit(Submission { customer, key, spec })).await {
        Answer::Reply(Reply::Submitted { task }) => Ok(task),
        answer => Err(problem_from_answer(answer)),
    }
}

/// Shows a task and the scheduler's explanation of its state.
#[handler]
pub(crate) async fn show(
    request: &Request,
    Path(task): Path<u64>,
    Data(front): Data<&Arc<Frontend>>,
) -> Response {
    let task = TaskId(task);
    let customer = match credential::customer(front, request) {
        Ok(customer) => customer,
        Err(problem) => return problem.into(),
    };
    match front.query(Query::Task { customer, task }).await {
        Answer::Task(answer) => {
            let why = front.explain(|ticket| SchedulerInput::ExplainTask(ticket, task)).await;
            ok(&serde_json::json!({ "task": answer, "why": why }))
        }
        Answer::NotFound => Problem::not_found("task").into(),
        answer => problem_from_answer(answer).into(),
    }
}

/// Cancels a task.
#[handler]
pub(crate) async fn cancel(
    request: &Request,
    Path(task): Path<u64>,
    Data(front): Data<&Arc<Frontend>>,
) -> Response {
    let customer = match credential::customer(front, request) {
        Ok(customer) => customer,
        Err(problem) => return problem.into(),
    };
    let task = TaskId(task);
    match front.command(Command::Cancel { customer, task }).await {
        Answer::Reply(Reply::Done) => ok(&SubmittedBody { task }),
        answer => problem_from_answer(answer).into(),
    }
}
