//! A crowd of clients with raw sockets. All of them share the bytes that they send, and each reads into
//! a buffer of its own of a few bytes, so that the test's process stays small.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::process::Usage;

/// The interval between two samples of the process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// The crowd has settled when nothing has changed for this time: neither the bytes that were sent or
/// received nor the peak of the memory.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// The longest time that a crowd stays. Only clients that send or read slowly, and a process that
/// doesn't answer, take so long.
const MAX_STAY: Duration = Duration::from_secs(60);

/// How long clients that send or read a byte at a time go on.
const SLOW_STAY: Duration = Duration::from_secs(3);

/// The pause of a slow client after each byte.
const SLOW_PAUSE: Duration = Duration::from_millis(20);

/// The longest time to open a connection; a process may stop accepting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The receive buffer of a client's socket. A small one fills the sender's buffers sooner.
const RECEIVE_BUFFER: u32 = 4096;

/// How a client sends its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    /// In one piece.
    Whole,
    /// In pieces of this size.
    Pieces(usize),
    /// One byte at a time with a pause after each.
    Slow,
}

/// What a client does after it has sent its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Then {
    /// Leaves the connection open without reading.
    Hold,
    /// Waits for the first byte of a response or for the end of the connection, and holds it then.
    Await,
    /// Reads one byte at a time with a pause after each.
    ReadSlowly,
    /// Closes the connection.
    Close,
}

/// What each client of a crowd sends.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    pub(crate) start: Bytes,
    /// Repeated `times` times after the start.
    pub(crate) unit: Bytes,
    pub(crate) times: usize,
    pub(crate) end: Bytes,
    pub(crate) pace: Pace,
    pub(crate) then: Then,
}

impl Script {
    /// Sends these bytes in one piece and leaves the connection open.
    pub(crate) fn new(start: impl Into<Bytes>) -> Self {
        Self {
            start: start.into(),
            unit: Bytes::new(),
            times: 0,
            end: Bytes::new(),
            pace: Pace::Whole,
            then: Then::Hold,
        }
    }

    /// Sends `unit` this many times after the start.
    pub(crate) fn repeat(self, unit: impl Into<Bytes>, times: usize) -> Self {
        Self { unit: unit.into(), times, ..self }
    }

    pub(crate) fn end(self, end: impl Into<Bytes>) -> Self {
        Self { end: end.into(), ..self }
    }

    pub(crate) fn pace(self, pace: Pace) -> Self {
        Self { pace, ..self }
    }

    pub(crate) fn then(self, then: Then) -> Self {
        Self { then, ..self }
    }

    /// The bytes that each client sends.
    pub(crate) fn len(&self) -> usize {
        self.start.len() + self.unit.len() * self.times + self.end.len()
    }

    fn is_slow(&self) -> bool {
        self.pace == Pace::Slow || self.then == Then::ReadSlowly
    }
}

/// What a crowd has done so far.
#[derive(Debug, Default)]
struct Progress {
    bytes: AtomicU64,
    /// The clients whose connection has been opened or refused. A full queue of the listener delays a
    /// connection by a second or more, in which nothing else need change.
    opened: AtomicUsize,
    /// The clients that have reached the end of their script or whose connection has ended.
    ended: AtomicUsize,
}

/// Lets a crowd of `clients` come to an address, samples the process until the crowd has settled, and
/// lets the crowd leave.
pub(crate) async fn visit(to: SocketAddr, clients: usize, script: &Script, pid: u32) -> Usage {
    let (leave, leaving) = watch::channel(false);
    let progress = Arc::new(Progress::default());
    let mut tasks = JoinSet::new();
    for _ in 0..clients {
        let (script, progress, mut leaving) = (script.clone(), progress.clone(), leaving.clone());
        tasks.spawn(async move {
            tokio::select! {
                // An error means that the connection was refused or closed, which is allowed.
                _ = client(to, &script, &progress) => {}
                _ = leaving.changed() => {}
            }
        });
    }
    drop(leaving);
    let mut usage = Usage::default();
    let start = Instant::now();
    let mut last = (0, 0, 0, 0);
    let mut changed = start;
    loop {
        usage.sample(pid);
        let ended = progress.ended.load(Ordering::Relaxed);
        let opened = progress.opened.load(Ordering::Relaxed);
        let now = (progress.bytes.load(Ordering::Relaxed), opened, ended, usage.peak);
        if now != last {
            (last, changed) = (now, Instant::now());
        }
        let quiet = opened >= clients && changed.elapsed() >= QUIET_TIME;
        let settled = match script.then {
            Then::Await => quiet && ended >= clients,
            Then::Hold | Then::ReadSlowly | Then::Close => quiet,
        };
        let stay = if script.is_slow() { SLOW_STAY } else { MAX_STAY };
        if settled || start.elapsed() >= stay {
            break;
        }
        sleep(SAMPLE_INTERVAL).await;
    }
    leave.send_replace(true);
    while tasks.join_next().await.is_some() {
        usage.sample(pid);
    }
    usage
}

async fn client(to: SocketAddr, script: &Script, progress: &Progress) -> io::Result<()> {
    let done = exchange(to, script, progress).await;
    progress.ended.fetch_add(1, Ordering::Relaxed);
    let _open = done?;
    std::future::pending().await
}

/// Plays the script; returns the connection if it is to stay open.
async fn exchange(
    to: SocketAddr,
    script: &Script,
    progress: &Progress,
) -> io::Result<Option<TcpStream>> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    let connected = timeout(CONNECT_TIMEOUT, socket.connect(to)).await;
    progress.opened.fetch_add(1, Ordering::Relaxed);
    let mut stream = connected??;
    stream.set_nodelay(true)?;
    write(&mut stream, &script.start, script, progress).await?;
    for _ in 0..script.times {
        write(&mut stream, &script.unit, script, progress).await?;
    }
    write(&mut stream, &script.end, script, progress).await?;
    match script.then {
        Then::Hold => {}
        Then::Await => drop(read(&mut stream, progress).await?),
        Then::ReadSlowly => {
            while read(&mut stream, progress).await? > 0 {
                sleep(SLOW_PAUSE).await;
            }
        }
        Then::Close => return Ok(None),
    }
    Ok(Some(stream))
}

async fn write(
    stream: &mut TcpStream,
    bytes: &[u8],
    script: &Script,
    progress: &Progress,
) -> io::Result<()> {
    let size = match script.pace {
        Pace::Whole => bytes.len().max(1),
        Pace::Pieces(size) => size,
        Pace::Slow => 1,
    };
    for mut piece in bytes.chunks(size) {
        while !piece.is_empty() {
            let written = stream.write(piece).await?;
            progress.bytes.fetch_add(written as u64, Ordering::Relaxed);
            piece = &piece[written..];
        }
        if script.pace == Pace::Slow {
            sleep(SLOW_PAUSE).await;
        }
    }
    Ok(())
}

/// Reads one byte, or none at the end of the connection.
async fn read(stream: &mut TcpStream, progress: &Progress) -> io::Result<usize> {
    let read = stream.read(&mut [0]).await?;
    progress.bytes.fetch_add(read as u64, Ordering::Relaxed);
    Ok(read)
}
