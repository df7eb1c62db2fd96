//! Runs the replicated log and the ledger that applies its commands.

use crossbeam_channel::Receiver;
use hickorylink_lib::replicated_log::{ReplicatedLog, port::Event};

use crate::{
    clock::Clock,
    duty::{run, send_all},
    outboxes::Outboxes,
};

/// Runs until the ring is closed.
pub fn replicated_log(
    ring: &Receiver<Event>,
    clock: Clock,
    outboxes: Outboxes,
    mut replicated_log: ReplicatedLog,
) {
    let mut out = Vec::new();
    replicated_log.start(clock.now(), &mut out);
    run(ring, clock, outboxes, move |now, events, outboxes| {
        for event in events {
            replicated_log.handle(now, event, &mut out);
        }
        if replicated_log.next_deadline().is_some_and(|at| at <= now) {
            replicated_log.handle(now, Event::Timer, &mut out);
        }
        send_all(&mut out, outboxes);
        replicated_log.next_deadline()
    });
}
