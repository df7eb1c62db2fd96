//! The handler that changes the log level.

use std::sync::Arc;

use hickorylink_lib::{ids::OperatorName, settings::LogLevel};
use poem::{Body, Request, Response, handler, web::Data};
use serde_json::json;
use slog::info;

use crate::frontend::{
    COMMAND_TIMEOUT, Frontend, credential,
    reply::{Problem, ok},
    services::read_body,
};

/// The largest body, in bytes; a level's name is shorter.
const MAX_LEVEL_BYTES: usize = 64;

/// Changes the log level until the next change or restart.
#[handler]
pub(crate) async fn set_level(
    request: &Request,
    body: Body,
    Data(front): Data<&Arc<Frontend>>,
) -> Response {
    match read_level(front, request, body).await {
        Ok((operator, level)) => {
            info!(front.log, "log level changed";
                "level" => level.name(), "operator" => operator.as_str());
            front.level.set(level);
            ok(&json!({ "level": level.name() }))
        }
        Err(problem) => problem.into(),
    }
}

async fn read_level(
    front: &Frontend,
    request: &Request,
    body: Body,
) -> Result<(OperatorName, LogLevel), Problem> {
    let operator = credential::operator(front, request)?;
    let body = read_body(body, MAX_LEVEL_BYTES, COMMAND_TIMEOUT).await?;
    let name = String::from_utf8_lossy(&body);
    let level = LogLevel::from_name(name.trim());
    let level = level.ok_or_else(|| {
        Problem::bad_request(format!("a level is one of {}", LogLevel::NAMES.join(", ")))
    })?;
    Ok((operator, level))
}
