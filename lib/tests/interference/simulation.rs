//! A simulation of workers with delayed samples and known interference between kinds and services.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::{Attempt, TaskAttempt, TaskId, WorkerName},
    interference::{
        Interference,
        port::{Action, Neighbour, Role},
    },
    policy::Objective,
    resources::Resources,
    time::Time,
    worker::Sample,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The latency objective of every service, in seconds.
pub(crate) const OBJECTIVE_S: f64 = 0.020;

/// The simulated workers and the policy under test.
pub(crate) struct Simulation {
    pub(crate) policy: Interference,
    pub(crate) now: Time,
    /// The true harm of each kind: the logarithm of the slowdown by one unthrottled task.
    pub(crate) harms: BTreeMap<&'static str, f64>,
    /// A service's latency without neighbours, in seconds.
    pub(crate) alone: f64,
    /// The maximum delay of a sample's delivery.
    pub(crate) lag: Duration,
    /// The standard deviation of the logarithm of sampled latencies.
    pub(crate) noise: f64,
    /// Whether workers take no more samples.
    pub(crate) no_samples: bool,
    /// All actions with their times.
    pub(crate) actions: Vec<(Time, Action)>,
    tasks: BTreeMap<TaskAttempt, Task>,
    /// Samples that haven't been delivered, with the times of delivery and of sampling.
    in_flight: Vec<(Time, Time, WorkerName, Sample)>,
    rng: ChaCha8Rng,
}

struct Task {
    worker: WorkerName,
    neighbour: Neighbour,
    permille: u32,
}

/// The first attempt of a task.
pub(crate) fn attempt(task: u64) -> TaskAttempt {
    TaskAttempt { task: TaskId(task), attempt: Attempt(1) }
}

/// The name of a worker.
pub(crate) fn worker(number: u64) -> WorkerName {
    WorkerName::from(format!("w-{number:02}").as_str())
}

/// Two cores and 4 GiB.
pub(crate) const SIZE: Resources =
    Resources { millicores: 2_000, memory_mib: 4_096, accelerators: 0 };

/// A replica of the service "folddesk".
pub(crate) fn service(task: u64, objective: Objective) -> Neighbour {
    let latency = Duration::from_secs_f64(OBJECTIVE_S);
    Neighbour {
        attempt: attempt(task),
        customer: "kowhai".into(),
        size: SIZE,
        objective,
        role: Role::Service { service: "folddesk".into(), latency },
    }
}

/// A batch task of a kind.
pub(crate) fn batch(task: u64, kind: &str, evictions: u32, objective: Objective) -> Neighbour {
    Neighbour {
        attempt: attempt(task),
        customer: "dermaga".into(),
        size: SIZE,
        objective,
        role: Role::Batch { kind: kind.into(), evictions },
    }
}

/// A sample of a replica.
pub(crate) fn sample(task: u64, age: Duration, latency: f64, beside: &[u64]) -> Sample {
    Sample {
        attempt: attempt(task),
        age,
        used: Resources { millicores: 1_000, ..Resources::ZERO },
        latency: Some(Duration::from_secs_f64(latency)),
        beside: beside.iter().map(|task| attempt(*task)).collect(),
    }
}

impl Simulation {
    /// Creates a simulation without tasks.
    pub(crate) fn new(seed: u64, harms: &[(&'static str, f64)]) -> Self {
        Self {
            policy: Interference::default(),
            now: Time::from_millis(1_000_000),
            harms: harms.iter().copied().collect(),
            alone: 0.008,
            lag: Duration::ZERO,
            noise: 0.05,
            no_samples: false,
            actions: Vec::new(),
            tasks: BTreeMap::new(),
            in_flight: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(crate) fn place(&mut self, on: u64, neighbour: Neighbour) {
        let worker = worker(on);
        self.policy.placed(self.now, &worker, &neighbour);
        self.tasks.insert(neighbour.attempt, Task { worker, neighbour, permille: 1_000 });
    }

    pub(crate) fn end(&mut self, task: u64) {
        if let Some(ended) = self.tasks.remove(&attempt(task)) {
            self.policy.left(self.now, &ended.worker, attempt(task));
        }
    }

    /// The throttle of a task, in thousandths; `None` if it isn't placed.
    pub(crate) fn permille(&self, task: u64) -> Option<u32> {
        self.tasks.get(&attempt(task)).map(|task| task.permille)
    }

    /// The true latency of a replica, in seconds.
    pub(crate) fn latency(&self, task: u64) -> f64 {
        let on = &self.tasks[&attempt(task)].worker;
        let harm: f64 =
            self.tasks.values().filter(|task| task.worker == *on).map(|task| self.harm(task)).sum();
        self.alone * harm.exp()
    }

    fn harm(&self, task: &Task) -> f64 {
        match &task.neighbour.role {
            Role::Service { .. } => 0.0,
            Role::Batch { kind, .. } => {
                let whole = self.harms.get(kind.as_str()).copied().unwrap_or(0.0);
                whole * f64::from(task.permille) / 1_000.0
            }
        }
    }

    /// Advances the time by a second: takes samples, delivers those due, and applies the policy's
    /// decisions.
    pub(crate) fn tick(&mut self) {
        self.now = self.now + Duration::from_secs(1);
        if !self.no_samples {
            self.take_samples();
        }
        self.deliver();
        let mut actions = Vec::new();
        self.policy.decide(self.now, &mut actions);
        for action in actions {
            self.apply(&action);
            self.actions.push((self.now, action));
        }
    }

    pub(crate) fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.tick();
        }
    }

    fn take_samples(&mut self) {
        let replicas: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, task)| matches!(task.neighbour.role, Role::Service { .. }))
            .map(|(attempt, task)| (*attempt, task.worker.clone()))
            .collect();
        for (replica, on) in replicas {
            let spread = self.noise * self.rng.random_range(-1.7..1.7);
            let latency = self.latency(replica.task.0) * f64::exp(spread);
            let beside: Vec<u64> = self
                .tasks
                .iter()
                .filter(|(attempt, task)| **attempt != replica && task.worker == on)
                .map(|(attempt, _)| attempt.task.0)
                .collect();
            let taken = sample(replica.task.0, Duration::ZERO, latency, &beside);
            let lag = self.lag.mul_f64(self.rng.random_range(0.0..=1.0));
            self.in_flight.push((self.now + lag, self.now, on, taken));
        }
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(due, ..)| *due <= self.now);
        self.in_flight = later;
        for (_, taken, on, mut sample) in due {
            sample.age = self.now.since(taken);
            self.policy.sampled(self.now, &on, &sample);
        }
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Throttle { worker: _, attempt, permille } => {
                if let Some(task) = self.tasks.get_mut(attempt) {
                    task.permille = *permille;
                }
            }
            Action::Move { worker: _, attempt } => self.end(attempt.task.0),
        }
    }

    /// The number of times that a task's throttle changed direction.
    pub(crate) fn reversals(&self, task: u64) -> usize {
        let steps: Vec<u32> = self
            .actions
            .iter()
            .filter_map(|(_, action)| match action {
                Action::Throttle { worker: _, attempt: who, permille } => {
                    (*who == attempt(task)).then_some(*permille)
                }
                Action::Move { .. } => None,
            })
            .collect();
        let downs: Vec<bool> =
            [1_000].iter().chain(&steps).zip(&steps).map(|(a, b)| b < a).collect();
        downs.windows(2).filter(|pair| pair[0] != pair[1]).count()
    }

    /// The tasks whose move was requested.
    pub(crate) fn moved(&self) -> Vec<u64> {
        let moved = |(_, action): &(Time, Action)| match action {
            Action::Move { worker: _, attempt } => Some(attempt.task.0),
            Action::Throttle { .. } => None,
        };
        self.actions.iter().filter_map(moved).collect()
    }
}
