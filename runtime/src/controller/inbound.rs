//! Messages from other instances, and a bound on the calls among them that wait for control.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use hickorylink_lib::jobs::{
    call::{Call, Reply},
    controller::{Event, Ticket},
    link::LinkMessage,
};

use crate::{link::LinkCommand, ring::RingSender};

/// The bytes of calls in control's ring.
#[derive(Clone, Debug)]
pub(super) struct CallBytes {
    queued: Arc<AtomicU64>,
    max: u64,
}

impl CallBytes {
    /// No calls yet; up to `max` bytes may wait. A single call may have more.
    pub(super) fn new(max: u64) -> Self {
        Self { queued: Arc::new(AtomicU64::new(0)), max }
    }

    /// Adds a call, unless there is no room. Only one thread adds calls.
    fn add(&self, call: &Call) -> bool {
        let bytes = call.memory_bytes();
        let queued = self.queued.load(Ordering::Relaxed);
        let fits = queued == 0 || queued + bytes <= self.max;
        if fits {
            self.queued.fetch_add(bytes, Ordering::Relaxed);
        }
        fits
    }

    /// Removes the call in an event that was taken from the ring or didn't get into it.
    pub(super) fn remove(&self, event: &Event) {
        if let Event::Call { call, .. } = event {
            self.queued.fetch_sub(call.memory_bytes(), Ordering::Relaxed);
        }
    }
}

/// Passes messages from other instances to control.
#[derive(Clone, Debug)]
pub(super) struct Inbound {
    pub(super) control: RingSender<Event>,
    pub(super) links: RingSender<LinkCommand>,
    pub(super) calls: CallBytes,
}

impl Inbound {
    pub(super) fn receive(&self, connection: u64, message: LinkMessage) {
        if let LinkMessage::Forward { number, call } = &message
            && !self.calls.add(call)
        {
            // If the ring is full, the gateway's call times out with an unknown outcome.
            let message = LinkMessage::Answer { number: *number, reply: Reply::NotRun };
            drop(self.links.push(LinkCommand::Answer { connection, message }));
            return;
        }
        if let Some(event) = to_event(connection, message)
            && let Err(event) = self.control.push(event)
        {
            // Dropped if control's ring is full; the sender retries.
            self.calls.remove(&event);
        }
    }
}

/// Converts a message from another instance to an event of control.
fn to_event(connection: u64, message: LinkMessage) -> Option<Event> {
    match message {
        LinkMessage::Hello(hello) => Some(Event::Hello(hello)),
        LinkMessage::Consensus { from, message } => Some(Event::Consensus { from, message }),
        LinkMessage::Forward { number, call } => {
            Some(Event::Call { ticket: Ticket::Link { connection, number }, call })
        }
        LinkMessage::Probe => Some(Event::Probe { ticket: Ticket::Link { connection, number: 0 } }),
        LinkMessage::Answer { .. } | LinkMessage::Redirect { .. } | LinkMessage::Status(_) => None,
    }
}
