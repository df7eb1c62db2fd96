//! The council's duty: the agreed log and the ledger.

use crossbeam_channel::Receiver;
use hickorylink_lib::council::{Council, port::Event};

use crate::{
    clock::Clock,
    duty::{deliver_all, run},
    mail::Mail,
};

/// Runs until the ring is closed.
pub fn council(ring: &Receiver<Event>, clock: Clock, mail: Mail, mut council: Council) {
    let mut out = Vec::new();
    council.start(clock.now(), &mut out);
    run(ring, clock, mail, move |now, events, mail| {
        for event in events {
            council.handle(now, event, &mut out);
        }
        if council.next_deadline().is_some_and(|at| at <= now) {
            council.handle(now, Event::Timer, &mut out);
        }
        deliver_all(&mut out, mail);
        council.next_deadline()
    });
}
