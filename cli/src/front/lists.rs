//! The two lists: apply, check, show.

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

use crate::front::{
    COMMAND, Desk, credential,
    reply::{Problem, done, problem_of},
    services::read_body,
};

/// The largest list, in bytes.
const LIST_BYTES: usize = 4 * 1024 * 1024;

/// Puts a list in force.
#[handler]
pub(crate) async fn apply(
    request: &Request,
    body: Body,
    Path(list): Path<String>,
    Data(desk): Data<&Arc<Desk>>,
) -> Response {
    match edit(desk, request, body, &list).await {
        Ok(response) => response,
        Err(problem) => problem.into(),
    }
}

async fn edit(desk: &Desk, request: &Request, body: Body, list: &str) -> Result<Response, Problem> {
    let author = credential::operator(desk, request)?;
    let list = kind_of(list)?;
    let edit = edit_of(request)?;
    let text = read_text(body).await?;
    check_text(list, &text)?;
    match desk.command(Command::EditList(ListEdit { list, edit, author, text })).await {
        Answer::Reply(Reply::Edited { revision }) => Ok(done(&json!({ "revision": revision }))),
        answer => Err(problem_of(answer)),
    }
}

/// Checks a list by itself, and changes nothing.
#[handler]
pub(crate) async fn check(
    request: &Request,
    body: Body,
    Path(list): Path<String>,
    Data(desk): Data<&Arc<Desk>>,
) -> Response {
    let checked = async {
        credential::operator(desk, request)?;
        let list = kind_of(&list)?;
        check_text(list, &read_text(body).await?)
    };
    match checked.await {
        Ok(()) => done(&json!({ "findings": 0 })),
        Err(problem) => problem.into(),
    }
}

/// Shows the list that stands.
#[handler]
pub(crate) async fn show(
    request: &Request,
    Path(list): Path<String>,
    Data(desk): Data<&Arc<Desk>>,
) -> Response {
    let asked = credential::operator(desk, request).and_then(|_| kind_of(&list));
    let list = match asked {
        Ok(list) => list,
        Err(problem) => return problem.into(),
    };
    match desk.query(Query::List { list }).await {
        Answer::List { revision, version, author, text } => done(&json!({
            "revision": revision, "version": version, "author": author, "text": text,
        })),
        Answer::NotFound => Problem::not_found("list yet").into(),
        answer => problem_of(answer).into(),
    }
}

fn kind_of(list: &str) -> Result<ListKind, Problem> {
    ListKind::from_name(list).ok_or_else(|| Problem::not_found("list; there are plans and usage"))
}

fn edit_of(request: &Request) -> Result<u128, Problem> {
    request.header(EDIT_ID_HEADER).and_then(|text| u128::from_str_radix(text, 16).ok()).ok_or_else(
        || {
            Problem::bad_request(format!(
                "{EDIT_ID_HEADER} must be a number of up to 32 hexadecimal digits; a resend has \
                 the same"
            ))
        },
    )
}

async fn read_text(body: Body) -> Result<String, Problem> {
    let body = read_body(body, LIST_BYTES, COMMAND).await?;
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
