//! Properties that hold for a leader under random sequences of worker events.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::jobs::{
    controller::Event,
    lifecycle::JobPhase,
    model::{Run, Step, TaskKey},
    record::Ending,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::world::{FakeWorker, LEASE, World, step};

/// An event of one of the workers, by its index.
#[derive(Clone, Copy, Debug)]
enum WorkerEvent {
    /// The worker sends a heartbeat and receives the response.
    Heartbeat(usize),
    /// The worker sends a heartbeat and the response is lost.
    LostResponse(usize),
    /// The first run on the worker ends. The flag tells whether it has completed its task.
    End(usize, bool),
    /// The worker crashes and restarts.
    Crash(usize),
    /// Time passes, in milliseconds.
    Advance(u16),
}

const WORKERS: usize = 3;

impl Arbitrary for WorkerEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let worker = usize::arbitrary(g) % WORKERS;
        match u8::arbitrary(g) % 10 {
            0..=3 => Self::Heartbeat(worker),
            4 => Self::LostResponse(worker),
            5 | 6 => Self::End(worker, bool::arbitrary(g)),
            7 => Self::Crash(worker),
            _ => Self::Advance(u16::arbitrary(g) % 3000),
        }
    }
}

/// A worker with the expiry of its lease by its own clock.
struct LeasedWorker {
    worker: FakeWorker,
    until: hickorylink_lib::time::Time,
}

impl LeasedWorker {
    fn expire(&mut self, now: hickorylink_lib::time::Time) {
        if now >= self.until {
            self.worker.end_all(Ending::LeaseExpired);
        }
    }
}

fn run(events: Vec<WorkerEvent>) -> Result<(), String> {
    let mut world = World::new();
    let job = world.submit(7, vec![step(3), Step { after: vec![0], ..step(2) }]);
    let mut workers: Vec<LeasedWorker> = (0..WORKERS)
        .map(|at| LeasedWorker { worker: FakeWorker::new(&format!("w{at}")), until: world.now })
        .collect();
    let mut done: BTreeMap<TaskKey, Run> = BTreeMap::new();
    for event in events {
        match event {
            WorkerEvent::Advance(millis) => {
                world.advance(Duration::from_millis(millis.into()));
                let now = world.now;
                workers.iter_mut().for_each(|leased| leased.expire(now));
            }
            WorkerEvent::Crash(at) => workers[at].worker = workers[at].worker.restarted(),
            WorkerEvent::End(at, completed) => {
                let first = workers[at].worker.running.iter().next().map(|(t, r)| (*t, *r));
                if let Some((task, run)) = first {
                    let ending = if completed { Ending::Done } else { Ending::Stopped };
                    workers[at].worker.end(task, ending);
                    if completed {
                        done.entry(task).or_insert(run);
                    }
                }
            }
            WorkerEvent::LostResponse(at) => {
                let report = Box::new(workers[at].worker.report());
                world.send(|ticket| Event::Heartbeat { ticket, report });
            }
            WorkerEvent::Heartbeat(at) => {
                let sent = world.now;
                let report = Box::new(workers[at].worker.report());
                let ticket = world.send(|ticket| Event::Heartbeat { ticket, report });
                let response = world.response(ticket);
                let now = world.now;
                workers.iter_mut().for_each(|leased| leased.expire(now));
                if let Some(response) = response {
                    workers[at].worker.apply(&response);
                    workers[at].until = sent + response.lease;
                }
            }
        }
        check(&workers, job)?;
    }
    Ok(())
}

fn check(workers: &[LeasedWorker], job: hickorylink_lib::jobs::model::JobId) -> Result<(), String> {
    let mut running: BTreeMap<TaskKey, &str> = BTreeMap::new();
    for leased in workers {
        let worker = &leased.worker;
        if worker.running.len() > 4 {
            return Err(format!("{} exceeds its capacity", worker.name));
        }
        for task in worker.running.keys() {
            if task.job != job {
                return Err(format!("{task} does not belong to the job"));
            }
            if let Some(other) = running.insert(*task, &worker.name) {
                return Err(format!("{task} runs on {other} and {}", worker.name));
            }
        }
        for (at, (task, run)) in worker.started.iter().enumerate() {
            let before = worker.started[..at].iter().filter(|(other, _)| other == task);
            if before.into_iter().any(|(_, other)| other > run) {
                return Err(format!("the run number of {task} decreased"));
            }
        }
    }
    Ok(())
}

#[test]
fn a_task_never_runs_on_two_workers() {
    fn property(events: Vec<WorkerEvent>) -> Result<(), String> {
        run(events)
    }
    QuickCheck::new().tests(150).quickcheck(property as fn(Vec<WorkerEvent>) -> Result<(), String>);
}

/// Regression: event sequences that once kept a job from completing.
#[test]
fn known_event_sequences_complete_the_job() {
    struct Case {
        name: &'static str,
        events: Vec<WorkerEvent>,
    }
    use WorkerEvent::{Advance, Heartbeat, LostResponse};
    let cases = [Case {
        name: "an older run that is still listed masks the new one",
        events: vec![Heartbeat(0), Advance(1444), Advance(1832), Advance(2149), LostResponse(0)],
    }];
    for case in cases {
        assert_eq!(completes_after_faults(case.events), Ok(()), "{}", case.name);
    }
}

fn completes_after_faults(events: Vec<WorkerEvent>) -> Result<(), String> {
    let mut world = World::new();
    world.submit(7, vec![step(3), Step { after: vec![0], ..step(2) }]);
    let mut workers: Vec<_> = (0..WORKERS).map(|at| FakeWorker::new(&format!("w{at}"))).collect();
    for event in events.into_iter().take(30) {
        match event {
            WorkerEvent::Heartbeat(at) => drop(world.heartbeat(&mut workers[at])),
            WorkerEvent::Crash(at) => workers[at] = workers[at].restarted(),
            WorkerEvent::LostResponse(at) => {
                let report = Box::new(workers[at].report());
                world.send(|ticket| Event::Heartbeat { ticket, report });
            }
            WorkerEvent::End(at, _) => workers[at].end_all(Ending::Stopped),
            WorkerEvent::Advance(millis) => world.advance(Duration::from_millis(millis.into())),
        }
    }
    world.advance(LEASE);
    for _ in 0..40 {
        for worker in &mut workers {
            world.heartbeat(worker);
            worker.end_all(Ending::Done);
        }
    }
    match world.phase(7) {
        JobPhase::Completed => Ok(()),
        phase => Err(format!("the job is {phase} instead of completed")),
    }
}

#[test]
fn a_job_completes_once_faults_stop() {
    QuickCheck::new()
        .tests(60)
        .quickcheck(completes_after_faults as fn(Vec<WorkerEvent>) -> Result<(), String>);
}
