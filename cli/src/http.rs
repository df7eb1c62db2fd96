//! The HTTP client for targets, workers and instances.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hickorylink_lib::{
    api::{CUSTOMER_HEADER, OUTCOME_HEADER, OUTCOME_NOT_RUN, REQUEST_HEADER},
    ids::CustomerName,
    router::port::{AttemptEnd, AttemptId, Response},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, body::Incoming, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time between TCP keepalive probes, and how many may go unanswered.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// How long sent data may go unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests with at least this timeout count as long polls.
const MIN_LONG_POLL: Duration = Duration::from_secs(60);

/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Idle connections to targets, by address.
///
/// Only the asynchronous tasks of one duty share it.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<String, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    sender: Sender,
    since: Instant,
}

/// An attempt to run a request at a target.
#[derive(Debug)]
pub struct TargetCall {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The target's address.
    pub target: String,
    /// The customer who sent the request.
    pub customer: CustomerName,
    /// The path and the query.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// A call that got no complete response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// Connecting failed.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The address.
        address: String,
        /// The error of the socket.
        source: std::io::Error,
    },
    /// Connecting took too long.
    #[snafu(display("connecting to {address} took longer than {CONNECT_TIMEOUT:?}"))]
    ConnectTimeout {
        /// The address.
        address: String,
    },
    /// The connection failed after it was established.
    #[snafu(display("{source}"))]
    Broken {
        /// The error of the connection.
        source: hyper::Error,
    },
    /// The response's body was truncated or too large.
    #[snafu(display("incomplete response: {message}"))]
    Body {
        /// The error of the body.
        message: String,
    },
    /// The request can't be built.
    #[snafu(display("{source}"))]
    Request {
        /// The invalid part.
        source: hyper::http::Error,
    },
    /// The body can't be encoded.
    #[snafu(display("{source}"))]
    Encode {
        /// The encoding error.
        source: serde_json::Error,
    },
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The value of [`OUTCOME_HEADER`], if the response has it.
    pub outcome: Option<String>,
    /// The value of the `Location` header, if the response has it.
    pub location: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, target: &str) -> Option<Sender> {
        let mut idle = self.lock();
        let waiting = idle.get_mut(target)?;
        while let Some(IdleConnection { sender, .. }) = waiting.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn put(&self, target: &str, sender: Sender) {
        let idle = IdleConnection { sender, since: Instant::now() };
        self.lock().entry(target.to_owned()).or_default().push(idle);
    }

    /// Closes the idle connections to a target.
    pub fn close_idle(&self, target: &str) {
        self.lock().remove(target);
    }

    /// Removes connections that are closed or were idle for too long.
    pub fn sweep(&self) {
        self.lock().retain(|_, waiting| {
            waiting.retain(|idle| !idle.sender.is_closed() && idle.since.elapsed() < IDLE_TIMEOUT);
            !waiting.is_empty()
        });
    }
}

async fn connect(address: &str) -> Result<Sender, CallError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match stream {
        Ok(stream) => stream.context(ConnectSnafu { address })?,
        Err(_) => return ConnectTimeoutSnafu { address }.fail(),
    };
    stream.set_nodelay(true).context(ConnectSnafu { address })?;
    // Probes detect connections whose state a middlebox, such as a firewall, has dropped.
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(&stream);
    socket.set_tcp_keepalive(&probes).context(ConnectSnafu { address })?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)).context(ConnectSnafu { address })?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.context(BrokenSnafu)?;
    tokio::spawn(async move { drop(connection.await) });
    Ok(sender)
}

/// Sends an attempt to its target, over a new connection if `fresh`, and waits for at most `limit`.
/// `progress` is called whenever bytes of the response arrive.
pub async fn call_target(
    pool: &Pool,
    call: TargetCall,
    fresh: bool,
    limit: Duration,
    progress: impl Fn() + Send,
) -> AttemptEnd {
    let idle = if fresh { None } else { pool.take(&call.target) };
    let mut sender = match idle {
        Some(sender) => sender,
        None => match timeout(limit, connect(&call.target)).await {
            Ok(Ok(sender)) => sender,
            Ok(Err(error)) => return AttemptEnd::NotSent { reason: error.to_string() },
            Err(_) => return AttemptEnd::NotSent { reason: "connecting took too long".to_owned() },
        },
    };
    let request = match target_request(&call) {
        Ok(request) => request,
        Err(error) => return AttemptEnd::NotSent { reason: error.to_string() },
    };
    // A long poll may get no data for a long time on a working connection, so for it an open
    // connection counts as progress. For any other request only data does: if its target answers
    // others meanwhile, its connection is lost, even if the keepalive probes are answered.
    let long_poll = limit >= MIN_LONG_POLL;
    let alive = || {
        if long_poll {
            progress();
        }
    };
    let exchange = exchange(&mut sender, request, &progress, &alive);
    match timeout(limit, exchange).await {
        Ok(end) => {
            if matches!(end, AttemptEnd::Answered(_) | AttemptEnd::Refused)
                && sender.ready().await.is_ok()
            {
                pool.put(&call.target, sender);
            }
            end
        }
        Err(_) => AttemptEnd::Lost { reason: format!("no complete response within {limit:?}") },
    }
}

fn target_request(call: &TargetCall) -> Result<Request<Full<Bytes>>, CallError> {
    Request::builder()
        .method(Method::POST)
        .uri(&call.path)
        .header(header::HOST, &call.target)
        .header(CUSTOMER_HEADER, call.customer.as_str())
        .header(REQUEST_HEADER, call.attempt.request.to_string())
        .body(Full::new(call.body.clone()))
        .context(RequestSnafu)
}

/// Sends a request and reads the response. `progress` is called when data arrives, and `alive` every
/// [`KEEPALIVE_INTERVAL`] while none does but the connection is open.
async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    progress: &impl Fn(),
    alive: &impl Fn(),
) -> AttemptEnd {
    let sent = wait_for_data(sender.try_send_request(request), alive).await;
    let response = match sent {
        Ok(response) => response,
        Err(mut error) => {
            // The request is handed back only if no byte of it was written.
            let unsent = error.take_message().is_some();
            let reason = error.into_error().to_string();
            return if unsent {
                AttemptEnd::NotSent { reason }
            } else {
                AttemptEnd::Lost { reason }
            };
        }
    };
    progress();
    match read_response(response, progress, alive).await {
        Ok(answer) if answer.outcome.as_deref() == Some(OUTCOME_NOT_RUN) => AttemptEnd::Refused,
        Ok(answer) => AttemptEnd::Answered(Response { status: answer.status, body: answer.body }),
        Err(error) => AttemptEnd::Lost { reason: error.to_string() },
    }
}

/// Waits for data on a connection, and calls `alive` every [`KEEPALIVE_INTERVAL`] until then. A
/// connection that doesn't answer the keepalive probes fails by itself.
async fn wait_for_data<T>(wait: impl Future<Output = T>, alive: &impl Fn()) -> T {
    let mut wait = std::pin::pin!(wait);
    loop {
        match timeout(KEEPALIVE_INTERVAL, &mut wait).await {
            Ok(output) => return output,
            Err(_) => alive(),
        }
    }
}

async fn read_response(
    response: hyper::Response<Incoming>,
    progress: &impl Fn(),
    alive: &impl Fn(),
) -> Result<HttpResponse, CallError> {
    let status = response.status().as_u16();
    let text = |name| response.headers().get(name)?.to_str().ok().map(str::to_owned);
    let (outcome, location) = (text(OUTCOME_HEADER), text(header::LOCATION.as_str()));
    let mut body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let mut bytes = Vec::new();
    while let Some(frame) = wait_for_data(body.frame(), alive).await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return BodySnafu { message: error.to_string() }.fail(),
        };
        progress();
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(HttpResponse { status, outcome, location, body: bytes.into() })
}

/// Posts a body in JSON over a new connection.
///
/// # Errors
///
/// [`CallError`] without a complete response.
pub async fn post_json(
    address: &str,
    path: &str,
    body: &impl Serialize,
) -> Result<HttpResponse, CallError> {
    let body = serde_json::to_vec(body).context(EncodeSnafu)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, address)
        .header(header::CONTENT_TYPE, "application/json");
    let request = request.body(Full::new(body.into())).context(RequestSnafu)?;
    send(address, request).await
}

/// Sends a request over a new connection.
///
/// # Errors
///
/// [`CallError`] without a complete response.
pub async fn send(address: &str, request: Request<Full<Bytes>>) -> Result<HttpResponse, CallError> {
    let mut sender = connect(address).await?;
    let response = sender.send_request(request).await.context(BrokenSnafu)?;
    read_response(response, &|| (), &|| ()).await
}
