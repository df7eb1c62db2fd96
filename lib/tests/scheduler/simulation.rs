//! A simulation of two instances, a fake ledger, fake workers, and a network that loses, delays and
//! duplicates messages.

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
        explain::TaskStatus,
        port::{Effect, Event},
    },
    task::OpenTask,
    time::Time,
    worker::{StartCommand, WorkerCommand},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    fake_ledger::{Audience, FakeLedger},
    fake_worker::FakeWorker,
    fault::Fault,
    harness::{burst, centre, plan, policy, resources},
    message::Message,
};

/// The length of a step, in milliseconds.
const STEP_MS: u64 = 50;

struct Instance {
    scheduler: Scheduler,
    /// The end of its partition from the consensus group.
    isolated_until: u64,
    /// The events that the ledger has for it.
    inbox: VecDeque<Event>,
    next_confirm: u64,
}

/// The simulated system.
pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) ledger: FakeLedger,
    pub(crate) workers: Vec<FakeWorker>,
    instances: Vec<Instance>,
    holder: usize,
    /// The messages in flight by delivery time and sequence number, with the delivery time of a
    /// duplicate; 0 for none.
    messages: BTreeMap<(u64, u64), (u64, Message)>,
    sequence: u64,
    /// The end of each partition, by worker and instance.
    partitions: BTreeMap<(usize, usize), u64>,
    pub(crate) loss_permille: u32,
    rng: ChaCha8Rng,
    /// The worker, the time of sending and the incarnation of each unanswered announcement.
    tickets: BTreeMap<u64, (usize, u64, u64)>,
    tasks: u64,
    /// How often each attempt was started on a worker.
    pub(crate) runs: BTreeMap<TaskAttempt, u32>,
    /// The violations that were found.
    pub(crate) violations: Vec<String>,
}

/// Settings with short timeouts, so that a simulation reaches each of them soon.
pub(crate) fn short_timeouts() -> Config {
    Config {
        renewal_cutoff: Duration::from_secs(15),
        stop_grace: Duration::from_secs(1),
        quarantine: Duration::from_secs(5),
        reserve_after: Duration::from_secs(5),
        ..Config::new(centre())
    }
}

impl Simulation {
    /// Creates a simulation with workers of 4 processors, whose first instance is the holder of the
    /// data centre's epoch.
    pub(crate) fn new(seed: u64, workers: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let config = short_timeouts();
        let instances = (0..2).map(|at| Instance {
            scheduler: Scheduler::new(config.clone(), Time::default(), seed + at),
            isolated_until: 0,
            inbox: VecDeque::from([Event::Policy(test_policy().into())]),
            next_confirm: 0,
        });
        let workers = (0..workers).map(|at| {
            FakeWorker::new(&format!("w{at}"), resources(4, 8), rng.random_range(950..=1_050))
        });
        let mut simulation = Self {
            now: 0,
            ledger: FakeLedger::default(),
            workers: workers.collect(),
            instances: instances.collect(),
            holder: 1,
            messages: BTreeMap::new(),
            sequence: 0,
            partitions: BTreeMap::new(),
            loss_permille: 0,
            rng,
            tickets: BTreeMap::new(),
            tasks: 0,
            runs: BTreeMap::new(),
            violations: Vec::new(),
        };
        simulation.transfer_leadership();
        simulation
    }

    /// Injects a fault or a load.
    pub(crate) fn fault(&mut self, fault: &Fault) {
        let later = |seconds: &u64| self.now + seconds * 1_000;
        match fault {
            Fault::IsolateInstance { instance, seconds } => {
                self.instances[instance % 2].isolated_until = later(seconds);
            }
            Fault::Partition { worker, instance, seconds } => {
                let at = (worker % self.workers.len(), instance % 2);
                self.partitions.insert(at, later(seconds));
            }
            Fault::Crash { worker, seconds } => {
                let (at, until) = (worker % self.workers.len(), later(seconds));
                self.workers[at].restart(until);
            }
            Fault::Drain { worker } => {
                let at = worker % self.workers.len();
                self.workers[at].leaving = true;
            }
            Fault::TransferLeadership => self.transfer_leadership(),
            Fault::Submit { tasks, cores, idempotent, urgent } => {
                for _ in 0..*tasks {
                    self.submit(|task| {
                        // The sizes are uneven, so that free capacity is often just short of what
                        // is needed.
                        task.spec.size = resources(*cores, 1);
                        task.spec.size.millicores += task.task.0 % 3 * 70;
                        task.spec.idempotent = *idempotent;
                        task.spec.urgent = *urgent;
                    });
                }
            }
            Fault::SubmitReplica => self.submit(|task| task.spec.service = Some("folddesk".into())),
            Fault::Cancel { all } => self.cancel(*all),
        }
    }

    /// Submits a task of one processor.
    pub(crate) fn submit(&mut self, change: impl FnOnce(&mut OpenTask)) {
        self.tasks += 1;
        let customer = if self.tasks.is_multiple_of(2) { "ann" } else { "bob" };
        let mut task = crate::harness::task(self.tasks, customer, resources(1, 1));
        change(&mut task);
        self.ledger.tasks.insert(task.task, task.clone());
        self.broadcast(&Event::TaskOpened(Box::new(task)));
    }

    fn cancel(&mut self, all: bool) {
        let chosen: Vec<_> =
            self.ledger.open().map(|task| task.task).filter(|id| all || id.0 % 3 == 0).collect();
        for id in chosen {
            self.ledger.tasks.get_mut(&id).expect("it is open").cancelled = true;
            self.broadcast(&Event::TaskCancelled { task: id });
        }
    }

    fn broadcast(&mut self, event: &Event) {
        for instance in &mut self.instances {
            instance.inbox.push_back(event.clone());
        }
    }

    /// Lets the other instance take over the data centre.
    fn transfer_leadership(&mut self) {
        self.ledger.epoch += 1;
        self.holder = 1 - self.holder;
        let leadership = |epoch| Event::Leadership { centre: DataCentre::from("akl-a"), epoch };
        let open: Vec<_> = self.ledger.open().cloned().collect();
        let holder = &mut self.instances[self.holder];
        holder.inbox.extend(open.into_iter().map(|task| Event::TaskOpened(Box::new(task))));
        holder.inbox.push_back(leadership(Some(Epoch(self.ledger.epoch))));
        self.instances[1 - self.holder].inbox.push_back(leadership(None));
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        self.loss_permille = 0;
        self.partitions.clear();
        for instance in &mut self.instances {
            instance.isolated_until = 0;
        }
        for worker in &mut self.workers {
            worker.broken = false;
            if worker.leaving {
                worker.restart(0);
            }
        }
    }

    /// Runs for `seconds` of simulated time.
    pub(crate) fn run(&mut self, seconds: u64) {
        let end = self.now + seconds * 1_000;
        while self.now < end && self.violations.is_empty() {
            self.now += STEP_MS;
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
            if self.workers[at].down_until > self.now {
                continue;
            }
            let Some((sent, announcement)) = self.workers[at].tick(STEP_MS) else { continue };
            // The worker announces itself to both instances, because it doesn't know which one is
            // the holder.
            for instance in 0..2 {
                let announcement = Box::new(announcement.clone());
                self.send(at, instance, || Message::Announce {
                    worker: at,
                    sent,
                    instance,
                    announcement,
                });
            }
        }
    }

    fn send(&mut self, worker: usize, instance: usize, message: impl FnOnce() -> Message) {
        let partitioned =
            self.partitions.get(&(worker, instance)).is_some_and(|until| *until > self.now);
        if partitioned || self.rng.random_ratio(self.loss_permille.min(900), 1_000) {
            return;
        }
        let late = self.loss_permille > 0 && self.rng.random_ratio(1, 10);
        let delay = self.rng.random_range(0..if late { 9_000 } else { 200 });
        self.sequence += 1;
        let twice = self.loss_permille > 0 && self.rng.random_ratio(1, 10);
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
            let (duplicate_at, message) = entry.remove();
            if duplicate_at > 0 {
                self.sequence += 1;
                self.messages.insert((duplicate_at, self.sequence), (0, message.duplicate()));
            }
            match message {
                Message::Announce { worker, sent, instance, announcement } => {
                    self.sequence += 1;
                    let ticket = self.sequence;
                    self.tickets.insert(ticket, (worker, sent, announcement.incarnation.0));
                    self.handle(instance, Event::Announced { ticket, announcement });
                }
                Message::Answer { worker, sent, incarnation, answer } => {
                    if self.workers[worker].down_until <= self.now {
                        self.workers[worker].apply_answer(sent, incarnation, &answer);
                    }
                }
                Message::Command { worker, epoch, fence, commands } => {
                    self.command(worker, epoch, fence, commands);
                }
            }
        }
    }

    fn command(&mut self, at: usize, epoch: Epoch, fence: Fence, commands: Vec<WorkerCommand>) {
        if self.workers[at].down_until > self.now {
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
            self.violations.push(format!("attempt {attempt} was started {runs} times"));
        }
        let task = &self.ledger.tasks[&attempt.task];
        if !self.ledger.starts.contains_key(&attempt) {
            self.violations.push(format!("attempt {attempt} ran without a record"));
        }
        if task.running() == Some(attempt) && task.checkpoint != start.checkpoint {
            self.violations
                .push(format!("attempt {attempt} doesn't resume from the newest checkpoint"));
        }
        let mut before = (1..attempt.attempt.0).map(|earlier| TaskAttempt {
            task: attempt.task,
            attempt: hickorylink_lib::ids::Attempt(earlier),
        });
        let ran = before.rfind(|earlier| self.runs.contains_key(earlier));
        let resumes = start.checkpoint.as_ref().map(|checkpoint| checkpoint.attempt);
        if !task.spec.idempotent && ran.is_some_and(|ran| resumes != Some(ran.attempt)) {
            self.violations.push(format!("attempt {attempt} reruns a task that is not idempotent"));
        }
    }

    fn run_instance(&mut self, at: usize) {
        if self.instances[at].isolated_until <= self.now {
            while let Some(event) = self.instances[at].inbox.pop_front() {
                self.handle(at, event);
            }
            if at == self.holder && self.now >= self.instances[at].next_confirm {
                self.instances[at].next_confirm = self.now + 1_000;
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
            self.apply_effect(at, effect);
        }
    }

    fn apply_effect(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::RecordStart { .. } | Effect::RecordYield { .. } | Effect::RecordEnd { .. } => {
                let isolated = self.instances[at].isolated_until > self.now;
                if isolated || self.rng.random_ratio(self.loss_permille.min(300), 1_000) {
                    return;
                }
                for (audience, event) in self.ledger.apply(effect) {
                    match audience {
                        Audience::All => self.broadcast(&event),
                        Audience::Proposer => self.instances[at].inbox.push_back(event),
                    }
                }
            }
            Effect::Command { worker, epoch, fence, commands, .. } => {
                let worker = self.position(worker.as_str());
                self.send(worker, at, || Message::Command { worker, epoch, fence, commands });
            }
            Effect::Answer { ticket, answer } => {
                let (worker, sent, incarnation) =
                    self.tickets.remove(&ticket).expect("each ticket is answered once");
                if let Ok(answer) = answer {
                    self.send(worker, at, || Message::Answer { worker, sent, incarnation, answer });
                }
            }
        }
    }

    fn position(&self, name: &str) -> usize {
        name[1..].parse().expect("workers are numbered")
    }

    /// Checks that no task runs in two places and no worker runs more than its capacity.
    fn check(&mut self) {
        let mut places: BTreeMap<TaskId, &str> = BTreeMap::new();
        let mut violations = Vec::new();
        for worker in self.workers.iter().filter(|worker| worker.down_until <= self.now) {
            let mut used = Resources::ZERO;
            for (attempt, execution) in
                worker.executions.iter().filter(|(_, execution)| execution.runs())
            {
                used = used.saturating_add(&execution.start.size);
                if let Some(other) = places.insert(attempt.task, &worker.name) {
                    violations.push(format!(
                        "task {} runs on {other} and on {}",
                        attempt.task, worker.name
                    ));
                }
            }
            if !worker.capacity.fits(&used) {
                violations.push(format!("{} runs more than its capacity: {used:?}", worker.name));
            }
        }
        for instance in &self.instances {
            for worker in &self.workers {
                let now = Time::from_millis(self.now);
                let name = worker.name.as_str().into();
                let Some(known) = instance.scheduler.explain_worker(now, &name) else { continue };
                // The ledger may not have recorded yet that an inherited attempt has stopped.
                let held = known.attempts.iter().filter_map(|attempt| {
                    let task = instance.scheduler.explain_task(now, attempt.task)?;
                    match task.status {
                        TaskStatus::Placed { phase: Phase::Inherited, .. } => None,
                        TaskStatus::Placed { .. } => Some(task.size),
                        TaskStatus::Waiting(_) | TaskStatus::Ending(_) => None,
                    }
                });
                let held = held.fold(Resources::ZERO, |sum, size| sum.saturating_add(&size));
                if known.capacity != Resources::ZERO && !known.capacity.fits(&held) {
                    violations.push(format!("{name} is committed beyond its capacity"));
                }
            }
            if let (1.., Some(unhandled)) = instance.scheduler.status().unhandled {
                violations.push(unhandled);
            }
        }
        let now = self.now;
        self.violations
            .extend(violations.into_iter().map(|violation| format!("{now} ms: {violation}")));
    }

    /// Open tasks that the holder doesn't know.
    pub(crate) fn untracked_tasks(&self) -> Vec<String> {
        let scheduler = &self.instances[self.holder].scheduler;
        let now = Time::from_millis(self.now);
        let untracked =
            self.ledger.open().filter(|task| scheduler.explain_task(now, task.task).is_none());
        untracked
            .map(|task| format!("the holder doesn't know task {}: {:?}", task.task, task.state))
            .collect()
    }

    /// Open batch tasks, with the explanation of their status.
    pub(crate) fn open_tasks(&self) -> Vec<String> {
        let scheduler = &self.instances[self.holder].scheduler;
        let now = Time::from_millis(self.now);
        let open = self.ledger.open().filter(|task| task.spec.service.is_none());
        open.map(|task| match scheduler.explain_task(now, task.task) {
            Some(explanation) => explanation.to_string(),
            None => format!("the holder doesn't know task {}", task.task),
        })
        .collect()
    }

    /// Tasks whose end, and attempts whose start, was recorded more than once.
    pub(crate) fn duplicates(&self) -> Vec<String> {
        let ends = self.ledger.ends.iter().filter(|(_, count)| **count > 1);
        let starts = self.ledger.starts.iter().filter(|(_, count)| **count > 1);
        let ends = ends.map(|(task, count)| format!("task {task} ended {count} times"));
        ends.chain(
            starts.map(|(attempt, count)| format!("attempt {attempt} was recorded {count} times")),
        )
        .collect()
    }
}

fn test_policy() -> Policy {
    let mut plan = plan(burst(resources(1_000, 1_000)));
    plan.allowance.guaranteed = resources(6, 100);
    plan.allowance.best_effort = resources(1_000, 1_000);
    policy(&[("ann", plan.clone()), ("bob", plan)])
}
