//! The HTTP/1.1 server of all listeners, bounded by [`Clients`].
//!
//! A connection has one task, and one request at a time: the next one begins when the response of the
//! previous one has been written. The head of a request is limited, a body is read only if the service
//! asks for it, and its bytes are held in the budget as they arrive.

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use hickorylink_lib::{
    clients::{Cause, Listener, Phase},
    time::Time,
};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    StatusCode,
    body::{Body as _, Incoming},
    header::{self, HeaderValue},
    http::request::Parts,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use crate::{
    clients::{Clients, Slot},
    http::stream::{Progress, Stream},
};

mod stream;

/// A response.
pub type Response = hyper::Response<Full<Bytes>>;

/// The largest head of a request, which callers observe.
const MAX_HEAD_BYTES: usize = 16_384;

/// The size of a connection's read buffer. It fits the largest head and what follows it in one segment.
const READ_BUFFER_BYTES: usize = MAX_HEAD_BYTES + 1024;

/// The size of the buffer for a body of which only a part has arrived; it doubles as needed.
const MIN_BODY_BUFFER: usize = 2048;

/// The largest response that isn't held in the budget: it is within the 20 KiB that each connection has
/// beside its bytes.
const SMALL_RESPONSE: u64 = 4096;

/// The pause after a connection can't be accepted, for example because the process has no descriptor left.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// The value of `Retry-After`, in seconds; the header has no smaller unit.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

/// Why a request is refused that hasn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request is larger than its path or the process allows.
    TooLarge,
    /// There is no room for it at the moment.
    NoRoom,
    /// The body ended early, or isn't encoded correctly.
    Incomplete,
    /// Its sender no longer waits for the response.
    Expired,
}

impl From<Refusal> for Response {
    /// The connection is closed after the response, since the body may not have been read to its end.
    fn from(refusal: Refusal) -> Self {
        let status = match refusal {
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::NoRoom | Refusal::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Incomplete => StatusCode::BAD_REQUEST,
        };
        let mut response = response(status, "application/json", "{}");
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER_S);
        }
        response
    }
}

/// A request whose body hasn't been read.
#[derive(Debug)]
pub struct Request {
    /// The method, the path and the fields of the head.
    pub head: Parts,
    body: Incoming,
    progress: Arc<Progress>,
    /// The earliest time at which it may have arrived.
    arrival: Time,
}

impl Request {
    /// Reads the body, which may have up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// The body is too large, doesn't fit into the budget, or ends early.
    pub async fn body(&mut self, limit: usize) -> Result<Bytes, Refusal> {
        let declared = self.body.size_hint().upper();
        let declared = declared.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if declared.is_some_and(|bytes| bytes > limit) {
            return Err(self.too_large());
        }
        if declared == Some(0) {
            return Ok(Bytes::new());
        }
        self.progress.enter(Phase::Body);
        self.hold(READ_BUFFER_BYTES as u64)?;
        let mut whole = BytesMut::new();
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else { return Err(Refusal::Incomplete) };
            let Ok(part) = frame.into_data() else { continue };
            let length = whole.len() + part.len();
            if length > limit {
                return Err(self.too_large());
            }
            if whole.is_empty() && self.body.is_end_stream() {
                self.hold(part.len() as u64)?;
                self.progress.enter(Phase::Calling);
                return Ok(part);
            }
            if length > whole.capacity() {
                let doubled = (2 * whole.capacity()).max(MIN_BODY_BUFFER);
                let capacity = doubled.min(declared.unwrap_or(limit)).max(length);
                // While the buffer is moved, the previous one is in use, too.
                self.hold((READ_BUFFER_BYTES + capacity + whole.capacity()) as u64)?;
                let mut larger = BytesMut::with_capacity(capacity);
                larger.extend_from_slice(&whole);
                whole = larger;
                self.hold((READ_BUFFER_BYTES + capacity) as u64)?;
            }
            whole.extend_from_slice(&part);
        }
        self.progress.enter(Phase::Calling);
        Ok(whole.freeze())
    }

    /// Sets the bytes that the request holds from now on, such as those of its decoded form.
    ///
    /// # Errors
    ///
    /// They don't fit into the budget, at the moment or ever.
    pub fn hold(&self, bytes: u64) -> Result<(), Refusal> {
        if self.progress.slot().hold(bytes) {
            return Ok(());
        }
        if !self.progress.slot().can_hold(bytes) {
            return Err(self.too_large());
        }
        self.progress.slot().refuse(Cause::Bytes);
        Err(Refusal::NoRoom)
    }

    /// What is left of the time for which its sender waits, counted from its arrival.
    ///
    /// # Errors
    ///
    /// That time has passed, or may have if the process was suspended when the request arrived.
    pub fn time_left(&self, timeout: Duration) -> Result<Duration, Refusal> {
        let slot = self.progress.slot();
        let left = timeout.saturating_sub(slot.age(self.arrival));
        if left.is_zero() {
            slot.refuse(Cause::Expired);
            return Err(Refusal::Expired);
        }
        Ok(left)
    }

    fn too_large(&self) -> Refusal {
        self.progress.slot().refuse(Cause::TooLarge);
        Refusal::TooLarge
    }
}

/// Builds a response.
pub fn response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Serves requests at an address until `stop` becomes true. Requests in progress may then still take
/// `drain`.
///
/// # Errors
///
/// The server can't listen on the address.
pub async fn serve<S, A>(
    at: SocketAddr,
    listener: Listener,
    clients: Clients,
    stop: watch::Receiver<bool>,
    drain: Duration,
    service: S,
) -> io::Result<()>
where
    S: Fn(Request) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response> + Send + 'static,
{
    let socket = TcpListener::bind(at).await?;
    serve_socket(socket, listener, clients, stop, drain, service).await;
    Ok(())
}

/// Serves requests at a socket, as [`serve`] does at an address.
pub async fn serve_socket<S, A>(
    socket: TcpListener,
    listener: Listener,
    clients: Clients,
    mut stop: watch::Receiver<bool>,
    drain: Duration,
    service: S,
) where
    S: Fn(Request) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response> + Send + 'static,
{
    let (open, mut all_closed) = mpsc::channel::<Infallible>(1);
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let (service, stop, open) = (service.clone(), stop.clone(), open.clone());
                clients.spawn(listener, |slot| async move {
                    connection(stream, slot, stop, service).await;
                    drop(open);
                });
            }
            Err(_) => {
                clients.refuse(listener, Cause::Connections);
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
    drop((socket, open));
    drop(timeout(drain, all_closed.recv()).await);
}

/// Serves the requests on a connection.
async fn connection<S, A>(
    stream: TcpStream,
    slot: Slot,
    mut stop: watch::Receiver<bool>,
    service: S,
) where
    S: Fn(Request) -> A,
    A: Future<Output = Response>,
{
    // Without this option the connection still works, but small responses may be sent late.
    drop(stream.set_nodelay(true));
    let progress = Arc::new(Progress::new(slot));
    let io = TokioIo::new(Stream::new(stream, progress.clone()));
    let service = service_fn(|request: hyper::Request<Incoming>| {
        let (progress, service) = (progress.clone(), &service);
        async move {
            progress.written().await;
            progress.enter(Phase::Calling);
            let (head, body) = request.into_parts();
            let arrival = progress.slot().arrival();
            let request = Request { head, body, progress: progress.clone(), arrival };
            let response = service(request).await;
            let bytes = response.body().size_hint().lower();
            progress.enter(Phase::Writing);
            if progress.slot().hold(if bytes > SMALL_RESPONSE { bytes } else { 0 }) {
                return Ok(response);
            }
            // The request has run, so no other response would be true.
            progress.slot().refuse(Cause::Bytes);
            Err(io::Error::from(io::ErrorKind::OutOfMemory))
        }
    });
    let serving = http1::Builder::new()
        .max_header_size(MAX_HEAD_BYTES)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(io, service);
    let mut serving = pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => Some(ended),
        _ = stop.wait_for(|stop| *stop) => None,
    };
    if ended.is_none() {
        serving.as_mut().graceful_shutdown();
        // How a connection ends tells nothing that the counts of refusals don't.
        drop(serving.await);
    }
}
