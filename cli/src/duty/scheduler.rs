//! The scheduler's duty: placement in this instance's data centre.

use crossbeam_channel::Receiver;
use hickorylink_lib::{
    ids::{TaskId, WorkerName},
    instance::components::SchedulerComponent,
    scheduler::port::Event,
    time::Time,
};

use crate::{
    clock::Clock,
    duty::{deliver_all, run},
    mail::Mail,
};

/// What the scheduler's ring carries.
#[derive(Debug)]
pub enum Job {
    /// Something happened.
    Event(Event),
    /// Why does a task stand where it stands?
    ExplainTask(u64, TaskId),
    /// What runs on a worker, and how does it fare?
    ExplainWorker(u64, WorkerName),
}

/// Runs until the ring is closed.
pub fn scheduler(ring: &Receiver<Job>, clock: Clock, mail: Mail, mut part: SchedulerComponent) {
    let mut out = Vec::new();
    run(ring, clock, mail, move |now, jobs, mail| {
        for job in jobs {
            take(now, job, &mut part, &mut out, mail);
        }
        if part.next_deadline().is_some_and(|at| at <= now) {
            part.handle(now, Event::Timer, &mut out);
        }
        deliver_all(&mut out, mail);
        part.next_deadline()
    });
}

fn take(
    now: Time,
    job: Job,
    part: &mut SchedulerComponent,
    out: &mut Vec<hickorylink_lib::instance::port::Output>,
    mail: &mut Mail,
) {
    match job {
        Job::Event(event) => part.handle(now, event, out),
        Job::ExplainTask(ticket, task) => {
            let explained = part.scheduler.explain_task(now, task);
            mail.explain(ticket, explained.and_then(|e| serde_json::to_value(e).ok()));
        }
        Job::ExplainWorker(ticket, worker) => {
            let explained = part.scheduler.explain_worker(now, &worker);
            mail.explain(ticket, explained.and_then(|e| serde_json::to_value(e).ok()));
        }
    }
}
