//! Properties that hold while the capacities of workers change.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    jobs::{
        call::Action,
        controller::{Answer, Event},
        crash::MAX_CRASHES,
        lifecycle::JobPhase,
        model::{JobId, Run, Step, StepKey, StepOptions, TaskKey},
        record::Ending,
        report::Report,
        response::HeartbeatResponse,
    },
    resources::Resources,
    time::Time,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::world::{FakeWorker, World, path, step};

/// An event of one of the workers, by its index, or of the world.
#[derive(Clone, Copy, Debug)]
enum CapacityEvent {
    /// The worker sends a heartbeat. An answer to an earlier one is dropped.
    Send(usize),
    /// The worker receives the answer to its heartbeat, if there is one.
    Receive(usize),
    /// The network delivers the worker's last heartbeat again.
    Repeat(usize),
    /// The worker has this many processors and a matching part of its memory.
    Resize(usize, u8),
    /// The first run on the worker that isn't being stopped ends.
    End(usize, bool),
    /// The runs that were to be stopped have stopped.
    FinishStops(usize),
    /// The worker crashes and restarts.
    Crash(usize),
    /// The customer cancels one of the jobs.
    Cancel(u64),
    /// The controller restarts from its log.
    Restart,
    /// Time passes, in milliseconds.
    Advance(u16),
}

const WORKERS: usize = 3;

/// The time after which a worker drops the answer to its heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

impl Arbitrary for CapacityEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let worker = usize::arbitrary(g) % WORKERS;
        match u8::arbitrary(g) % 24 {
            0..=6 => Self::Send(worker),
            7..=12 => Self::Receive(worker),
            13 => Self::Repeat(worker),
            14..=16 => Self::Resize(worker, u8::arbitrary(g) % 5),
            17 => Self::End(worker, bool::arbitrary(g)),
            18 => Self::FinishStops(worker),
            19 if bool::arbitrary(g) => Self::Crash(worker),
            20 if bool::arbitrary(g) => Self::Cancel(u64::arbitrary(g) % 3),
            21 if bool::arbitrary(g) => Self::Restart,
            _ => Self::Advance(u16::arbitrary(g) % 900),
        }
    }
}

/// A worker that takes its time to stop runs, with the heartbeat that it waits for.
struct Member {
    worker: FakeWorker,
    /// The expiry of its lease by its own clock.
    until: Time,
    last: Option<Report>,
    waiting: Option<(u64, Time)>,
    stopping: BTreeMap<TaskKey, Run>,
}

impl Member {
    fn expire(&mut self, now: Time) {
        if now >= self.until {
            self.worker.end_all(Ending::LeaseExpired);
            self.stopping.clear();
        }
    }

    fn finish_stops(&mut self) {
        for (task, run) in std::mem::take(&mut self.stopping) {
            if self.worker.running.get(&task) == Some(&run) {
                self.worker.end(task, Ending::Stopped);
            }
        }
    }

    fn resize(&mut self, processors: u8) {
        let share = u64::from(processors);
        let (millicores, memory_mib) = (share * 1000, share * 1000);
        self.worker.capacity = Resources { millicores, memory_mib, accelerators: 0 };
    }
}

/// The steps of the jobs, by their identifiers.
fn jobs() -> [Vec<Step>; 3] {
    let lasting = StepOptions { long_running: true, disruptable: 1, ..StepOptions::default() };
    let gang = StepOptions { gang: true, ..StepOptions::default() };
    let filling = StepOptions { opportunistic: true, checkpoints: true, ..StepOptions::default() };
    let memory = Resources { millicores: 1000, memory_mib: 900, accelerators: 0 };
    [
        vec![step(3), Step { options: filling, needs: memory, after: vec![0], ..step(2) }],
        vec![Step { options: lasting, ..step(4) }],
        vec![Step { options: gang, ..step(2) }, Step { needs: memory, ..step(2) }],
    ]
}

/// The job whose tasks last.
const LASTING: JobId = JobId(1);

/// A gang of two tasks; it is at work while both of them run.
const GANG: StepKey = StepKey { job: JobId(2), occurrence: 0, step: 0 };

struct Cluster {
    world: World,
    /// Whether the gang is at work.
    gang: bool,
    members: Vec<Member>,
    jobs: [Vec<Step>; 3],
    cancelled: [bool; 3],
    crashes: u32,
}

impl Cluster {
    fn new() -> Self {
        let mut world = World::new();
        let jobs = jobs();
        for (id, steps) in (0..).zip(&jobs) {
            world.submit(id, steps.clone());
        }
        let members = (0..WORKERS).map(|at| Member {
            worker: FakeWorker::new(&format!("w{at}")),
            until: world.now,
            last: None,
            waiting: None,
            stopping: BTreeMap::new(),
        });
        Self {
            members: members.collect(),
            world,
            gang: false,
            jobs,
            cancelled: [false; 3],
            crashes: 0,
        }
    }

    fn reserved(&self, tasks: impl Iterator<Item = TaskKey>) -> Resources {
        tasks.fold(Resources::ZERO, |sum, task| {
            let steps = &self.jobs[usize::try_from(task.job.0).expect("a small number")];
            sum.saturating_add(&steps[usize::from(task.step)].reserved())
        })
    }

    fn advance(&mut self, span: Duration) {
        self.world.advance(span);
        let now = self.world.now;
        self.members.iter_mut().for_each(|member| member.expire(now));
    }

    fn send(&mut self, at: usize) {
        let report = self.members[at].worker.report();
        self.members[at].last = Some(report.clone());
        let report = Box::new(report);
        let ticket = self.world.send(|ticket| Event::Heartbeat { ticket, report });
        self.members[at].waiting = Some((ticket, self.world.now));
    }

    fn receive(&mut self, at: usize) -> Result<(), String> {
        let member = &mut self.members[at];
        let Some((ticket, sent)) = member.waiting else { return Ok(()) };
        let Some(answer) = self.world.answers.get(&ticket) else { return Ok(()) };
        member.waiting = None;
        let Answer::Heartbeat(response) = answer.clone() else { return Ok(()) };
        if self.world.now.since(sent) > ANSWER_TIMEOUT {
            return Ok(());
        }
        let report = member.last.clone().expect("a heartbeat was sent");
        self.check_fit(&report, &response)?;
        let member = &mut self.members[at];
        member.stopping.extend(response.stops.iter().copied());
        let stops = Vec::new();
        member.worker.apply(&HeartbeatResponse { stops, ..response.clone() });
        let until = response.lease.map_or(sent, |lease| sent + lease);
        member.until = member.until.max(until);
        member.expire(self.world.now);
        Ok(())
    }

    /// Fails if the runs that a heartbeat lists and the starts in its response exceed the capacity
    /// that it reports.
    fn check_fit(&self, report: &Report, response: &HeartbeatResponse) -> Result<(), String> {
        if response.starts.is_empty() {
            return Ok(());
        }
        let running = report.running.iter().map(|row| row.task);
        let starts = response.starts.iter().map(|start| start.task);
        let total = self.reserved(running.chain(starts));
        if report.capacity.fits(&total) {
            return Ok(());
        }
        Err(format!("{}: {total:?} exceeds {:?}", report.name, report.capacity))
    }

    /// Whether both tasks of the gang run. If one of them has ended, the other one ends as well.
    fn update_gang(&mut self) -> bool {
        let members = self.members.iter().flat_map(|member| member.worker.running.keys());
        let running = members.filter(|task| task.step_key() == GANG).count();
        if self.gang && running == 1 {
            self.end_gang(Ending::GangBroken);
        }
        self.gang = running == 2;
        self.gang
    }

    fn end_gang(&mut self, ending: Ending) {
        for member in &mut self.members {
            let tasks = member.worker.running.keys().filter(|task| task.step_key() == GANG);
            for task in tasks.copied().collect::<Vec<_>>() {
                member.worker.end(task, ending);
            }
        }
        self.gang = false;
    }

    fn check_single(&self) -> Result<(), String> {
        let mut running: BTreeMap<TaskKey, &str> = BTreeMap::new();
        for member in &self.members {
            for task in member.worker.running.keys() {
                if let Some(other) = running.insert(*task, &member.worker.name) {
                    return Err(format!("{task} runs on {other} and {}", member.worker.name));
                }
            }
        }
        Ok(())
    }

    fn apply(&mut self, event: CapacityEvent) -> Result<(), String> {
        match event {
            CapacityEvent::Send(at) => self.send(at),
            CapacityEvent::Receive(at) => self.receive(at)?,
            CapacityEvent::Repeat(at) => {
                if let Some(report) = self.members[at].last.clone() {
                    let report = Box::new(report);
                    self.world.send(|ticket| Event::Heartbeat { ticket, report });
                }
            }
            CapacityEvent::Resize(at, processors) => self.members[at].resize(processors),
            CapacityEvent::End(at, completed) => {
                let member = &mut self.members[at];
                let mut tasks = member.worker.running.keys();
                let task = tasks.find(|task| !member.stopping.contains_key(task)).copied();
                if let Some(task) = task {
                    let done = completed && task.step_key() != GANG;
                    let ending = if done { Ending::Done } else { Ending::Stopped };
                    member.worker.end(task, ending);
                }
            }
            CapacityEvent::FinishStops(at) => self.members[at].finish_stops(),
            CapacityEvent::Crash(at) => {
                self.crashes += 1;
                let member = &mut self.members[at];
                let capacity = member.worker.capacity;
                member.worker = FakeWorker { capacity, ..member.worker.restarted() };
                (member.last, member.waiting) = (None, None);
                member.stopping.clear();
            }
            CapacityEvent::Cancel(id) => {
                self.world.call(&path(id), Action::Cancel);
                self.cancelled[usize::try_from(id).expect("a small number")] = true;
            }
            CapacityEvent::Restart => {
                self.world.restart();
                self.members.iter_mut().for_each(|member| member.waiting = None);
                self.advance(Duration::from_millis(1));
            }
            CapacityEvent::Advance(millis) => self.advance(Duration::from_millis(millis.into())),
        }
        self.update_gang();
        self.check_single()
    }

    /// Gives all workers their whole capacity and lets the tasks end. Fails if a job doesn't
    /// complete or a task that lasts doesn't run.
    fn settle(&mut self) -> Result<(), String> {
        for round in 0..400 {
            for at in 0..WORKERS {
                self.members[at].resize(4);
                if self.members[at].waiting.is_none() {
                    self.send(at);
                }
                self.receive(at)?;
                self.members[at].finish_stops();
                let worker = &mut self.members[at].worker;
                let ending = worker.running.keys().filter(|task| task.step_key() != GANG);
                let ending = ending.filter(|task| task.job != LASTING).copied();
                for task in ending.collect::<Vec<_>>() {
                    worker.end(task, Ending::Done);
                }
            }
            if self.update_gang() {
                self.end_gang(Ending::Done);
            } else if round % 60 == 59 {
                self.end_gang(Ending::GangIncomplete);
            }
            self.advance(Duration::from_millis(50));
            self.check_single()?;
        }
        for id in [0, 2] {
            let phase = self.world.phase(id);
            let cancelled = self.cancelled[usize::try_from(id).expect("a small number")];
            // A task whose workers have crashed so often is given up.
            let given_up = phase == JobPhase::Failed && self.crashes >= MAX_CRASHES;
            if phase != JobPhase::Completed && !cancelled && !given_up {
                return Err(format!("job {id} is {phase} instead of completed"));
            }
        }
        let lasting: usize = self.members.iter().map(|member| member.worker.running.len()).sum();
        match (lasting, self.cancelled[1]) {
            (4, false) | (0, true) => Ok(()),
            (running, _) => Err(format!("{running} tasks of the job that lasts are running")),
        }
    }
}

fn run(events: Vec<CapacityEvent>) -> Result<(), String> {
    let mut cluster = Cluster::new();
    for event in events {
        cluster.apply(event)?;
    }
    cluster.settle()
}

#[test]
fn starts_fit_the_reported_capacity_and_no_task_is_lost() {
    QuickCheck::new().tests(300).quickcheck(run as fn(Vec<CapacityEvent>) -> Result<(), String>);
}
