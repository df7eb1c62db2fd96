//! A simulated target: serves requests on a simulated worker.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use hickorylink_lib::{
    api::{CUSTOMER_HEADER, OUTCOME_HEADER, OUTCOME_NOT_RUN, REQUEST_HEADER},
    ids::{RequestId, TaskAttempt},
};
use poem::{
    EndpointExt, Request, Response, Route, Server, handler,
    http::StatusCode,
    listener::{Acceptor, Listener, TcpListener},
    middleware::AddData,
    post,
    web::{Data, Query},
};
use serde::Deserialize;
use tokio::task::JoinHandle;

use super::Shared;
use crate::{history::Event, relay::Relay};

/// Query parameters by which a request selects the target's behaviour.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RequestOptions {
    /// The processing time, in milliseconds.
    delay_ms: Option<u64>,
    /// Whether the request runs but never gets a response.
    hang: bool,
    /// Whether the target refuses the request before it runs.
    refuse: bool,
}

struct Target {
    shared: Arc<Shared>,
    /// Requests in progress.
    requests: AtomicU32,
}

/// Releases a slot when dropped, also if the connection closes before the response.
struct Slot<'t>(&'t Target);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts a target on a free port of the loopback address, behind a proxy that can blackhole its
/// connections.
pub(super) async fn serve(
    shared: &Arc<Shared>,
    _attempt: TaskAttempt,
) -> std::io::Result<(JoinHandle<()>, Relay)> {
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await?;
    let address = acceptor.local_addr().iter().find_map(|at| at.as_socket_addr().copied());
    let address = address.ok_or(std::io::ErrorKind::AddrNotAvailable)?;
    let target = Arc::new(Target { shared: shared.clone(), requests: AtomicU32::new(0) });
    let app = Route::new().at("/*path", post(handle)).with(AddData::new(target));
    let task = tokio::spawn(async move {
        drop(Server::new_with_acceptor(acceptor).run(app).await);
    });
    Ok((task, Relay::start(address).await?))
}

#[handler]
async fn handle(
    request: &Request,
    body: String,
    Query(options): Query<RequestOptions>,
    Data(target): Data<&Arc<Target>>,
) -> Response {
    let shared = &target.shared;
    let requests = target.requests.fetch_add(1, Ordering::Relaxed) + 1;
    let _slot = Slot(target);
    if requests > shared.spec.slots {
        shared.history.record(&shared.spec.name, Event::SlotsExceeded { requests });
    }
    if options.refuse || requests > shared.spec.slots {
        return Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header(OUTCOME_HEADER, OUTCOME_NOT_RUN)
            .body("no slot is free");
    }
    shared.history.record(&shared.spec.name, served_event(request, &body));
    let delay = options.delay_ms.map_or(shared.spec.service_time, Duration::from_millis);
    tokio::time::sleep(delay).await;
    if options.hang {
        std::future::pending::<()>().await;
    }
    Response::builder().body(format!("plan for {body} by {}", shared.spec.name))
}

fn served_event(request: &Request, body: &str) -> Event {
    let header = |name: &str| request.header(name).unwrap_or_default();
    Event::Served {
        request: RequestId(header(REQUEST_HEADER).parse().unwrap_or_default()),
        customer: header(CUSTOMER_HEADER).into(),
        body: body.to_owned(),
    }
}
