//! Properties that hold for a leader under random sequences of worker events.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use hickorylink_lib::{
    jobs::{
        controller::Event,
        crash::MAX_CRASHES,
        lifecycle::JobPhase,
        model::{JobId, Step, TaskKey},
        record::Ending,
        report::Report,
    },
    time::Time,
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
    /// The worker leaves and restarts. Its leave message overtakes its last heartbeat, which
    /// arrives this much later, in milliseconds, or not if the lease has expired by then.
    Leave(usize, u16),
    /// The controller restarts from its log.
    Restart,
    /// Time passes, in milliseconds.
    Advance(u16),
}

const WORKERS: usize = 3;

impl Arbitrary for WorkerEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let worker = usize::arbitrary(g) % WORKERS;
        match u8::arbitrary(g) % 12 {
            10 => Self::Leave(worker, u16::arbitrary(g) % 6000),
            11 => Self::Restart,
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
    until: Time,
    /// The number of the last end before the lease expired. Ends up to this one needn't count.
    expired: u64,
}

impl LeasedWorker {
    fn expire(&mut self, now: Time) {
        if now >= self.until {
            self.worker.end_all(Ending::LeaseExpired);
            self.expired = self.worker.end_count;
        }
    }

    /// The same machine after a restart. Its lease is granted with its first response.
    fn restart(&mut self) {
        self.worker = self.worker.restarted();
        self.expired = 0;
    }
}

/// Workers under a leader, and what they have reported.
struct Cluster {
    world: World,
    workers: Vec<LeasedWorker>,
    /// The tasks that were reported as done within a lease.
    done: BTreeSet<TaskKey>,
    /// Heartbeats that leave messages have overtaken, and when they arrive.
    overtaken: Vec<(Time, Report)>,
}

impl Cluster {
    fn new() -> Self {
        let world = World::new();
        let workers = (0..WORKERS).map(|at| LeasedWorker {
            worker: FakeWorker::new(&format!("w{at}")),
            until: world.now,
            expired: 0,
        });
        Self { workers: workers.collect(), world, done: BTreeSet::new(), overtaken: Vec::new() }
    }

    fn advance(&mut self, millis: u16) {
        let end = self.world.now + Duration::from_millis(millis.into());
        while self.world.now < end {
            self.world.advance(self.world.now.until(end).min(Duration::from_millis(100)));
            self.deliver_overtaken();
        }
        self.expire();
    }

    fn deliver_overtaken(&mut self) {
        let now = self.world.now;
        for (_, report) in self.overtaken.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.deliver(report);
        }
    }

    fn expire(&mut self) {
        let now = self.world.now;
        self.workers.iter_mut().for_each(|leased| leased.expire(now));
    }

    fn send(&mut self, report: Report) -> u64 {
        let reporter = |leased: &&LeasedWorker| report.name == leased.worker.name.as_str().into();
        let expired = self.workers.iter().find(reporter).map_or(0, |leased| leased.expired);
        let done = report
            .ended
            .iter()
            .filter(|ended| ended.ending == Ending::Done && ended.number > expired);
        self.done.extend(done.map(|ended| ended.task));
        self.deliver(report)
    }

    fn deliver(&mut self, report: Report) -> u64 {
        self.world.send(|ticket| Event::Heartbeat { ticket, report: Box::new(report) })
    }

    fn heartbeat(&mut self, at: usize) -> Result<(), String> {
        let sent = self.world.now;
        let report = self.workers[at].worker.report();
        let ticket = self.send(report);
        while !self.world.answers.contains_key(&ticket) {
            self.world.advance(Duration::from_millis(20));
            self.deliver_overtaken();
        }
        let response = self.world.response(ticket);
        self.expire();
        let Some(response) = response else { return Ok(()) };
        let again = response.starts.iter().find(|start| self.done.contains(&start.task));
        if let Some(start) = again {
            return Err(format!("{} was done and is started again", start.task));
        }
        self.workers[at].worker.apply(&response);
        if let Some(lease) = response.lease {
            self.workers[at].until = sent + lease;
        }
        Ok(())
    }

    fn leave(&mut self, at: usize, delay: u16) {
        let arrives = self.world.now + Duration::from_millis(delay.into());
        let leased = &mut self.workers[at];
        leased.worker.leaving = Some(0);
        let overtaken = leased.worker.report();
        let (name, incarnation) = (overtaken.name.clone(), Some(overtaken.incarnation));
        if arrives < leased.until {
            let done = overtaken
                .ended
                .iter()
                .filter(|ended| ended.ending == Ending::Done && ended.number > leased.expired);
            self.done.extend(done.map(|ended| ended.task));
            self.overtaken.push((arrives, overtaken));
        }
        leased.restart();
        self.world.send(|ticket| Event::Leave { ticket, name, incarnation, ended: Vec::new() });
        self.expire();
    }

    fn apply(&mut self, event: WorkerEvent) -> Result<(), String> {
        match event {
            WorkerEvent::Advance(millis) => self.advance(millis),
            WorkerEvent::Crash(at) => {
                self.workers[at].restart();
            }
            WorkerEvent::Leave(at, delay) => self.leave(at, delay),
            WorkerEvent::Restart => {
                // A new leader doesn't know that a worker has left, and takes its next incarnation for
                // the sign of a crash.
                for (_, report) in std::mem::take(&mut self.overtaken) {
                    self.deliver(report);
                }
                self.world.restart();
                self.expire();
            }
            WorkerEvent::End(at, completed) => {
                let worker = &mut self.workers[at].worker;
                if let Some(task) = worker.running.keys().next().copied() {
                    worker.end(task, if completed { Ending::Done } else { Ending::Stopped });
                }
            }
            WorkerEvent::LostResponse(at) => {
                let report = self.workers[at].worker.report();
                self.send(report);
            }
            WorkerEvent::Heartbeat(at) => self.heartbeat(at)?,
        }
        Ok(())
    }
}

fn run(events: Vec<WorkerEvent>) -> Result<(), String> {
    let mut cluster = Cluster::new();
    let job = cluster.world.submit(7, vec![step(3), Step { after: vec![0], ..step(2) }]);
    for event in events {
        cluster.apply(event)?;
        check(&cluster.workers, job)?;
    }
    Ok(())
}

fn check(workers: &[LeasedWorker], job: JobId) -> Result<(), String> {
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
fn a_task_never_runs_on_two_workers_or_after_it_was_reported_done() {
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
    let mut crashes = 0;
    for event in events.into_iter().take(30) {
        match event {
            WorkerEvent::Heartbeat(at) => drop(world.heartbeat(&mut workers[at])),
            WorkerEvent::Crash(at) | WorkerEvent::Leave(at, _) => {
                crashes += 1;
                workers[at] = workers[at].restarted();
            }
            WorkerEvent::Restart => world.restart(),
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
        // A task whose workers have crashed so often is given up.
        JobPhase::Failed if crashes >= MAX_CRASHES => Ok(()),
        phase => Err(format!("the job is {phase} instead of completed")),
    }
}

#[test]
fn a_job_completes_once_faults_stop() {
    QuickCheck::new()
        .tests(60)
        .quickcheck(completes_after_faults as fn(Vec<WorkerEvent>) -> Result<(), String>);
}
