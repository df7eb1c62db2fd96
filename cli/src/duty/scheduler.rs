//! Runs the scheduler of this instance's data centre.

use crossbeam_channel::Receiver;
use hickorylink_lib::{
    ids::{TaskId, WorkerName},
    instance::components::SchedulerComponent,
    scheduler::port::Event,
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
    /// An event for the scheduler.
    Event(Event),
    /// Asks for an explanation of a task's state, by a ticket.
    ExplainTask(u64, TaskId),
    /// Asks for an explanation of a worker's state, by a ticket.
    ExplainWorker(u64, WorkerName),
}

/// Runs until the ring is closed.
pub fn scheduler(
    ring: &Receiver<Input>,
    clock: Clock,
    outboxes: Outboxes,
    mut component: SchedulerComponent,
) {
    let mut out = Vec::new();
    run(ring, clock, outboxes, move |now, inputs, outboxes| {
        for input in inputs {
            handle(now, input, &mut component, &mut out, outboxes);
        }
        if component.next_deadline().is_some_and(|at| at <= now) {
            component.handle(now, Event::Timer, &mut out);
        }
        send_all(&mut out, outboxes);
        component.next_deadline()
    });
}

fn handle(
    now: Time,
    input: Input,
    component: &mut SchedulerComponent,
    out: &mut Vec<hickorylink_lib::instance::port::Output>,
    outboxes: &mut Outboxes,
) {
    match input {
        Input::Event(event) => component.handle(now, event, out),
        Input::ExplainTask(ticket, task) => {
            let explanation = component.scheduler.explain_task(now, task);
            outboxes
                .send_explanation(ticket, explanation.and_then(|e| serde_json::to_value(e).ok()));
        }
        Input::ExplainWorker(ticket, worker) => {
            let explanation = component.scheduler.explain_worker(now, &worker);
            outboxes
                .send_explanation(ticket, explanation.and_then(|e| serde_json::to_value(e).ok()));
        }
    }
}
