//! The router's duty: requests.

use crossbeam_channel::Receiver;
use hickorylink_lib::{instance::parts::RouterPart, router::port::Event};

use crate::{
    clock::Clock,
    duty::{deliver_all, run},
    mail::Mail,
};

/// Runs until the ring is closed.
pub fn router(ring: &Receiver<Event>, clock: Clock, mail: Mail, mut router: RouterPart) {
    let mut out = Vec::new();
    run(ring, clock, mail, move |now, events, mail| {
        for event in events {
            router.handle(now, event, &mut out);
        }
        if router.next_deadline().is_some_and(|at| at <= now) {
            router.handle(now, Event::Timer, &mut out);
        }
        deliver_all(&mut out, mail);
        router.next_deadline()
    });
}
