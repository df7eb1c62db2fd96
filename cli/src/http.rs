//! HTTP to targets, workers and other instances.

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
use hyper::{Method, Request, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a silent connection is probed, and how many probes may go unanswered.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// How long data may go unacknowledged before the connection is broken.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The time for which the caller of a standing watcher waits at least.
const MIN_LONG_POLL: Duration = Duration::from_secs(60);

/// How long a connection is kept idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Idle connections to targets, by address.
///
/// One duty owns it; its own tasks share it.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<String, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    sender: Sender,
    since: Instant,
}

/// A try of a request.
#[derive(Debug)]
pub struct TargetCall {
    /// The try.
    pub attempt: AttemptId,
    /// The target.
    pub target: String,
    /// The customer.
    pub customer: CustomerName,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// A call that didn't get a whole answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be opened.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// Where.
        address: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// Opening a connection took too long.
    #[snafu(display("connecting to {address} took longer than {CONNECT_TIMEOUT:?}"))]
    ConnectTimeout {
        /// Where.
        address: String,
    },
    /// The connection failed.
    #[snafu(display("{source}"))]
    Broken {
        /// What went wrong.
        source: hyper::Error,
    },
    /// The answer's body broke off or was too large.
    #[snafu(display("the answer is not whole: {message}"))]
    Body {
        /// What went wrong.
        message: String,
    },
    /// The request can't be made.
    #[snafu(display("{source}"))]
    Request {
        /// What is wrong.
        source: hyper::http::Error,
    },
    /// The body can't be encoded.
    #[snafu(display("{source}"))]
    Encode {
        /// What is wrong.
        source: serde_json::Error,
    },
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The value of [`OUTCOME_HEADER`].
    pub outcome: Option<String>,
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

    /// Closes connections that were idle for long.
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
    // A connection that something between the two ends has lost track of answers no probe.
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

/// Sends a try to its target, within `limit`; `progress` is called when bytes of an answer come.
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
            Err(_) => return AttemptEnd::NotSent { reason: "no connection in time".to_owned() },
        },
    };
    let request = match target_request(&call) {
        Ok(request) => request,
        Err(error) => return AttemptEnd::NotSent { reason: error.to_string() },
    };
    // A watcher may be quiet for long on a sound connection; any other request that is quiet while
    // its target answers others has lost its connection, whatever the probes say.
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
        Err(_) => AttemptEnd::Lost { reason: format!("no whole answer within {limit:?}") },
    }
}

fn target_request(call: &TargetCall) -> Result<Request<Full<Bytes>>, CallError> {
    Request::builder()
        .method(Method::POST)
        .uri(&call.path)
        .header(hyper::header::HOST, &call.target)
        .header(CUSTOMER_HEADER, call.customer.as_str())
        .header(REQUEST_HEADER, call.attempt.request.to_string())
        .body(Full::new(call.body.clone()))
        .context(RequestSnafu)
}

async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    progress: &impl Fn(),
    alive: &impl Fn(),
) -> AttemptEnd {
    let sent = with_progress(sender.try_send_request(request), alive).await;
    let response = match sent {
        Ok(response) => response,
        Err(mut error) => {
            // The request comes back whole only if no byte of it was written.
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

/// Waits for something from a connection, and reports progress each second while it stays open:
/// a connection that answers no probe fails by itself.
async fn with_progress<T>(wait: impl Future<Output = T>, progress: &impl Fn()) -> T {
    let mut wait = std::pin::pin!(wait);
    loop {
        match timeout(KEEPALIVE_INTERVAL, &mut wait).await {
            Ok(came) => return came,
            Err(_) => progress(),
        }
    }
}

async fn read_response(
    response: hyper::Response<Incoming>,
    progress: &impl Fn(),
    alive: &impl Fn(),
) -> Result<HttpResponse, CallError> {
    let status = response.status().as_u16();
    let outcome = response.headers().get(OUTCOME_HEADER);
    let outcome = outcome.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let mut body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let mut parts = Vec::new();
    while let Some(part) = with_progress(body.frame(), alive).await {
        let part = match part {
            Ok(part) => part,
            Err(error) => return BodySnafu { message: error.to_string() }.fail(),
        };
        progress();
        if let Ok(data) = part.into_data() {
            parts.extend_from_slice(&data);
        }
    }
    Ok(HttpResponse { status, outcome, body: parts.into() })
}

/// Posts a body in JSON over a connection of its own.
///
/// # Errors
///
/// [`CallError`] if no whole answer came.
pub async fn post_json(
    address: &str,
    path: &str,
    body: &impl Serialize,
) -> Result<HttpResponse, CallError> {
    let body = serde_json::to_vec(body).context(EncodeSnafu)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(hyper::header::HOST, address)
        .header(hyper::header::CONTENT_TYPE, "application/json");
    let request = request.body(Full::new(body.into())).context(RequestSnafu)?;
    send(address, request).await
}

/// Sends a request over a connection of its own.
///
/// # Errors
///
/// [`CallError`] if no whole answer came.
pub async fn send(address: &str, request: Request<Full<Bytes>>) -> Result<HttpResponse, CallError> {
    let mut sender = connect(address).await?;
    let response = sender.send_request(request).await.context(BrokenSnafu)?;
    read_response(response, &|| (), &|| ()).await
}
