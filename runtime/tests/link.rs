//! Connections between instances.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::SinkExt as _;
use hickorylink_lib::jobs::link::LinkMessage;
use hickorylink_runtime::link::{LinkCommand, LinkEvent, Links};
use slog::{Discard, Logger, o};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The limit for one message over loopback.
const LIMIT: Duration = Duration::from_secs(10);

const RING_CAPACITY: usize = 16;

type Peer = Framed<TcpStream, LengthDelimitedCodec>;

/// Connections that listen on a port of loopback, and their events.
struct Fixture {
    address: SocketAddr,
    events: mpsc::Receiver<LinkEvent>,
    commands: mpsc::Sender<LinkCommand>,
}

async fn start() -> io::Result<Fixture> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (events_out, events) = mpsc::channel(RING_CAPACITY);
    let (commands, ring) = mpsc::channel(RING_CAPACITY);
    let on_event = move |event| drop(events_out.try_send(event));
    let links = Links::new(on_event, Logger::root(Discard, o!()));
    tokio::spawn(links.run(ring, Some(listener)));
    Ok(Fixture { address, events, commands })
}

async fn send(peer: &mut Peer, frame: &[u8]) {
    peer.send(Bytes::copy_from_slice(frame)).await.expect("the connection is open");
}

fn probe() -> Vec<u8> {
    postcard::to_allocvec(&LinkMessage::Probe).expect("a probe can be encoded")
}

fn run(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime").block_on(test);
}

/// Regression: a message of a kind that only later releases know ended the connection, with all
/// messages that were on their way.
#[test]
fn an_unreadable_frame_is_skipped() {
    struct Case {
        name: &'static str,
        frame: &'static [u8],
    }
    let cases = [
        Case { name: "an unknown kind of message", frame: &[120, 1, 2, 3] },
        Case { name: "an empty frame", frame: &[] },
        Case { name: "a hello cut short", frame: &[0, 7] },
        Case { name: "a length without its bytes", frame: &[2, 1, 255, 255, 255, 255, 15] },
        Case { name: "a number that doesn't end", frame: &[255; 64] },
    ];
    run(async {
        let mut fixture = start().await.expect("a listener");
        let stream = TcpStream::connect(fixture.address).await.expect("a connection");
        let mut peer = LengthDelimitedCodec::builder().new_framed(stream);
        let mut first = None;
        for case in cases {
            send(&mut peer, case.frame).await;
            send(&mut peer, &probe()).await;
            let event = timeout(LIMIT, fixture.events.recv()).await;
            let Ok(Some(LinkEvent::Inbound { connection, message })) = event else {
                panic!("{}: {event:?}", case.name)
            };
            assert_eq!(message, LinkMessage::Probe, "{}", case.name);
            assert_eq!(*first.get_or_insert(connection), connection, "{}", case.name);
        }
    });
}

/// Regression: the connection that an instance had opened ended in the same way.
#[test]
fn an_unreadable_answer_is_skipped() {
    run(async {
        let mut fixture = start().await.expect("a listener");
        let peers = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let to = peers.local_addr().expect("an address");
        let message = LinkMessage::Probe;
        fixture.commands.send(LinkCommand::Send { to, message }).await.expect("it runs");
        let (stream, _) = peers.accept().await.expect("a connection");
        let mut peer = LengthDelimitedCodec::builder().new_framed(stream);
        send(&mut peer, &[120]).await;
        send(&mut peer, &probe()).await;
        let event = timeout(LIMIT, fixture.events.recv()).await;
        let read = matches!(&event, Ok(Some(LinkEvent::Outbound { from, .. })) if *from == to);
        assert!(read, "{event:?}");
    });
}
