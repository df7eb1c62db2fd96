//! The HTTP client of the commands.

use bytes::Bytes;
use clap::Args;
use hickorylink_lib::api::{ErrorBody, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN};
use http_body_util::Full;
use hyper::{Method, Request, header};
use serde_json::Value;

use crate::{
    exit::Exit,
    http::{self, HttpResponse},
};

/// The instance to connect to and the credential to use.
#[derive(Args, Clone, Debug)]
pub struct Connection {
    /// The address of an instance, as IP:port
    #[arg(long, env = "HICKORYLINK_ADDRESS", default_value = "127.0.0.1:7001", global = true)]
    pub address: String,

    /// The credential of the operator or customer
    #[arg(long, env = "HICKORYLINK_CREDENTIAL", hide_env_values = true, global = true)]
    pub credential: Option<String>,

    /// Print JSON
    #[arg(long, global = true)]
    pub json: bool,
}

/// The output and the exit code of a command.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The exit code.
    pub exit: Exit,
    /// Text for the standard output.
    pub output: String,
    /// Text for the standard error.
    pub errors: String,
}

impl Outcome {
    /// The outcome of a command that succeeded.
    pub fn success(output: impl Into<String>) -> Self {
        Self { exit: Exit::Done, output: output.into(), errors: String::new() }
    }

    /// The outcome of a command that failed.
    pub fn failure(exit: Exit, errors: impl Into<String>) -> Self {
        Self { exit, output: String::new(), errors: errors.into() }
    }
}

/// A request to the HTTP API.
#[derive(Debug)]
pub struct Call<'c> {
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub path: &'c str,
    /// Headers besides those of the connection.
    pub headers: Vec<(&'static str, String)>,
    /// The request's body.
    pub body: Bytes,
}

impl<'c> Call<'c> {
    /// A request without headers and body.
    pub fn new(method: Method, path: &'c str) -> Self {
        Self { method, path, headers: Vec::new(), body: Bytes::new() }
    }
}

/// Sends a request and waits for the response without a timeout.
///
/// # Errors
///
/// An outcome whose exit code tells whether the work may have run.
pub fn call(connection: &Connection, call: Call<'_>) -> Result<HttpResponse, Outcome> {
    let request = request(connection, call)
        .map_err(|error| Outcome::failure(Exit::Usage, error.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Outcome::failure(Exit::Failed, error.to_string()))?;
    runtime.block_on(http::send(&connection.address, request)).map_err(|error| match error {
        http::CallError::Connect { .. }
        | http::CallError::ConnectTimeout { .. }
        | http::CallError::Request { .. }
        | http::CallError::Encode { .. } => Outcome::failure(
            Exit::NotRun,
            format!(
                "{error}\nnothing was sent; is an instance running at this address? see --address"
            ),
        ),
        http::CallError::Broken { .. } | http::CallError::Body { .. } => Outcome::failure(
            Exit::Unknown,
            format!("{error}\nthe request may have been carried out; resend it with the same key"),
        ),
    })
}

fn request(
    connection: &Connection,
    call: Call<'_>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, &connection.address);
    if let Some(credential) = &connection.credential {
        request = request.header(header::AUTHORIZATION, format!("Bearer {credential}"));
    }
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(call.body))
}

/// Parses a response in JSON.
///
/// # Errors
///
/// The outcome for an error response, or for a body that isn't JSON.
pub fn parse_json(response: &HttpResponse) -> Result<Value, Outcome> {
    if response.status < 300 {
        return serde_json::from_slice(&response.body)
            .map_err(|error| Outcome::failure(Exit::Failed, error.to_string()));
    }
    Err(error_outcome(response))
}

/// The outcome for an error response.
pub fn error_outcome(response: &HttpResponse) -> Outcome {
    let body: Option<ErrorBody> = serde_json::from_slice(&response.body).ok();
    let message = body.as_ref().map_or_else(
        || format!("status {}", response.status),
        |body| format!("{}: {}", body.outcome, body.message),
    );
    let exit = match (response.status, response.outcome.as_deref()) {
        (401 | 403, _) => Exit::Denied,
        (404, _) => Exit::NotFound,
        (409, _) => Exit::Conflict,
        (422, _) => Exit::Findings,
        (400, _) => Exit::Usage,
        (_, Some(OUTCOME_NOT_RUN)) => Exit::NotRun,
        (_, Some(OUTCOME_UNKNOWN)) => Exit::Unknown,
        (_, _) => Exit::Failed,
    };
    Outcome::failure(exit, message)
}

/// A value in the format that the caller chose: JSON, or one line per field.
pub fn format_value(connection: &Connection, value: &Value) -> String {
    if connection.json {
        return value.to_string();
    }
    let mut lines = Vec::new();
    add_lines("", value, &mut lines);
    lines.join("\n")
}

fn add_lines(path: &str, value: &Value, lines: &mut Vec<String>) {
    let under = |key: &str| match path {
        "" => key.to_owned(),
        path => format!("{path}.{key}"),
    };
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                add_lines(&under(key), value, lines);
            }
        }
        Value::Array(items) if items.iter().any(|item| item.is_object() || item.is_array()) => {
            for (at, item) in items.iter().enumerate() {
                add_lines(&under(&at.to_string()), item, lines);
            }
        }
        Value::Array(items) => {
            let items: Vec<_> = items.iter().map(format_scalar).collect();
            lines.push(format!("{path}: {}", items.join(", ")));
        }
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {
            lines.push(format!("{path}: {}", format_scalar(value)));
        }
    }
}

fn format_scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
