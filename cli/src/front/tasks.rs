//! Batch tasks.

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
    duty::scheduler::Job,
    front::{
        COMMAND, Desk, credential,
        reply::{Problem, done, json, problem_of},
        services::read_body,
    },
};

/// Takes a task in.
#[handler]
pub(crate) async fn submit(
    request: &Request,
    body: Body,
    Data(desk): Data<&Arc<Desk>>,
) -> Response {
    match take_in(desk, request, body).await {
        Ok(task) => json(StatusCode::ACCEPTED, OUTCOME_RAN, &SubmittedBody { task }),
        Err(problem) => problem.into(),
    }
}

async fn take_in(desk: &Desk, request: &Request, body: Body) -> Result<TaskId, Problem> {
    let customer = credential::customer(desk, request)?;
    let body = read_body(body, desk.settings.limits.body, COMMAND).await?;
    let body: SubmitBody =
        serde_json::from_slice(&body).map_err(|error| Problem::bad_request(error.to_string()))?;
    let (key, spec) = body.check().map_err(Problem::bad_request)?;
    let plan_urgent = desk.policy().plan_of(&customer).is_some_and(|plan| plan.urgent);
    if spec.urgent && !plan_urgent {
        return Err(Problem::not_run(
            StatusCode::FORBIDDEN,
            "urgent_not_allowed",
            "the plan has no urgent tasks; submit it without \"urgent\"",
        ));
    }
    match desk.command(Command::Submit(Submission { customer, key, spec })).await {
        Answer::Reply(Reply::Submitted { task }) => Ok(task),
        answer => Err(problem_of(answer)),
    }
}

/// Shows a task, and why it is where it is.
#[handler]
pub(crate) async fn show(
    request: &Request,
    Path(task): Path<u64>,
    Data(desk): Data<&Arc<Desk>>,
) -> Response {
    let task = TaskId(task);
    let customer = match credential::customer(desk, request) {
        Ok(customer) => customer,
        Err(problem) => return problem.into(),
    };
    match desk.query(Query::Task { customer, task }).await {
        Answer::Task(answer) => {
            let why = desk.explain(|ticket| Job::ExplainTask(ticket, task)).await;
            done(&serde_json::json!({ "task": answer, "why": why }))
        }
        Answer::NotFound => Problem::not_found("task").into(),
        answer => problem_of(answer).into(),
    }
}

/// Cancels a task.
#[handler]
pub(crate) async fn cancel(
    request: &Request,
    Path(task): Path<u64>,
    Data(desk): Data<&Arc<Desk>>,
) -> Response {
    let customer = match credential::customer(desk, request) {
        Ok(customer) => customer,
        Err(problem) => return problem.into(),
    };
    let task = TaskId(task);
    match desk.command(Command::Cancel { customer, task }).await {
        Answer::Reply(Reply::Done) => done(&SubmittedBody { task }),
        answer => problem_of(answer).into(),
    }
}
