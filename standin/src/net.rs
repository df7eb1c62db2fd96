//! HTTP as the stand-ins speak it.

use std::{
    net::SocketAddr,
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use hickorylink_lib::api::OUTCOME_HEADER;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;

/// A call without a whole answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// What went wrong.
        source: std::io::Error,
    },
    /// The connection broke.
    #[snafu(display("{source}"))]
    Broken {
        /// What went wrong.
        source: hyper::Error,
    },
    /// The request can't be made.
    #[snafu(display("{source}"))]
    Request {
        /// What is wrong.
        source: hyper::http::Error,
    },
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// What became of the work, if the answer says so.
    pub outcome: Option<String>,
    /// Where to ask instead, if the answer says so.
    pub location: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Milliseconds since the Unix epoch.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Posts a body in JSON.
///
/// # Errors
///
/// [`CallError`] if no whole answer came.
pub async fn post(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &impl Serialize,
) -> Result<Answer, CallError> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    send(to, Method::POST, path, headers, body.into()).await
}

/// Sends a request over a connection of its own.
///
/// # Errors
///
/// [`CallError`] if no whole answer came.
pub async fn send(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Answer, CallError> {
    let stream = TcpStream::connect(to).await.context(ConnectSnafu)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.context(BrokenSnafu)?;
    let connection = tokio::spawn(async move { drop(connection.await) });
    let mut request = Request::builder().method(method).uri(path);
    if !headers.iter().any(|(name, _)| *name == "host") {
        request = request.header("host", to.to_string());
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body)).context(RequestSnafu)?;
    let response = sender.send_request(request).await.context(BrokenSnafu)?;
    let status = response.status().as_u16();
    let outcome = response.headers().get(OUTCOME_HEADER);
    let outcome = outcome.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let location = response.headers().get("location");
    let location = location.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = response.into_body().collect().await.context(BrokenSnafu)?.to_bytes();
    drop(sender);
    connection.abort();
    Ok(Answer { status, outcome, location, body })
}
