//! A stand-in for a target: it serves requests on a stand-in worker.

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

/// How a request wants to be served.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Wish {
    /// How long it takes, in milliseconds.
    delay_ms: Option<u64>,
    /// Whether the connection goes silent after the request ran.
    hang: bool,
    /// Whether the target refuses it before it starts.
    refuse: bool,
}

struct Target {
    shared: Arc<Shared>,
    requests: AtomicU32,
}

/// Gives a slot back also when the connection is closed half-way.
struct Slot<'t>(&'t Target);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts a target on a free port of the loopback address, behind a relay.
pub(super) async fn serve(
    shared: &Arc<Shared>,
    _attempt: TaskAttempt,
) -> std::io::Result<(JoinHandle<()>, Relay)> {
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await?;
    let address = acceptor.local_addr().iter().find_map(|at| at.as_socket_addr().copied());
    let address = address.ok_or(std::io::ErrorKind::AddrNotAvailable)?;
    let target = Arc::new(Target { shared: shared.clone(), requests: AtomicU32::new(0) });
    let app = Route::new().at("/*path", post(answer)).with(AddData::new(target));
    let task = tokio::spawn(async move {
        drop(Server::new_with_acceptor(acceptor).run(app).await);
    });
    Ok((task, Relay::start(address).await?))
}

#[handler]
async fn answer(
    request: &Request,
    body: String,
    Query(wish): Query<Wish>,
    Data(target): Data<&Arc<Target>>,
) -> Response {
    let shared = &target.shared;
    let requests = target.requests.fetch_add(1, Ordering::Relaxed) + 1;
    let _slot = Slot(target);
    if requests > shared.spec.slots {
        shared.history.record(&shared.spec.name, Event::SlotsExceeded { requests });
    }
    if wish.refuse || requests > shared.spec.slots {
        return Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header(OUTCOME_HEADER, OUTCOME_NOT_RUN)
            .body("no slot is free");
    }
    shared.history.record(&shared.spec.name, served(request, &body));
    let delay = wish.delay_ms.map_or(shared.spec.service_time, Duration::from_millis);
    tokio::time::sleep(delay).await;
    if wish.hang {
        std::future::pending::<()>().await;
    }
    Response::builder().body(format!("plan for {body} by {}", shared.spec.name))
}

fn served(request: &Request, body: &str) -> Event {
    let header = |name: &str| request.header(name).unwrap_or_default();
    Event::Served {
        request: RequestId(header(REQUEST_HEADER).parse().unwrap_or_default()),
        customer: header(CUSTOMER_HEADER).into(),
        body: body.to_owned(),
    }
}
