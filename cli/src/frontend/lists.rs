//! Handlers for the plans and usage lists: apply, check and show.

use std::sync::Arc;

use hickorylink_lib::{
    api::EDIT_ID_HEADER,
    command::{Command, ListEdit, ListKind, Reply},
    instance::port::{Answer, Query},
    lists,
};
use poem::{
    Body, Request, Response, handler,
    http::StatusCode,
    web::{Data, Path},
};
use serde_json::json;

use crate::frontend::{
    COMMAND_TIMEOUT, Frontend, credential,
    reply::{Problem, ok, problem_from_answer},
    services::read_body,
};

/// The largest list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Applies a new version of a list.
#[handler]
pub(crate) async fn apply(
    request: &Request,
    body: Body,
    Path(list): Path<String>,
    Data(front): Data<&Arc<Frontend>>,
) -> Response {
    match apply_edit(front, request, body, &list).await {
        Ok(response) => response,
        Err(problem) => problem.into(),
    }
}

async fn apply_edit(
    front: &Frontend,
    request: &Request,
    body: Body,
    list: &str,
) -> Result<Response, Problem> {
    let author = credential::operator(front, request)?;
    let list = parse_kind(list)?;
    let edit = parse_edit_id(request)?;
    let text = read_text(body).await?;
    check_text(list, &text)?;
    match front.command(Command::EditList(ListEdit { list, edit, author, text })).await {
        Answer::Reply(Reply::Edited { revision }) => Ok(ok(&json!({ "revision": revision }))),
        answer => Err(problem_from_answer(answer)),
    }
}

/// Validates a list on its own without applying it.
#[handler]
pub(crate) async fn check(
    request: &Request,
    body: Body,
    Path(list): Path<String>,
    Data(front): Data<&Arc<Frontend>>,
) -> Response {
    let checked = async {
        credential::operator(front, request)?;
        let list = parse_kind(&list)?;
        check_text(list, &read_text(body).await?)
    };
    match checked.await {
        Ok(()) => ok(&json!({ "findings": 0 })),
        Err(problem) => problem.into(),
    }
}

/// Shows the list in force.
#[handler]
pub(crate) async fn show(
    request: &Request,
    Path(list): Path<String>,
    Data(front): Data<&Arc<Frontend>>,
) -> Response {
    let kind = credential::operator(front, request).and_then(|_| parse_kind(&list));
    let list = match kind {
        Ok(list) => list,
        Err(problem) => return problem.into(),
    };
    match front.query(Query::List { list }).await {
        Answer::List { revision, version, author, text } => ok(&json!({
            "revision": revision, "version": version, "author": author, "text": text,
        })),
        Answer::NotFound => Problem::not_found("list yet").into(),
        answer => problem_from_answer(answer).into(),
    }
}

fn parse_kind(list: &str) -> Result<ListKind, Problem> {
    ListKind::from_name(list).ok_or_else(|| Problem::not_found("list; there are plans and usage"))
}

fn parse_edit_id(request: &Request) -> Result<u128, Problem> {
    request.header(EDIT_ID_HEADER).and_then(|text| u128::from_str_radix(text, 16).ok()).ok_or_else(
        || {
            Problem::bad_request(format!(
                "{EDIT_ID_HEADER} must be a number of up to 32 hexadecimal digits; resend \
                 an edit with the same number"
            ))
        },
    )
}

async fn read_text(body: Body) -> Result<String, Problem> {
    let body = read_body(body, MAX_LIST_BYTES, COMMAND_TIMEOUT).await?;
    String::from_utf8(body.into()).map_err(|_| Problem::bad_request("the list isn't UTF-8"))
}

fn check_text(list: ListKind, text: &str) -> Result<(), Problem> {
    let checked = match list {
        ListKind::Plans => lists::parse_plans(list.name(), text).map(drop),
        ListKind::Usage => lists::parse_usage(list.name(), text).map(drop),
    };
    checked.map_err(|findings| {
        Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "findings", findings.to_string())
    })
}
