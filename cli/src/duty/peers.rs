//! Runs the directory, and exchanges messages with other instances over JSON-RPC.
//!
//! Messages are batched into frames that are authenticated by a keyed hash. They may be lost: the
//! components that send them resend what they need to arrive.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use hickorylink_lib::{
    directory::{
        Directory,
        port::{Event, PeerMessage},
    },
    replicated_log::port as replicated_log,
};
use jsonrpsee::{
    RpcModule,
    core::client::ClientT,
    rpc_params,
    server::{PingConfig, Server, ServerHandle},
    types::ErrorObjectOwned,
    ws_client::{WsClient, WsClientBuilder},
};
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    clock::Clock,
    duty::send_all,
    frame::{self, Opened, PeerKey},
    metrics::Metrics,
    outboxes::{Outboxes, Rings},
    ring::RingSender,
};

/// The maximum number of messages that wait for one peer; further ones are dropped.
const PEER_QUEUE_CAPACITY: usize = 4096;

/// The maximum number of messages in one frame.
const MAX_FRAME_MESSAGES: usize = 256;

/// The largest frame, in bytes.
const MAX_FRAME_BYTES: u32 = 16 * 1024 * 1024;

/// How long a peer may take to answer a frame before its connection is replaced.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long connecting may take, and the wait before the next attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// The maximum number of connections from peers.
const MAX_CONNECTIONS: u32 = 256;

/// The longest wait for input when the directory has no earlier deadline.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// What the ring of this duty carries.
#[derive(Debug)]
pub enum Input {
    /// An event for the directory.
    Event(Event),
    /// A message for another instance.
    Send {
        /// The instance's address.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// The router has no requests in flight any more.
    Drained,
    /// The consensus group doesn't need this instance's vote any more.
    HandedOver,
}

/// The instance can't listen on its address for other instances.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {address} for other instances: {source}"))]
pub struct ListenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// The dependencies of the duty.
#[derive(Debug)]
pub struct Setup {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The key that authenticates frames.
    pub key: PeerKey,
    /// The process's clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Signalled when the router has no requests in flight any more.
    pub drained: mpsc::Sender<()>,
    /// Signalled when the consensus group doesn't need this instance's vote any more.
    pub handed_over: mpsc::Sender<()>,
}

/// Runs until the ring is closed.
///
/// # Errors
///
/// [`ListenError`] if it can't listen on the address.
pub async fn peers(
    mut ring: mpsc::Receiver<Input>,
    rings: Rings,
    mut outboxes: Outboxes,
    mut directory: Directory,
    setup: Setup,
) -> Result<(), ListenError> {
    let _server = listen(&rings, &setup).await?;
    let mut links = Links {
        key: setup.key.clone(),
        log: setup.log.clone(),
        metrics: setup.metrics.clone(),
        open: HashMap::new(),
    };
    let mut out = Vec::new();
    loop {
        let now = setup.clock.now();
        if directory.next_deadline().is_some_and(|at| at <= now) {
            directory.handle(now, Event::Timer, &mut out);
        }
        send_all(&mut out, &mut outboxes);
        let wait = match outboxes.flush() {
            0 => directory.next_deadline().map_or(MAX_WAIT, |at| now.until(at).min(MAX_WAIT)),
            _ => super::RETRY_DELAY,
        };
        tokio::select! {
            input = ring.recv() => match input {
                Some(Input::Event(event)) => directory.handle(setup.clock.now(), event, &mut out),
                Some(Input::Send { to, message }) => links.send(to, message),
                Some(Input::Drained) => drop(setup.drained.try_send(())),
                Some(Input::HandedOver) => drop(setup.handed_over.try_send(())),
                None => return Ok(()),
            },
            () = sleep(wait) => {}
        }
    }
}

async fn listen(rings: &Rings, setup: &Setup) -> Result<ServerHandle, ListenError> {
    let address = setup.listen;
    let ping = PingConfig::new().ping_interval(ANSWER_TIMEOUT).inactive_limit(ANSWER_TIMEOUT * 4);
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_FRAME_BYTES)
        .enable_ws_ping(ping)
        .ws_only()
        .build();
    let server = Server::builder().set_config(config).build(address).await;
    let server = server.context(ListenSnafu { address })?;
    let context = Inbound {
        key: setup.key.clone(),
        replicated_log: rings.replicated_log.clone(),
        peers: rings.peers.clone(),
        log: setup.log.clone(),
        metrics: setup.metrics.clone(),
    };
    let mut module = RpcModule::new(context);
    let registered = module.register_method("deliver", |params, inbound, _| {
        let text: String = params.one()?;
        inbound.receive_frame(&text)
    });
    debug_assert!(registered.is_ok(), "the method is registered once");
    Ok(server.start(module))
}

/// Receives frames from other instances.
struct Inbound {
    key: PeerKey,
    replicated_log: RingSender<replicated_log::Event>,
    peers: RingSender<Input>,
    log: Logger,
    metrics: Arc<Metrics>,
}

impl Inbound {
    fn receive_frame(&self, text: &str) -> Result<u32, ErrorObjectOwned> {
        self.metrics.peer_received(text.len());
        let opened: Opened<PeerMessage> = frame::open(&self.key, text).map_err(|error| {
            warn!(self.log, "a frame from a peer is refused"; "error" => %error);
            ErrorObjectOwned::owned(1, error.to_string(), None::<()>)
        })?;
        if let Some(error) = opened.unread {
            warn!(self.log, "a message from an instance can't be read"; "error" => %error);
        }
        let mut accepted = 0;
        for message in opened.messages {
            accepted += u32::from(self.forward(message));
        }
        Ok(accepted)
    }

    /// Forwards a message to the duty that handles it. Returns false if its ring is full and the
    /// message is dropped.
    fn forward(&self, message: PeerMessage) -> bool {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.peers.push(Input::Event(Event::Heartbeat(heartbeat))).is_ok()
            }
            PeerMessage::Targets(changes) => {
                self.peers.push(Input::Event(Event::Targets(changes))).is_ok()
            }
            PeerMessage::Consensus { from, message } => {
                self.replicated_log.push(replicated_log::Event::Consensus { from, message }).is_ok()
            }
            PeerMessage::Forward { origin, ticket, command } => self
                .replicated_log
                .offer(replicated_log::Event::Forwarded { origin, ticket, command })
                .is_ok(),
        }
    }
}

/// The links to other instances; each has an asynchronous task.
struct Links {
    key: PeerKey,
    log: Logger,
    metrics: Arc<Metrics>,
    open: HashMap<SocketAddr, mpsc::Sender<Arc<PeerMessage>>>,
}

impl Links {
    fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        let link = self.open.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(PEER_QUEUE_CAPACITY);
            let link = Link {
                to,
                key: self.key.clone(),
                log: self.log.clone(),
                metrics: self.metrics.clone(),
            };
            tokio::spawn(link.run(receiver));
            sender
        });
        // If the queue is full the message is dropped; its sender repeats it.
        drop(link.try_send(Arc::new(message)));
    }
}

/// The link to one peer.
struct Link {
    to: SocketAddr,
    key: PeerKey,
    log: Logger,
    metrics: Arc<Metrics>,
}

impl Link {
    /// Sends the queued messages one frame at a time. The connection is replaced as soon as a frame
    /// isn't answered.
    async fn run(self, mut queue: mpsc::Receiver<Arc<PeerMessage>>) {
        let mut client: Option<WsClient> = None;
        let mut failures = 0_u64;
        let mut batch = Vec::new();
        while queue.recv_many(&mut batch, MAX_FRAME_MESSAGES).await > 0 {
            let messages: Vec<&PeerMessage> = batch.iter().map(AsRef::as_ref).collect();
            match self.exchange(&mut client, &messages).await {
                Ok(()) if failures > 0 => {
                    info!(self.log, "a peer is reached again";
                        "peer" => %self.to, "failures" => failures);
                    failures = 0;
                }
                Ok(()) => {}
                Err(error) => {
                    client = None;
                    if failures == 0 {
                        warn!(self.log, "a peer can't be reached";
                            "peer" => %self.to, "error" => %error);
                    }
                    failures += 1;
                    sleep(RECONNECT_DELAY).await;
                }
            }
            batch.clear();
        }
    }

    /// Sends a frame and waits for the answer; connects first if there is no connection.
    async fn exchange(
        &self,
        client: &mut Option<WsClient>,
        messages: &[&PeerMessage],
    ) -> Result<(), jsonrpsee::core::ClientError> {
        let open = match client.take() {
            Some(open) => open,
            None => connect(self.to).await?,
        };
        let text = frame::seal(&self.key, &messages);
        self.metrics.peer_sent(text.len());
        let _accepted: u32 = open.request("deliver", rpc_params![text]).await?;
        *client = Some(open);
        Ok(())
    }
}

async fn connect(to: SocketAddr) -> Result<WsClient, jsonrpsee::core::ClientError> {
    WsClientBuilder::default()
        .request_timeout(ANSWER_TIMEOUT)
        .connection_timeout(CONNECT_TIMEOUT)
        .max_request_size(MAX_FRAME_BYTES)
        .build(format!("ws://{to}"))
        .await
}
