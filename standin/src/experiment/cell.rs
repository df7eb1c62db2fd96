//! One data centre of the fake, second by second.

use std::{collections::VecDeque, time::Duration};

use hickorylink_lib::{
    ids::{Attempt, CustomerName, TaskAttempt, TaskId, WorkerName},
    interference::port::{Action, Neighbour, Role},
    resources::Resources,
    time::Time,
    worker::Sample,
};

use crate::experiment::{
    arrivals::{Arrivals, Job},
    dispatch::{Dispatch, LOST_WORK},
    draw::Draw,
    host::{Host, Replica, Running},
    outcome::Outcome,
    reports::{Report, Reports},
    setup::{REPLICAS, SERVICES, Setup},
    strategy::{Chooser, Strategy},
    truth::{SPREAD, Truth},
};

/// Requests that a fully loaded replica answers in a second.
const REQUESTS: f64 = 60.0;
/// Seconds from an eviction until the task can start again.
const RESTART: u64 = 5;
/// Queued tasks that are looked at in a second.
const LOOK_AHEAD: usize = 256;

/// A data centre.
pub(crate) struct Cell {
    setup: Setup,
    second: u64,
    truth: Truth,
    hosts: Vec<Host>,
    arrivals: Arrivals,
    reports: Reports,
    queue: VecDeque<Job>,
    returning: VecDeque<(u64, Job)>,
    chooser: Chooser,
    /// The real scheduler, if the strategy drives it in place of the chooser.
    dispatch: Option<Dispatch>,
    noise: Draw,
    outcome: Outcome,
    latencies: Vec<f64>,
}

impl Cell {
    /// A data centre before its first second.
    pub(crate) fn new(setup: &Setup, strategy: Strategy, seed: u64) -> Self {
        let count = setup.workers / setup.user.centres();
        let mut cell = Self {
            setup: *setup,
            second: 0,
            truth: Truth::new(seed, setup.seconds / 2),
            hosts: (0..count).map(|at| host(setup, at)).collect(),
            arrivals: Arrivals::new(setup, count, seed),
            reports: Reports::new(seed),
            queue: VecDeque::new(),
            returning: VecDeque::new(),
            chooser: Chooser::new(strategy),
            dispatch: None,
            noise: Draw::new(seed, 4),
            outcome: Outcome::new(setup, strategy, seed),
            latencies: Vec::new(),
        };
        for at in 0..count {
            cell.announce_replicas(at);
        }
        if strategy == Strategy::Scheduler {
            let good = |service| cell.truth.good(service);
            cell.dispatch = Some(Dispatch::new(setup, &cell.hosts, good));
        }
        cell
    }

    /// What was measured.
    pub(crate) fn outcome(&self) -> &Outcome {
        &self.outcome
    }

    /// Runs to the end.
    pub(crate) fn run(&mut self) {
        while self.second < self.setup.seconds {
            self.second += 1;
            self.truth.advance(self.second);
            self.submit();
            self.place();
            self.work();
            self.serve();
            self.deliver();
            self.act();
            if self.counts() {
                let dispatched = self.dispatch.as_ref().map_or(0, Dispatch::queued);
                self.outcome.queued += self.queue.len() as u64 + dispatched;
            }
        }
        self.outcome.unfinished = (self.queue.len() + self.returning.len()) as u64;
        if let Some(policy) = &self.chooser.policy {
            self.outcome.counters = *policy.counters();
        }
    }

    fn now(&self) -> Time {
        Time::from_millis(1_000 * self.second)
    }

    fn counts(&self) -> bool {
        self.second > self.setup.warmup
    }

    fn announce_replicas(&mut self, at: usize) {
        let now = self.now();
        let Some(policy) = &mut self.chooser.policy else { return };
        let host = &self.hosts[at];
        for replica in &host.replicas {
            let latency = Duration::from_secs_f64(self.truth.good(replica.service));
            let service = self.setup.user.services()[replica.service].into();
            let neighbour = Neighbour {
                attempt: replica.attempt,
                customer: "services".into(),
                size: self.setup.user.replica(),
                objective: self.setup.user.objective(),
                role: Role::Service { service, latency },
            };
            policy.placed(now, &host.name, &neighbour);
        }
    }

    fn submit(&mut self) {
        let jobs = self.arrivals.submit(self.second, &self.truth);
        match &mut self.dispatch {
            Some(dispatch) => {
                for job in jobs {
                    let Neighbour { customer, .. } = neighbour(&self.setup, &job);
                    let kind = kind_name(&job);
                    dispatch.submit(job, &customer, &kind);
                }
            }
            None => self.queue.extend(jobs),
        }
        while self.returning.front().is_some_and(|(due, _)| *due <= self.second) {
            self.queue.extend(self.returning.pop_front().map(|(_, job)| job));
        }
    }

    fn place(&mut self) {
        let now = self.now();
        let mut waiting = VecDeque::new();
        let looked_at = self.queue.len().min(LOOK_AHEAD);
        for job in self.queue.drain(..looked_at) {
            let neighbour = neighbour(&self.setup, &job);
            let rise = |host: &Host| host.rise(&self.truth, self.second, &job);
            match self.chooser.choose(now, &self.hosts, &neighbour, rise) {
                Some(at) => {
                    if let Some(policy) = &mut self.chooser.policy {
                        policy.placed(now, &self.hosts[at].name, &neighbour);
                    }
                    self.hosts[at].start(job);
                }
                None => waiting.push_back(job),
            }
        }
        waiting.append(&mut self.queue);
        self.queue = waiting;
    }

    fn work(&mut self) {
        let (now, counts) = (self.now(), self.counts());
        for (at, host) in self.hosts.iter_mut().enumerate() {
            for ended in host.work(&self.truth, self.second) {
                self.outcome.done += u64::from(counts);
                if let Some(policy) = &mut self.chooser.policy {
                    policy.left(now, &host.name, ended.attempt());
                }
                if let Some(dispatch) = &mut self.dispatch {
                    dispatch.completed(at, ended.attempt());
                }
            }
        }
    }

    /// Lets each replica answer a second's requests and take a sample of them.
    fn serve(&mut self) {
        let (now, counts) = (self.now(), self.counts());
        for (at, host) in self.hosts.iter().enumerate() {
            let pressure = host.pressure(&self.truth, self.second);
            for replica in &host.replicas {
                let service = replica.service;
                let load = self.truth.load(service, self.second);
                let harm = host.harm(&self.truth, service);
                let median = self.truth.median(service, load, harm, pressure);
                let requests = (REQUESTS * load) as usize;
                self.latencies.clear();
                let (noise, latencies) = (&mut self.noise, &mut self.latencies);
                latencies.extend((0..requests).map(|_| median * noise.factor(SPREAD)));
                if counts {
                    self.outcome.record(latencies, self.truth.good(service));
                }
                let highest = latencies.iter().copied().fold(0.0, f64::max);
                let sample = sample(host, replica, load, highest);
                self.reports.send(&Report { taken: now, host: at, sample });
            }
            for running in &host.running {
                self.reports.send(&Report { taken: now, host: at, sample: use_of(running) });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(Report { taken, host: at, sample }) = self.reports.deliver(now) {
            if let Some(dispatch) = &mut self.dispatch {
                dispatch.sampled(at, taken, sample);
                continue;
            }
            let host = &self.hosts[at];
            let replica = host.replicas.iter().find(|known| known.attempt == sample.attempt);
            let good = replica.map_or(f64::MAX, |replica| self.truth.good(replica.service));
            if let Some(evicted) = self.chooser.sampled(now, at, host, &sample, good) {
                self.evict(at, evicted);
            }
        }
    }

    fn act(&mut self) {
        let (now, counts) = (self.now(), self.counts());
        if let Some(dispatch) = &mut self.dispatch {
            dispatch.step(now, self.second, &mut self.hosts);
            let evictions = std::mem::take(&mut dispatch.evictions);
            let throttles = std::mem::take(&mut dispatch.throttles);
            if counts {
                self.outcome.evictions += evictions;
                self.outcome.throttles += throttles;
            }
            return;
        }
        for action in self.chooser.decide(now) {
            match action {
                Action::Throttle { worker, attempt, permille } => {
                    let Some(at) = self.find(&worker) else { continue };
                    let mut running = self.hosts[at].running.iter_mut();
                    if let Some(running) = running.find(|running| running.attempt() == attempt) {
                        running.permille = permille;
                        self.outcome.throttles += u64::from(counts);
                    }
                }
                Action::Move { worker, attempt } => {
                    if let Some(at) = self.find(&worker) {
                        self.evict(at, attempt);
                    }
                }
            }
        }
    }

    fn find(&self, worker: &WorkerName) -> Option<usize> {
        self.hosts.iter().position(|host| host.name == *worker)
    }

    /// Checkpoints and stops a task, and queues it again.
    fn evict(&mut self, at: usize, attempt: TaskAttempt) {
        let (now, counts) = (self.now(), self.counts());
        let Some(stopped) = self.hosts[at].stop(attempt) else { return };
        if let Some(policy) = &mut self.chooser.policy {
            policy.left(now, &self.hosts[at].name, attempt);
        }
        let mut job = stopped.job;
        job.attempt += 1;
        job.evictions = job.evictions.saturating_sub(1);
        job.work += LOST_WORK;
        self.returning.push_back((self.second + RESTART, job));
        self.outcome.evictions += u64::from(counts);
    }
}

fn host(setup: &Setup, at: usize) -> Host {
    let capacity = setup.user.worker();
    let size = setup.user.replica();
    let replicas: Vec<_> = (0..REPLICAS)
        .map(|slot| Replica {
            attempt: TaskAttempt {
                task: TaskId((at * REPLICAS + slot) as u64),
                attempt: Attempt(1),
            },
            // Every pair of services meets on some worker.
            service: (at + slot * (1 + at / SERVICES % (SERVICES - 1))) % SERVICES,
            cores: size.millicores as f64 / 1_000.0,
        })
        .collect();
    let free = replicas.iter().fold(capacity, |free, _| free.saturating_sub(&size));
    let name = WorkerName::from(format!("worker-{at:04}").as_str());
    Host { name, capacity, free, replicas, running: Vec::new() }
}

fn neighbour(setup: &Setup, job: &Job) -> Neighbour {
    let customer = CustomerName::from(format!("customer-{}", job.kind % 3).as_str());
    Neighbour {
        attempt: TaskAttempt { task: TaskId(job.id), attempt: Attempt(job.attempt) },
        customer,
        size: job.size,
        objective: setup.user.objective(),
        role: Role::Batch { kind: kind_name(job).as_str().into(), evictions: job.evictions },
    }
}

fn kind_name(job: &Job) -> String {
    format!("kind-{}", job.kind)
}

fn use_of(running: &Running) -> Sample {
    Sample {
        attempt: running.attempt(),
        age: Duration::ZERO,
        used: Resources { millicores: (running.used * 1_000.0) as u64, ..Resources::ZERO },
        latency: None,
        beside: Vec::new(),
    }
}

fn sample(host: &Host, replica: &Replica, load: f64, latency: f64) -> Sample {
    let others = host.replicas.iter().map(|other| other.attempt);
    let others = others.filter(|other| *other != replica.attempt);
    Sample {
        attempt: replica.attempt,
        age: Duration::ZERO,
        used: Resources { millicores: (replica.cores * load * 1_000.0) as u64, ..Resources::ZERO },
        latency: Some(Duration::from_secs_f64(latency)),
        beside: others.chain(host.running.iter().map(|running| running.attempt())).collect(),
    }
}
