//! The simulation of one data centre, in steps of a second.

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
    delivery::{Delivery, SampleReport},
    driver::{LOST_WORK_S, SchedulerDriver},
    ground_truth::{GroundTruth, LATENCY_DEVIATION},
    host::{Host, Replica, Running},
    outcome::Outcome,
    random::Random,
    setup::{REPLICAS, SERVICES, Setup},
    strategy::{Placer, Strategy},
};

/// The requests that a fully loaded replica serves.
const REQUESTS_PER_SECOND: f64 = 60.0;
/// The time from an eviction until the task is queued again, in seconds.
const REQUEUE_DELAY_S: u64 = 5;
/// Queued tasks for which placement is attempted in a second.
const PLACEMENT_BATCH: usize = 256;

/// A simulated data centre.
pub(crate) struct CentreSim {
    setup: Setup,
    second: u64,
    truth: GroundTruth,
    hosts: Vec<Host>,
    arrivals: Arrivals,
    delivery: Delivery,
    queue: VecDeque<Job>,
    /// Evicted tasks, with the second at which they are queued again.
    evicted: VecDeque<(u64, Job)>,
    placer: Placer,
    /// The real scheduler, which replaces the placer under [`Strategy::Scheduler`].
    driver: Option<SchedulerDriver>,
    /// The source of the variation between the latencies of requests.
    noise: Random,
    outcome: Outcome,
    /// A buffer for the latencies of one replica in one second.
    latencies: Vec<f64>,
}

impl CentreSim {
    /// A data centre at time zero, with its replicas running and no batch task.
    pub(crate) fn new(setup: &Setup, strategy: Strategy, seed: u64) -> Self {
        let count = setup.workers / setup.user.centres();
        let mut sim = Self {
            setup: *setup,
            second: 0,
            truth: GroundTruth::new(seed, setup.seconds / 2),
            hosts: (0..count).map(|at| host(setup, at)).collect(),
            arrivals: Arrivals::new(setup, count, seed),
            delivery: Delivery::new(seed),
            queue: VecDeque::new(),
            evicted: VecDeque::new(),
            placer: Placer::new(strategy),
            driver: None,
            noise: Random::new(seed, 4),
            outcome: Outcome::new(setup, strategy, seed),
            latencies: Vec::new(),
        };
        for at in 0..count {
            sim.register_replicas(at);
        }
        if strategy == Strategy::Scheduler {
            let objective = |service| sim.truth.objective(service);
            sim.driver = Some(SchedulerDriver::new(setup, &sim.hosts, objective));
        }
        sim
    }

    /// The measurements so far.
    pub(crate) fn outcome(&self) -> &Outcome {
        &self.outcome
    }

    /// Runs the simulation to its end.
    pub(crate) fn run(&mut self) {
        while self.second < self.setup.seconds {
            self.second += 1;
            self.truth.advance(self.second);
            self.submit_tasks();
            self.place_tasks();
            self.advance_tasks();
            self.serve_requests();
            self.deliver_samples();
            self.apply_actions();
            if self.measured() {
                let driver_queue = self.driver.as_ref().map_or(0, SchedulerDriver::queued);
                self.outcome.queued += self.queue.len() as u64 + driver_queue;
            }
        }
        self.outcome.unfinished = (self.queue.len() + self.evicted.len()) as u64;
        if let Some(policy) = &self.placer.policy {
            self.outcome.counters = *policy.counters();
        }
    }

    fn now(&self) -> Time {
        Time::from_millis(1_000 * self.second)
    }

    /// Whether the warm-up is over, so that this second counts in the outcome.
    fn measured(&self) -> bool {
        self.second > self.setup.warmup
    }

    fn register_replicas(&mut self, at: usize) {
        let now = self.now();
        let Some(policy) = &mut self.placer.policy else { return };
        let host = &self.hosts[at];
        for replica in &host.replicas {
            let latency = Duration::from_secs_f64(self.truth.objective(replica.service));
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

    fn submit_tasks(&mut self) {
        let jobs = self.arrivals.arrive(self.second, &self.truth);
        match &mut self.driver {
            Some(driver) => {
                for job in jobs {
                    let Neighbour { customer, .. } = neighbour(&self.setup, &job);
                    let kind = kind_name(&job);
                    driver.submit(job, &customer, &kind);
                }
            }
            None => self.queue.extend(jobs),
        }
        while self.evicted.front().is_some_and(|(due, _)| *due <= self.second) {
            self.queue.extend(self.evicted.pop_front().map(|(_, job)| job));
        }
    }

    fn place_tasks(&mut self) {
        let now = self.now();
        let mut waiting = VecDeque::new();
        let attempted = self.queue.len().min(PLACEMENT_BATCH);
        for job in self.queue.drain(..attempted) {
            let neighbour = neighbour(&self.setup, &job);
            let increase = |host: &Host| host.latency_increase(&self.truth, self.second, &job);
            match self.placer.choose(now, &self.hosts, &neighbour, increase) {
                Some(at) => {
                    if let Some(policy) = &mut self.placer.policy {
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

    fn advance_tasks(&mut self) {
        let (now, measured) = (self.now(), self.measured());
        for (at, host) in self.hosts.iter_mut().enumerate() {
            for completed in host.advance(&self.truth, self.second) {
                self.outcome.done += u64::from(measured);
                if let Some(policy) = &mut self.placer.policy {
                    policy.left(now, &host.name, completed.attempt());
                }
                if let Some(driver) = &mut self.driver {
                    driver.add_completed(at, completed.attempt());
                }
            }
        }
    }

    /// Simulates the requests of a second at each replica, and sends samples of all replicas and
    /// batch tasks.
    fn serve_requests(&mut self) {
        let (now, measured) = (self.now(), self.measured());
        for (at, host) in self.hosts.iter().enumerate() {
            let pressure = host.pressure(&self.truth, self.second);
            for replica in &host.replicas {
                let service = replica.service;
                let load = self.truth.load(service, self.second);
                let harm = host.harm(&self.truth, service);
                let median = self.truth.median(service, load, harm, pressure);
                let requests = (REQUESTS_PER_SECOND * load) as usize;
                self.latencies.clear();
                let (noise, latencies) = (&mut self.noise, &mut self.latencies);
                latencies
                    .extend((0..requests).map(|_| median * noise.log_normal(LATENCY_DEVIATION)));
                if measured {
                    self.outcome.record(latencies, self.truth.objective(service));
                }
                let highest = latencies.iter().copied().fold(0.0, f64::max);
                let sample = latency_sample(host, replica, load, highest);
                self.delivery.send(&SampleReport { taken: now, host: at, sample });
            }
            for running in &host.running {
                self.delivery.send(&SampleReport {
                    taken: now,
                    host: at,
                    sample: usage_sample(running),
                });
            }
        }
    }

    fn deliver_samples(&mut self) {
        let now = self.now();
        while let Some(SampleReport { taken, host: at, sample }) = self.delivery.deliver(now) {
            if let Some(driver) = &mut self.driver {
                driver.add_sample(at, taken, sample);
                continue;
            }
            let host = &self.hosts[at];
            let replica = host.replicas.iter().find(|known| known.attempt == sample.attempt);
            let objective =
                replica.map_or(f64::MAX, |replica| self.truth.objective(replica.service));
            if let Some(evicted) = self.placer.handle_sample(now, at, host, &sample, objective) {
                self.evict(at, evicted);
            }
        }
    }

    fn apply_actions(&mut self) {
        let (now, measured) = (self.now(), self.measured());
        if let Some(driver) = &mut self.driver {
            driver.step(now, self.second, &mut self.hosts);
            let evictions = std::mem::take(&mut driver.evictions);
            let throttles = std::mem::take(&mut driver.throttles);
            if measured {
                self.outcome.evictions += evictions;
                self.outcome.throttles += throttles;
            }
            return;
        }
        for action in self.placer.decide(now) {
            match action {
                Action::Throttle { worker, attempt, permille } => {
                    let Some(at) = self.host_index(&worker) else { continue };
                    let mut running = self.hosts[at].running.iter_mut();
                    if let Some(running) = running.find(|running| running.attempt() == attempt) {
                        running.permille = permille;
                        self.outcome.throttles += u64::from(measured);
                    }
                }
                Action::Move { worker, attempt } => {
                    if let Some(at) = self.host_index(&worker) {
                        self.evict(at, attempt);
                    }
                }
            }
        }
    }

    fn host_index(&self, worker: &WorkerName) -> Option<usize> {
        self.hosts.iter().position(|host| host.name == *worker)
    }

    /// Evicts a task: it loses the work since its last checkpoint, and is queued again after a
    /// delay.
    fn evict(&mut self, at: usize, attempt: TaskAttempt) {
        let (now, measured) = (self.now(), self.measured());
        let Some(stopped) = self.hosts[at].stop(attempt) else { return };
        if let Some(policy) = &mut self.placer.policy {
            policy.left(now, &self.hosts[at].name, attempt);
        }
        let mut job = stopped.job;
        job.attempt += 1;
        job.evictions = job.evictions.saturating_sub(1);
        job.work += LOST_WORK_S;
        self.evicted.push_back((self.second + REQUEUE_DELAY_S, job));
        self.outcome.evictions += u64::from(measured);
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
            // With enough workers, every pair of services shares some worker.
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

fn usage_sample(running: &Running) -> Sample {
    Sample {
        attempt: running.attempt(),
        age: Duration::ZERO,
        used: Resources { millicores: (running.used * 1_000.0) as u64, ..Resources::ZERO },
        latency: None,
        beside: Vec::new(),
    }
}

fn latency_sample(host: &Host, replica: &Replica, load: f64, latency: f64) -> Sample {
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
