//! The router's duty: requests.

use crossbeam_channel::Receiver;
use hickorylink_lib::{
    instance::{components::RouterComponent, port::Output},
    router::port::Event,
    time::Time,
};

use crate::{
    clock::Clock,
    duty::{deliver_all, run},
    mail::Mail,
};

/// What the router's ring carries.
#[derive(Debug)]
pub enum Job {
    /// Something happened.
    Event(Event),
    /// What is counted for the burn report?
    Burn(u64),
    /// What do the counts need to go on after a restart?
    Snapshot,
}

impl From<Event> for Job {
    fn from(event: Event) -> Self {
        Self::Event(event)
    }
}

/// Runs until the ring is closed.
pub fn router(ring: &Receiver<Job>, clock: Clock, mail: Mail, mut router: RouterComponent) {
    let mut out = Vec::new();
    run(ring, clock, mail, move |now, jobs, mail| {
        for job in jobs {
            take(now, job, clock, &mut router, &mut out, mail);
        }
        if router.next_deadline().is_some_and(|at| at <= now) {
            router.handle(now, Event::Timer, &mut out);
        }
        deliver_all(&mut out, mail);
        router.next_deadline()
    });
}

fn take(
    now: Time,
    job: Job,
    clock: Clock,
    part: &mut RouterComponent,
    out: &mut Vec<Output>,
    mail: &mut Mail,
) {
    match job {
        Job::Event(event) => part.handle(now, event, out),
        Job::Burn(ticket) => mail.burn(ticket, part.router.burn(now)),
        Job::Snapshot => mail.counts(part.router.burn_snapshot(now, clock.wall_at(now))),
    }
}
