//! A minimal HTTP client with one connection per request.

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

/// Why a request got no complete response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// The error of the socket.
        source: std::io::Error,
    },
    /// The connection failed before the response was complete.
    #[snafu(display("{source}"))]
    Transport {
        /// The error of the connection.
        source: hyper::Error,
    },
    /// The request is malformed.
    #[snafu(display("{source}"))]
    Request {
        /// The reason.
        source: hyper::http::Error,
    },
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The value of the outcome header, which says whether the request ran.
    pub outcome: Option<String>,
    /// The value of the `Location` header, the target of a redirect.
    pub location: Option<String>,
    /// The complete body.
    pub body: Bytes,
}

/// The wall clock, in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Sends a `POST` request with a JSON body.
///
/// # Errors
///
/// [`CallError`] if there is no complete response.
pub async fn post(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &impl Serialize,
) -> Result<Response, CallError> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    send(to, Method::POST, path, headers, body.into()).await
}

/// Sends a request over a new connection.
///
/// # Errors
///
/// [`CallError`] if there is no complete response.
pub async fn send(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Response, CallError> {
    let stream = TcpStream::connect(to).await.context(ConnectSnafu)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.context(TransportSnafu)?;
    let connection = tokio::spawn(async move { drop(connection.await) });
    let mut request = Request::builder().method(method).uri(path);
    if !headers.iter().any(|(name, _)| *name == "host") {
        request = request.header("host", to.to_string());
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body)).context(RequestSnafu)?;
    let response = sender.send_request(request).await.context(TransportSnafu)?;
    let status = response.status().as_u16();
    let outcome = response.headers().get(OUTCOME_HEADER);
    let outcome = outcome.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let location = response.headers().get("location");
    let location = location.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = response.into_body().collect().await.context(TransportSnafu)?.to_bytes();
    drop(sender);
    connection.abort();
    Ok(Response { status, outcome, location, body })
}
