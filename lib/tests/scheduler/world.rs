//! A small world: two instances, a fake ledger, fake workers, and a network that loses, delays
//! and doubles messages.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use hickorylink_lib::{
    ids::{DataCentre, Epoch, Fence, TaskAttempt, TaskId},
    policy::Policy,
    resources::Resources,
    scheduler::{
        Scheduler,
        charts::Phase,
        config::Config,
        explain::Standing,
        port::{Effect, Event},
    },
    task::OpenTask,
    time::Time,
    worker::{StartCommand, WorkerCommand},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    desk::{burst, centre, plan, policy, room},
    fault::Fault,
    ledger::{Audience, Ledger},
    message::Message,
    worker::Worker,
};

/// The length of a step, in milliseconds.
const STEP: u64 = 50;

struct Instance {
    scheduler: Scheduler,
    /// Until when it is cut off from the council.
    cut: u64,
    /// What the ledger has to tell it.
    inbox: VecDeque<Event>,
    confirm: u64,
}

/// The world.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) ledger: Ledger,
    pub(crate) workers: Vec<Worker>,
    instances: Vec<Instance>,
    holder: usize,
    messages: BTreeMap<(u64, u64), (u64, Message)>,
    sequence: u64,
    parted: BTreeMap<(usize, usize), u64>,
    pub(crate) loss: u32,
    rng: ChaCha8Rng,
    tickets: BTreeMap<u64, (usize, u64, u64)>,
    tasks: u64,
    /// How often each try was really started.
    pub(crate) runs: BTreeMap<TaskAttempt, u32>,
    /// What was found to be wrong.
    pub(crate) findings: Vec<String>,
}

/// Settings with short times, so that a world reaches every bound soon.
pub(crate) fn hasty() -> Config {
    Config {
        cutoff: Duration::from_secs(15),
        grace: Duration::from_secs(1),
        quarantine: Duration::from_secs(5),
        patience: Duration::from_secs(5),
        ..Config::new(centre())
    }
}

impl World {
    /// A world with workers of 4 processors, whose first instance holds the data centre.
    pub(crate) fn new(seed: u64, workers: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let config = hasty();
        let instances = (0..2).map(|at| Instance {
            scheduler: Scheduler::new(config.clone(), Time::default(), seed + at),
            cut: 0,
            inbox: VecDeque::from([Event::Policy(lists().into())]),
            confirm: 0,
        });
        let workers = (0..workers)
            .map(|at| Worker::new(&format!("w{at}"), room(4, 8), rng.random_range(950..=1_050)));
        let mut world = Self {
            now: 0,
            ledger: Ledger::default(),
            workers: workers.collect(),
            instances: instances.collect(),
            holder: 1,
            messages: BTreeMap::new(),
            sequence: 0,
            parted: BTreeMap::new(),
            loss: 0,
            rng,
            tickets: BTreeMap::new(),
            tasks: 0,
            runs: BTreeMap::new(),
            findings: Vec::new(),
        };
        world.grant();
        world
    }

    /// Lets something go wrong.
    pub(crate) fn fault(&mut self, fault: &Fault) {
        let later = |seconds: &u64| self.now + seconds * 1_000;
        match fault {
            Fault::Cut { instance, seconds } => {
                self.instances[instance % 2].cut = later(seconds);
            }
            Fault::Part { worker, instance, seconds } => {
                let at = (worker % self.workers.len(), instance % 2);
                self.parted.insert(at, later(seconds));
            }
            Fault::Kill { worker, seconds } => {
                let (at, until) = (worker % self.workers.len(), later(seconds));
                self.workers[at].restart(until);
            }
            Fault::Leave { worker } => {
                let at = worker % self.workers.len();
                self.workers[at].leaving = true;
            }
            Fault::Grant => self.grant(),
            Fault::Wave { tasks, cores, idempotent, urgent } => {
                for _ in 0..*tasks {
                    self.submit(|task| {
                        // Uneven sizes, so that what is nearly enough room is not enough.
                        task.spec.size = room(*cores, 1);
                        task.spec.size.millicores += task.task.0 % 3 * 70;
                        task.spec.idempotent = *idempotent;
                        task.spec.urgent = *urgent;
                    });
                }
            }
            Fault::Replica => self.submit(|task| task.spec.service = Some("folddesk".into())),
            Fault::Cancel { all } => self.cancel(*all),
        }
    }

    /// Submits a task of one processor.
    pub(crate) fn submit(&mut self, change: impl FnOnce(&mut OpenTask)) {
        self.tasks += 1;
        let customer = if self.tasks.is_multiple_of(2) { "ann" } else { "bob" };
        let mut task = crate::desk::task(self.tasks, customer, room(1, 1));
        change(&mut task);
        self.ledger.tasks.insert(task.task, task.clone());
        self.tell(&Event::TaskOpened(Box::new(task)));
    }

    fn cancel(&mut self, all: bool) {
        let chosen: Vec<_> =
            self.ledger.open().map(|task| task.task).filter(|id| all || id.0 % 3 == 0).collect();
        for id in chosen {
            self.ledger.tasks.get_mut(&id).expect("it is open").cancelled = true;
            self.tell(&Event::TaskCancelled { task: id });
        }
    }

    fn tell(&mut self, event: &Event) {
        for instance in &mut self.instances {
            instance.inbox.push_back(event.clone());
        }
    }

    /// The other instance takes the data centre.
    fn grant(&mut self) {
        self.ledger.epoch += 1;
        self.holder = 1 - self.holder;
        let hold = |epoch| Event::Leadership { centre: DataCentre::from("akl-a"), epoch };
        let open: Vec<_> = self.ledger.open().cloned().collect();
        let holder = &mut self.instances[self.holder];
        holder.inbox.extend(open.into_iter().map(|task| Event::TaskOpened(Box::new(task))));
        holder.inbox.push_back(hold(Some(Epoch(self.ledger.epoch))));
        self.instances[1 - self.holder].inbox.push_back(hold(None));
    }

    /// Lets everything work again.
    pub(crate) fn heal(&mut self) {
        self.loss = 0;
        self.parted.clear();
        for instance in &mut self.instances {
            instance.cut = 0;
        }
        for worker in &mut self.workers {
            worker.broken = false;
            if worker.leaving {
                worker.restart(0);
            }
        }
    }

    /// Lets `seconds` pass.
    pub(crate) fn run(&mut self, seconds: u64) {
        let end = self.now + seconds * 1_000;
        while self.now < end && self.findings.is_empty() {
            self.now += STEP;
            self.run_workers();
            self.deliver();
            for at in 0..self.instances.len() {
                self.run_instance(at);
            }
            self.check();
        }
    }

    fn run_workers(&mut self) {
        for at in 0..self.workers.len() {
            if self.workers[at].down > self.now {
                continue;
            }
            let Some((sent, said)) = self.workers[at].tick(STEP) else { continue };
            // It tries both instances, as it doesn't know which one holds the data centre.
            for instance in 0..2 {
                let said = Box::new(said.clone());
                self.post(at, instance, || Message::Announce { worker: at, sent, instance, said });
            }
        }
    }

    fn post(&mut self, worker: usize, instance: usize, message: impl FnOnce() -> Message) {
        let parted = self.parted.get(&(worker, instance)).is_some_and(|until| *until > self.now);
        if parted || self.rng.random_ratio(self.loss.min(900), 1_000) {
            return;
        }
        let late = self.loss > 0 && self.rng.random_ratio(1, 10);
        let delay = self.rng.random_range(0..if late { 9_000 } else { 200 });
        self.sequence += 1;
        let twice = self.loss > 0 && self.rng.random_ratio(1, 10);
        self.messages.insert(
            (self.now + delay, self.sequence),
            (if twice { self.now + delay + 3_000 } else { 0 }, message()),
        );
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (again, message) = entry.remove();
            if again > 0 {
                self.sequence += 1;
                self.messages.insert((again, self.sequence), (0, message.again()));
            }
            match message {
                Message::Announce { worker, sent, instance, said } => {
                    self.sequence += 1;
                    let ticket = self.sequence;
                    self.tickets.insert(ticket, (worker, sent, said.incarnation.0));
                    self.handle(instance, Event::Announced { ticket, announcement: said });
                }
                Message::Answer { worker, sent, incarnation, answer } => {
                    if self.workers[worker].down <= self.now {
                        self.workers[worker].answered(sent, incarnation, &answer);
                    }
                }
                Message::Command { worker, epoch, fence, commands } => {
                    self.command(worker, epoch, fence, commands);
                }
            }
        }
    }

    fn command(&mut self, at: usize, epoch: Epoch, fence: Fence, commands: Vec<WorkerCommand>) {
        if self.workers[at].down > self.now {
            return;
        }
        // Most tasks are short, and some outlast every lease.
        let work = |id: TaskId| match id.0 % 7 {
            3 => 40_000,
            _ => 2_000 + id.0 % 5 * 1_500,
        };
        for start in self.workers[at].command(epoch, fence, commands, work) {
            self.check_start(&start);
        }
    }

    fn check_start(&mut self, start: &StartCommand) {
        let attempt = start.attempt;
        let runs = self.runs.entry(attempt).or_default();
        *runs += 1;
        if *runs > 1 {
            self.findings.push(format!("try {attempt} was started {runs} times"));
        }
        let task = &self.ledger.tasks[&attempt.task];
        if !self.ledger.starts.contains_key(&attempt) {
            self.findings.push(format!("try {attempt} ran without a record"));
        }
        if task.running() == Some(attempt) && task.checkpoint != start.checkpoint {
            self.findings.push(format!("try {attempt} doesn't resume from the newest checkpoint"));
        }
        let mut before = (1..attempt.attempt.0).map(|earlier| TaskAttempt {
            task: attempt.task,
            attempt: hickorylink_lib::ids::Attempt(earlier),
        });
        let ran = before.rfind(|earlier| self.runs.contains_key(earlier));
        let resumes = start.checkpoint.as_ref().map(|checkpoint| checkpoint.attempt);
        if !task.spec.idempotent && ran.is_some_and(|ran| resumes != Some(ran.attempt)) {
            self.findings.push(format!("try {attempt} repeats what may not be repeated"));
        }
    }

    fn run_instance(&mut self, at: usize) {
        if self.instances[at].cut <= self.now {
            while let Some(event) = self.instances[at].inbox.pop_front() {
                self.handle(at, event);
            }
            if at == self.holder && self.now >= self.instances[at].confirm {
                self.instances[at].confirm = self.now + 1_000;
                self.handle(at, Event::LeadershipConfirmed);
            }
        }
        let now = Time::from_millis(self.now);
        if self.instances[at].scheduler.next_deadline().is_some_and(|due| due <= now) {
            self.handle(at, Event::Timer);
        }
    }

    fn handle(&mut self, at: usize, event: Event) {
        let mut effects = Vec::new();
        let now = Time::from_millis(self.now);
        self.instances[at].scheduler.handle(now, event, &mut effects);
        for effect in effects {
            self.carry_out(at, effect);
        }
    }

    fn carry_out(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::RecordStart { .. } | Effect::RecordYield { .. } | Effect::RecordEnd { .. } => {
                let cut = self.instances[at].cut > self.now;
                if cut || self.rng.random_ratio(self.loss.min(300), 1_000) {
                    return;
                }
                for (audience, event) in self.ledger.apply(effect) {
                    match audience {
                        Audience::All => self.tell(&event),
                        Audience::Asker => self.instances[at].inbox.push_back(event),
                    }
                }
            }
            Effect::Command { worker, epoch, fence, commands, .. } => {
                let worker = self.position(worker.as_str());
                self.post(worker, at, || Message::Command { worker, epoch, fence, commands });
            }
            Effect::Answer { ticket, answer } => {
                let (worker, sent, incarnation) =
                    self.tickets.remove(&ticket).expect("each ticket is answered once");
                if let Ok(answer) = answer {
                    self.post(worker, at, || Message::Answer { worker, sent, incarnation, answer });
                }
            }
        }
    }

    fn position(&self, name: &str) -> usize {
        name[1..].parse().expect("workers are numbered")
    }

    /// Looks for a task in two places, and for a worker with more than it has.
    fn check(&mut self) {
        let mut places: BTreeMap<TaskId, &str> = BTreeMap::new();
        let mut findings = Vec::new();
        for worker in self.workers.iter().filter(|worker| worker.down <= self.now) {
            let mut used = Resources::ZERO;
            for (attempt, job) in worker.jobs.iter().filter(|(_, job)| job.runs()) {
                used = used.saturating_add(&job.start.size);
                if let Some(other) = places.insert(attempt.task, &worker.name) {
                    findings.push(format!(
                        "task {} runs on {other} and on {}",
                        attempt.task, worker.name
                    ));
                }
            }
            if !worker.capacity.fits(&used) {
                findings.push(format!("{} runs more than it has: {used:?}", worker.name));
            }
        }
        for instance in &self.instances {
            for worker in &self.workers {
                let now = Time::from_millis(self.now);
                let name = worker.name.as_str().into();
                let Some(known) = instance.scheduler.explain_worker(now, &name) else { continue };
                // The ledger may not have heard yet that an inherited try has stopped.
                let held = known.tries.iter().filter_map(|attempt| {
                    let task = instance.scheduler.explain_task(now, attempt.task)?;
                    match task.standing {
                        Standing::Placed { phase: Phase::Inherited, .. } => None,
                        Standing::Placed { .. } => Some(task.size),
                        Standing::Waiting(_) | Standing::Ending(_) => None,
                    }
                });
                let held = held.fold(Resources::ZERO, |sum, size| sum.saturating_add(&size));
                if known.capacity != Resources::ZERO && !known.capacity.fits(&held) {
                    findings.push(format!("{name} is committed beyond what it has"));
                }
            }
            if let (1.., Some(unhandled)) = instance.scheduler.status().unhandled {
                findings.push(unhandled);
            }
        }
        let now = self.now;
        self.findings.extend(findings.into_iter().map(|finding| format!("{now} ms: {finding}")));
    }

    /// Tasks without an end for whose wait the holder has no reason.
    pub(crate) fn lost(&self) -> Vec<String> {
        let scheduler = &self.instances[self.holder].scheduler;
        let now = Time::from_millis(self.now);
        let lost =
            self.ledger.open().filter(|task| scheduler.explain_task(now, task.task).is_none());
        lost.map(|task| format!("task {} is lost: {:?}", task.task, task.state)).collect()
    }

    /// Why each task without an end has none.
    pub(crate) fn waits(&self) -> Vec<String> {
        let scheduler = &self.instances[self.holder].scheduler;
        let now = Time::from_millis(self.now);
        let open = self.ledger.open().filter(|task| task.spec.service.is_none());
        open.map(|task| match scheduler.explain_task(now, task.task) {
            Some(explanation) => explanation.to_string(),
            None => format!("task {} is lost", task.task),
        })
        .collect()
    }

    /// Tasks that were recorded as ended more than once, or evicted and never again recorded.
    pub(crate) fn doubled(&self) -> Vec<String> {
        let ends = self.ledger.ends.iter().filter(|(_, count)| **count > 1);
        let starts = self.ledger.starts.iter().filter(|(_, count)| **count > 1);
        let ends = ends.map(|(task, count)| format!("task {task} ended {count} times"));
        ends.chain(starts.map(|(try_, count)| format!("try {try_} was recorded {count} times")))
            .collect()
    }
}

fn lists() -> Policy {
    let mut plan = plan(burst(room(1_000, 1_000)));
    plan.allowance.guaranteed = room(6, 100);
    plan.allowance.best_effort = room(1_000, 1_000);
    policy(&[("ann", plan.clone()), ("bob", plan)])
}
