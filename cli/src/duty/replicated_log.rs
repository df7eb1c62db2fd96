//! The council's duty: the agreed log and the ledger.

use crossbeam_channel::Receiver;
use hickorylink_lib::replicated_log::{ReplicatedLog, port::Event};

use crate::{
    clock::Clock,
    duty::{deliver_all, run},
    mail::Mail,
};

/// Runs until the ring is closed.
pub fn replicated_log(
    ring: &Receiver<Event>,
    clock: Clock,
    mail: Mail,
    mut replicated_log: ReplicatedLog,
) {
    let mut out = Vec::new();
    replicated_log.start(clock.now(), &mut out);
    run(ring, clock, mail, move |now, events, mail| {
        for event in events {
            replicated_log.handle(now, event, &mut out);
        }
        if replicated_log.next_deadline().is_some_and(|at| at <= now) {
            replicated_log.handle(now, Event::Timer, &mut out);
        }
        deliver_all(&mut out, mail);
        replicated_log.next_deadline()
    });
}
