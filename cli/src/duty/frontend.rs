//! The HTTP front end for callers, workers and operators.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use poem::{Server, listener::TcpListener};
use slog::{Logger, error};
use tokio::sync::{mpsc, watch};

use crate::{
    frontend::{Frontend, routes},
    outboxes::FrontEvent,
};

/// How long a connection without requests is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves HTTP until `stop` is set, or until listening fails.
pub async fn frontend(
    mut ring: mpsc::Receiver<FrontEvent>,
    front: Arc<Frontend>,
    listen: SocketAddr,
    drain: Duration,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let events = {
        let front = front.clone();
        tokio::spawn(async move {
            while let Some(event) = ring.recv().await {
                front.handle_event(event);
            }
        })
    };
    let stopped = async move { drop(stop.wait_for(|stop| *stop).await) };
    let served = Server::new(TcpListener::bind(listen))
        .idle_timeout(IDLE_TIMEOUT)
        .run_with_graceful_shutdown(routes(front), stopped, Some(drain))
        .await;
    if let Err(error) = served {
        error!(log, "can't listen for callers"; "address" => %listen, "error" => %error);
    }
    events.abort();
}
