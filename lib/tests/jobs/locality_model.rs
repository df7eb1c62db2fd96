//! A deterministic model of workers that execute tasks, which take longer away from the rack of their data.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    jobs::{
        controller::{Answer, Effect, Event, LogEvent},
        model::{JobId, Label, Step, TaskKey},
        record::Ending,
        report::Report,
    },
    resources::Resources,
    time::Time,
};

use crate::world::{FakeWorker, World, step};

/// The step of the model's clock.
pub(crate) const TICK: Duration = Duration::from_millis(20);

/// The pause of a worker between a response and its next heartbeat.
const PAUSE: Duration = Duration::from_millis(100);

/// A worker of the model.
pub(crate) struct ModelWorker {
    pub(crate) fake: FakeWorker,
    /// Whether it has stopped without a word.
    pub(crate) dead: bool,
    ticket: Option<u64>,
    next: Time,
    /// When its runs began and will end.
    runs: BTreeMap<TaskKey, (Time, Time)>,
}

impl ModelWorker {
    fn report(&mut self, now: Time, progress: bool) -> Report {
        let mut report = self.fake.report();
        for row in &mut report.running {
            let Some((begin, end)) = self.runs.get(&row.task) else { continue };
            let (elapsed, whole) = (now.since(*begin).as_millis(), end.since(*begin).as_millis());
            let percent = if progress { elapsed * 100 / whole.max(1) } else { elapsed / 100 % 4 };
            row.percent = u8::try_from(percent.min(99)).expect("it is small");
        }
        report
    }
}

/// Where and when a task started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Started {
    pub(crate) task: TaskKey,
    pub(crate) worker: String,
    pub(crate) at: Time,
    /// Whether its worker is on the rack of its data.
    pub(crate) near: bool,
}

/// A leader and its workers.
pub(crate) struct Model {
    pub(crate) world: World,
    pub(crate) workers: Vec<ModelWorker>,
    /// How many times as long a task takes away from its rack.
    pub(crate) factor: f64,
    /// Whether runs list their progress. Otherwise they list that they move, below the percentage from which
    /// their end is derived.
    pub(crate) progress: bool,
    pub(crate) started: Vec<Started>,
    /// When each task ended.
    pub(crate) ended: BTreeMap<TaskKey, Time>,
    pub(crate) submitted: BTreeMap<JobId, Time>,
    /// The work of the tasks of each job and its rack.
    work: BTreeMap<JobId, (Duration, Option<Label>)>,
}

/// A worker with this many processors on this rack.
pub(crate) fn on_rack(name: &str, rack: &str, processors: u64) -> FakeWorker {
    FakeWorker {
        labels: vec!["a".to_owned(), rack.to_owned()],
        capacity: Resources { millicores: processors * 1000, memory_mib: 64_000, accelerators: 0 },
        ..FakeWorker::new(name)
    }
}

/// A step of tasks with data on a rack.
pub(crate) fn near(count: u32, rack: &str, estimate: u64) -> Step {
    Step { rack: Some(rack.into()), estimate, ..step(count) }
}

impl Model {
    /// A model in which all workers have been heard.
    pub(crate) fn new(world: World, factor: f64, workers: Vec<FakeWorker>) -> Self {
        let now = world.now;
        let workers = workers.into_iter().map(|fake| ModelWorker {
            fake,
            dead: false,
            ticket: None,
            next: now,
            runs: BTreeMap::new(),
        });
        let mut model = Self {
            world,
            workers: workers.collect(),
            factor,
            progress: true,
            started: Vec::new(),
            ended: BTreeMap::new(),
            submitted: BTreeMap::new(),
            work: BTreeMap::new(),
        };
        model.tick();
        model
    }

    /// Submits a job of one step whose tasks take this time near their data.
    pub(crate) fn submit(&mut self, id: u64, step: Step, work: u64) -> JobId {
        let job = JobId(id);
        let rack = step.rack.clone();
        self.work.insert(job, (Duration::from_millis(work), rack));
        self.submitted.insert(job, self.world.now);
        self.world.submit(id, vec![step])
    }

    /// Lets another leader take over.
    pub(crate) fn change_leader(&mut self) {
        for at in 0..self.workers.len() {
            self.receive(at);
        }
        self.world.restart();
        for worker in &mut self.workers {
            (worker.ticket, worker.next) = (None, self.world.now);
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let begun = self.world.now;
        while self.world.now.since(begun) < span {
            self.tick();
        }
    }

    /// Advances the clock by one step: runs end, and workers exchange heartbeats.
    pub(crate) fn tick(&mut self) {
        self.world.advance(TICK);
        let now = self.world.now;
        for at in 0..self.workers.len() {
            if self.workers[at].dead {
                continue;
            }
            self.receive(at);
            let worker = &mut self.workers[at];
            let due = worker.runs.iter().filter(|(_, (_, end))| *end <= now);
            let due: Vec<_> = due.map(|(task, _)| *task).collect();
            for task in &due {
                worker.runs.remove(task);
                if worker.fake.running.contains_key(task) {
                    worker.fake.end(*task, Ending::Done);
                    self.ended.insert(*task, now);
                }
            }
            if !due.is_empty() || worker.ticket.is_none() && worker.next <= now {
                let report = Box::new(worker.report(now, self.progress));
                let ticket = self.world.send(|ticket| Event::Heartbeat { ticket, report });
                self.workers[at].ticket = Some(ticket);
                self.receive(at);
            }
        }
    }

    /// Applies the response to the worker's last heartbeat, if there is one.
    fn receive(&mut self, at: usize) {
        let now = self.world.now;
        let worker = &mut self.workers[at];
        let Some(answer) = worker.ticket.and_then(|ticket| self.world.answers.get(&ticket)) else {
            return;
        };
        (worker.ticket, worker.next) = (None, now + PAUSE);
        let Answer::Heartbeat(response) = answer else { return };
        worker.fake.apply(response);
        for start in &response.starts {
            let (work, rack) = self.work[&start.task.job].clone();
            let near =
                rack.is_none_or(|rack| worker.fake.labels.iter().any(|l| *l == rack.as_str()));
            let factor = if near { 1.0 } else { self.factor };
            worker.runs.insert(start.task, (now, now + work.mul_f64(factor)));
            let name = worker.fake.name.clone();
            self.started.push(Started { task: start.task, worker: name, at: now, near });
        }
    }

    /// The starts of a job's tasks, with the time since its submission.
    pub(crate) fn starts(&self, job: JobId) -> Vec<(Duration, bool)> {
        let own = self.started.iter().filter(|started| started.task.job == job);
        let submitted = self.submitted[&job];
        own.map(|started| (started.at.since(submitted), started.near)).collect()
    }

    /// The time from the submission of a job to the end of its last task; `None` if one hasn't ended.
    pub(crate) fn response_time(&self, job: JobId, tasks: usize) -> Option<Duration> {
        let own = self.ended.iter().filter(|(task, _)| task.job == job);
        let ends: Vec<_> = own.map(|(_, end)| *end).collect();
        (ends.len() == tasks).then(|| {
            ends.into_iter().max().map_or(Duration::ZERO, |end| end.since(self.submitted[&job]))
        })
    }

    /// The log events since the model began.
    pub(crate) fn log_events(&self) -> impl Iterator<Item = &LogEvent> {
        self.world.sent.iter().filter_map(|effect| match effect {
            Effect::LogEvent(event) => Some(event),
            _ => None,
        })
    }
}
