//! Connections between instances: frames of one message each, in postcard.
//!
//! A connection is opened when there is something to send to an address, and answers come back
//! over it. Messages may be lost; whatever rests on them is sent again by its sender.

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::SinkExt;
use hickorylink_lib::jobs::link::LinkMessage;
use slog::{Logger, info, warn};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Messages that wait for one connection; more are lost.
const QUEUE_CAPACITY: usize = 2048;

/// The largest frame, in bytes: a part of a snapshot or a batch of entries fits.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// How long opening a connection may take, and the pause after a failure.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// How long sent bytes may stay without an acknowledgement before a connection counts as dead.
const ACK_TIMEOUT: Duration = Duration::from_millis(1200);

/// The silence after which a connection is probed, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Messages that are written before a connection is flushed.
const MAX_BATCH: usize = 64;

/// What the links' ring carries.
#[derive(Debug)]
pub enum LinkCommand {
    /// A message for an address.
    Send {
        /// The address.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// A message for whoever opened a connection.
    Answer {
        /// The connection.
        connection: u64,
        /// The message.
        message: LinkMessage,
    },
    /// The connection to an address is to be closed.
    Close(SocketAddr),
}

/// What came over a connection.
#[derive(Debug)]
pub enum LinkEvent {
    /// From someone who opened a connection.
    Inbound {
        /// The connection.
        connection: u64,
        /// The message.
        message: LinkMessage,
    },
    /// Over a connection that was opened here.
    Outbound {
        /// The address.
        from: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// A connection that was opened here ended, or couldn't be opened.
    Closed(SocketAddr),
}

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

/// The connections of an instance; lives in one runtime.
pub struct Links<F> {
    on_event: F,
    log: Logger,
    outbound: HashMap<SocketAddr, mpsc::Sender<LinkMessage>>,
    inbound: HashMap<u64, mpsc::Sender<LinkMessage>>,
    opened: u64,
}

impl<F> std::fmt::Debug for Links<F> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Links").field("outbound", &self.outbound.len()).finish_non_exhaustive()
    }
}

impl<F: Fn(LinkEvent) + Clone + Send + Sync + 'static> Links<F> {
    /// Connections whose messages go to `on_event`, which must not block.
    pub fn new(on_event: F, log: Logger) -> Self {
        Self { on_event, log, outbound: HashMap::new(), inbound: HashMap::new(), opened: 0 }
    }

    /// Runs until the ring is closed, and accepts connections if it is given a listener.
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
                    // A peer that reads nothing loses its answers; it asks again.
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
        self.opened += 1;
        let connection = self.opened;
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        self.inbound.insert(connection, sender);
        let on_event = self.on_event.clone();
        let log = self.log.clone();
        tokio::spawn(async move {
            let on_event = |message| on_event(LinkEvent::Inbound { connection, message });
            if let Err(error) = exchange(framed(stream), queue, on_event).await {
                info!(log, "a connection from an instance ended"; "error" => %error);
            }
        });
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
            exchange(framed(stream), queue, received).await
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

fn framed(stream: TcpStream) -> Stream {
    let socket = SockRef::from(&stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    // A socket that doesn't take these options still works; a dead peer is then found later.
    drop(socket.set_tcp_nodelay(true));
    drop(socket.set_tcp_keepalive(&keepalive));
    drop(socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)));
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// Writes what is queued and passes on what comes, until either side ends.
async fn exchange(
    mut stream: Stream,
    mut queue: mpsc::Receiver<LinkMessage>,
    on_event: impl Fn(LinkMessage),
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
                Some(frame) => on_event(decode(&frame?)?),
                None => return Ok(()),
            },
        }
    }
}

async fn next(stream: &mut Stream) -> Option<io::Result<bytes::BytesMut>> {
    std::future::poll_fn(|context| {
        futures_util::Stream::poll_next(std::pin::Pin::new(stream), context)
    })
    .await
}

fn encode(message: &LinkMessage) -> io::Result<Bytes> {
    let bytes = postcard::to_allocvec(message);
    bytes.map(Bytes::from).map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))
}

fn decode(frame: &[u8]) -> io::Result<LinkMessage> {
    let message = postcard::from_bytes(frame);
    message.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
