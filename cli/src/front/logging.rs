//! The level of the instance's log.

use std::sync::Arc;

use hickorylink_lib::{ids::OperatorName, settings::LogLevel};
use poem::{Body, Request, Response, handler, web::Data};
use serde_json::json;
use slog::info;

use crate::front::{
    COMMAND, Desk, credential,
    reply::{Problem, done},
    services::read_body,
};

/// The largest body, in bytes; a level's name is shorter.
const LEVEL_BYTES: usize = 64;

/// Changes which records are written, until the next change or the next start.
#[handler]
pub(crate) async fn set_level(
    request: &Request,
    body: Body,
    Data(desk): Data<&Arc<Desk>>,
) -> Response {
    match read_level(desk, request, body).await {
        Ok((operator, level)) => {
            info!(desk.log, "the log's level is changed";
                "level" => level.name(), "operator" => operator.as_str());
            desk.level.set(level);
            done(&json!({ "level": level.name() }))
        }
        Err(problem) => problem.into(),
    }
}

async fn read_level(
    desk: &Desk,
    request: &Request,
    body: Body,
) -> Result<(OperatorName, LogLevel), Problem> {
    let operator = credential::operator(desk, request)?;
    let body = read_body(body, LEVEL_BYTES, COMMAND).await?;
    let name = String::from_utf8_lossy(&body);
    let level = LogLevel::from_name(name.trim());
    let level = level.ok_or_else(|| {
        Problem::bad_request(format!("a level is one of {}", LogLevel::NAMES.join(", ")))
    })?;
    Ok((operator, level))
}
