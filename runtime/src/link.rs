//! Connections between instances: length-delimited frames of one message each, in postcard.
//!
//! A connection is opened on the first message to an address, and answers return over it. Messages
//! may be lost; senders that depend on delivery retry.

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::SinkExt;
use hickorylink_lib::{clients::Listener, jobs::link::LinkMessage};
use slog::{Logger, info, warn};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::codec::Framed;

use crate::{
    clients::{Clients, Slot},
    link::codec::FrameCodec,
};

mod codec;

/// The maximum number of messages that wait for one connection; further ones are dropped.
const QUEUE_CAPACITY: usize = 2048;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause after a connection can't be opened or accepted.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// How long sent bytes may stay unacknowledged before the connection is closed.
const ACK_TIMEOUT: Duration = Duration::from_millis(1200);

/// The idle time after which a connection is probed, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of messages that are written before a connection is flushed.
const MAX_BATCH: usize = 64;

/// A command to [`Links`].
#[derive(Debug)]
pub enum LinkCommand {
    /// Send a message to an address.
    Send {
        /// The address.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// Send a message to the peer that opened a connection.
    Answer {
        /// The connection.
        connection: u64,
        /// The message.
        message: LinkMessage,
    },
    /// Close the connection to an address.
    Close(SocketAddr),
}

/// An event of a connection.
#[derive(Debug)]
pub enum LinkEvent {
    /// A message over a connection that the peer opened.
    Inbound {
        /// The connection.
        connection: u64,
        /// The message.
        message: LinkMessage,
    },
    /// A message over a connection that this instance opened.
    Outbound {
        /// The address.
        from: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// A connection that this instance opened has ended, or couldn't be opened.
    Closed(SocketAddr),
}

type Stream = Framed<TcpStream, FrameCodec>;

/// The connections of an instance; all of their tasks share one runtime.
pub struct Links<F> {
    on_event: F,
    log: Logger,
    outbound: HashMap<SocketAddr, mpsc::Sender<LinkMessage>>,
    inbound: HashMap<u64, mpsc::Sender<LinkMessage>>,
    last_inbound: u64,
    clients: Option<Clients>,
}

impl<F> std::fmt::Debug for Links<F> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Links").field("outbound", &self.outbound.len()).finish_non_exhaustive()
    }
}

impl<F: Fn(LinkEvent) + Clone + Send + Sync + 'static> Links<F> {
    /// Creates the connections; `on_event` handles their events and must not block.
    pub fn new(on_event: F, log: Logger) -> Self {
        let (outbound, inbound) = (HashMap::new(), HashMap::new());
        Self { on_event, log, outbound, inbound, last_inbound: 0, clients: None }
    }

    /// Bounds the connections that peers open by the budgets of a process.
    pub fn admitted_by(self, clients: Clients) -> Self {
        Self { clients: Some(clients), ..self }
    }

    /// Runs until the ring is closed. Accepts connections if there is a listener.
    pub async fn run(
        mut self,
        mut ring: mpsc::Receiver<LinkCommand>,
        listener: Option<TcpListener>,
    ) {
        loop {
            tokio::select! {
                command = ring.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                accepted = accept(listener.as_ref()) => match accepted {
                    Ok(stream) => self.accept(stream),
                    Err(error) => {
                        warn!(self.log, "a connection can't be accepted"; "error" => %error);
                        sleep(RECONNECT_DELAY).await;
                    }
                },
            }
        }
    }

    fn handle(&mut self, command: LinkCommand) {
        match command {
            LinkCommand::Send { to, message } => self.send(to, message),
            LinkCommand::Answer { connection, message } => {
                if let Some(sender) = self.inbound.get(&connection) {
                    // The answer is dropped if the peer reads too slowly; the peer asks again.
                    drop(sender.try_send(message));
                }
            }
            LinkCommand::Close(to) => drop(self.outbound.remove(&to)),
        }
    }

    fn send(&mut self, to: SocketAddr, message: LinkMessage) {
        self.outbound.retain(|_, sender| !sender.is_closed());
        let sender = self.outbound.entry(to).or_insert_with(|| {
            let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(outbound(to, queue, self.on_event.clone(), self.log.clone()));
            sender
        });
        drop(sender.try_send(message));
    }

    fn accept(&mut self, stream: TcpStream) {
        self.inbound.retain(|_, sender| !sender.is_closed());
        self.last_inbound += 1;
        let connection = self.last_inbound;
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        let (on_event, log) = (self.on_event.clone(), self.log.clone());
        let serve = |slot: Option<Slot>| async move {
            let on_event = |message| on_event(LinkEvent::Inbound { connection, message });
            // Frames without room are counted and logged with the refusals.
            if let Err(error) = exchange(framed(stream, slot), queue, on_event, &log).await
                && error.kind() != io::ErrorKind::OutOfMemory
            {
                info!(log, "a connection from an instance ended"; "error" => %error);
            }
        };
        let admitted = match &self.clients {
            Some(clients) => clients.spawn(Listener::Peers, |slot| serve(Some(slot))),
            None => {
                tokio::spawn(serve(None));
                true
            }
        };
        if admitted {
            self.inbound.insert(connection, sender);
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn outbound(
    to: SocketAddr,
    queue: mpsc::Receiver<LinkMessage>,
    on_event: impl Fn(LinkEvent),
    log: Logger,
) {
    let opened = match timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
        Ok(opened) => opened,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    };
    let ended = match opened {
        Ok(stream) => {
            let received = |message| on_event(LinkEvent::Outbound { from: to, message });
            exchange(framed(stream, None), queue, received, &log).await
        }
        Err(error) => {
            sleep(RECONNECT_DELAY).await;
            Err(error)
        }
    };
    if let Err(error) = ended {
        info!(log, "the connection to an instance ended"; "peer" => %to, "error" => %error);
    }
    on_event(LinkEvent::Closed(to));
}

fn framed(stream: TcpStream, slot: Option<Slot>) -> Stream {
    let socket = SockRef::from(&stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    // Without these options the connection still works, but a dead peer is noticed later.
    drop(socket.set_tcp_nodelay(true));
    drop(socket.set_tcp_keepalive(&keepalive));
    drop(socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)));
    Framed::new(stream, FrameCodec::new(slot))
}

/// Writes queued messages and hands received ones to `on_event`, until the queue is closed or the
/// connection ends. Skips a frame that can't be decoded, such as a message of a kind that only a later
/// release knows.
async fn exchange(
    mut stream: Stream,
    mut queue: mpsc::Receiver<LinkMessage>,
    on_event: impl Fn(LinkMessage),
    log: &Logger,
) -> io::Result<()> {
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            taken = queue.recv_many(&mut batch, MAX_BATCH) => {
                if taken == 0 {
                    return Ok(());
                }
                for message in batch.drain(..) {
                    stream.feed(encode(&message)?).await?;
                }
                SinkExt::<Bytes>::flush(&mut stream).await?;
            }
            frame = next(&mut stream) => match frame {
                Some(frame) => match decode(&frame?) {
                    Ok(message) => on_event(message),
                    Err(error) => warn!(log, "a message from an instance can't be read";
                        "error" => %error),
                },
                None => return Ok(()),
            },
        }
    }
}

async fn next(stream: &mut Stream) -> Option<io::Result<Bytes>> {
    std::future::poll_fn(|context| {
        futures_util::Stream::poll_next(std::pin::Pin::new(stream), context)
    })
    .await
}

fn encode(message: &LinkMessage) -> io::Result<Bytes> {
    let bytes = postcard::to_allocvec(message);
    bytes.map(Bytes::from).map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))
}

fn decode(frame: &[u8]) -> postcard::Result<LinkMessage> {
    postcard::from_bytes(frame)
}
