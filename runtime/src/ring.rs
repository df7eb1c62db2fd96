//! The bounded rings between duties.
//!
//! External work enters a ring through [`RingSender::offer`] and is shed once only the ring's
//! reserve is free. Messages between duties are never shed: they wait in the sender's [`Outbox`]
//! until there is room. A duty that calls [`set_backlog`] adds the length of its outboxes to the
//! length of its own ring, so that it admits no external work while it has a backlog. This bounds
//! an outbox by the work already admitted.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use crossbeam_channel as crossbeam;
use tokio::sync::mpsc;

/// The share of a ring that is reserved for messages between duties, as a divisor of its capacity.
const RESERVE_DIVISOR: usize = 4;

/// The counters of a ring.
#[derive(Debug)]
pub struct RingStats {
    /// The ring's name, after the duty that receives from it.
    pub name: &'static str,
    /// The capacity, in items.
    pub capacity: usize,
    /// How many items wait in the outboxes of the duty that receives from the ring.
    backlog: AtomicUsize,
    /// How many sends failed because the ring was full.
    pub full: AtomicU64,
    /// How many items of external work were shed.
    pub shed: AtomicU64,
}

/// The counters and the length of a ring at one moment.
#[derive(Clone, Debug)]
pub struct RingReading {
    /// The ring's counters.
    pub stats: Arc<RingStats>,
    /// The length, in items.
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

/// Creates a ring whose receiver blocks its thread.
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

/// Creates a ring whose receiver waits in an asynchronous runtime.
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
    /// Sends external work, unless only the reserve of the ring is free.
    ///
    /// # Errors
    ///
    /// Returns the item if the ring and the backlog of its duty together exceed the limit, or if
    /// the ring is full.
    pub fn offer(&self, item: impl Into<T>) -> Result<(), T> {
        let item = item.into();
        let limit = self.stats.capacity - self.stats.capacity / RESERVE_DIVISOR;
        if self.len() + self.stats.backlog.load(Ordering::Relaxed) >= limit {
            self.stats.shed.fetch_add(1, Ordering::Relaxed);
            return Err(item);
        }
        self.push(item)
    }

    /// Sends a message of another duty; it may use the reserve.
    ///
    /// # Errors
    ///
    /// Returns the item if the ring is full or its duty has ended.
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

    /// Returns the number of items in the ring.
    pub fn len(&self) -> usize {
        match &self.channel {
            Channel::Thread(sender) => sender.len(),
            Channel::Runtime(sender) => sender.max_capacity() - sender.capacity(),
        }
    }

    /// Returns whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the ring's counters.
    pub fn stats(&self) -> &Arc<RingStats> {
        &self.stats
    }

    /// Returns the counters together with the present length.
    pub fn reading(&self) -> RingReading {
        RingReading { stats: self.stats.clone(), items: self.len() }
    }
}

/// Messages from one duty to another, queued in order while the ring is full.
#[derive(Debug)]
pub struct Outbox<T> {
    sender: RingSender<T>,
    waiting: VecDeque<T>,
}

impl<T> Outbox<T> {
    /// Creates an empty outbox in front of `sender`.
    pub fn new(sender: &RingSender<T>) -> Self {
        Self { sender: sender.clone(), waiting: VecDeque::new() }
    }

    /// Sends an item, or queues it behind those that already wait.
    pub fn send(&mut self, item: impl Into<T>) {
        let item = item.into();
        if self.waiting.is_empty() {
            if let Err(item) = self.sender.push(item) {
                self.waiting.push_back(item);
            }
        } else {
            self.waiting.push_back(item);
        }
    }

    /// Sends queued items while there is room, and returns how many are left.
    pub fn flush(&mut self) -> usize {
        while let Some(item) = self.waiting.pop_front() {
            if let Err(item) = self.sender.push(item) {
                self.waiting.push_front(item);
                break;
            }
        }
        self.waiting.len()
    }
}

/// Records in a duty's own ring how many items wait in its outboxes.
pub fn set_backlog(stats: &RingStats, waiting: usize) {
    stats.backlog.store(waiting, Ordering::Relaxed);
}
