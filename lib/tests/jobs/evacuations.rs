//! A full service whose workers keep leaving: long-running tasks that have run before get the room that
//! becomes free, judged by what really runs on the workers.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use hickorylink_lib::{
    ids::Incarnation,
    jobs::{
        controller::{Answer, Event, leader::Leader},
        model::{JobId, Step, StepKey, StepOptions, TaskKey},
        record::Ending,
        report::Report,
        response::HeartbeatResponse,
    },
    resources::Resources,
    time::Time,
};
use quickcheck::{Arbitrary, Gen};

use crate::world::{FakeWorker, World, step};

/// The interval between two steps of the simulation.
const TICK: Duration = Duration::from_millis(10);

/// The longest way of a heartbeat or of its response.
const MAX_TRANSIT_MS: u64 = 20;

/// How long after the end of a run a worker sends a heartbeat, unless one is outstanding.
const END_DELAY: Duration = Duration::from_millis(50);

/// How long a worker waits for a response before it sends another heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest time that a run takes to stop.
const MAX_STOP_MS: u64 = 900;

/// The interval between two withdrawals of workers, and the notice that the workers get.
const LEAVE_INTERVAL: Duration = Duration::from_secs(2);
const NOTICE: Duration = Duration::from_millis(3500);

/// How long after its last run a long-running task must be at work again.
const RESTART_TIME: Duration = Duration::from_secs(6);

/// How long one worker may have room for a task that has waited for that time.
const MAX_ROOM_TIME: Duration = Duration::from_secs(1);

/// The interval between two looks of an observer who counts a task that waits with room for it, on any
/// worker, at two looks in a row.
const LOOK_INTERVAL: Duration = Duration::from_secs(3);

/// The number of steps of the simulation in that time.
const LOOK_TICKS: usize = 300;

/// The size of generated values.
const GEN_SIZE: usize = 100;

const CAPACITY: Resources = Resources { millicores: 16_000, memory_mib: 64_000, accelerators: 0 };

/// What disturbs the service beside the workers that leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    /// Nothing.
    None,
    /// Others join.
    Joining,
    /// This percentage of all short runs fails, and long-running tasks fail now and then.
    Failures(u64),
}

/// A run on a worker.
#[derive(Clone, Copy, Debug)]
struct Execution {
    needs: Resources,
    /// When it ends by itself, and how.
    ends: Option<(Time, Ending)>,
    stops: Option<Time>,
}

/// A worker that keeps one heartbeat outstanding.
#[derive(Debug)]
struct Machine {
    worker: FakeWorker,
    /// The report on its way to the leader, and when it arrives.
    uplink: Option<(Time, Report)>,
    /// The ticket of the outstanding heartbeat.
    ticket: Option<u64>,
    /// The response on its way to the worker, and when it arrives.
    downlink: Option<(Time, Option<HeartbeatResponse>)>,
    sent: Time,
    next: Time,
    born: Time,
    leaves: Option<Time>,
    runs: BTreeMap<TaskKey, Execution>,
}

impl Machine {
    fn new(name: &str, now: Time) -> Self {
        Self {
            worker: FakeWorker { capacity: CAPACITY, percent: 100, ..FakeWorker::new(name) },
            uplink: None,
            ticket: None,
            downlink: None,
            sent: now,
            next: now,
            born: now,
            leaves: None,
            runs: BTreeMap::new(),
        }
    }

    fn used(&self) -> Resources {
        self.runs.values().fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.needs))
    }

    fn count(&self, key: &StepKey) -> usize {
        self.runs.range(key.task(0)..=key.task(u32::MAX)).count()
    }

    /// The number of further tasks of the step that fit.
    fn room(&self, key: &StepKey, step: &Step) -> u64 {
        if self.leaves.is_some() {
            return 0;
        }
        let (free, needs) = (self.worker.capacity.saturating_sub(&self.used()), step.reserved());
        let processors = free.millicores.checked_div(needs.millicores).unwrap_or(u64::MAX);
        let fitting = processors.min(free.memory_mib / needs.memory_mib);
        step.spread.map_or(fitting, |spread| {
            fitting.min(u64::from(spread).saturating_sub(self.count(key) as u64))
        })
    }

    fn end_runs(&mut self, now: Time) {
        let ended = self.runs.iter().filter_map(|(task, run)| match (run.stops, run.ends) {
            (Some(at), _) if at <= now => Some((*task, Ending::Stopped)),
            (_, Some((at, ending))) if at <= now => Some((*task, ending)),
            _ => None,
        });
        let ended: Vec<_> = ended.collect();
        for (task, ending) in ended {
            self.runs.remove(&task);
            self.worker.end(task, ending);
            self.next = self.next.min(now + END_DELAY);
        }
    }
}

/// What was seen of a long-running step.
#[derive(Debug)]
struct Watched {
    key: StepKey,
    step: Step,
    /// When each task ran last; `None` if it hasn't run.
    ran: Vec<Option<Time>>,
    /// Since when each worker has had room for a task.
    room: BTreeMap<String, Time>,
    /// The number of its tasks that fitted on all workers together at each step of the simulation in the
    /// last `LOOK_INTERVAL`; the oldest comes first.
    fitting: VecDeque<u64>,
}

/// What an observer counts.
#[derive(Clone, Debug, Default)]
struct Counts {
    /// The steps of the simulation.
    ticks: usize,
    /// Those at which some worker had room for a task that waited for `RESTART_TIME`.
    roomy: usize,
    /// Those at which an observer who looks now and has looked `LOOK_INTERVAL` before counts a task: it
    /// waited for `RESTART_TIME` at the first look, and there was room for it at both, on any worker.
    missed: usize,
    /// The same if the observer requires room for two such tasks.
    missed_twice: usize,
    /// The most tasks that such an observer counts.
    most: usize,
    /// The longest time for which one worker had room for a task that waited for `RESTART_TIME`.
    longest: Duration,
    /// The most tasks that waited for it.
    waiting: usize,
    /// `roomy` by worker, and by what keeps the leader from using the room.
    causes: BTreeMap<Cause, usize>,
}

/// Why the leader starts no waiting task on a worker that has room for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// The worker hasn't been heard, or only once.
    Unconfirmed,
    /// A run has ended there, and its heartbeat has yet to say so.
    UnreportedEnd,
    /// A start is on its way.
    StartUnderway,
    /// The worker is avoided.
    Avoided,
    /// The worker is reserved for a task that may crash it.
    Probation,
    /// None of these.
    Other,
}

impl Cause {
    fn of(leader: &Leader, machine: &Machine, now: Time, needs: &Resources) -> Self {
        let number = leader.fleet.find(&machine.worker.name.as_str().into());
        let worker = number.and_then(|number| leader.fleet.workers.get(&number));
        let Some(worker) = worker.filter(|worker| worker.confirmed) else {
            return Self::Unconfirmed;
        };
        let ended = |task| machine.worker.ended.iter().any(|ended| ended.task == task);
        let mut absent = worker.runs.keys().filter(|task| !machine.runs.contains_key(task));
        match () {
            () if worker.free().fits(needs) && !worker.health.is_healthy(now) => Self::Avoided,
            () if worker.free().fits(needs) && worker.probation.is_some() => Self::Probation,
            () if worker.free().fits(needs) => Self::Other,
            () if absent.clone().any(|task| ended(*task)) => Self::UnreportedEnd,
            () if absent.next().is_some() => Self::StartUnderway,
            () => Self::Other,
        }
    }
}

struct Simulation {
    world: World,
    g: Gen,
    disturbance: Disturbance,
    machines: Vec<Machine>,
    born: usize,
    watched: Vec<Watched>,
    durations: BTreeMap<JobId, Duration>,
    next_job: u64,
    next_leave: Time,
    next_short: Time,
    counts: Counts,
}

impl Simulation {
    fn new(seed: u64, disturbance: Disturbance) -> Self {
        let world = World::new();
        let now = world.now;
        let mut simulation = Self {
            world,
            g: Gen::from_size_and_seed(GEN_SIZE, seed),
            disturbance,
            machines: Vec::new(),
            born: 0,
            watched: Vec::new(),
            durations: BTreeMap::new(),
            next_job: 0,
            next_leave: now + LEAVE_INTERVAL,
            next_short: now,
            counts: Counts::default(),
        };
        (0..WORKERS).for_each(|_| simulation.join());
        (0..STEPS).for_each(|_| simulation.submit_long());
        simulation
    }

    /// A number in the range.
    fn pick(&mut self, range: std::ops::Range<u64>) -> u64 {
        range.start + u64::arbitrary(&mut self.g) % (range.end - range.start)
    }

    fn join(&mut self) {
        self.born += 1;
        let mut machine = Machine::new(&format!("w{}", self.born), self.world.now);
        let rack = self.born % 3;
        machine.worker.labels = vec!["a".to_owned(), format!("r{rack}")];
        machine.worker.address =
            ([10, 2, (self.born / 250) as u8, (self.born % 250) as u8], 80).into();
        self.machines.push(machine);
    }

    fn submit_long(&mut self) {
        self.next_job += 1;
        let needs = Resources {
            millicores: self.pick(2000..4701),
            memory_mib: self.pick(3300..10_601),
            accelerators: 0,
        };
        let options = StepOptions { long_running: true, disruptable: 1, ..StepOptions::default() };
        let spread = (self.pick(0..4) == 0).then_some(1);
        let step = Step { needs, options, spread, ..step(self.pick(4..12) as u32) };
        let job = self.world.submit(self.next_job, vec![step.clone()]);
        self.watched.push(Watched {
            key: StepKey { job, occurrence: 0, step: 0 },
            ran: vec![None; step.count as usize],
            step,
            room: BTreeMap::new(),
            fitting: VecDeque::new(),
        });
    }

    fn submit_short(&mut self) {
        self.next_job += 1;
        let needs = Resources {
            millicores: self.pick(300..4000),
            memory_mib: self.pick(300..3000),
            accelerators: 0,
        };
        let duration = self.pick(1000..3000);
        let step = Step { needs, estimate: duration, ..step(self.pick(1..5) as u32) };
        let job = self.world.submit(self.next_job, vec![step]);
        self.durations.insert(job, Duration::from_millis(duration));
    }

    fn transit(&mut self) -> Time {
        let millis = self.pick(2..MAX_TRANSIT_MS);
        self.world.now + Duration::from_millis(millis)
    }

    /// When a run that begins now ends by itself, and how.
    fn fate(&mut self, task: &TaskKey) -> Option<(Time, Ending)> {
        let now = self.world.now;
        let Disturbance::Failures(percent) = self.disturbance else {
            return self.durations.get(&task.job).map(|duration| (now + *duration, Ending::Done));
        };
        let fails = self.pick(0..100) < percent;
        let Some(duration) = self.durations.get(&task.job) else {
            let after = Duration::from_millis(self.pick(1000..60_000));
            return (self.pick(0..4) == 0).then_some((now + after, Ending::Failed));
        };
        Some((now + *duration, if fails { Ending::Failed } else { Ending::Done }))
    }

    fn exchange(&mut self, at: usize) {
        let now = self.world.now;
        if self.machines[at].uplink.as_ref().is_some_and(|(arrives, _)| *arrives <= now)
            && let Some((_, report)) = self.machines[at].uplink.take()
        {
            let report = Box::new(report);
            let ticket = self.world.send(|ticket| Event::Heartbeat { ticket, report });
            self.machines[at].ticket = Some(ticket);
        }
        if let Some(ticket) = self.machines[at].ticket
            && let Some(answer) = self.world.answers.remove(&ticket)
        {
            let response = match answer {
                Answer::Heartbeat(response) => Some(response),
                _ => None,
            };
            let arrives = self.transit();
            let machine = &mut self.machines[at];
            (machine.ticket, machine.downlink) = (None, Some((arrives, response)));
        }
        if self.machines[at].downlink.as_ref().is_some_and(|(arrives, _)| *arrives <= now)
            && let Some((_, response)) = self.machines[at].downlink.take()
        {
            self.receive(at, response);
        }
        let machine = &mut self.machines[at];
        let silent = now.since(machine.sent) > RESPONSE_TIMEOUT;
        let idle =
            machine.uplink.is_none() && machine.ticket.is_none() && machine.downlink.is_none();
        if (idle && now >= machine.next) || silent {
            machine.worker.clock = Some(now.since(machine.born));
            machine.worker.leaving =
                machine.leaves.map(|leaves| now.until(leaves).as_millis() as u64);
            let report = machine.worker.report();
            (machine.ticket, machine.downlink, machine.sent) = (None, None, now);
            machine.next = now + RESPONSE_TIMEOUT;
            let arrives = self.transit();
            self.machines[at].uplink = Some((arrives, report));
        }
    }

    fn receive(&mut self, at: usize, response: Option<HeartbeatResponse>) {
        let now = self.world.now;
        let Some(mut response) = response else {
            self.machines[at].next = now + RESPONSE_TIMEOUT;
            return;
        };
        for (task, run) in std::mem::take(&mut response.stops) {
            let stops = now + Duration::from_millis(self.pick(50..MAX_STOP_MS));
            let machine = &mut self.machines[at];
            if machine.worker.running.get(&task) == Some(&run)
                && let Some(execution) = machine.runs.get_mut(&task)
            {
                execution.stops.get_or_insert(stops);
            }
        }
        for start in &response.starts {
            let ends = self.fate(&start.task);
            let needs = start.spec.steps[usize::from(start.task.step)].reserved();
            let execution = Execution { needs, ends, stops: None };
            let older = self.machines[at].runs.insert(start.task, execution);
            assert!(older.is_none(), "a task starts beside its older run");
        }
        let machine = &mut self.machines[at];
        machine.worker.apply(&response);
        let unreported = !machine.worker.ended.is_empty();
        let after = if unreported { END_DELAY } else { response.next_heartbeat };
        machine.next = now + after.min(response.next_heartbeat);
        assert!(
            machine.worker.capacity.fits(&machine.used()),
            "more starts than the worker has room"
        );
    }

    fn leave(&mut self) {
        let now = self.world.now;
        let leaving = self.machines.iter().filter(|machine| machine.leaves.is_some()).count();
        for _ in 0..2 {
            let at = self.pick(0..self.machines.len() as u64) as usize;
            let machine = &mut self.machines[at];
            if machine.leaves.is_none() && leaving < WORKERS / 4 {
                machine.leaves = Some(now + NOTICE);
                machine.next = now;
            }
        }
        if self.disturbance == Disturbance::Joining || self.machines.len() < WORKERS * 3 / 4 {
            self.join();
        }
    }

    fn remove_gone(&mut self) {
        let now = self.world.now;
        let gone = |machine: &Machine| machine.leaves.is_some_and(|leaves| leaves <= now);
        let (left, staying) = self.machines.drain(..).partition(gone);
        self.machines = staying;
        let left: Vec<Machine> = left;
        for machine in left {
            let ended = machine.worker.ended.clone();
            let (name, incarnation) = (
                machine.worker.name.as_str().into(),
                Some(Incarnation(machine.worker.incarnation)),
            );
            self.world.send(|ticket| Event::Leave { ticket, name, incarnation, ended });
        }
    }

    fn tick(&mut self) -> Result<(), String> {
        self.world.advance(TICK);
        let now = self.world.now;
        if now >= self.next_short {
            self.next_short = now + Duration::from_millis(self.pick(100..400));
            self.submit_short();
        }
        if now >= self.next_leave {
            self.next_leave = now + LEAVE_INTERVAL;
            self.leave();
        }
        self.remove_gone();
        for at in 0..self.machines.len() {
            self.machines[at].end_runs(now);
            self.exchange(at);
        }
        self.watch()
    }

    fn watch(&mut self) -> Result<(), String> {
        let now = self.world.now;
        let leader = self.world.controller.leader().ok_or("the controller doesn't lead")?;
        let running = self.machines.iter().flat_map(|machine| machine.runs.keys());
        let running: BTreeSet<TaskKey> = running.copied().collect();
        let counts = &mut self.counts;
        let mut causes: BTreeMap<&str, Cause> = BTreeMap::new();
        let (mut waiting, mut seen) = (0, Seen::default());
        for watched in &mut self.watched {
            watched.note_runs(now, &running);
            let overdue = watched.overdue(now, RESTART_TIME);
            waiting += overdue;
            let rooms = watched.note_rooms(now, &self.machines);
            for (machine, _) in rooms.iter().filter(|_| overdue > 0) {
                let name = machine.worker.name.as_str();
                let cause = Cause::of(leader, machine, now, &watched.step.needs);
                let span = now.since(watched.room[name]);
                counts.longest = counts.longest.max(span);
                if span > MAX_ROOM_TIME {
                    let key = watched.key;
                    return Err(format!(
                        "{overdue} tasks of {key} wait with room on {name}: {cause:?}"
                    ));
                }
                causes.insert(name, cause);
            }
            let room = rooms.iter().map(|(_, room)| room).sum();
            watched.look(now, room, &mut seen);
        }
        counts.ticks += 1;
        counts.waiting = counts.waiting.max(waiting);
        counts.roomy += usize::from(!causes.is_empty());
        counts.missed += usize::from(seen.once > 0);
        counts.missed_twice += usize::from(seen.twice > 0);
        counts.most = counts.most.max(seen.once);
        for cause in causes.into_values() {
            *counts.causes.entry(cause).or_default() += 1;
        }
        Ok(())
    }
}

/// The tasks that an observer counts at one look.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Those that there was room for at this look and at the one before.
    once: usize,
    /// Those that there was room for twice over.
    twice: usize,
}

impl Watched {
    fn note_runs(&mut self, now: Time, running: &BTreeSet<TaskKey>) {
        for (index, ran) in (0..).zip(&mut self.ran) {
            if running.contains(&self.key.task(index)) {
                *ran = Some(now);
            }
        }
    }

    /// The number of tasks that have run, but not for this time.
    fn overdue(&self, now: Time, span: Duration) -> usize {
        self.ran.iter().flatten().filter(|ran| now.since(**ran) > span).count()
    }

    /// The workers with room for a task, and for how many.
    fn note_rooms<'a>(&mut self, now: Time, machines: &'a [Machine]) -> Vec<(&'a Machine, u64)> {
        let rooms = machines.iter().map(|machine| (machine, machine.room(&self.key, &self.step)));
        let rooms: Vec<_> = rooms.filter(|(_, room)| *room > 0).collect();
        let names = rooms.iter().map(|(machine, _)| machine.worker.name.clone());
        let since = |name: &String| self.room.get(name).copied().unwrap_or(now);
        self.room = names.map(|name| (name.clone(), since(&name))).collect();
        rooms
    }

    /// Adds the tasks that an observer counts who looks now.
    fn look(&mut self, now: Time, room: u64, seen: &mut Seen) {
        self.fitting.push_back(room);
        if self.fitting.len() <= LOOK_TICKS {
            return;
        }
        let least = self.fitting.pop_front().unwrap_or(0).min(room);
        let waiting = self.overdue(now, RESTART_TIME + LOOK_INTERVAL);
        seen.once += if least > 0 { waiting } else { 0 };
        seen.twice += if least > 1 { waiting } else { 0 };
    }
}

/// The number of workers at first, and of long-running steps.
const WORKERS: usize = 30;
const STEPS: usize = 20;

/// How long the service is simulated.
const SPAN: Duration = Duration::from_secs(40);

/// The number of simulations in which an observer may count a task once, on average.
const SIMULATIONS_PER_MISS: usize = 20;

struct Case {
    seed: u64,
    disturbance: Disturbance,
}

/// Simulates a case. Fails if one worker has room for too long.
fn simulate(case: &Case) -> Counts {
    let mut simulation = Simulation::new(case.seed, case.disturbance);
    let end = simulation.world.now + SPAN;
    while simulation.world.now < end {
        if let Err(error) = simulation.tick() {
            panic!("seed {}, {:?}: {error}", case.seed, case.disturbance);
        }
    }
    println!("seed {}, {:?}: {:?}", case.seed, case.disturbance, simulation.counts);
    simulation.counts
}

/// Guards against long-running tasks that wait for seconds although one worker has room for them all
/// the time.
#[test]
fn room_on_a_worker_goes_to_the_long_running_tasks_that_wait() {
    let cases = [
        Case { seed: 1, disturbance: Disturbance::None },
        Case { seed: 2, disturbance: Disturbance::Joining },
        Case { seed: 3, disturbance: Disturbance::Failures(30) },
    ];
    for case in cases {
        let counts = simulate(&case);
        assert!(counts.waiting > 0, "seed {}: no task waits", case.seed);
    }
}

/// Guards against long-running tasks that seem to wait beside room for them, since each time some worker
/// has room that the leader doesn't know of yet.
#[test]
fn long_running_tasks_that_wait_are_rarely_seen_beside_room() {
    let seeds = [1, 2, 3];
    let cases = seeds.map(|seed| Case { seed, disturbance: Disturbance::Failures(3) });
    let counts = cases.map(|case| simulate(&case));
    let missed: usize = counts.iter().map(|counts| counts.missed).sum();
    assert!(
        missed * SIMULATIONS_PER_MISS <= LOOK_TICKS * seeds.len(),
        "{missed} of {LOOK_TICKS} phases: {counts:#?}"
    );
}
