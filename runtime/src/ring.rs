//! The bounded rings that join the duties.
//!
//! Work from outside is offered and shed when a ring has no room but its reserve. What a duty
//! must tell another is never shed: it waits in the sender's [`Outbox`] until there is room, and
//! the sender's own ring counts what waits there as if it were in the ring, so that it takes in
//! no more work from outside meanwhile. An outbox is thus bounded by the work already admitted.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use crossbeam_channel as crossbeam;
use tokio::sync::mpsc;

/// The part of a ring that work from outside can't take, as a divisor of its capacity.
const RESERVE: usize = 4;

/// What is counted of a ring, for the metrics.
#[derive(Debug)]
pub struct RingStats {
    /// The duty that takes from the ring.
    pub name: &'static str,
    /// How many items it has room for.
    pub capacity: usize,
    backlog: AtomicUsize,
    /// How often it was full for another duty.
    pub full: AtomicU64,
    /// How much work from outside it turned away.
    pub shed: AtomicU64,
}

/// How a ring stands, for the metrics.
#[derive(Clone, Debug)]
pub struct RingReading {
    /// What is counted of it.
    pub stats: Arc<RingStats>,
    /// How many items are in it.
    pub items: usize,
}

/// The sending end of a ring.
#[derive(Debug)]
pub struct RingSender<T> {
    channel: Channel<T>,
    stats: Arc<RingStats>,
}

#[derive(Debug)]
enum Channel<T> {
    Thread(crossbeam::Sender<T>),
    Runtime(mpsc::Sender<T>),
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        let channel = match &self.channel {
            Channel::Thread(sender) => Channel::Thread(sender.clone()),
            Channel::Runtime(sender) => Channel::Runtime(sender.clone()),
        };
        Self { channel, stats: self.stats.clone() }
    }
}

/// A ring into a duty that waits as a thread.
pub fn thread_ring<T>(
    name: &'static str,
    capacity: usize,
) -> (RingSender<T>, crossbeam::Receiver<T>) {
    let (sender, receiver) = crossbeam::bounded(capacity);
    (
        RingSender { channel: Channel::Thread(sender), stats: RingStats::new(name, capacity) },
        receiver,
    )
}

/// A ring into a duty that waits in a runtime of its own.
pub fn runtime_ring<T>(name: &'static str, capacity: usize) -> (RingSender<T>, mpsc::Receiver<T>) {
    let (sender, receiver) = mpsc::channel(capacity);
    (
        RingSender { channel: Channel::Runtime(sender), stats: RingStats::new(name, capacity) },
        receiver,
    )
}

impl RingStats {
    fn new(name: &'static str, capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            name,
            capacity,
            backlog: AtomicUsize::new(0),
            full: AtomicU64::new(0),
            shed: AtomicU64::new(0),
        })
    }
}

impl<T> RingSender<T> {
    /// Offers work from outside.
    ///
    /// # Errors
    ///
    /// The item, if the ring is too full or its duty has too much to pass on.
    pub fn offer(&self, item: impl Into<T>) -> Result<(), T> {
        let item = item.into();
        let room = self.stats.capacity - self.stats.capacity / RESERVE;
        if self.len() + self.stats.backlog.load(Ordering::Relaxed) >= room {
            self.stats.shed.fetch_add(1, Ordering::Relaxed);
            return Err(item);
        }
        self.push(item)
    }

    /// Passes on what another duty must know.
    ///
    /// # Errors
    ///
    /// The item, if the ring is full or its duty has ended.
    pub fn push(&self, item: impl Into<T>) -> Result<(), T> {
        let item = item.into();
        let pushed = match &self.channel {
            Channel::Thread(sender) => {
                sender.try_send(item).map_err(crossbeam::TrySendError::into_inner)
            }
            Channel::Runtime(sender) => sender.try_send(item).map_err(|error| match error {
                mpsc::error::TrySendError::Full(item) | mpsc::error::TrySendError::Closed(item) => {
                    item
                }
            }),
        };
        if pushed.is_err() {
            self.stats.full.fetch_add(1, Ordering::Relaxed);
        }
        pushed
    }

    /// How many items are in the ring.
    pub fn len(&self) -> usize {
        match &self.channel {
            Channel::Thread(sender) => sender.len(),
            Channel::Runtime(sender) => sender.max_capacity() - sender.capacity(),
        }
    }

    /// Whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What is counted of the ring.
    pub fn stats(&self) -> &Arc<RingStats> {
        &self.stats
    }

    /// How the ring stands.
    pub fn reading(&self) -> RingReading {
        RingReading { stats: self.stats.clone(), items: self.len() }
    }
}

/// What one duty has yet to pass on to another.
#[derive(Debug)]
pub struct Outbox<T> {
    inlet: RingSender<T>,
    waiting: VecDeque<T>,
}

impl<T> Outbox<T> {
    /// An empty outbox to the duty behind `inlet`.
    pub fn new(inlet: &RingSender<T>) -> Self {
        Self { inlet: inlet.clone(), waiting: VecDeque::new() }
    }

    /// Passes an item on, after those that wait.
    pub fn send(&mut self, item: impl Into<T>) {
        let item = item.into();
        if self.waiting.is_empty() {
            if let Err(item) = self.inlet.push(item) {
                self.waiting.push_back(item);
            }
        } else {
            self.waiting.push_back(item);
        }
    }

    /// Passes on what waits, as far as there is room; how many items still wait.
    pub fn flush(&mut self) -> usize {
        while let Some(item) = self.waiting.pop_front() {
            if let Err(item) = self.inlet.push(item) {
                self.waiting.push_front(item);
                break;
            }
        }
        self.waiting.len()
    }
}

/// Says in a duty's own ring how much waits in its outboxes.
pub fn set_backlog(stats: &RingStats, waiting: usize) {
    stats.backlog.store(waiting, Ordering::Relaxed);
}
