//! Long-running tasks are at work whenever there is room for them, under random disturbances of the
//! workers, the configuration and the controller.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::Incarnation,
    jobs::{
        call::{Action, OperatorRequest},
        controller::{Answer, Event},
        model::{JobId, Label, Run, Step, StepOptions, TaskKey},
        record::Ending,
        report::Report,
    },
    resources::Resources,
    time::Time,
};
use quickcheck::{Arbitrary, Gen};

use crate::world::{FakeWorker, World, job_config, path, step, task};

/// The interval between two steps of the simulation.
const TICK: Duration = Duration::from_millis(20);

/// How long a worker waits for a response before it sends another heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The heartbeat interval of a worker that wasn't told when to send the next one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// How long after its last run a long-running task must be at work again.
const RESTART_TIME: Duration = Duration::from_secs(6);

/// How long a task must be missed to count as lost.
const MISSED_TIME: Duration = Duration::from_secs(3);

/// How long after the last disturbance that time begins.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// How long a member of a gang waits for the others.
const GANG_WAIT: Duration = Duration::from_secs(3);

/// How long a worker that is gone stays away.
const GONE_TIME: Duration = Duration::from_secs(30);

/// The number of workers.
const WORKERS: usize = 6;

/// The size of generated values.
const GEN_SIZE: usize = 100;

/// The leases of a deployment, and their margin.
const LEASE: Duration = Duration::from_millis(6800);
const MARGIN: Duration = Duration::from_millis(320);

/// The labels that jobs require; each is that of two workers.
const LABELS: [&str; 3] = ["a", "b", "c"];

/// A disturbance of the simulation.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The worker crashes silently and is back after this time, in milliseconds.
    Crash(usize, u16),
    /// The worker is partitioned from the controller for this time, in milliseconds.
    Cut(usize, u16),
    /// The worker is partitioned from the controller for this time, in milliseconds, and crashes
    /// behind the partition.
    Gone(usize, u16),
    /// The tail latencies on all workers with its label are several times as high for this time, in
    /// milliseconds.
    Slow(usize, u16),
    /// The runs on all workers with its label fail for this time, in milliseconds.
    Grey(usize, u16),
    /// Responses to the worker are lost for this time, in milliseconds.
    Lossy(usize, u16),
    /// The worker drains, leaves after 2 s and is replaced after this time, in milliseconds.
    Leave(usize, u16),
    /// The controller restarts from its log.
    Restart,
    /// The operator changes the queue's configuration.
    Configure,
    /// The operator drops the queue for this time, in milliseconds.
    Drop(u16),
    /// A customer submits a long-running job.
    Submit(Shape),
    /// A customer submits short tasks.
    Burst(u8),
    /// A customer cancels the oldest long-running job.
    Cancel,
}

/// The options of a long-running job.
#[derive(Clone, Copy, Debug)]
struct Shape {
    count: u8,
    millicores: u16,
    gang: bool,
    spread: bool,
    label: Option<u8>,
    serves: bool,
    opportunistic: bool,
}

impl Arbitrary for Shape {
    fn arbitrary(g: &mut Gen) -> Self {
        let chance = |g: &mut Gen, one_in: u8| u8::arbitrary(g) % one_in == 0;
        Self {
            count: 1 + u8::arbitrary(g) % 8,
            millicores: 100 + u16::arbitrary(g) % 800,
            gang: chance(g, 5),
            spread: chance(g, 3),
            label: chance(g, 3).then(|| u8::arbitrary(g) % 3),
            serves: chance(g, 2),
            opportunistic: chance(g, 6),
        }
    }
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let worker = usize::arbitrary(g) % WORKERS;
        let span = 200 + u16::arbitrary(g) % 9000;
        match u8::arbitrary(g) % 22 {
            16 => Self::Lossy(worker, span),
            17 => Self::Leave(worker, span),
            19..=21 => Self::Gone(worker, span),
            18 => Self::Burst(u8::arbitrary(g) % 40),
            0..=2 => Self::Crash(worker, span),
            3 | 4 => Self::Cut(worker, span),
            5 | 6 => Self::Slow(worker, span),
            7 => Self::Grey(worker, span),
            8 => Self::Restart,
            9 => Self::Configure,
            10 => Self::Drop(span),
            11..=13 => Self::Submit(Shape::arbitrary(g)),
            14 => Self::Burst(u8::arbitrary(g) % 20),
            _ => Self::Cancel,
        }
    }
}

/// A worker that keeps one heartbeat outstanding.
struct Machine {
    worker: FakeWorker,
    ticket: Option<(u64, Time)>,
    next: Time,
    lease_until: Time,
    down_until: Time,
    cut_until: Time,
    slow_until: Time,
    grey_until: Time,
    lossy_until: Time,
    leaves: Option<(Time, u16)>,
    /// When it crashes for good.
    gone_at: Option<Time>,
    /// When its process started.
    born: Time,
    /// Heartbeats that are held up by a partition, and when they arrive.
    held_up: Vec<(Time, Report)>,
    /// When each run began.
    since: BTreeMap<(TaskKey, Run), Time>,
}

impl Machine {
    fn new(at: usize, now: Time) -> Self {
        let mut worker = FakeWorker::new(&format!("w{at}"));
        worker.labels = vec![LABELS[at % LABELS.len()].to_owned(), format!("r{}", at / 3)];
        Self {
            worker,
            ticket: None,
            next: now,
            lease_until: now,
            down_until: now,
            cut_until: now,
            slow_until: now,
            grey_until: now,
            lossy_until: now,
            leaves: None,
            gone_at: None,
            born: now,
            held_up: Vec::new(),
            since: BTreeMap::new(),
        }
    }

    fn is_up(&self, now: Time) -> bool {
        now >= self.down_until
    }

    fn crash(&mut self, until: Time) {
        let labels = self.worker.labels.clone();
        self.worker = FakeWorker { labels, ..self.worker.restarted() };
        (self.ticket, self.down_until, self.next) = (None, until, until);
        self.born = until;
        self.since.clear();
    }

    /// Ends runs whose time has come or whose lease has expired.
    fn run(&mut self, now: Time, durations: &BTreeMap<JobId, Duration>) {
        if now >= self.lease_until {
            self.worker.end_all(Ending::LeaseExpired);
        }
        let running: Vec<_> = self.worker.running.iter().map(|(task, run)| (*task, *run)).collect();
        for (task, run) in running {
            let age = now.since(*self.since.entry((task, run)).or_insert(now));
            let grey = now < self.grey_until && age > Duration::from_millis(100);
            let over = durations.get(&task.job).is_some_and(|duration| age >= *duration);
            if grey || over {
                self.worker.end(task, if grey { Ending::Failed } else { Ending::Done });
                self.next = self.next.min(now + Duration::from_millis(50));
            }
        }
        let tail = if now < self.slow_until { 900 } else { 60 };
        self.worker.gauges = self.worker.running.keys().map(|task| (*task, tail)).collect();
    }

    fn exchange(&mut self, world: &mut World) {
        let now = world.now;
        if now < self.cut_until {
            if now >= self.next {
                // It is sent again at growing intervals, and arrives with the first one after the
                // partition, also if the worker is gone by then.
                let arrives = self.cut_until + self.cut_until.since(now);
                let report = self.report(now);
                self.held_up.push((arrives, report));
                self.next = now + RESPONSE_TIMEOUT;
            }
            return;
        }
        if let Some((at, span)) = self.leaves
            && at <= now
        {
            self.leaves = None;
            let (name, incarnation) =
                (self.worker.name.as_str().into(), Some(Incarnation(self.worker.incarnation)));
            world.send(|ticket| Event::Leave { ticket, name, incarnation, ended: Vec::new() });
            return self.crash(now + Duration::from_millis(span.into()));
        }
        if let Some((ticket, sent)) = self.ticket {
            let answer = world.answers.get(&ticket).cloned();
            match answer {
                Some(_) if now < self.lossy_until => {
                    self.ticket = None;
                    self.next = now + RESPONSE_TIMEOUT;
                }
                Some(Answer::Heartbeat(response)) => {
                    self.worker.apply(&response);
                    let until = response.lease.map_or(sent, |lease| sent + lease);
                    self.lease_until = self.lease_until.max(until);
                    self.next = now + response.next_heartbeat;
                    self.ticket = None;
                }
                Some(_) => {
                    self.next = now + HEARTBEAT_INTERVAL;
                    self.ticket = None;
                }
                None if now.since(sent) > RESPONSE_TIMEOUT => self.ticket = None,
                None => return,
            }
        }
        if self.ticket.is_none() && now >= self.next {
            let report = Box::new(self.report(now));
            let ticket = world.send(|ticket| Event::Heartbeat { ticket, report });
            self.ticket = Some((ticket, now));
        }
    }

    fn report(&mut self, now: Time) -> Report {
        self.worker.clock = Some(now.since(self.born));
        self.worker.report()
    }

    /// Delivers the heartbeats that were held up.
    fn deliver(&mut self, world: &mut World) {
        let now = world.now;
        let (due, later) = self.held_up.drain(..).partition(|(arrives, _)| *arrives <= now);
        self.held_up = later;
        for (_, report) in due {
            let report = Box::new(report);
            world.send(|ticket| Event::Heartbeat { ticket, report });
        }
    }
}

/// A long-running job and when each of its tasks was at work last.
struct Standing {
    id: JobId,
    step: Step,
    at_work: Vec<Time>,
    /// Since when there has been room for all missing tasks twice over.
    room_since: Option<Time>,
    /// The latest run of a gang in which all members were present.
    together: Option<Run>,
    /// When the first member of a run of a gang was present.
    alone: BTreeMap<Run, Time>,
}

struct Simulation {
    world: World,
    machines: Vec<Machine>,
    jobs: Vec<Standing>,
    durations: BTreeMap<JobId, Duration>,
    disturbed: Time,
    dropped_until: Option<Time>,
    version: u64,
    next_job: u64,
}

impl Simulation {
    fn new() -> Self {
        let world = World::with_lease(LEASE, MARGIN);
        let now = world.now;
        Self {
            machines: (0..WORKERS).map(|at| Machine::new(at, now)).collect(),
            jobs: Vec::new(),
            durations: BTreeMap::new(),
            disturbed: now,
            dropped_until: None,
            version: 1,
            next_job: 0,
            world,
        }
    }

    fn configure(&mut self, with_queue: bool) {
        self.version += 1;
        let mut config = job_config(self.version);
        config.queues[0].priority = u32::try_from(self.version % 3).unwrap_or(0);
        if !with_queue {
            config.queues[0].name = "other".into();
        }
        self.world.operator_request(OperatorRequest::Configure(Box::new(config)));
    }

    fn apply(&mut self, fault: Fault) {
        let now = self.world.now;
        let until = |millis: u16| now + Duration::from_millis(millis.into());
        match fault {
            Fault::Crash(at, span) => {
                self.machines[at].crash(until(span));
                self.disturbed = self.disturbed.max(now);
            }
            Fault::Cut(at, span) => {
                self.machines[at].cut_until = until(span);
                self.disturbed = self.disturbed.max(until(span));
            }
            Fault::Gone(at, span) => {
                self.machines[at].cut_until = until(span);
                self.machines[at].gone_at = Some(now + Duration::from_millis(span.into()) / 2);
                self.disturbed = self.disturbed.max(until(span));
            }
            Fault::Slow(at, span) => {
                for machine in
                    self.machines.iter_mut().skip(at % LABELS.len()).step_by(LABELS.len())
                {
                    machine.slow_until = until(span);
                }
                self.disturbed = self.disturbed.max(until(span));
            }
            Fault::Grey(at, span) => {
                for machine in
                    self.machines.iter_mut().skip(at % LABELS.len()).step_by(LABELS.len())
                {
                    machine.grey_until = until(span);
                }
                self.disturbed = self.disturbed.max(until(span));
            }
            Fault::Lossy(at, span) => {
                self.machines[at].lossy_until = until(span);
                self.disturbed = self.disturbed.max(until(span));
            }
            Fault::Leave(at, span) => {
                let machine = &mut self.machines[at];
                machine.leaves = Some((now + Duration::from_secs(2), span));
                machine.worker.leaving = Some(2000);
                machine.next = now;
                self.disturbed = self.disturbed.max(now + Duration::from_secs(2));
            }
            Fault::Restart => {
                self.world.restart();
                // The core is stable again 3 s after the loss of its leader.
                self.disturbed = self.disturbed.max(now + Duration::from_secs(3));
            }
            Fault::Configure => self.configure(self.dropped_until.is_none()),
            Fault::Drop(span) => {
                self.configure(false);
                self.dropped_until = Some(until(span));
                self.disturbed = self.disturbed.max(until(span));
            }
            Fault::Submit(shape) if self.dropped_until.is_none() => self.submit(shape),
            Fault::Burst(count) if self.dropped_until.is_none() && count > 0 => {
                self.next_job += 1;
                let job = self.world.submit(self.next_job, vec![step(count.into())]);
                self.durations.insert(job, Duration::from_millis(800));
            }
            Fault::Cancel => {
                if self.dropped_until.is_none() && !self.jobs.is_empty() {
                    let job = self.jobs.remove(0);
                    self.world.call(&path(job.id.0), Action::Cancel);
                }
            }
            Fault::Submit(_) | Fault::Burst(_) => {}
        }
    }

    fn submit(&mut self, shape: Shape) {
        self.next_job += 1;
        let options = StepOptions {
            gang: shape.gang,
            long_running: true,
            opportunistic: shape.opportunistic,
            disruptable: 1,
            ..StepOptions::default()
        };
        let needs = Resources { millicores: shape.millicores.into(), ..step(1).needs };
        let step = Step {
            needs,
            options,
            label: shape.label.map(|at| Label::from(LABELS[usize::from(at)])),
            spread: shape.spread.then_some(2),
            image: shape.serves.then(|| "desk".into()),
            target_latency: shape.serves.then_some(150),
            ..step(shape.count.into())
        };
        let id = self.world.submit(self.next_job, vec![step.clone()]);
        let at_work = vec![self.world.now; usize::from(shape.count)];
        self.jobs.push(Standing {
            id,
            step,
            at_work,
            room_since: None,
            together: None,
            alone: BTreeMap::new(),
        });
    }

    fn tick(&mut self) -> Result<(), String> {
        self.world.advance(TICK);
        let now = self.world.now;
        if self.dropped_until.is_some_and(|until| until <= now) {
            self.dropped_until = None;
            self.configure(true);
        }
        for machine in &mut self.machines {
            machine.deliver(&mut self.world);
            if machine.gone_at.is_some_and(|at| at <= now) {
                machine.gone_at = None;
                machine.crash(now + GONE_TIME);
            }
            if machine.is_up(now) {
                machine.run(now, &self.durations);
                machine.exchange(&mut self.world);
            } else if now + TICK >= machine.down_until {
                self.disturbed = self.disturbed.max(now);
            }
        }
        self.break_gangs(now);
        let (disturbed, machines) = (self.disturbed, &self.machines);
        self.jobs.iter_mut().try_for_each(|job| job.check(now, disturbed, machines))
    }
}

impl Simulation {
    /// Ends members of gangs that have lost another one, or that have waited too long for the
    /// others.
    fn break_gangs(&mut self, now: Time) {
        for job in self.jobs.iter_mut().filter(|job| job.step.options.gang) {
            let keys: Vec<_> = (0..job.step.count).map(|index| task(job.id, 0, index)).collect();
            let mut runs: BTreeMap<Run, u32> = BTreeMap::new();
            for machine in &self.machines {
                let members = machine.worker.running.iter();
                for (_, run) in members.filter(|(task, _)| keys.contains(task)) {
                    *runs.entry(*run).or_default() += 1;
                }
            }
            for (run, members) in runs {
                if members == job.step.count {
                    job.together = Some(run);
                    continue;
                }
                let since = *job.alone.entry(run).or_insert(now);
                let broken = job.together == Some(run);
                if !broken && now.since(since) < GANG_WAIT {
                    continue;
                }
                let ending = if broken { Ending::GangBroken } else { Ending::GangIncomplete };
                for machine in &mut self.machines {
                    let members = machine.worker.running.iter();
                    let members =
                        members.filter(|(task, other)| keys.contains(task) && **other == run);
                    let members: Vec<_> = members.map(|(task, _)| *task).collect();
                    for member in members {
                        machine.worker.end(member, ending);
                        machine.next = machine.next.min(now + Duration::from_millis(50));
                    }
                }
            }
        }
    }
}

impl Standing {
    fn check(&mut self, now: Time, disturbed: Time, machines: &[Machine]) -> Result<(), String> {
        for (index, at_work) in (0..).zip(&mut self.at_work) {
            let key = task(self.id, 0, index);
            if machines.iter().any(|machine| machine.worker.running.contains_key(&key)) {
                *at_work = now;
            }
        }
        let needed = if self.step.options.gang { self.step.count * 2 } else { 2 };
        let room: u64 = machines.iter().map(|machine| self.room(machine, now)).sum();
        if room < u64::from(needed) {
            self.room_since = None;
            return Ok(());
        }
        let room_since = *self.room_since.get_or_insert(now);
        for (index, at_work) in self.at_work.iter().enumerate() {
            let begin = (*at_work + RESTART_TIME).max(disturbed + SETTLE_TIME).max(room_since);
            if now.since(begin) > MISSED_TIME {
                let missed = now.since(*at_work);
                return Err(format!("task {index} of job {} is away for {missed:?}", self.id.0));
            }
        }
        Ok(())
    }

    /// The number of further tasks that fit on a machine.
    fn room(&self, machine: &Machine, now: Time) -> u64 {
        if machine.worker.leaving.is_some() {
            return 0;
        }
        let label = self.step.label.as_ref();
        let labels = &machine.worker.labels;
        if !machine.is_up(now) || label.is_some_and(|label| !labels.contains(&label.to_string())) {
            return 0;
        }
        let (mut used, mut own) = (0, 0);
        for task in machine.worker.running.keys() {
            used += machine.worker.loads.get(task).copied().unwrap_or(1000);
            own += u64::from(task.job == self.id);
        }
        let free = 4000_u64.saturating_sub(used) / self.step.needs.millicores;
        self.step.spread.map_or(free, |spread| free.min(u64::from(spread).saturating_sub(own)))
    }
}

/// A schedule: faults, each with the pause after it in milliseconds.
fn run(schedule: &[(Fault, u16)]) -> Result<(), String> {
    let mut simulation = Simulation::new();
    for (fault, pause) in schedule {
        simulation.apply(*fault);
        let end = simulation.world.now + Duration::from_millis((*pause).into());
        while simulation.world.now < end {
            simulation.tick()?;
        }
    }
    let end = simulation.world.now + Duration::from_secs(30);
    while simulation.world.now < end {
        simulation.tick()?;
    }
    Ok(())
}

/// The number of random schedules.
const SCHEDULES: u64 = 40;

/// Guards against long-running tasks that wait although a worker has room for them.
#[test]
fn long_running_tasks_are_at_work_whenever_there_is_room() {
    for seed in 0..SCHEDULES {
        let mut g = Gen::from_size_and_seed(GEN_SIZE, seed);
        let faults = 3 + usize::arbitrary(&mut g) % 12;
        let pause = |g: &mut Gen| u16::arbitrary(g) % 6000;
        let jobs: Vec<_> = (0..4).map(|_| (Fault::Submit(Shape::arbitrary(&mut g)), 0)).collect();
        let faults = (0..faults).map(|_| (Fault::arbitrary(&mut g), pause(&mut g)));
        let schedule: Vec<(Fault, u16)> = jobs.into_iter().chain(faults).collect();
        assert_eq!(run(&schedule), Ok(()), "seed {seed}: {schedule:?}");
    }
}
