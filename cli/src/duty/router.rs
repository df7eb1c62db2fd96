//! Runs the router of requests.

use crossbeam_channel::Receiver;
use hickorylink_lib::{
    instance::{components::RouterComponent, port::Output},
    router::port::Event,
    time::Time,
};

use crate::{
    clock::Clock,
    duty::{run, send_all},
    outboxes::Outboxes,
};

/// What the ring of this duty carries.
#[derive(Debug)]
pub enum Input {
    /// An event for the router.
    Event(Event),
    /// Asks for the burn report, by a ticket.
    Burn(u64),
    /// Asks for the counts to be saved for the next start.
    Snapshot,
}

impl From<Event> for Input {
    fn from(event: Event) -> Self {
        Self::Event(event)
    }
}

/// Runs until the ring is closed.
pub fn router(
    ring: &Receiver<Input>,
    clock: Clock,
    outboxes: Outboxes,
    mut router: RouterComponent,
) {
    let mut out = Vec::new();
    run(ring, clock, outboxes, move |now, inputs, outboxes| {
        for input in inputs {
            handle(now, input, clock, &mut router, &mut out, outboxes);
        }
        if router.next_deadline().is_some_and(|at| at <= now) {
            router.handle(now, Event::Timer, &mut out);
        }
        send_all(&mut out, outboxes);
        router.next_deadline()
    });
}

fn handle(
    now: Time,
    input: Input,
    clock: Clock,
    component: &mut RouterComponent,
    out: &mut Vec<Output>,
    outboxes: &mut Outboxes,
) {
    match input {
        Input::Event(event) => component.handle(now, event, out),
        Input::Burn(ticket) => outboxes.send_burn_report(ticket, component.router.burn(now)),
        Input::Snapshot => {
            outboxes.save_counts(component.router.burn_snapshot(now, clock.wall_at(now)))
        }
    }
}
