//! Bounds on the connections that peers open, and on their incomplete frames.

use std::{net::SocketAddr, time::Duration};

use hickorylink_lib::{
    clients::{Limits, Listener, Share, Timeouts, Usage},
    jobs::link::LinkMessage,
};
use hickorylink_runtime::{
    clients::Clients,
    clock::Clock,
    link::{LinkCommand, LinkEvent, Links},
};
use prometheus_client::{encoding::text::encode, registry::Registry};
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};

/// The limit for anything that happens over loopback.
const LIMIT: Duration = Duration::from_secs(20);

/// The bytes of incomplete frames.
const BUDGET: u64 = 1 << 20;

struct Fixture {
    address: SocketAddr,
    clients: Clients,
    events: mpsc::Receiver<LinkEvent>,
    _commands: mpsc::Sender<LinkCommand>,
}

impl Fixture {
    async fn start(connections: usize, seconds: u64) -> Self {
        let time = Duration::from_secs(seconds);
        let timeouts = Timeouts { head: time, body: time, progress: time, write: time, idle: time };
        let share = Share { connections, bytes: BUDGET };
        let limits =
            Limits { calls: share, readiness: share, metrics: share, peers: share, timeouts };
        let log = Logger::root(Discard, o!());
        let clients = Clients::new(limits, Clock::start(), &log);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (events_out, events) = mpsc::channel(64);
        let (commands, ring) = mpsc::channel(16);
        let on_event = move |event| drop(events_out.try_send(event));
        let links = Links::new(on_event, log).admitted_by(clients.clone());
        tokio::spawn(links.run(ring, Some(listener)));
        tokio::spawn(clients.clone().watch());
        Self { address, clients, events, _commands: commands }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("a connection")
    }

    fn usage(&self) -> Usage {
        self.clients.usage(Listener::Peers)
    }

    async fn until(&self, what: &str, condition: impl Fn(Usage) -> bool) {
        let reached = timeout(LIMIT, async {
            while !condition(self.usage()) {
                sleep(Duration::from_millis(5)).await;
            }
        });
        assert!(reached.await.is_ok(), "{what}: {:?}", self.usage());
    }

    /// Sends a probe in two parts over a new connection until it is received.
    async fn probe(&mut self) -> bool {
        let message = postcard::to_allocvec(&LinkMessage::Probe).expect("a probe can be encoded");
        let length = u32::try_from(message.len()).expect("it is short").to_be_bytes();
        let probing = timeout(LIMIT, async {
            loop {
                let mut stream = self.connect().await;
                drop(stream.write_all(&length).await);
                sleep(Duration::from_millis(20)).await;
                drop(stream.write_all(&message).await);
                let event = timeout(Duration::from_millis(500), self.events.recv()).await;
                if let Ok(Some(LinkEvent::Inbound { message, .. })) = event {
                    assert_eq!(message, LinkMessage::Probe);
                    return;
                }
            }
        });
        probing.await.is_ok()
    }
}

fn run(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime").block_on(test);
}

/// Guards against connections to the peers' port that keep other instances out.
#[test]
fn a_crowd_of_connections_leaves_room_for_a_peer() {
    run(async {
        let mut fixture = Fixture::start(16, 60).await;
        let mut crowd = Vec::new();
        for _ in 0..100 {
            crowd.push(fixture.connect().await);
            assert!(fixture.usage().connections <= 16, "{:?}", fixture.usage());
        }
        assert!(fixture.probe().await, "a message arrives");
    });
}

/// Guards against frames that never end, each of which may have 16 MiB.
#[test]
fn incomplete_frames_are_bounded_and_closed() {
    run(async {
        let mut fixture = Fixture::start(64, 1).await;
        let mut crowd = Vec::new();
        let part = vec![0; 100_000];
        for _ in 0..40 {
            let mut stream = fixture.connect().await;
            drop(stream.write_all(&(16_u32 << 20).to_be_bytes()).await);
            drop(stream.write_all(&part).await);
            crowd.push(stream);
            assert!(fixture.usage().bytes <= BUDGET, "{:?}", fixture.usage());
        }
        assert!(fixture.probe().await, "a message arrives");
        let closed = |usage: Usage| usage.bytes == 0;
        fixture.until("frames without progress end", closed).await;
        let mut byte = [0];
        for stream in &mut crowd {
            let read = timeout(LIMIT, stream.read(&mut byte)).await;
            assert!(matches!(read, Ok(Ok(0) | Err(_))), "the connection is closed: {read:?}");
        }
        fixture.until("nothing is left", |usage| usage == Usage::default()).await;
    });
}

/// Guards against frames that never stall and never end, which would keep their slots and push out the
/// connections of peers.
#[test]
fn dripping_frames_are_closed_before_peers_and_after_a_time() {
    run(async {
        let mut fixture = Fixture::start(16, 2).await;
        let message = postcard::to_allocvec(&LinkMessage::Probe).expect("a probe can be encoded");
        let length = u32::try_from(message.len()).expect("it is short").to_be_bytes();
        let probe = [&length[..], &message].concat();
        let mut peers = Vec::new();
        for _ in 0..3 {
            let mut peer = fixture.connect().await;
            peer.write_all(&probe).await.expect("the probe is sent");
            let event = timeout(LIMIT, fixture.events.recv()).await;
            assert!(matches!(event, Ok(Some(LinkEvent::Inbound { .. }))), "{event:?}");
            peers.push(peer);
        }
        let announced = (16_u32 << 20).to_be_bytes();
        let mut crowd = Vec::new();
        for round in 0..400 {
            if round > 20 && fixture.usage().connections == peers.len() {
                break;
            }
            if round < 20 {
                let mut stream = fixture.connect().await;
                drop(stream.write_all(&announced).await);
                crowd.push(stream);
            }
            for stream in &mut crowd {
                // The connection may have been closed.
                drop(stream.write_all(b"x").await);
            }
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(fixture.usage().connections, peers.len(), "only the peers are left");
        for peer in &mut peers {
            peer.write_all(&probe).await.expect("the connection is open");
            let event = timeout(LIMIT, fixture.events.recv()).await;
            assert!(matches!(event, Ok(Some(LinkEvent::Inbound { .. }))), "{event:?}");
        }
    });
}

/// Guards against frames that are refused for lack of bytes without being counted.
#[test]
fn frames_without_room_are_counted() {
    run(async {
        let fixture = Fixture::start(16, 60).await;
        let mut registry = Registry::default();
        fixture.clients.register(&mut registry);
        let mut stream = fixture.connect().await;
        drop(stream.write_all(&(16_u32 << 20).to_be_bytes()).await);
        // The connection may be closed before all has been sent.
        drop(stream.write_all(&vec![0; 2 << 20]).await);
        let read = timeout(LIMIT, stream.read(&mut [0])).await;
        assert!(matches!(read, Ok(Ok(0) | Err(_))), "the connection is closed: {read:?}");
        let mut text = String::new();
        encode(&mut text, &registry).expect("the metrics can be encoded");
        let line = "clients_refused_total{listener=\"peers\",cause=\"bytes\"} 1";
        assert!(text.contains(line), "{text}");
    });
}
