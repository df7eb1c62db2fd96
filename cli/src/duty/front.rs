//! The front: HTTP for callers, workers and operators.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use poem::{Server, listener::TcpListener};
use slog::{Logger, error};
use tokio::sync::{mpsc, watch};

use crate::{
    front::{Desk, routes},
    mail::FrontNews,
};

/// How long a connection without a request is kept open.
const IDLE: Duration = Duration::from_secs(60);

/// Runs until the ring is closed or `stop` says that the instance leaves.
pub async fn front(
    mut ring: mpsc::Receiver<FrontNews>,
    desk: Arc<Desk>,
    listen: SocketAddr,
    drain: Duration,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let news = {
        let desk = desk.clone();
        tokio::spawn(async move {
            while let Some(news) = ring.recv().await {
                desk.take(news);
            }
        })
    };
    let stopped = async move { drop(stop.wait_for(|stop| *stop).await) };
    let served = Server::new(TcpListener::bind(listen))
        .idle_timeout(IDLE)
        .run_with_graceful_shutdown(routes(desk), stopped, Some(drain))
        .await;
    if let Err(error) = served {
        error!(log, "can't listen for callers"; "address" => %listen, "error" => %error);
    }
    news.abort();
}
